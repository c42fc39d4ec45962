"""Reads a request in any valid HTTP/1.1 form with h11, within limits on its size and duration."""

from collections.abc import Callable, Generator
from dataclasses import dataclass

import h11

from query_gateway.http.request_decoding import RequestError
from query_gateway.net.stream import Reason, Stream

MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# Passed to h11 at a time, which copies what it has buffered for each request
MAX_BYTES_PER_STEP = 16_384


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """One complete request; the query string is removed, header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def read_request(
    connection: h11.Connection,
    stream: Stream,
    deadline: float,
    pause_if_due: Callable[[], Generator[float | None, None, None]],
) -> Generator[float | None, None, HttpRequest | Reason]:
    """Read one complete request, or return the reason if the connection ends first.

    `pause_if_due` is called between two events of h11: a request may consist of very many short chunks.

    Raises RequestError if the request is too large or incomplete at the deadline (loop time), and h11's
    RemoteProtocolError if the bytes are not valid HTTP.
    """
    body = bytearray()
    try:
        return (yield from _read_body(connection, stream, deadline, pause_if_due, body))
    finally:
        stream.loop.receive_budget.count(-len(body))


def _read_body(
    connection: h11.Connection,
    stream: Stream,
    deadline: float,
    pause_if_due: Callable[[], Generator[float | None, None, None]],
    body: bytearray,
) -> Generator[float | None, None, HttpRequest | Reason]:
    """Read one complete request into the empty `body`, whose bytes are counted as held.

    See `read_request`, which counts them as held no longer.
    """
    request: h11.Request | None = None
    while True:
        yield from pause_if_due()
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if ended := (yield from _receive_data(connection, stream, deadline)):
                return ended
        elif isinstance(event, h11.Request):
            request = event
            _check_body_length(event)
        elif isinstance(event, h11.Data):
            body += event.data
            stream.loop.receive_budget.count(len(event.data))
            if len(body) > MAX_BODY_BYTES:
                raise RequestError(413, "the statement is too long")
        elif isinstance(event, h11.EndOfMessage) and request:
            return _complete_request(request, bytes(body))
        else:
            return Reason.PEER_CLOSED


def _receive_data(
    connection: h11.Connection, stream: Stream, deadline: float
) -> Generator[float | None, None, Reason | None]:
    """Pass the bytes read so far to h11, or wait for more; return the reason if the connection has ended.

    Raises RequestError after the deadline.
    """
    if not stream.inbox and stream.loop.now() >= deadline:
        stream.read_available()  # the rest may have arrived in time, while the loop was busy
    if stream.inbox:
        connection.receive_data(stream.take_inbox(MAX_BYTES_PER_STEP))
    elif stream.is_over:
        return Reason.ABANDONED
    elif stream.loop.now() >= deadline:
        raise RequestError(408, "the request did not come whole in time")
    else:
        if connection.they_are_waiting_for_100_continue:  # RFC 9110 section 10.1.1
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            stream.write(connection.send(proceed) or b"")
        yield deadline
    return None


def _check_body_length(request: h11.Request) -> None:
    names = {name for name, _ in request.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        # With both headers, two parsers on the path may disagree on where the body ends, and one of them may
        # parse the rest as another request (request smuggling, RFC 9112 sections 6.1 and 11.2)
        raise RequestError(400, "the body has two lengths")
    for name, value in request.headers:
        if name == b"content-length" and int(value) > MAX_BODY_BYTES:  # h11 ensures that it is a number
            raise RequestError(413, "the statement is too long")


def _complete_request(request: h11.Request, body: bytes) -> HttpRequest:
    return HttpRequest(
        method=request.method.decode("latin-1"),
        path=request.target.decode("latin-1").partition("?")[0],
        headers={name.decode("latin-1"): value.decode("latin-1") for name, value in request.headers},
        body=body,
    )
