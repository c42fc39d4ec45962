"""One client connection: waits for a request, reads it, has it handled, sends the response, and closes."""

import socket
from collections.abc import Generator
from typing import TYPE_CHECKING

import h11

from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.readiness import DRAIN_CLOSE_IDLE_AFTER_S
from query_gateway.http.h11_request import MAX_HEADER_BYTES, HttpRequest, read_request
from query_gateway.http.plain_request import PlainRequest, parse_plain_request
from query_gateway.http.request_decoding import RequestError, decode_request
from query_gateway.http.request_handler import RequestHandler
from query_gateway.http.responses import (
    Response,
    encode_h11_response,
    encode_plain_response,
    failure_response,
)
from query_gateway.net.log import log
from query_gateway.net.loop import Task
from query_gateway.net.steady_clock import clock_time_of
from query_gateway.net.stream import Reason, Stream

if TYPE_CHECKING:
    from query_gateway.http.server import HttpServer

FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # from the connection's start until its first request is complete
REQUEST_TIMEOUT_SECONDS = 5.0  # from the start of a later request until it is complete
RESPONSE_TIMEOUT_SECONDS = 30.0  # until the client has read a response
IDLE_TIMEOUT_SECONDS = 6.0  # clients close what was idle for 4 s; those that never do are closed soon after
LINGER_SECONDS = 1.0  # how long input is still read behind our half close
TRANSFER_RETRY_SECONDS = 0.02  # until a connection that could not be transferred is tried again
DRAIN_FIRST_REQUEST_SECONDS = 0.5  # from a connection's start until its first request, while draining
SERVICE_PREFIX = "/svc"
LIVENESS_PATH = "/status/live"

Steps = Generator[float | None, None, Reason]
OptionalReason = Generator[float | None, None, Reason | None]


