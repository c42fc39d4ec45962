"""One client connection: reads requests one at a time, passes them to the handler and sends the responses.

The state is implicit in the position of the connection's coroutine; the implementing methods are in brackets:

    AWAITING A REQUEST [_await_request] --a byte has arrived--> READING
    AWAITING A REQUEST --idle timeout, draining, or the server closes--> CLOSING
    AWAITING A REQUEST --transferred to the successor, or the client disconnected--> CLOSED
    READING [_serve_plain_request, _serve_h11_request] --the request is complete--> HANDLING
    READING, HANDLING --the request is invalid or incomplete at its deadline: [_reject]--> CLOSING
    READING --an unexpected exception: [_fail_for_fault]--> CLOSED
    HANDLING --an unexpected exception: [_fail_for_fault], which responds with 500--> CLOSING
    READING, HANDLING --the client disconnected--> CLOSED
    HANDLING --the answer is known--> RESPONDING [_send_response]
    RESPONDING --the response is sent, the connection is kept--> AWAITING A REQUEST
    RESPONDING --the response is sent, and it was the last one--> CLOSING
    RESPONDING --the client has reset the connection, or does not read the response--> CLOSED
    CLOSING [_close_gracefully] --the client closed, or LINGER_SECONDS have passed--> CLOSED
    any --drop--> CLOSED

`end_reasons` determines the reason code that is logged when the connection closes.
"""

import socket
from collections.abc import Generator
from dataclasses import replace
from typing import Protocol

import h11

from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.kept_classes import KeptClasses
from query_gateway.forwarder.messages import ClientRequest, EarlyRejection, RequestClasses
from query_gateway.forwarder.readiness import DRAIN_CLOSE_IDLE_AFTER_S, Readiness
from query_gateway.http.end_reasons import (
    reason_after_last_response,
    reason_after_rejection,
    reason_of_drained_connection,
    reason_of_lost_connection,
    reason_of_unused_connection,
)
from query_gateway.http.h11_request import (
    MAX_BYTES_PER_STEP,
    MAX_HEADER_BYTES,
    HttpRequest,
    MemoryUnavailableError,
    RequestReader,
)
from query_gateway.http.plain_request import PlainRequest, parse_plain_request
from query_gateway.http.request_decoding import CLIENT_ID_HEADER, RequestError, decode_request
from query_gateway.http.request_handler import RequestContext, RequestHandler
from query_gateway.http.response_sender import ResponseSender
from query_gateway.http.responses import Response, failure_response, response_to
from query_gateway.http.routing import addressed_class_name, liveness_response
from query_gateway.net.log import log
from query_gateway.net.loop import Task
from query_gateway.net.steady_clock import clock_time_of
from query_gateway.net.stream import Reason, Stream

FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # from the start of the connection to the end of its first request
REQUEST_TIMEOUT_SECONDS = 5.0  # from the first to the last byte of a later request
# Between two requests. The platform's clients close idle connections after 4 s, so only others reach it
IDLE_TIMEOUT_SECONDS = 6.0
LINGER_SECONDS = 1.0  # how long input is still read after the half-close
TRANSFER_RETRY_SECONDS = 0.02  # interval between attempts to transfer a connection
DRAIN_FIRST_REQUEST_SECONDS = 0.5  # from the start of a connection to its first byte, while draining

ReasonCoroutine = Generator[float | None, None, Reason]
OptionalReasonCoroutine = Generator[float | None, None, Reason | None]


class IdleTransfer(Protocol):
    """Transfers an idle connection to the successor in a hot upgrade."""

    def __call__(self, sock: socket.socket, peer: str, has_sent_request: bool, /) -> bool:
        """Send the connection to the successor; return False if the successor cannot receive it now.

        `has_sent_request`: a complete request has been read from the connection.
        """


class ConnectionContext(RequestContext, Protocol):
    """The interface of the server to its connections, which it owns and keeps in tables."""

    classes: RequestClasses  # those that requests may address
    readiness: Readiness
    closing: bool  # connections close instead of waiting for further requests
    transfer: IdleTransfer | None  # set while idle connections are transferred
    connections: "dict[HttpConnection, None]"
    awaiting_first_request: "dict[HttpConnection, None]"  # no complete request yet; oldest first
    idle: "dict[HttpConnection, None]"  # between two requests; longest idle first


