"""One client connection: waits for a request, reads it, has it handled, sends the response, and closes.

The state of a connection is the place of its coroutine; each step is the method in brackets:

    awaiting a request --> reading --> handling --> responding --.
    [_await_request]       [_serve_plain_request or              |
      ^   |   |             _serve_h11_request]                  |
      |   |   |                |           |                     |
      |   |   |                |           `- client left ---> closed
      |   |   |                `- invalid, too slow: [_reject] --+
      |   |   `- unused, draining, server closes ----------------+--> closing [_close_gracefully] --> closed
      |   `- transferred to the successor, client left --> closed |
      `---------------------- the connection goes on -------------'

`drop` leads to closed from anywhere. Why a connection ends is decided in `end_reasons`.
"""

import socket
from collections.abc import Generator
from dataclasses import replace
from typing import Protocol

import h11

from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.messages import ClientRequest, RequestClasses
from query_gateway.forwarder.readiness import DRAIN_CLOSE_IDLE_AFTER_S, Readiness
from query_gateway.http.end_reasons import (
    reason_after_last_response,
    reason_after_rejection,
    reason_of_drained_connection,
    reason_of_lost_connection,
    reason_of_unused_connection,
)
from query_gateway.http.h11_request import MAX_HEADER_BYTES, HttpRequest, read_request
from query_gateway.http.plain_request import PlainRequest, parse_plain_request
from query_gateway.http.request_decoding import RequestError, decode_request
from query_gateway.http.request_handler import RequestContext, RequestHandler
from query_gateway.http.response_sender import ResponseSender
from query_gateway.http.responses import Response, failure_response
from query_gateway.http.routing import addressed_class_name, liveness_response
from query_gateway.net.log import log
from query_gateway.net.loop import Task
from query_gateway.net.steady_clock import clock_time_of
from query_gateway.net.stream import Reason, Stream

FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # from the connection's start until its first request is complete
REQUEST_TIMEOUT_SECONDS = 5.0  # from the start of a later request until it is complete
IDLE_TIMEOUT_SECONDS = 6.0  # the platform's clients close what was idle for 4 s; others are closed here
LINGER_SECONDS = 1.0  # how long input is still read after our half-close
TRANSFER_RETRY_SECONDS = 0.02  # until a connection that could not be transferred is tried again
DRAIN_FIRST_REQUEST_SECONDS = 0.5  # from a connection's start until its first request, while draining

Steps = Generator[float | None, None, Reason]
OptionalReason = Generator[float | None, None, Reason | None]


class IdleTransfer(Protocol):
    """Passes an idle connection to the successor in a hot upgrade."""

    def __call__(self, sock: socket.socket, peer: str, has_sent_request: bool, /) -> bool:
        """Whether the successor has it; `has_sent_request`: a complete request has come on it."""


class ConnectionContext(RequestContext, Protocol):
    """What a connection uses of the server, which owns it and its tables of connections."""

    classes: RequestClasses  # those that requests may name
    readiness: Readiness
    closing: bool  # no further request is waited for
    transfer: IdleTransfer | None  # set while idle connections are transferred
    connections: "dict[HttpConnection, None]"
    without_request: "dict[HttpConnection, None]"  # no complete request came yet, oldest first
    idle: "dict[HttpConnection, None]"  # between two requests, longest idle first


