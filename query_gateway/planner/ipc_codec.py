"""The IPC codec: a message is a line of JSON with the name of its type followed by its fields in order.

Both ends run the same version of the program, so type names and fields may change between versions.
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

MAX_LINE_BYTES = 4_194_304  # of one message; the longest is a snapshot of all endpoints


@dataclass(slots=True, frozen=True)
class EjectedEndpoints:
    """The endpoints that a planner has ejected. Sent when a forwarder connects and when they change."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ArrivalQuery:
    """Asks a forwarder to reply once it has passed on to the planner all earlier requests with a `key`.

    These are the requests that arrived before `received_at`.
    """

    request_id: int  # the request of another forwarder that waits for the reply
    received_at: int  # clock time of the arrival of that request


@dataclass(slots=True, frozen=True)
class ArrivalReply:
    """Answers an `ArrivalQuery`, once the requests that the query asks about have been passed on."""

    request_id: int


IpcMessage = Event | Action | EjectedEndpoints | ArrivalQuery | ArrivalReply

# The types of messages that a planner accepts, then those that a forwarder accepts, by the name at the start
# of a line
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
    """The bytes cannot be decoded into a message that this end accepts. The text describes them."""


def encode(message: IpcMessage) -> bytes:
    """Encode a message as a line, including the line feed."""
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
    """Convert `raw` to the declared type; raises IpcMessageError if it has another type."""
    if get_origin(declared) is UnionType:
        return None if raw is None else _decode_value(get_args(declared)[0], raw)
    if get_origin(declared) is tuple:
        if not isinstance(raw, list):
            raise IpcMessageError(f"expected a list, got {raw!r:.40}")
        return tuple(_decode_value(get_args(declared)[0], item) for item in raw)
    if is_dataclass(declared) and isinstance(declared, type):
        return _decode_dataclass(declared, raw)
    if isinstance(declared, type) and issubclass(declared, Enum):
        try:
            return declared(raw)
        except ValueError:
            raise IpcMessageError(f"expected {declared.__name__}, got {raw!r:.40}") from None
    if declared is float and type(raw) is int:
        return float(raw)
    if type(raw) is not declared:
        raise IpcMessageError(f"expected {declared.__name__}, got {raw!r:.40}")
    return raw


def _decode_dataclass(declared: type[Any], raw: Any) -> Any:
    names = [field.name for field in fields(declared)]
    if not isinstance(raw, list) or len(raw) != len(names):
        raise IpcMessageError(f"expected {len(names)} fields of {declared.__name__}, got {raw!r:.40}")
    types = get_type_hints(declared)
    return declared(*(_decode_value(types[name], value) for name, value in zip(names, raw, strict=True)))


class Decoder:
    """Decodes a byte stream into messages; buffers at most `MAX_LINE_BYTES` of an incomplete line."""

    def __init__(self, message_types: dict[str, Any]) -> None:
        """`message_types`: the types that this end accepts, by name."""
        self.message_types = message_types
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages completed by `data`. After an IpcMessageError the decoder is unusable."""
        self.buffer += data
        *lines, incomplete = self.buffer.split(b"\n")
        self.buffer = incomplete
        if len(incomplete) > MAX_LINE_BYTES:
            raise IpcMessageError(f"line is longer than {MAX_LINE_BYTES} bytes")
        return [self._decode_line(bytes(line)) for line in lines]

    def _decode_line(self, line: bytes) -> Any:
        try:
            raw = json.loads(line)
        except (ValueError, RecursionError):
            raise IpcMessageError(f"{line[:40]!r} is not JSON") from None
        if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
            raise IpcMessageError(f"{line[:40]!r} is not a message")
        if raw[0] not in self.message_types:
            raise IpcMessageError(f"{line[:40]!r} has a message type that this end does not accept")
        return _decode_value(self.message_types[raw[0]], raw[1:])
