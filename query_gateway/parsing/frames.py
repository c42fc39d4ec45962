"""Frames between a gateway and its parser processes: a length and a msgpack value.

The first frame to a process holds the rules; each further one is a ParseRequest. The process answers with
ParseResponses, the first of which has the request number READY.
"""

import struct
from typing import Any

import msgspec

from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

LENGTH = struct.Struct("!I")  # of what follows, in bytes
MAX_FRAME_BYTES = 1 << 20
READY = 0  # request number of the response that a process sends once it is ready


class FrameTooLongError(ValueError):
    """The peer announces a frame longer than MAX_FRAME_BYTES."""


class ParseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Parse this statement. Its literals are not sent, as no parse result depends on them."""

    request_number: int
    tokens: list[str]
    literal_count: int

    def statement(self) -> NormalizedStatement:
        """The statement without its fingerprint and literals, which a parse does not need."""
        return NormalizedStatement(b"", self.tokens, [""] * self.literal_count)


class ParseResponse(msgspec.Struct, frozen=True, array_like=True):
    """What a parse found, or that the process is ready."""

    request_number: int  # READY, or that of the request
    parse_result: ParseResult | None = None  # None: the process is ready


_encoder = msgspec.msgpack.Encoder()
decode_request = msgspec.msgpack.Decoder(ParseRequest).decode
decode_response = msgspec.msgpack.Decoder(ParseResponse).decode
decode_rules = msgspec.msgpack.Decoder(Rules).decode


def encode_frame(value: Any) -> bytes:
    """A message with its length before it."""
    data = _encoder.encode(value)
    return LENGTH.pack(len(data)) + data


def take_frame(buffer: bytearray) -> bytes | None:
    """The first complete frame, removed from the buffer; None until there is one.

    Raises FrameTooLongError.
    """
    if len(buffer) < LENGTH.size:
        return None
    (length,) = LENGTH.unpack_from(buffer)
    if length > MAX_FRAME_BYTES:
        raise FrameTooLongError(f"a frame of {length} bytes is longer than {MAX_FRAME_BYTES}")
    end = LENGTH.size + length
    if len(buffer) < end:
        return None
    data = bytes(buffer[LENGTH.size : end])
    del buffer[:end]
    return data
