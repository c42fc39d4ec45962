"""Reads a request in any valid HTTP/1.1 form with h11, within limits on its size and duration."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

import h11

from query_gateway.http.request_decoding import MAX_TTL_DIGITS, REQUEST_HEADERS, TTL_HEADER, RequestError
from query_gateway.net.loop import Task
from query_gateway.net.receive_budget import Reservation
from query_gateway.net.stream import Reason, Stream

MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# Passed to h11 at a time, which copies what it has buffered for each request
MAX_BYTES_PER_STEP = 16_384


# A longer body reserves its length; one of unknown length (chunked) the most that it may have
MAX_UNRESERVED_BODY_BYTES = 2_048
MAX_MEMORY_WAIT_SECONDS = 30.0  # of a request whose client waits longer
MEMORY_RETRY_SECONDS = 0.05  # interval at which an incomplete request asks again for memory
MS_PER_SECOND = 1_000
KEPT_HEADERS = frozenset(name.encode() for name in REQUEST_HEADERS)


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The head of a request, with the headers that `request_decoding` knows."""

    method: str
    path: str
    headers: dict[str, str]


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One complete request; the query string is removed, header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class MemoryUnavailableError(RequestError):
    """No memory was free for the statement of a request as long as its client waits."""

    def __init__(self, head: RequestHead) -> None:
        """`head` is of the request whose body was not read."""
        super().__init__(429, "Overloaded")
        self.path, self.headers = head.path, head.headers


class RequestReader:
    """Reads one request; what it holds is counted, and a long body reserves its memory before it is read."""

    def __init__(
        self,
        connection: h11.Connection,
        stream: Stream,
        task: Task,
        deadline: float,
        pause_if_due: Callable[[], Generator[float | None, None, None]],
    ) -> None:
        """Start without input; the request must be complete at `deadline` (loop time).

        `task` runs `read`. `pause_if_due` is called between two events of h11: a request may consist of very
        many short chunks.
        """
        self.connection, self.stream, self.task = connection, stream, task
        self.deadline, self.pause_if_due = deadline, pause_if_due
        self.budget = stream.loop.receive_budget
        self.body = bytearray()
        self.head: RequestHead | None = None
        self._reservation: Reservation | None = None
        self._counted_bytes = 0  # of what h11 has buffered, and of a body without a reservation

    def read(self) -> Generator[float | None, None, HttpRequest | Reason]:
        """Read one complete request, or return the reason if the connection ends first.

        Raises RequestError if the request is too large or incomplete at the deadline, MemoryUnavailableError
        if it would not fit into memory, and h11's RemoteProtocolError if the bytes are not valid HTTP.
        """
        try:
            return (yield from self._read())
        finally:
            self.budget.count(-self._counted_bytes)
            if self._reservation:
                self.budget.release(self._reservation)

    def _read(self) -> Generator[float | None, None, HttpRequest | Reason]:
        while True:
            yield from self.pause_if_due()
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                if ended := (yield from self._receive_data()):
                    return ended
            elif isinstance(event, h11.Request):
                self.head = _request_head(event)
                size = _body_length(event)
                del event  # thousands of short fields take a megabyte
                if size > MAX_UNRESERVED_BODY_BYTES and (ended := (yield from self._reserve(size))):
                    return ended
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BODY_BYTES:
                    raise RequestError(413, "the statement is too long")
            elif isinstance(event, h11.EndOfMessage) and self.head:
                return HttpRequest(self.head.method, self.head.path, self.head.headers, bytes(self.body))
            else:
                return Reason.PEER_CLOSED

    def _count_input(self) -> None:
        """Count what h11 has buffered, and the body unless it has a reservation."""
        counted = len(self.connection.trailing_data[0]) + (0 if self._reservation else len(self.body))
        self.budget.count(counted - self._counted_bytes)
        self._counted_bytes = counted

    def _reserve(self, size: int) -> Generator[float | None, None, Reason | None]:
        """Wait for the memory for a body of `size` bytes, at most as long as the client waits.

        Meanwhile the connection is read only up to a small inbox. The time for the request begins anew then.
        """
        loop = self.stream.loop
        self._reservation = self.budget.reserve(size, self.task.wake)
        if self._reservation.is_granted:
            return None
        self._count_input()
        started_at = loop.now()
        ends_at = started_at + self._client_timeout_s()
        while not self._reservation.is_granted:
            if self.stream.is_over:
                return Reason.ABANDONED
            if loop.now() >= ends_at:
                raise MemoryUnavailableError(self.head or RequestHead("", "", {}))
            yield ends_at
        self.deadline += loop.now() - started_at
        return None

    def _client_timeout_s(self) -> float:
        ttl = self.head.headers.get(TTL_HEADER, "") if self.head else ""
        is_number = ttl.isascii() and ttl.isdigit() and len(ttl) <= MAX_TTL_DIGITS
        return min(int(ttl) / MS_PER_SECOND if is_number else 0.0, MAX_MEMORY_WAIT_SECONDS)

    def _receive_data(self) -> Generator[float | None, None, Reason | None]:
        """Pass the bytes read so far to h11, or wait for more; return the reason if the connection has ended.

        Raises RequestError after the deadline.
        """
        stream = self.stream
        if not stream.inbox and stream.loop.now() >= self.deadline:
            stream.read_available()  # the rest may have arrived in time, while the loop was busy
        self._count_input()
        if stream.inbox and not self._must_hold_back():
            self.connection.receive_data(stream.take_inbox(MAX_BYTES_PER_STEP))
            self._count_input()
        elif stream.is_over:
            return Reason.ABANDONED
        elif stream.loop.now() >= self.deadline:
            raise RequestError(408, "the request did not come whole in time")
        elif stream.inbox:
            yield min(self.deadline, stream.loop.now() + MEMORY_RETRY_SECONDS)
        else:
            if self.connection.they_are_waiting_for_100_continue:  # RFC 9110 section 10.1.1
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                stream.write(self.connection.send(proceed) or b"")
            yield self.deadline
        return None

    def _must_hold_back(self) -> bool:
        """Whether the request has no reservation, holds much already, and there is no memory for more."""
        is_long = self._counted_bytes > MAX_UNRESERVED_BODY_BYTES and not self._reservation
        return is_long and self.budget.is_unreserved_part_used_up


def _body_length(request: h11.Request) -> int:
    """The length that the body may have: as stated, or the maximum for a chunked one; raises RequestError."""
    names = {name for name, _ in request.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        # With both headers, two parsers on the path may disagree on where the body ends, and one of them may
        # parse the rest as another request (request smuggling, RFC 9112 sections 6.1 and 11.2)
        raise RequestError(400, "the body has two lengths")
    for name, value in request.headers:
        if name == b"content-length":  # h11 ensures that it is a number
            if int(value) > MAX_BODY_BYTES:
                raise RequestError(413, "the statement is too long")
            return int(value)
    return MAX_BODY_BYTES if b"transfer-encoding" in names else 0


def _request_head(request: h11.Request) -> RequestHead:
    """Keep only the headers that a request is decoded from: a head may have thousands of others."""
    return RequestHead(
        method=request.method.decode("latin-1"),
        path=request.target.decode("latin-1").partition("?")[0],
        headers={
            name.decode(): value.decode("latin-1") for name, value in request.headers if name in KEPT_HEADERS
        },
    )
