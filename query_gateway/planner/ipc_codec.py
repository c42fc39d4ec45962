"""The codec of the IPC: a message is a line of JSON, the name of its type and then its fields in order.

Both ends are processes of one version of the program, so the types' names and their fields may change freely.
"""

import json
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from types import UnionType
from typing import Any, get_args, get_origin, get_type_hints

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

MAX_LINE_BYTES = 4_194_304  # of one message; a snapshot of all endpoints is the longest


@dataclass(slots=True, frozen=True)
class EjectedEndpoints:
    """The endpoints that a planner has ejected; sent to a forwarder that connects, and when they change."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ArrivalQuery:
    """Asks a forwarder to reply once it has passed on each request with a key that came before a time."""

    request_id: int  # of the request, of another forwarder, that waits for the reply
    received_at: int  # clock time


@dataclass(slots=True, frozen=True)
class ArrivalReply:
    """Says so, behind the last of them."""

    request_id: int


IpcMessage = Event | Action | EjectedEndpoints | ArrivalQuery | ArrivalReply

# What a planner receives, and what a forwarder receives, by the name that a line begins with
EVENT_TYPES: dict[str, type[Event | ArrivalReply]] = {
    message_type.__name__: message_type
    for message_type in (
        Request,
        AttemptOutcome,
        ProgressNote,
        RequestAbandoned,
        EndpointUpdate,
        SettingsUpdate,
        ArrivalReply,
    )
}
ACTION_TYPES: dict[str, type[Action | EjectedEndpoints | ArrivalQuery]] = {
    message_type.__name__: message_type
    for message_type in (Forward, Reject, Fail, Cancel, SetTerms, EjectedEndpoints, ArrivalQuery)
}


class IpcMessageError(Exception):
    """Bytes that cannot be decoded into a message that this end accepts; says what they hold."""


def encode(message: IpcMessage) -> bytes:
    """A message as a line, with its line feed."""
    line = json.dumps([type(message).__name__, *_encode_value(message)], separators=(",", ":"))
    return line.encode() + b"\n"


def _encode_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    if is_dataclass(value):
        return [_encode_value(getattr(value, field.name)) for field in fields(value)]
    return value


def _decode_value(declared: Any, raw: Any) -> Any:
    """`raw` as a value of the declared type; raises IpcMessageError if it is of another type."""
    if get_origin(declared) is UnionType:
        return None if raw is None else _decode_value(get_args(declared)[0], raw)
    if get_origin(declared) is tuple:
        if not isinstance(raw, list):
            raise IpcMessageError(f"{raw!r:.40} is no list")
        return tuple(_decode_value(get_args(declared)[0], item) for item in raw)
    if is_dataclass(declared) and isinstance(declared, type):
        return _decode_dataclass(declared, raw)
    if isinstance(declared, type) and issubclass(declared, Enum):
        try:
            return declared(raw)
        except ValueError:
            raise IpcMessageError(f"{raw!r:.40} is no {declared.__name__}") from None
    if declared is float and type(raw) is int:
        return float(raw)
    if type(raw) is not declared:
        raise IpcMessageError(f"{raw!r:.40} is no {declared.__name__}")
    return raw


def _decode_dataclass(declared: type[Any], raw: Any) -> Any:
    names = [field.name for field in fields(declared)]
    if not isinstance(raw, list) or len(raw) != len(names):
        raise IpcMessageError(f"{raw!r:.40} has not the fields of {declared.__name__}")
    types = get_type_hints(declared)
    return declared(*(_decode_value(types[name], value) for name, value in zip(names, raw, strict=True)))


class Decoder:
    """Bytes in, messages out; owns the buffer of a line that is not complete, which is bounded."""

    def __init__(self, message_types: dict[str, Any]) -> None:
        """`message_types`: those that this end accepts, by name."""
        self.message_types = message_types
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """The messages that `data` completes; after an IpcMessageError the decoder must not be used again."""
        self.buffer += data
        *lines, incomplete = self.buffer.split(b"\n")
        self.buffer = incomplete
        if len(incomplete) > MAX_LINE_BYTES:
            raise IpcMessageError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        return [self._decode_line(bytes(line)) for line in lines]

    def _decode_line(self, line: bytes) -> Any:
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError):
            raise IpcMessageError(f"{line[:40]!r} is not JSON") from None
        if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
            raise IpcMessageError(f"{line[:40]!r} is no message")
        if raw[0] not in self.message_types:
            raise IpcMessageError(f"{line[:40]!r} is no message that this end accepts")
        return _decode_value(self.message_types[raw[0]], raw[1:])
