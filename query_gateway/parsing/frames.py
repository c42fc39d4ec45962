"""Framing between a gateway and its parser processes: a length prefix and a msgpack value.

The first frame sent to a process contains the rules, each further one a ParseRequest. The process answers
with ParseResponses, the first of which has the request number READY.
"""

import struct
from typing import Any

import msgspec

from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

LENGTH = struct.Struct("!I")  # the length prefix: size in bytes of the value that follows
MAX_FRAME_BYTES = 1 << 20
READY = 0  # request number of the response that reports a process as ready


class FrameTooLongError(ValueError):
    """The length prefix of a received frame exceeds MAX_FRAME_BYTES."""


class ParseRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to parse a statement; omits the statement's literals, as no parse result depends on them."""

    request_number: int
    tokens: list[str]
    literal_count: int

    def statement(self) -> NormalizedStatement:
        """Return the statement with empty fingerprint and literals, which a parse does not need."""
        return NormalizedStatement(b"", self.tokens, [""] * self.literal_count)


class ParseResponse(msgspec.Struct, frozen=True, array_like=True):
    """The result of a parse, or the notice that the process is ready."""

    request_number: int  # READY, or the number of the answered request
    parse_result: ParseResult | None = None  # None: the process is ready


_encoder = msgspec.msgpack.Encoder()
decode_request = msgspec.msgpack.Decoder(ParseRequest).decode
decode_response = msgspec.msgpack.Decoder(ParseResponse).decode
decode_rules = msgspec.msgpack.Decoder(Rules).decode


def encode_frame(value: Any) -> bytes:
    """Encode a message with its length prefix."""
    data = _encoder.encode(value)
    return LENGTH.pack(len(data)) + data


def take_frame(buffer: bytearray) -> bytes | None:
    """Remove the first frame from the buffer and return its encoded value; None if no frame is complete.

    Raises FrameTooLongError if the length prefix exceeds MAX_FRAME_BYTES.
    """
    if len(buffer) < LENGTH.size:
        return None
    (length,) = LENGTH.unpack_from(buffer)
    if length > MAX_FRAME_BYTES:
        raise FrameTooLongError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    end = LENGTH.size + length
    if len(buffer) < end:
        return None
    data = bytes(buffer[LENGTH.size : end])
    del buffer[:end]
    return data
