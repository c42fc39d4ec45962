"""The local link's one codec: an event or action is a line of JSON, its kind and then its fields in order."""

import json
from dataclasses import fields, is_dataclass
from enum import Enum
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

from query_gateway.forwarder.messages import EjectedEndpoints
from query_gateway.model.actions import Action, Cancel, Fail, Forward, Reject, SetTerms
from query_gateway.model.events import (
    AttemptOutcome,
    EndpointUpdate,
    Event,
    ProgressNote,
    Request,
    RequestAbandoned,
    SettingsUpdate,
)

LINE = 4_194_304  # bytes of one message; a list of all engines is the longest
EVENTS: dict[str, type[Event]] = {
    t.__name__: t
    for t in (Request, AttemptOutcome, ProgressNote, RequestAbandoned, EndpointUpdate, SettingsUpdate)
}
ACTIONS: dict[str, type[Action | EjectedEndpoints]] = {
    t.__name__: t for t in (Forward, Reject, Fail, Cancel, SetTerms, EjectedEndpoints)
}


class IpcMessageError(Exception):
    """Bytes that are no message of the other end."""


def encode(message: Event | Action | EjectedEndpoints) -> bytes:
    return json.dumps([type(message).__name__, *_plain(message)], separators=(",", ":")).encode() + b"\n"


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_plain(v) for v in value]
    if is_dataclass(value):
        return [_plain(getattr(value, f.name)) for f in fields(value)]
    return value


def _made(kind: Any, raw: Any) -> Any:
    """A value of the kind that a field is declared as, or BadMessage."""
    if get_origin(kind) is UnionType:
        return None if raw is None else _made(get_args(kind)[0], raw)
    if get_origin(kind) is tuple:
        if not isinstance(raw, list):
            raise IpcMessageError("a list is missing")
        return tuple(_made(get_args(kind)[0], v) for v in raw)
    if is_dataclass(kind) and isinstance(kind, type):
        names = [f.name for f in fields(kind)]
        if not isinstance(raw, list) or len(raw) != len(names):
            raise IpcMessageError(f"{kind.__name__} has other fields")
        hints = get_type_hints(kind)
        return kind(*(_made(hints[name], v) for name, v in zip(names, raw, strict=True)))
    if isinstance(kind, type) and issubclass(kind, Enum):
        try:
            return kind(raw)
        except ValueError:
            raise IpcMessageError(f"{raw!r:.40} is no {kind.__name__}") from None
    if kind is float and type(raw) is int:
        return float(raw)
    if type(raw) is not kind:
        raise IpcMessageError(f"{raw!r:.40} is out of place")
    return raw


class Decoder:
    """Bytes in, whole messages out; of what is not yet whole no more than one line is kept."""

    def __init__(self, kinds: dict[str, Any]) -> None:
        self.kinds = kinds
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        if len(rest) > LINE:
            raise IpcMessageError("a line is too long")
        return [self._message(bytes(line)) for line in lines]

    def _message(self, line: bytes) -> Any:
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError):
            raise IpcMessageError(f"{line[:40]!r} is not JSON") from None
        if not isinstance(raw, list) or not raw or not isinstance(raw[0], str) or raw[0] not in self.kinds:
            raise IpcMessageError(f"{line[:40]!r} is no message")
        return _made(self.kinds[raw[0]], raw[1:])
