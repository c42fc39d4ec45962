"""The line protocol of engines: lines of words, ended by CR LF, and optional bodies of a given length.

Encodes requests and decodes the bytes of engines into frames, independently of the connection. Defines the
words of the protocol, except for the kinds of progress notes, which `response_handler` defines.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_LINE_BYTES = 4_096
MAX_BODY_BYTES = 1_048_576
MAX_LENGTH_DIGITS = 7
MAX_ERROR_BYTES = 60  # of received data that are quoted in an error text
LINE_END = b"\r\n"
NO_FIELDS = "-"

# First words of the lines that are sent to engines
REQUEST = "REQ"
STOP = "STOP"
SET_PRIORITY = "NICE"
FETCH_PAGE = "FETCH"
END_RESULT = "END"

# Second words of the lines that engines send: the kind of the frame
OK = "ok"
REFUSED = "refused"
ERROR = "error"
STALE = "stale"
PROGRESS = "progress"
PAGE = "batch"
YES = "yes"
NO = "no"
RESPONSE_KINDS = frozenset((OK, REFUSED, ERROR, STALE, PROGRESS, PAGE, YES, NO))

# Fields of a request, in the order in which they are sent
CLASS_FIELD = "queue"
BUDGET_MS_FIELD = "budget"
IDEMPOTENCY_KEY_FIELD = "uniq"
MEMORY_MB_FIELD = "allot"
PRIORITY_FIELD = "urgency"

# Fields of the lines that engines send
PAGE_COUNT_FIELD = "sheets"
PAGE_NUMBER_FIELD = "sheet"
PROGRESS_KIND_FIELD = "detail"
PROGRESS_LEVEL_FIELD = "val"


class FrameError(Exception):
    """Received bytes are not valid frames, or a frame is overdue; the message describes the fault."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One response line with its body; `client_request_id` identifies the request."""

    client_request_id: str
    kind: str
    fields: dict[str, str] = field(default_factory=dict)
    data: bytes = b""


class _FrameHead(NamedTuple):
    client_request_id: str
    kind: str
    fields: dict[str, str]
    body_length: int


def encode_request(client_request_id: str, fields: dict[str, str], statement: bytes) -> bytes:
    """Encode the line and body that start a request; the fields specify how it runs."""
    pairs = ",".join(f"{name}={value}" for name, value in fields.items()) or NO_FIELDS
    head = f"{REQUEST} {client_request_id} {pairs} {len(statement)}".encode()
    return b"%b\r\n%b\r\n" % (head, statement)


def encode_stop(client_request_id: str) -> bytes:
    """Encode the line that stops a running or waiting request."""
    return f"{STOP} {client_request_id}\r\n".encode()


def encode_priority(client_request_id: str, priority: int) -> bytes:
    """Encode the line that changes the priority of a running or waiting request."""
    return f"{SET_PRIORITY} {client_request_id} {priority}\r\n".encode()


def encode_fetch(client_request_id: str, page_number: int) -> bytes:
    """Encode the line that fetches a result page; page 0 is part of the first response."""
    return f"{FETCH_PAGE} {client_request_id} {page_number}\r\n".encode()


def encode_end(client_request_id: str) -> bytes:
    """Encode the line that releases a result of several pages, after all of them have arrived."""
    return f"{END_RESULT} {client_request_id}\r\n".encode()


class FrameDecoder:
    """Incremental decoder from bytes to complete frames; buffers at most one incomplete frame."""

    def __init__(self) -> None:
        """Start at the beginning of a line."""
        self.buffer = bytearray()
        self._head: _FrameHead | None = None  # the decoded line of a frame whose body is incomplete

    @property
    def partial(self) -> bool:
        """Whether the decoder has buffered an incomplete frame."""
        return self._head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes.

        Raises FrameError if the bytes are not valid frames; the decoder must then not be used again.
        """
        self.buffer += data
        frames: list[Frame] = []
        while (frame := self._next_frame()) is not None:
            frames.append(frame)
        return frames

    def _next_frame(self) -> Frame | None:
        while self._head is None:
            line = self._next_line()
            if line is None:
                return None
            if line not in (b"", b"\r"):
                self._head = _decode_head(line)
        client_request_id, kind, fields, length = self._head
        if length and len(self.buffer) < length + len(LINE_END):
            return None
        body = bytes(self.buffer[:length])
        if length:
            if self.buffer[length : length + len(LINE_END)] != LINE_END:
                raise FrameError(f"no CR LF after the body of {length} bytes for {client_request_id}")
            del self.buffer[: length + len(LINE_END)]
        self._head = None
        return Frame(client_request_id, kind, fields, body)

    def _next_line(self) -> bytes | None:
        """Remove and return the next line without its line feed, None if it is incomplete."""
        length = self.buffer.find(b"\n")
        if length > MAX_LINE_BYTES or (length < 0 and len(self.buffer) > MAX_LINE_BYTES):
            raise FrameError(f"line exceeds {MAX_LINE_BYTES} bytes")
        if length < 0:
            return None
        line = bytes(self.buffer[:length])
        del self.buffer[: length + 1]
        return line


def _decode_head(line: bytes) -> _FrameHead:
    if not line.endswith(b"\r"):
        raise FrameError(f"{line[:MAX_ERROR_BYTES]!r} does not end with CR LF")
    try:
        words = line[:-1].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise FrameError(f"{line[:MAX_ERROR_BYTES]!r} is not ASCII") from None
    if len(words) != 4 or words[1] not in RESPONSE_KINDS:
        raise FrameError(f"{line[:MAX_ERROR_BYTES]!r} is not a response line")
    client_request_id, kind, fields, length = words
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise FrameError(f"{length[:MAX_ERROR_BYTES]!r} is not a length from 0 to {MAX_BODY_BYTES}")
    return _FrameHead(client_request_id, kind, _decode_fields(fields), int(length))


def _decode_fields(text: str) -> dict[str, str]:
    if text == NO_FIELDS:
        return {}
    fields = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not separator or not name:
            raise FrameError(f"{pair[:MAX_ERROR_BYTES]!r} is not name=value")
        fields[name] = value
    return fields
