"""Frames between a gateway and its parser processes: a length and a msgpack value each way."""

import struct
from typing import Any

import msgspec

from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

LENGTH = struct.Struct("!I")
MOST = 1 << 20  # bytes of a frame


class ParseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Parse this shape; its literals stay with the gateway."""

    request_number: int
    tokens: list[str]
    literal_count: int

    def shape(self) -> NormalizedStatement:
        return NormalizedStatement(b"", self.tokens, [""] * self.literal_count)


class ParseResponse(msgspec.Struct, frozen=True, array_like=True):
    request_number: int  # 0: ready
    parse_result: ParseResult | None = None


_encoder = msgspec.msgpack.Encoder()
decode_request = msgspec.msgpack.Decoder(ParseRequest).decode
decode_response = msgspec.msgpack.Decoder(ParseResponse).decode
decode_rules = msgspec.msgpack.Decoder(Rules).decode


def encode_frame(value: Any) -> bytes:
    data = _encoder.encode(value)
    return LENGTH.pack(len(data)) + data


def take_frame(buffer: bytearray) -> bytes | None:
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
