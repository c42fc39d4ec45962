"""Limits the header blocks of a peer before h2 buffers them (RFC 9113 sections 4.1 and 6.10).

h2 keeps all frames of a block, up to 64 of 16 KB, until its last one. The decoded headers may have no more
than `SETTINGS_MAX_HEADER_LIST_SIZE`, so a longer block is a violation in any case. Performs no I/O.
"""

FRAME_HEADER_BYTES = 9
LENGTH_BYTES = 3
TYPE_OFFSET, FLAGS_OFFSET = 3, 4
HEADERS_TYPE, PUSH_PROMISE_TYPE, CONTINUATION_TYPE = 1, 5, 9
END_HEADERS_FLAG = 4
CLIENT_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


class HeaderBlockLimit:
    """Follows the frames of one direction of a connection and sums the lengths of each header block."""

    def __init__(self, max_bytes: int, preface_bytes: int) -> None:
        """`max_bytes`: of a block with its frames. `preface_bytes`: what precedes the first frame."""
        self.max_bytes = max_bytes
        self._skipped_bytes = preface_bytes  # that are left of the preface or of the current frame
        self._frame_header = bytearray()
        self._block_bytes = 0  # of the block that is not complete yet

    def exceeded_by(self, data: bytes) -> bool:
        """Follow the next bytes; return whether a header block is longer than the limit."""
        position = 0
        while position < len(data):
            if self._skipped_bytes:
                skipped = min(self._skipped_bytes, len(data) - position)
                self._skipped_bytes -= skipped
                position += skipped
                continue
            missing = FRAME_HEADER_BYTES - len(self._frame_header)
            self._frame_header += data[position : position + missing]
            position += missing
            if len(self._frame_header) == FRAME_HEADER_BYTES and self._begins_too_long_frame():
                return True
        return False

    def _begins_too_long_frame(self) -> bool:
        header, self._frame_header = self._frame_header, bytearray()
        self._skipped_bytes = int.from_bytes(header[:LENGTH_BYTES], "big")
        if header[TYPE_OFFSET] not in (HEADERS_TYPE, PUSH_PROMISE_TYPE, CONTINUATION_TYPE):
            return False
        self._block_bytes += FRAME_HEADER_BYTES + self._skipped_bytes
        is_exceeded = self._block_bytes > self.max_bytes
        if header[FLAGS_OFFSET] & END_HEADERS_FLAG:
            self._block_bytes = 0
        return is_exceeded
