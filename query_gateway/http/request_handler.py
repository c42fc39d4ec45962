"""One decoded request: checked, classified where statements are read, forwarded, and its answer awaited."""

from collections.abc import Callable, Generator
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import Answer, ClientRequest, EarlyRejection
from query_gateway.forwarder.readiness import DRAIN_REJECT_AFTER_S
from query_gateway.http.request_decoding import RequestError
from query_gateway.http.responses import Response, failure_response, response_to
from query_gateway.net.loop import Loop
from query_gateway.net.steady_clock import loop_time_of
from query_gateway.net.stream import Reason, Stream

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, ClassificationRequest, StatementService

MAX_LOOP_LAG_SECONDS = 0.25  # above it new requests are rejected before the forwarder spends time on them
MAX_DISCARDED_BYTES = 1_048_576  # beyond a full inbox that a client may send ahead of its answer


class RequestContext(Protocol):
    """What the handling of a request uses of the server."""

    loop: Loop
    forwarder: Forwarder
    statements: "StatementService | None"  # None where statements are not parsed

    def draining_for(self, seconds: float = 0.0) -> bool:
        """Whether draining began, and at least so many seconds ago."""


def _has_left_after_answer() -> bool:
    """Stands in for the client once it has its answer: nobody looks for it any more."""
    return True


class PendingAnswer:
    """The client's side of an exchange: holds the answer once it is there."""

    def __init__(self, wake: Callable[[], None], has_left: Callable[[], bool]) -> None:
        """`wake` is called when the answer has come; `has_left` returns whether the client has closed."""
        self.wake, self._has_left = wake, has_left
        self.answer: Answer | None = None

    def has_left(self) -> bool:
        """Whether the client has closed its connection."""
        return self._has_left()

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None:
        """Never called: this front takes complete results."""
        raise NotImplementedError("this front takes complete results")

    def send_answer(self, answer: Answer) -> None:
        """Hold the answer and wake the connection that sends it."""
        self.answer = answer
        # Exchange and attempts refer to each other and stay until the garbage collector runs. Without a
        # reference to the connection from here it is freed at its end, and memory does not grow meanwhile
        self._has_left = _has_left_after_answer
        self.wake()