class HttpConnection:
    """Serves one connection in a coroutine; owns its stream.

    The server's table `awaiting_first_request` contains the connection until its first request is complete,
    and the table `idle` contains it between requests. The methods that are part of the coroutine return the
    reason if the connection ends, and None if it continues.
    """

    def __init__(self, server: ConnectionContext, stream: Stream, peer: str, has_sent_request: bool) -> None:
        """Start to serve an accepted connection; `peer` is the client's ADDRESS:PORT.

        The stream must not have been started. `has_sent_request` is set for a connection that a hot upgrade
        has transferred after its first complete request.
        """
        self.server, self.loop, self.peer = server, server.loop, peer
        self.stream = stream
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.task: Task = server.loop.spawn(self._run())
        self.handler = RequestHandler(server, self.stream, self.task)
        self.sender = ResponseSender(self.stream, self.http)
        self.stream.on_activity = self.task.wake
        self.stream.holds_incomplete_request = True
        self.stream.start()
        self.has_sent_request = has_sent_request
        self.started_at = self.loop.now()
        self._kept_classes = KeptClasses()
        self._request_classes: RequestClasses | None = None  # of the request that is being read or handled
        self.first_request_deadline = self.started_at + FIRST_REQUEST_TIMEOUT_SECONDS
        if not has_sent_request:
            server.awaiting_first_request[self] = None

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self._serve_requests()
        finally:
            self.drop(reason)

    def drop(self, reason: Reason) -> None:
        """Close at once; the coroutine ends when it next runs, as its stream is closed."""
        is_unanswered = self.handler.has_open_request and not self.stream.is_over
        self.server.forwarder.invariants.check(
            not is_unanswered, Invariant.ANSWERED_BEFORE_CLOSE, f"client {self.peer} {reason.value}"
        )
        self.stream.close(reason)
        for table in (self.server.connections, self.server.awaiting_first_request, self.server.idle):
            table.pop(self, None)
        self.task.wake()

    def _serve_requests(self) -> ReasonCoroutine:
        while True:
            if ended := (yield from self._await_request()):
                return ended
            # The client may have pipelined very many short requests
            has_much_input = len(self.stream.inbox) + len(self.http.trailing_data[0]) > MAX_BYTES_PER_STEP
            if has_much_input and self.loop.paused_tasks.is_turn_late():
                yield from self._pause()
            else:
                yield from self._pause_if_due()
            # Bytes that h11 has buffered after the last request must be parsed by h11
            plain = None if self.http.trailing_data[0] else parse_plain_request(self.stream.inbox)
            try:
                ended = yield from self._serve_plain_request(plain) if plain else self._serve_h11_request()
            except h11.RemoteProtocolError as error:
                return (yield from self._reject(error.error_status_hint or 400, str(error)))
            except MemoryUnavailableError as error:
                return (yield from self._reject_for_memory(error))
            except RequestError as error:
                return (yield from self._reject(error.status, str(error)))
            except Exception as error:  # the client must get a response even after a program error
                return (yield from self._fail_for_fault(error))
            if ended:
                return ended

    # ---- between two requests

    def _await_request(self) -> OptionalReasonCoroutine:
        """Wait for the first byte of a request; return the reason if the connection ends instead."""
        self._request_classes = None
        self.stream.holds_incomplete_request = True
        deadline = self.first_request_deadline
        if self.has_sent_request:
            deadline = self.loop.now() + IDLE_TIMEOUT_SECONDS
            self.server.idle[self] = None
        while not self.stream.inbox and not self.http.trailing_data[0]:
            if self.stream.is_over:
                return reason_of_lost_connection(self.stream)
            if self.server.closing or self.loop.now() >= deadline:
                # A request may have arrived since the last poll. Closing a socket with unread bytes would
                # reset the connection and leave the request unanswered
                self.stream.read_available()
                if self.stream.inbox or self.stream.eof:
                    continue
                reason = reason_of_unused_connection(self.server.closing, self.has_sent_request)
                return (yield from self._close_gracefully(reason))
            wake_at = deadline
            if self.server.transfer:
                if self.server.transfer(self.stream.sock, self.peer, self.has_sent_request):
                    return Reason.TRANSFERRED
                wake_at = min(wake_at, self.loop.now() + TRANSFER_RETRY_SECONDS)
            if self.server.draining_for(DRAIN_CLOSE_IDLE_AFTER_S):
                wake_at = min(wake_at, self.started_at + DRAIN_FIRST_REQUEST_SECONDS)
                if self.has_sent_request or self.loop.now() >= wake_at:
                    reason = reason_of_drained_connection(self.has_sent_request)
                    return (yield from self._close_gracefully(reason))
            yield wake_at
        self.server.idle.pop(self, None)
        self._request_classes = self._classes_of_next_request()
        return Reason.TOO_MANY if self.stream.closed else None

    def _classes_of_next_request(self) -> RequestClasses:
        if not self._kept_classes:
            return self.server.classes
        return self._kept_classes.at(self._next_byte, self.server.classes)

    @property
    def _next_byte(self) -> int:
        """The position of the first byte that is not decoded yet, counted from 1 over the connection."""
        return self.stream.bytes_consumed - len(self.http.trailing_data[0]) + 1

    def keep_classes_of_input(self, classes: RequestClasses) -> None:
        """Have the requests whose first byte has arrived keep `classes`, which are about to be replaced."""
        self.stream.read_available()
        received = self.stream.arrivals.received
        if received >= self._next_byte:
            self._kept_classes.keep(received, classes)

    def classes_in_use(self) -> list[RequestClasses]:
        """The classes that requests on this connection may address whose first byte has arrived."""
        reading = [self._request_classes] if self._request_classes else []
        return reading + self._kept_classes.all

    def _pause_if_due(self) -> Generator[float | None, None, None]:
        if self.loop.paused_tasks.is_pause_due():
            yield from self._pause()

    def _pause(self) -> Generator[float | None, None, None]:
        """Let the loop serve others, as this connection keeps it busy.

        Meanwhile the input that is not decoded yet counts as unread, so that no request that arrived later
        overtakes one in it that has the same key.
        """
        arrival = self.stream.arrivals.peek(self._next_byte, self.loop.now())
        self.loop.watermark.hold(self, arrival.latest)
        try:
            yield from self.loop.paused_tasks.pause(self.task)
        finally:
            self.loop.watermark.release(self)

    def _on_complete_request(self) -> None:
        self.has_sent_request = self.handler.has_open_request = True
        self.stream.note_complete_request()
        self.server.awaiting_first_request.pop(self, None)

    # ---- one request

    def _decode(self, class_name: str, headers: dict[str, str], body: bytes) -> ClientRequest:
        """Decode the request that has just been read, with its arrival time; raises RequestError."""
        end = self.stream.bytes_consumed - len(self.http.trailing_data[0])
        arrival = self.stream.arrivals.time_of(end, self.loop.now())
        arrived_at = clock_time_of(arrival.earliest)
        classes = self._request_classes or self.server.classes
        request = decode_request(class_name, classes, headers, body, arrived_at)
        return replace(request, received_at=clock_time_of(arrival.latest)) if request.key else request

    def _serve_plain_request(self, plain: PlainRequest) -> OptionalReasonCoroutine:
        self.stream.take_inbox()
        self._on_complete_request()
        self.sender.bypasses_h11 = True
        request = self._decode(plain.path.rpartition("/")[2], plain.headers, plain.body)
        response = yield from self.handler.handle(request)
        if isinstance(response, Reason):
            return response
        if ended := (yield from self._send_response(response)):
            return ended
        self.sender.bypasses_h11 = False
        return (yield from self._close_after_last_response()) if self.sender.announced_close else None

    def _serve_h11_request(self) -> OptionalReasonCoroutine:
        deadline = self.first_request_deadline
        if self.has_sent_request:
            deadline = self.loop.now() + REQUEST_TIMEOUT_SECONDS
        reader = RequestReader(self.http, self.stream, self.task, deadline, self._pause_if_due)
        request = yield from reader.read()
        if isinstance(request, Reason):
            return request
        self._on_complete_request()
        self.sender.wants_body = request.method != "HEAD"
        response = yield from self._respond_to(request)
        if isinstance(response, Reason):
            return response
        if ended := (yield from self._send_response(response)):
            return ended
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return (yield from self._close_after_last_response())
        self.http.start_next_cycle()
        return None

    def _respond_to(self, request: HttpRequest) -> Generator[float | None, None, Response | Reason]:
        """Respond to a request for the liveness path, or pass the statement to the handler."""
        if liveness := liveness_response(request, self.server.readiness.ready):
            return liveness
        decoded = self._decode(addressed_class_name(request), request.headers, request.body)
        return (yield from self.handler.handle(decoded))

    # ---- responses and the end of the connection

    def _send_response(self, response: Response, closing: bool = False) -> OptionalReasonCoroutine:
        """Send the response until the kernel has all of it; return the reason if the connection must end.

        `closing`: the connection closes after this response in any case.
        """
        self.sender.write(response, closing or self._is_last_response())
        self.handler.has_open_request = False
        return self.sender.wait_until_sent()

    def _is_last_response(self) -> bool:
        """Whether the connection closes after the response that is about to be sent."""
        handler = self.handler
        if (
            handler.discarded_bytes
            or handler.is_over_connection_limit
            or self.server.forwarder.past_abort_time
        ):
            return True
        if not self.server.closing and not self.server.draining_for():
            return False
        # The client may have pipelined a further request (RFC 9112 section 9.3.2), which would remain
        # unanswered if the connection closed after this response
        self.stream.read_available()
        return not self.stream.inbox and not self.http.trailing_data[0]

    def _fail_for_fault(self, error: Exception) -> ReasonCoroutine:
        """Log an unexpected exception, and respond with 500 if a request is open; return the reason."""
        log("fault", f"unexpected exception while handling a request: {error!r}")
        self.loop.faults += 1
        self.handler.abandon()
        if self.handler.has_open_request and not self.stream.is_over:
            yield from self._reject(500, "Internal")
        return Reason.FAULT

    def _reject(self, status: int, text: str) -> ReasonCoroutine:
        """Send an error response, if HTTP still permits a response to the request, and close."""
        if self.sender.may_send:
            ended = yield from self._send_response(failure_response(status, text), closing=True)
            if ended:
                return ended
        return (yield from self._close_gracefully(reason_after_rejection(status)))

    def _reject_for_memory(self, error: MemoryUnavailableError) -> ReasonCoroutine:
        """Reject a request for whose statement there was no memory in time, and close."""
        class_name = error.path.rpartition("/")[2]
        if class_name not in self.server.classes:
            return (yield from self._reject(404, "the path is unknown"))
        forwarder = self.server.forwarder
        client_request_id = error.headers.get(CLIENT_ID_HEADER, "")
        answer = forwarder.reject_unaccepted(client_request_id, class_name, EarlyRejection.MEMORY_LIMIT)
        if ended := (yield from self._send_response(response_to(answer), closing=True)):
            return ended
        return (yield from self._close_gracefully(Reason.SLOW_REQUEST))

    def _close_after_last_response(self) -> ReasonCoroutine:
        reason = reason_after_last_response(self.handler, self.server.closing, self.server.draining_for())
        return (yield from self._close_gracefully(reason))

    def _close_gracefully(self, reason: Reason) -> ReasonCoroutine:
        """Close as RFC 9112 section 9.6 recommends: half-close, then read for up to `LINGER_SECONDS`.

        A request that arrives after the half-close is not served, as its response could not be sent; the
        client retries it on another connection. If more than `MAX_DISCARDED_BYTES` of the client's input have
        been discarded, the connection is closed without the half-close and the wait.
        """
        if self.handler.has_sent_too_much:
            return reason
        yield from self.stream.close_gracefully(LINGER_SECONDS)
        return reason
