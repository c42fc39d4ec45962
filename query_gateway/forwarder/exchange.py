"""One exchange: a request, its attempts, and exactly one final answer.

    OPEN --first page of a streamed result--> STREAMING
    OPEN, STREAMING --answer: by an attempt, the planner or the deadline--> ANSWERED
    OPEN, STREAMING --abandon: the client has disconnected--> ANSWERED, without sending an answer

This is the only module that connects the client side with the engine side. A planner decides what happens to
the request, but the forwarder guarantees the answer: the deadline ends every exchange, even if the planner
does not respond.

    deadline                       the attempt in flight ends; the planner may still choose the answer
    deadline + PLANNER_GRACE_NS    a request without an answer is failed, or rejected if no planner was
                                   notified of it

An exchange is settled, and is removed by the forwarder, once it is ANSWERED and has no attempt in flight.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import Final

from query_gateway.forwarder.attempt import Attempt, AttemptTerms
from query_gateway.forwarder.engine_side import EngineSide
from query_gateway.forwarder.exchange_context import ExchangeContext
from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.messages import Answer, Client, ClientRequest, Timer, Verdict
from query_gateway.forwarder.send_guard import SendRefusal
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import Event, OutcomeCode, RequestAbandoned
from query_gateway.model.units import MS
from query_gateway.policy.repetition import may_be_rejected

ANSWER_SLACK_NS: Final = 400 * MS  # answers later than this after the deadline violate ANSWERED_IN_TIME
PLANNER_GRACE_NS: Final = 5 * MS  # time for the planner to choose the answer after the deadline


class ExchangeState(Enum):
    """The state of an exchange; the module docstring lists the transitions, none of which leads back."""

    OPEN = "open"  # nothing has been sent to the client: any attempt may still serve the request
    STREAMING = "streaming"  # the client has result pages, which only the same attempt can complete
    ANSWERED = "answered"  # the final answer has been sent, or the client has disconnected


class Exchange:
    """One client request; the forwarder keeps the exchange until it is settled."""

    __slots__ = (
        "context", "request_id", "request", "client", "planner", "engine_side", "streams_results", "timer",
        "state", "planner_notified", "class_settings", "abandoned", "accepted_at", "ended_at",
    )  # fmt: skip

    def __init__(
        self, context: ExchangeContext, request_id: int, request: ClientRequest, client: Client, wire: str
    ) -> None:
        """Create an open exchange and choose its planner, which is not notified yet.

        `wire`, the name of an engine protocol, selects the engine client that sends the attempts.
        """
        self.context = context
        self.request_id = request_id
        self.request = request
        self.client = client
        self.planner = context.router.planner_for(request.key)
        self.class_settings = request.class_settings
        self.engine_side = EngineSide(context, wire, self.class_settings)
        self.streams_results = self.engine_side.engine_client.streams_results
        self.state = ExchangeState.OPEN
        self.abandoned = False  # whether the client has disconnected
        self.accepted_at = context.clock()
        self.ended_at: int | None = None  # clock time when the exchange became ANSWERED
        self.planner_notified = False  # whether the planner knows of the request and receives its events
        self.timer: Timer | None = None  # for the deadline, then for the planner's grace period

    @property
    def answered(self) -> bool:
        """Whether the final answer has been sent, or is no longer needed as the client has disconnected."""
        return self.state is ExchangeState.ANSWERED

    @property
    def is_open(self) -> bool:
        """Whether the exchange is neither streaming nor answered, so that any attempt may still serve it."""
        return self.state is ExchangeState.OPEN

    @property
    def is_streaming(self) -> bool:
        """Whether the client has received result pages and waits for more."""
        return self.state is ExchangeState.STREAMING

    def trace(self, step: TraceStep, *details: object) -> None:
        """Record a step of this request with its details, if request tracing is on."""
        if sink := self.context.request_trace:
            text = " ".join(map(str, details))
            sink.record(self.context.clock(), self.request_id, self.request.client_request_id, step, text)

    def notify_planner(self, event: Event) -> None:
        """Send an event to the planner if it knows of this exchange."""
        if self.planner_notified:
            self.planner.notify(event)

    # ---- commands from the planner

    def forward(self, endpoint: str) -> None:
        """Send an attempt to an endpoint, or report to the planner that the send guard refused it."""
        attempt = self.engine_side.next_attempt(self, endpoint)
        if refusal := self.context.send_guard.refusal_to_start(self, endpoint):
            attempt.in_flight = False
            self.trace(TraceStep.SEND_REFUSED, endpoint, refusal.value)
            self.notify_planner(attempt.outcome(OutcomeCode.NOT_SENT, 0))
            return
        self.trace(TraceStep.ATTEMPT_STARTED, endpoint, "number", attempt.number)
        self.engine_side.start(attempt)

    def cancel(self, attempt_number: int) -> None:
        """Cancel an attempt in flight, unless it is streaming.

        Once the client has pages of an attempt, no other attempt can complete the result. The planner can
        therefore neither cancel nor answer a request that is streaming.
        """
        attempt = self.engine_side.current_attempt
        if self.is_streaming or attempt is None or attempt.number != attempt_number:
            return
        if not attempt.withdraw():
            self.engine_side.cancel(attempt)

    def set_terms(self, terms: AttemptTerms) -> None:
        """Set the terms of later attempts; for an attempt in flight only the priority changes."""
        self.engine_side.set_terms(terms)

    # ---- events from the engine client, passed on by the attempt

    def send_page(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Stream a page to the client; after the first page no other attempt can serve the request."""
        if not self.answered:
            self.state = ExchangeState.STREAMING
            self.client.send_page(data, on_sent)

    def on_send_refused(self, attempt: Attempt, refusal: SendRefusal) -> None:
        """Trace a refusal to write an attempt, and abandon the exchange if its client has disconnected.

        The attempt is ended as not sent by the engine client (`AttemptHandle.may_be_written`).
        """
        self.trace(TraceStep.SEND_REFUSED, attempt.endpoint, refusal.value)
        if refusal is SendRefusal.CLIENT_LEFT:
            self.abandon()

    def on_attempt_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Answer the client if the outcome decides the request, then report the outcome.

        The client is answered before the planner is notified, because the outcome states whether the client
        has been answered (`final`). If so, the planner may send the next request of the same key.
        """
        self.engine_side.note_ended(attempt, code)
        duration = self.context.clock() - attempt.sent_at
        if code is OutcomeCode.OK and attempt.duration:
            duration = attempt.duration
        self.trace(TraceStep.ATTEMPT_ENDED, attempt.endpoint, code.value)
        if not self.answered and code is OutcomeCode.OK:
            self.answer(Answer(Verdict.SERVED, tuple(attempt.pages)))
        elif self.is_streaming:
            # The client already has pages of this attempt, so the request can be neither rejected nor retried
            self.answer(Answer(Verdict.FAILED))
        attempt.pages.clear()
        attempt.notify_observer(code, duration)
        self.notify_planner(attempt.outcome(code, duration))
        self.settle()

    # ---- the final answer

    def answer(self, answer: Answer) -> None:
        """Send the final answer; later calls are ignored."""
        if self.answered:
            return
        if answer.verdict is Verdict.REJECTED and not self._check_rejection(answer.retry_after_ns):
            answer = Answer(Verdict.FAILED)
        self._end()
        self.trace(TraceStep.ANSWERED, answer.verdict.value)
        self.context.counters.count_answer(self.request.class_name, answer.verdict)
        self.client.send_answer(answer)

    def _is_retry_safe(self, retry_after_ns: int) -> bool:
        """Whether a retry by the client after this time is safe, so that the request may be rejected."""
        request = self.request
        return may_be_rejected(
            self.class_settings,
            request.client_has_key,
            self.engine_side.first_sent_at,
            self.context.clock() + retry_after_ns,
        )

    def _check_rejection(self, retry_after_ns: int) -> bool:
        """Whether the request may be rejected; a rejection guarantees that a retry has no second effect.

        A rejection by a planner that stalled may come when engines no longer remember the first attempt. That
        violates no invariant, as it was safe when the planner decided.
        """
        if self.is_streaming:
            return False
        if self._is_retry_safe(retry_after_ns):
            return True
        if self._is_retry_safe(-self.class_settings.deduplication_window):
            return False
        details = f"request {self.request.client_request_id} may have run"
        self.context.invariants.report(Invariant.REJECTED_SAFELY, details)
        return False

    def abandon(self) -> None:
        """End the exchange without an answer, as the client has disconnected."""
        if not self.answered:
            self.abandoned = True
            self._end()
            self.trace(TraceStep.ABANDONED)
            self.notify_planner(RequestAbandoned(self.request_id))
            # The planner process may cancel late or never. An attempt that is still unsent is therefore
            # withdrawn here, so that no engine runs a request without a client
            self.engine_side.withdraw()
            self.settle()

    def _end(self) -> None:
        """Enter ANSWERED, and check that the deadline was met."""
        self.state = ExchangeState.ANSWERED
        self.ended_at = now = self.context.clock()
        # A request whose deadline had already passed on acceptance is measured from its acceptance
        if now > max(self.request.deadline, self.accepted_at) + ANSWER_SLACK_NS:
            details = f"request {self.request.client_request_id}"
            self.context.invariants.report(Invariant.ANSWERED_IN_TIME, details)

    def discard_statement(self) -> None:
        """Free the statement of a settled exchange, which sends it no more.

        The exchange and its attempts form a reference cycle that lives until the garbage collector runs.
        """
        self.request = replace(self.request, statement=b"")

    def settle(self) -> None:
        """Have the forwarder remove the exchange if it is answered and has no attempt in flight."""
        if self.answered and not self.engine_side.has_attempt_in_flight:
            self.context.on_settled(self.request_id)

    # ---- deadlines and the loss of the planner

    def on_deadline(self) -> None:
        """End the attempt in flight, if any, and give the planner a grace period to choose the answer."""
        self.timer = self.context.call_at(self.request.deadline + PLANNER_GRACE_NS, self.on_overdue)
        self.engine_side.abort(OutcomeCode.TIMEOUT)

    def on_overdue(self) -> None:
        """Answer for a planner that has not ended the exchange within the grace period.

        The request is failed, or rejected if no planner was notified of it. In that case it has been waiting
        for the end of a key quarantine, or for an earlier request that may still be unread.
        """
        if not self.answered:
            self.answer(Answer(Verdict.FAILED if self.planner_notified else Verdict.REJECTED))
            self.notify_planner(RequestAbandoned(self.request_id))
        self.engine_side.abort(OutcomeCode.CANCELLED)
        self.settle()

    def end_without_planner(self) -> None:
        """End the exchange because its planner is lost, or because the process is about to exit.

        The request is rejected if a retry by its client is safe, otherwise it fails.
        """
        self.planner_notified = False
        self.trace(TraceStep.PLANNER_LOST)
        # Withdrawn first, because an attempt that was never sent does not rule out a rejection
        self.engine_side.withdraw()
        # Read before the abort: an attempt in flight counts as one that may have run
        is_retry_safe = self._is_retry_safe(retry_after_ns=0)
        self.engine_side.abort(OutcomeCode.CANCELLED)
        self.answer(Answer(Verdict.REJECTED if is_retry_safe else Verdict.FAILED))
        self.settle()