class RequestHandler:
    """Handles the requests of one connection, one after another."""

    def __init__(self, server: RequestContext, stream: Stream, wake: Callable[[], None]) -> None:
        """`wake` resumes the coroutine of the connection.

        While it waits the handler reads ahead on `stream`; it neither writes to it nor closes it.
        """
        self.server, self.stream, self.wake = server, stream, wake
        self.discarded_bytes = 0  # sent ahead of an answer, beyond what the inbox holds
        self.is_over_connection_limit = False  # its requests are rejected
        self.has_open_request = False  # one has been read, and no response to it was sent
        self._exchange: Exchange | None = None  # of that request

    def handle(self, request: ClientRequest) -> Generator[float | None, None, Response | Reason]:
        """The response, or why the connection ends without one; raises RequestError."""
        self._exchange = None
        self._check_id_is_free(request)
        pending = PendingAnswer(self.wake, self._client_has_left)
        # A client that waited long to be accepted may have left already; an engine would run its request for
        # nobody. What has arrived is read here, before anything is forwarded, and shows that it has closed
        self.stream.read_available()
        if reason := self._rejection_of_all():
            self._reject(request, pending, reason)
        if self.server.statements and pending.answer is None:
            request = yield from self._classify(request, pending, self.server.statements)
            self._check_id_is_free(request)  # another request may have come with its id meanwhile
        if pending.answer is None:
            self._exchange = self.server.forwarder.accept(request, pending, "web")
        return (yield from self._await_answer(pending))

    def abandon(self) -> None:
        """The client waits for the request's answer no longer."""
        exchange, self._exchange = self._exchange, None
        if exchange:
            exchange.abandon()

    def _client_has_left(self) -> bool:
        """Whether the client has closed; what has come since the last poll is read for that."""
        self.stream.read_available()
        return self.stream.is_over

    @property
    def has_sent_too_much(self) -> bool:
        """Whether the client has sent more than `MAX_DISCARDED_BYTES` ahead of its answer."""
        return self.discarded_bytes > MAX_DISCARDED_BYTES

    def _check_id_is_free(self, request: ClientRequest) -> None:
        if request.client_request_id in self.server.forwarder.open_client_request_ids:
            raise RequestError(409, "a request with this id is open")

    def _rejection_of_all(self) -> EarlyRejection | None:
        """Why every new request is rejected at once, if so.

        A loop that lags would answer all requests late if it accepted more. Clients that keep sending while
        the gateway drains, or until the process ends, would never let their connections become idle.
        """
        server = self.server
        if server.loop.lag() > MAX_LOOP_LAG_SECONDS:
            return EarlyRejection.LOOP_LAG
        if server.draining_for(DRAIN_REJECT_AFTER_S):
            return EarlyRejection.DRAINING
        if server.forwarder.past_abort_time:
            return EarlyRejection.STOPPING
        return EarlyRejection.CONNECTION_LIMIT if self.is_over_connection_limit else None

    def _reject(self, request: ClientRequest, pending: PendingAnswer, reason: EarlyRejection) -> None:
        """Reject before the forwarder knows of the request."""
        forwarder = self.server.forwarder
        answer = forwarder.reject_unaccepted(request.client_request_id, request.class_name, reason)
        pending.send_answer(answer)

    def _classify(
        self, request: ClientRequest, pending: PendingAnswer, statements: "StatementService"
    ) -> Generator[float | None, None, ClientRequest]:
        """Raise RequestError for a write under a class whose requests may run twice.

        Otherwise the class and the key stay as the request names them; the shape of the statement is added.
        """
        if request.class_name not in statements.classifier.idempotent_classes:
            return request
        results: list[Classification] = []

        def on_classified(result: "Classification") -> None:
            """Keep the result and resume; it may come at once or after a full parse."""
            results.append(result)
            self.wake()

        watermark = self.server.loop.watermark
        if request.key:
            watermark.hold(self, loop_time_of(request.received_at))
        try:
            statements.classify(_classification_request(request), on_classified)
            while not results and not self.stream.is_over:
                yield None
        finally:
            watermark.release(self)
        if not results or results[0].decision is None:
            self._reject(request, pending, EarlyRejection.NO_PARSER)
            return request
        decision, fingerprint = results[0].decision, results[0].fingerprint
        if decision.is_write:
            reason = decision.reason or f"it writes, so it cannot run as {request.class_name}"
            raise RequestError(400, reason)
        if statements.rejection_reason(fingerprint, self.server.forwarder.clock()):
            self._reject(request, pending, EarlyRejection.STATEMENT_LIMIT)
        return replace(request, fingerprint=fingerprint)

    def _await_answer(self, pending: PendingAnswer) -> Generator[float | None, None, Response | Reason]:
        while pending.answer is None:
            sent_too_much = self._discard_excess_input()
            if self.stream.is_over or sent_too_much:
                self.abandon()
                return failure_response(413, "too much was sent ahead") if sent_too_much else Reason.ABANDONED
            yield None
        self._exchange = None  # the exchange refers to this handler: a cycle, freed by the collector alone
        return response_to(pending.answer)

    def _discard_excess_input(self) -> bool:
        """Empty a full inbox, as nothing is read behind it and a client that left would not be noticed.

        The connection then ends with its answer, or at once if the client has sent too much: True.
        """
        if self.stream.read_paused:
            self.discarded_bytes += len(self.stream.take_inbox())
        return self.has_sent_too_much


def _classification_request(request: ClientRequest) -> "ClassificationRequest":
    from query_gateway.parsing.service import ClassificationRequest

    return ClassificationRequest(
        request.statement.decode(),
        request.class_name,
        request.key,
        deadline=loop_time_of(request.deadline),
    )
