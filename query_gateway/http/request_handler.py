"""Handles a decoded request: checks and classifies it, passes it to the forwarder and awaits the answer."""

from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import Answer, ClientRequest, EarlyRejection
from query_gateway.forwarder.readiness import DRAIN_REJECT_AFTER_S
from query_gateway.forwarder.table_group import TableGroupScanner
from query_gateway.http.request_decoding import RequestError
from query_gateway.http.responses import Response, failure_response, response_to
from query_gateway.model.settings import Idempotency
from query_gateway.net.loop import Loop, Task
from query_gateway.net.steady_clock import loop_time_of
from query_gateway.net.stream import Reason, Stream

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, ClassificationRequest, StatementService

# `Loop.lag` above which new requests are rejected before they cost the forwarder any time
MAX_LOOP_LAG_SECONDS = 0.25
# Input discarded from full inboxes on one connection, above which its open request is answered with 413 and
# the connection closed
MAX_DISCARDED_BYTES = 1_048_576


class RequestContext(Protocol):
    """The interface of the server to the request handler."""

    loop: Loop
    forwarder: Forwarder
    statements: "StatementService | None"  # None if the parsing of statements is off

    def draining_for(self, seconds: float = 0.0) -> bool:
        """Whether the server has been draining for at least `seconds`."""


def _has_left_after_answer() -> bool:
    """Replaces the connection's check in a `PendingAnswer` that has its answer; see `send_answer`."""
    return True


class PendingAnswer:
    """The client side of an exchange, as the forwarder's `Client`: stores the answer for the connection."""

    def __init__(self, wake: Callable[[], None], has_left: Callable[[], bool]) -> None:
        """`wake` is called once the answer is set; `has_left` returns whether the client has disconnected."""
        self.wake, self._has_left = wake, has_left
        self.answer: Answer | None = None

    def has_left(self) -> bool:
        """Whether the client has disconnected."""
        return self._has_left()

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None:
        """Never called: this front's engines use the line protocol, which does not stream results."""
        raise NotImplementedError("the HTTP front does not support streamed results")

    def send_answer(self, answer: Answer) -> None:
        """Store the answer and wake the connection, which sends it."""
        self.answer = answer
        # The exchange and its attempts form a reference cycle that lives until the garbage collector runs.
        # Without a reference from here the connection is freed as soon as it ends, so that memory does not
        # grow between two runs of the collector
        self._has_left = _has_left_after_answer
        self.wake()


