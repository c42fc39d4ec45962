"""Length-prefixed messages ("gRPC over HTTP/2", Length-Prefixed-Message): bytes in, messages out, and back.

No socket and no clock.
"""

from query_gateway.rpc.errors import FramingError

PREFIX_BYTES = 5  # one byte for the compressed flag, four bytes for the length, big-endian
MAX_MESSAGE_BYTES = 16_777_216


class MessageDecoder:
    """Cuts the bytes of one call into its messages; what is not complete is buffered."""

    def __init__(self) -> None:
        """Begin with an empty buffer."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that `data` completes, in order, without their prefixes.

        Raises FramingError for a compressed message or one above MAX_MESSAGE_BYTES; the decoder is then of
        no further use.
        """
        self.buffer += data
        messages = []
        while len(self.buffer) >= PREFIX_BYTES:
            length = int.from_bytes(self.buffer[1:PREFIX_BYTES], "big")
            if self.buffer[0]:
                raise FramingError(f"compression flag {self.buffer[0]}: no compression was agreed on")
            if length > MAX_MESSAGE_BYTES:
                raise FramingError(f"a message of {length} bytes is above {MAX_MESSAGE_BYTES}")
            end = PREFIX_BYTES + length
            if len(self.buffer) < end:
                break
            messages.append(bytes(self.buffer[PREFIX_BYTES:end]))
            del self.buffer[:end]
        return messages


def encode_message(message: bytes) -> bytes:
    """Return the message, uncompressed, behind its prefix."""
    return b"\0" + len(message).to_bytes(4, "big") + message