class HttpConnection:
    """Serves one connection in a coroutine; owns its stream.

    Between requests it waits in the server's table of idle connections, before its first one in that of
    connections without a request. Its steps return the reason why the connection ends, or None to go on.
    """

    def __init__(self, server: "HttpServer", sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """`has_sent_request`: a complete request has come already, before a hot upgrade transferred it."""
        self.server, self.loop, self.peer = server, server.loop, peer
        self.stream = Stream(server.loop, sock, f"client {peer}", waiting_since=server.listener.waiting_since)
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.task: Task = server.loop.spawn(self._run())
        self.handler = RequestHandler(server, self.stream, self.task.wake)
        self.stream.on_activity = self.task.wake
        self.stream.start()
        self.bypasses_h11 = False  # the current request was read by the fast parser
        self.wants_body = True  # the current request is no HEAD
        self.has_sent_request = has_sent_request
        self.announced_close = False  # the last response said that the connection ends with it
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
            except Exception as error:  # a fault of ours must not cost the client its answer
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
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if self.server.closing or self.loop.now() >= deadline:
                # A request may have arrived just now: closing over it would be a reset
                self.stream.read_available()
                if self.stream.inbox or self.stream.eof:
                    continue
                reason = Reason.STOPPING if self.server.closing else self._unused_reason()
                return (yield from self._close_gracefully(reason))
            wake_at = deadline
            if self.server.transfer:
                if self.server.transfer(self.stream.sock, self.peer, self.has_sent_request):
                    return Reason.TRANSFERRED
                wake_at = min(wake_at, self.loop.now() + TRANSFER_RETRY_SECONDS)
            if self.server.draining_for(DRAIN_CLOSE_IDLE_AFTER_S):
                wake_at = min(wake_at, self.started_at + DRAIN_FIRST_REQUEST_SECONDS)
                if self.has_sent_request or self.loop.now() >= wake_at:
                    reason = Reason.DRAINED if self.has_sent_request else Reason.UNRESPONSIVE
                    return (yield from self._close_gracefully(reason))
            yield wake_at
        self.server.idle.pop(self, None)
        return Reason.TOO_MANY if self.stream.closed else None

    def _unused_reason(self) -> Reason:
        return Reason.IDLE if self.has_sent_request else Reason.UNRESPONSIVE

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun to come; h11 keeps what has been taken from the inbox."""
        return bool(self.stream.inbox) or self.stream.arrivals.received > 0

    def _on_complete_request(self) -> None:
        self.has_sent_request = self.handler.has_open_request = True
        self.server.without_request.pop(self, None)

    # ---- one request

    def _arrived_at(self) -> int:
        """The clock time when the last byte of the request that was read just now had come."""
        end = self.stream.bytes_taken - len(self.http.trailing_data[0])
        return clock_time_of(self.stream.arrivals.time_of(end, self.loop.now()))

    def _serve_plain_request(self, plain: PlainRequest) -> OptionalReason:
        self.stream.take_inbox()
        self._on_complete_request()
        self.bypasses_h11 = True
        server, class_name = self.server, plain.path.rpartition("/")[2]
        request = decode_request(class_name, server.classes, plain.headers, plain.body, self._arrived_at())
        response = yield from self.handler.handle(request)
        if isinstance(response, Reason):
            return response
        if ended := (yield from self._send_response(response)):
            return ended
        self.bypasses_h11 = False
        return (yield from self._close_gracefully(self._last_reason())) if self.announced_close else None

    def _serve_h11_request(self) -> OptionalReason:
        deadline = self.first_request_deadline
        if self.has_sent_request:
            deadline = self.loop.now() + REQUEST_TIMEOUT_SECONDS
        request = yield from read_request(self.http, self.stream, deadline)
        if isinstance(request, Reason):
            return request
        self._on_complete_request()
        self.wants_body = request.method != "HEAD"
        response = yield from self._respond_to(request)
        if isinstance(response, Reason):
            return response
        if ended := (yield from self._send_response(response)):
            return ended
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return (yield from self._close_gracefully(self._last_reason()))
        self.http.start_next_cycle()
        return None

    def _respond_to(self, request: HttpRequest) -> Generator[float | None, None, Response | Reason]:
        """Route one request by its path and method."""
        server = self.server
        if request.path == LIVENESS_PATH:
            if request.method not in ("GET", "HEAD"):
                raise RequestError(405, "only GET is known here")
            live = server.readiness.ready
            return Response(200 if live else 503, {"live": live})
        prefix, _, class_name = request.path.rpartition("/")
        if prefix != SERVICE_PREFIX:
            raise RequestError(404, "the path is unknown")
        if request.method != "POST":
            raise RequestError(405, "only POST is known here")
        decoded = decode_request(
            class_name, server.classes, request.headers, request.body, self._arrived_at()
        )
        return (yield from self.handler.handle(decoded))

    # ---- responses and the end

    def _send_response(self, response: Response, closing: bool = False) -> OptionalReason:
        """Send, and wait until the client has read enough of it; a reason if it does not."""
        if closing or self._ends_with_response():
            closing = self.announced_close = True
        if self.bypasses_h11:
            self.stream.write(encode_plain_response(response, closing))
        else:
            self.stream.write(encode_h11_response(self.http, response, closing, self.wants_body))
        self.handler.has_open_request = False
        deadline = self.loop.now() + RESPONSE_TIMEOUT_SECONDS
        while self.stream.outbox:
            if self.stream.reset:
                return Reason.RESET
            if self.loop.now() >= deadline:
                return Reason.SLOW_READER
            yield deadline
        return None

    def _ends_with_response(self) -> bool:
        """Whether the connection ends with the response to be sent."""
        if self.handler.discarded_bytes or self.server.rejects_all or self.handler.rejects_all:
            return True
        if not self.server.closing and not self.server.draining_for():
            return False
        # A request that has been read behind this one is owed an answer as well
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
        """Say what is wrong with a request, where the connection still allows a response, and close."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            ended = yield from self._send_response(failure_response(status, text), closing=True)
            if ended:
                return ended
        reason = Reason.SLOW_REQUEST if status == 408 else Reason.BAD_REQUEST
        return (yield from self._close_gracefully(reason))

    def _last_reason(self) -> Reason:
        """Why a connection ends with its response."""
        if self.handler.rejects_all:
            return Reason.TOO_MANY
        if self.handler.discarded_bytes:
            return Reason.BAD_REQUEST
        if self.server.closing:
            return Reason.STOPPING
        return Reason.DRAINED if self.server.draining_for() else Reason.DONE

    def _close_gracefully(self, reason: Reason) -> Steps:
        """End the connection for a reason.

        A request behind our half close is not served: its response could not be sent, so its client sends it
        again elsewhere. A client that has sent too much is not waited for.
        """
        if self.handler.has_sent_too_much:
            return reason
        yield from self.stream.close_gracefully(LINGER_SECONDS)
        return reason
