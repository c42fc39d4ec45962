"""Encoder and decoder for length-prefixed messages ("gRPC over HTTP/2", Length-Prefixed-Message).

Performs no I/O and uses no clock.
"""

from query_gateway.rpc.errors import FramingError

PREFIX_BYTES = 5  # one byte for the compressed flag and four bytes for the big-endian length
MAX_MESSAGE_BYTES = 16_777_216


class MessageDecoder:
    """Splits the data of one call into messages; an incomplete message is buffered."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    @property
    def announced_bytes(self) -> int:
        """The length of the incomplete message, as its prefix states it; 0 if there is none."""
        return int.from_bytes(self.buffer[1:PREFIX_BYTES], "big") if len(self.buffer) >= PREFIX_BYTES else 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that `data` completes, in order and without their prefixes.

        Raises FramingError for a message that is compressed or exceeds MAX_MESSAGE_BYTES; the decoder must
        not be used afterwards.
        """
        self.buffer += data
        messages = []
        while len(self.buffer) >= PREFIX_BYTES:
            length = int.from_bytes(self.buffer[1:PREFIX_BYTES], "big")
            if self.buffer[0]:
                raise FramingError(f"compressed flag is {self.buffer[0]}, but no compression was negotiated")
            if length > MAX_MESSAGE_BYTES:
                raise FramingError(
                    f"message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
                )
            end = PREFIX_BYTES + length
            if len(self.buffer) < end:
                break
            with memoryview(self.buffer) as view:
                messages.append(bytes(view[PREFIX_BYTES:end]))
            del self.buffer[:end]
        return messages


def message_prefix(message: bytes) -> bytes:
    """Return the prefix of an uncompressed message."""
    return b"\0" + len(message).to_bytes(4, "big")


def encode_message(message: bytes) -> bytes:
    """Return the message, uncompressed, with its prefix."""
    return message_prefix(message) + message
