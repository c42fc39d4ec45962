"""Frames between a gateway and its parser processes: a length and a msgpack value each way."""

import struct
from typing import Any

import msgspec

from query_gateway.statements.messages import Plan, Rules
from query_gateway.statements.shape import Shape

LENGTH = struct.Struct("!I")
MOST = 1 << 20  # bytes of a frame


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Parse this shape; its literals stay with the gateway."""

    number: int
    folded: list[str]
    slots: int

    def shape(self) -> Shape:
        return Shape(b"", self.folded, [""] * self.slots)


class Told(msgspec.Struct, frozen=True, array_like=True):
    number: int  # 0: ready
    plan: Plan | None = None


_encoder = msgspec.msgpack.Encoder()
decode_ask = msgspec.msgpack.Decoder(Ask).decode
decode_told = msgspec.msgpack.Decoder(Told).decode
decode_rules = msgspec.msgpack.Decoder(Rules).decode


def framed(value: Any) -> bytes:
    data = _encoder.encode(value)
    return LENGTH.pack(len(data)) + data


def cut(buffer: bytearray) -> bytes | None:
    """The first whole frame, taken off the buffer. Raises ValueError at one that is too long."""
    if len(buffer) < LENGTH.size:
        return None
    (length,) = LENGTH.unpack_from(buffer)
    if length > MOST:
        raise ValueError("a frame is too long")
    end = LENGTH.size + length
    if len(buffer) < end:
        return None
    data = bytes(buffer[LENGTH.size : end])
    del buffer[:end]
    return data