class RequestHandler:
    """Handles the requests of one connection, one after another."""

    def __init__(self, server: RequestContext, stream: Stream, task: Task) -> None:
        """`task` runs the coroutine of the connection.

        While it waits for an answer the handler reads from `stream`; it neither writes to it nor closes it.
        """
        self.server, self.stream, self.task = server, stream, task
        self.discarded_bytes = 0  # read from full inboxes while an answer was pending, and discarded
        self.is_over_connection_limit = False  # every request on the connection is rejected
        self.has_open_request = False  # a request has been read, and its response has not been sent
        self._exchange: Exchange | None = None  # of the open request

    def handle(self, request: ClientRequest) -> Generator[float | None, None, Response | Reason]:
        """Return the response, or the reason if the connection ends without one; raises RequestError.

        The statement is counted as held until then.
        """
        budget, size = self.server.loop.receive_budget, len(request.statement)
        budget.count(size)
        try:
            return (yield from self._handle(request))
        finally:
            budget.count(-size)

    def _handle(self, request: ClientRequest) -> Generator[float | None, None, Response | Reason]:
        self._exchange = None
        self._check_id_is_free(request)
        pending = PendingAnswer(self.task.wake, self._client_has_left)
        # A client that waited long for its connection to be accepted may have disconnected, and an engine
        # would run the request in vain. Reading what has arrived detects this before the request is forwarded
        self.stream.read_available()
        if reason := self._early_rejection():
            self._reject(request, pending, reason)
        if pending.answer is None:
            request = yield from self._with_table_group(request, pending)
        if self.server.statements and pending.answer is None:
            request = yield from self._classify(request, pending, self.server.statements)
            self._check_id_is_free(request)  # a request with the same id may have arrived meanwhile
        if pending.answer is None:
            self._exchange = self.server.forwarder.accept(request, pending, "web")
        return (yield from self._await_answer(pending))

    def abandon(self) -> None:
        """Abandon the exchange of the open request, if there is one; its answer is no longer needed."""
        exchange, self._exchange = self._exchange, None
        if exchange:
            exchange.abandon()

    def _client_has_left(self) -> bool:
        """Whether the client has disconnected; first reads what has arrived since the last poll."""
        self.stream.read_available()
        return self.stream.is_over

    @property
    def has_sent_too_much(self) -> bool:
        """Whether more than `MAX_DISCARDED_BYTES` have been discarded on this connection."""
        return self.discarded_bytes > MAX_DISCARDED_BYTES

    def _check_id_is_free(self, request: ClientRequest) -> None:
        if request.client_request_id in self.server.forwarder.open_client_request_ids:
            raise RequestError(409, "a request with this id is open")

    def _early_rejection(self) -> EarlyRejection | None:
        """The cause for which any new request is currently rejected, or None.

        If a lagging loop accepted more requests, it would answer all of them late. Clients that keep sending
        while the gateway drains or the process stops would prevent their connections from becoming idle.
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
        """Reject a request that the forwarder has not accepted."""
        forwarder = self.server.forwarder
        answer = forwarder.reject_unaccepted(request.client_request_id, request.class_name, reason)
        pending.send_answer(answer)

    @contextmanager
    def _holding_watermark(self, request: ClientRequest) -> Iterator[None]:
        """Keep later requests of the same key from overtaking a request that is not accepted yet."""
        watermark = self.server.loop.watermark
        if request.key:
            watermark.hold(self, loop_time_of(request.received_at))
        try:
            yield
        finally:
            watermark.release(self)

    def _with_table_group(
        self, request: ClientRequest, pending: PendingAnswer
    ) -> Generator[float | None, None, ClientRequest]:
        """Return the request with the table group of its statement.

        A long statement is scanned in several turns of the loop. If its deadline comes or the process stops
        meanwhile, the request is rejected through `pending`; if its client leaves, the scan ends.
        """
        scanner = TableGroupScanner(request.statement)
        with self._holding_watermark(request):
            while not scanner.is_done:
                scanner.step()
                if not (yield from self.task.pause_if_due()):
                    continue
                if self.stream.is_over:
                    return request
                if reason := self.server.forwarder.rejection_before_accept(request):
                    self._reject(request, pending, reason)
                    return request
        self._check_id_is_free(request)  # a request with the same id may have arrived meanwhile
        return request if scanner.group is None else replace(request, table_group=float(scanner.group))

    def _classify(
        self, request: ClientRequest, pending: PendingAnswer, statements: "StatementService"
    ) -> Generator[float | None, None, ClientRequest]:
        """Return the request, with the fingerprint of its statement if the class is idempotent.

        The class and the key do not change. Raises RequestError for a write under an idempotent class, as
        requests of such a class may run twice. If the statement cannot be classified now, or too many
        statements of its shape are running, the request is rejected through `pending`.
        """
        if request.class_settings.idempotency is not Idempotency.IDEMPOTENT:
            return request
        results: list[Classification] = []

        def on_classified(result: "Classification") -> None:
            """Store the result and resume; called within `classify` or later, after a full parse."""
            results.append(result)
            self.task.wake()

        with self._holding_watermark(request):
            yield from self.task.pause_if_due()
            statements.classify(_classification_request(request), on_classified)
            while not results and not self.stream.is_over:
                yield None
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
        # The exchange refers to this handler; the reference cycle would last until the garbage collector runs
        self._exchange = None
        return response_to(pending.answer)

    def _discard_excess_input(self) -> bool:
        """Discard a full inbox: reading pauses while it is full, which would hide a client's disconnect.

        The connection then closes after its answer. Returns True if the client has exceeded
        `MAX_DISCARDED_BYTES`, so that the connection must close without waiting for the answer.
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