class HttpConnection:
    """Serves one connection in a coroutine; owns its stream.

    Between requests it waits in the server's table of idle connections, before its first one in that of
    connections without a request. Its steps return the reason why the connection ends, or None to go on.
    """

    def __init__(self, server: ConnectionContext, stream: Stream, peer: str, has_sent_request: bool) -> None:
        """Serve an accepted connection, whose stream is not started yet; `peer` is the client's ADDRESS:PORT.

        `has_sent_request`: a complete request has come already, before a hot upgrade transferred it.
        """
        self.server, self.loop, self.peer = server, server.loop, peer
        self.stream = stream
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.task: Task = server.loop.spawn(self._run())
        self.handler = RequestHandler(server, self.stream, self.task.wake)
        self.sender = ResponseSender(self.stream, self.http)
        self.stream.on_activity = self.task.wake
        self.stream.start()
        self.has_sent_request = has_sent_request
        self.started_at = self.loop.now()
        self.first_request_deadline = self.started_at + FIRST_REQUEST_TIMEOUT_SECONDS
        if not has_sent_request:
            server.without_request[self] = None

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            reason = yield from self._serve_requests()
        finally:
            self.drop(reason)

    def drop(self, reason: Reason) -> None:
        """Close at once; the coroutine finds its stream closed when it next runs, and ends."""
        is_unanswered = self.handler.has_open_request and not self.stream.is_over
        self.server.forwarder.invariants.check(
            not is_unanswered, Invariant.ANSWERED_BEFORE_CLOSE, f"client {self.peer} {reason.value}"
        )
        self.stream.close(reason)
        for table in (self.server.connections, self.server.without_request, self.server.idle):
            table.pop(self, None)
        self.task.wake()

    def _serve_requests(self) -> Steps:
        while True:
            if ended := (yield from self._await_request()):
                return ended
            # h11 goes on with what it has buffered behind the last request
            plain = None if self.http.trailing_data[0] else parse_plain_request(self.stream.inbox)
            try:
                ended = yield from self._serve_plain_request(plain) if plain else self._serve_h11_request()
            except h11.RemoteProtocolError as error:
                return (yield from self._reject(error.error_status_hint or 400, str(error)))
            except RequestError as error:
                return (yield from self._reject(error.status, str(error)))
            except Exception as error:  # a fault in our own code must not leave the client without an answer
                return (yield from self._fail_for_fault(error))
            if ended:
                return ended

    # ---- between two requests

    def _await_request(self) -> OptionalReason:
        """Wait until a request begins; a reason if none will."""
        deadline = self.first_request_deadline
        if self.has_sent_request:
            deadline = self.loop.now() + IDLE_TIMEOUT_SECONDS
            self.server.idle[self] = None
        while not self.stream.inbox and not self.http.trailing_data[0]:
            if self.stream.is_over:
                return reason_of_lost_connection(self.stream)
            if self.server.closing or self.loop.now() >= deadline:
                # A request may have arrived just now. Closed over unread bytes the connection would be reset,
                # and the client would have no answer to it
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
        return Reason.TOO_MANY if self.stream.closed else None

    def _on_complete_request(self) -> None:
        self.has_sent_request = self.handler.has_open_request = True
        self.server.without_request.pop(self, None)

    # ---- one request

    def _decode(self, class_name: str, headers: dict[str, str], body: bytes) -> ClientRequest:
        """Decode the request that was read just now, with when it had come; raises RequestError."""
        end = self.stream.bytes_consumed - len(self.http.trailing_data[0])
        arrival = self.stream.arrivals.time_of(end, self.loop.now())
        arrived_at = clock_time_of(arrival.earliest)
        request = decode_request(class_name, self.server.classes, headers, body, arrived_at)
        return replace(request, received_at=clock_time_of(arrival.latest)) if request.key else request

    def _serve_plain_request(self, plain: PlainRequest) -> OptionalReason:
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

    def _serve_h11_request(self) -> OptionalReason:
        deadline = self.first_request_deadline
        if self.has_sent_request:
            deadline = self.loop.now() + REQUEST_TIMEOUT_SECONDS
        request = yield from read_request(self.http, self.stream, deadline)
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
        """Answer for the liveness path, or have the statement handled."""
        if liveness := liveness_response(request, self.server.readiness.ready):
            return liveness
        decoded = self._decode(addressed_class_name(request), request.headers, request.body)
        return (yield from self.handler.handle(decoded))

    # ---- responses and the end

    def _send_response(self, response: Response, closing: bool = False) -> OptionalReason:
        """Send, and wait until the client has read enough of it; a reason if it does not."""
        self.sender.write(response, closing or self._is_last_response())
        self.handler.has_open_request = False
        return self.sender.wait_until_sent()

    def _is_last_response(self) -> bool:
        """Whether the connection ends with the response to be sent."""
        handler = self.handler
        if (
            handler.discarded_bytes
            or handler.is_over_connection_limit
            or self.server.forwarder.past_abort_time
        ):
            return True
        if not self.server.closing and not self.server.draining_for():
            return False
        # The client may have sent a further request already (pipelining, RFC 9112 section 9.3.2), which a
        # close with this response would leave unanswered
        self.stream.read_available()
        return not self.stream.inbox and not self.http.trailing_data[0]

    def _fail_for_fault(self, error: Exception) -> Steps:
        """Answer a request in whose handling our own code broke."""
        log("fault", f"a request's handling broke: {error!r}")
        self.loop.faults += 1
        self.handler.abandon()
        if self.handler.has_open_request and not self.stream.is_over:
            yield from self._reject(500, "Internal")
        return Reason.FAULT

    def _reject(self, status: int, text: str) -> Steps:
        """Send what is wrong with a request, where HTTP still allows a response, and close."""
        if self.sender.may_send:
            ended = yield from self._send_response(failure_response(status, text), closing=True)
            if ended:
                return ended
        return (yield from self._close_gracefully(reason_after_rejection(status)))

    def _close_after_last_response(self) -> Steps:
        reason = reason_after_last_response(self.handler, self.server.closing, self.server.draining_for())
        return (yield from self._close_gracefully(reason))

    def _close_gracefully(self, reason: Reason) -> Steps:
        """End the connection as RFC 9112 section 9.6 recommends: half-close, then read on for a while.

        A request that comes after our half-close is not served: its response could not be sent, and its
        client sends it again elsewhere. A client that has sent too much is not waited for.
        """
        if self.handler.has_sent_too_much:
            return reason
        yield from self.stream.close_gracefully(LINGER_SECONDS)
        return reason
