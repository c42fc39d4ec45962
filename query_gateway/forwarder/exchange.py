"""One exchange: a request, its attempts, and exactly one final answer.

    OPEN --first page of a streamed result--> STREAMING
    OPEN, STREAMING --answer: attempt, planner or deadline--> ANSWERED
    OPEN, STREAMING --abandon: the client has left--> ANSWERED, no answer is owed

Only here are the client's side and the engine's side connected. A planner decides what happens to the
request; the forwarder owes the answer, so the deadline ends every exchange, whatever a planner does:

    deadline                       the attempt in flight ends, the planner may still decide on the answer
    deadline + PLANNER_GRACE_NS    without an answer the request has failed

An exchange is settled, and the forwarder forgets it, when it is ANSWERED and no attempt is in flight.
"""

from collections.abc import Callable
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

ANSWER_SLACK_NS: Final = 400 * MS  # after its deadline a request counts as answered in time for so long
PLANNER_GRACE_NS: Final = 5 * MS  # after a deadline the planner has so long to decide on the answer


class ExchangeState(Enum):
    """What the client has been sent. `Exchange` names the transitions; none leads back."""

    OPEN = "open"  # nothing: any attempt may still serve the request
    STREAMING = "streaming"  # result pages: only the attempt that sent them can complete the result
    ANSWERED = "answered"  # the final answer, or the client has left and none is owed


class Exchange:
    """One request; the forwarder keeps it until it is settled."""

    __slots__ = (
        "context", "request_id", "request", "client", "planner", "engine_side", "streams_results", "timer",
        "state", "planner_notified", "class_settings", "abandoned", "accepted_at", "ended_at",
    )  # fmt: skip

    def __init__(
        self, context: ExchangeContext, request_id: int, request: ClientRequest, client: Client, wire: str
    ) -> None:
        """An open exchange that is routed to a planner, which does not know of it yet.

        `wire` names the engine client that its attempts are sent with.
        """
        self.context = context
        self.request_id = request_id
        self.request = request
        self.client = client
        self.planner = context.router.planner_for(request.key)
        # The settings at its start apply until its end, whatever a configuration reload changes
        self.class_settings = context.state.settings.classes[request.class_index]
        self.engine_side = EngineSide(context, wire, self.class_settings)
        self.streams_results = self.engine_side.engine_client.streams_results
        self.state = ExchangeState.OPEN
        self.abandoned = False  # its client has left
        self.accepted_at = context.clock()
        self.ended_at: int | None = None  # clock time from which no answer was owed
        self.planner_notified = False  # whether the planner has the request and gets its events
        self.timer: Timer | None = None  # of the deadline, then of the planner's grace

    @property
    def answered(self) -> bool:
        """Whether no answer is owed any more: it was given, or the client has left without one."""
        return self.state is ExchangeState.ANSWERED

    @property
    def is_open(self) -> bool:
        """Whether any attempt may still serve the request."""
        return self.state is ExchangeState.OPEN

    @property
    def is_streaming(self) -> bool:
        """Whether the client has result pages and waits for more."""
        return self.state is ExchangeState.STREAMING

    def trace(self, step: TraceStep, *details: object) -> None:
        """Note a step of this request and its details, where requests are traced."""
        if sink := self.context.request_trace:
            text = " ".join(map(str, details))
            sink.record(self.context.clock(), self.request_id, self.request.client_request_id, step, text)

    def notify_planner(self, event: Event) -> None:
        """Send an event to the planner, if it knows of this exchange."""
        if self.planner_notified:
            self.planner.notify(event)

    # ---- commands of the planner

    def forward(self, endpoint: str) -> None:
        """Send an attempt to an endpoint, or report to the planner that it was not sent."""
        attempt = self.engine_side.next_attempt(self, endpoint)
        if refusal := self.context.send_guard.refusal_to_start(self, endpoint):
            attempt.in_flight = False
            self.trace(TraceStep.SEND_REFUSED, endpoint, refusal.value)
            self.notify_planner(attempt.outcome(OutcomeCode.NOT_SENT, 0))
            return
        self.trace(TraceStep.ATTEMPT_STARTED, endpoint, "number", attempt.number)
        self.engine_side.start(attempt)

    def cancel(self, attempt_number: int) -> None:
        """Cancel an attempt that is in flight; only the client, the engine or the deadline ends a stream.

        The client has pages of a streaming attempt, and no other attempt could complete its result.
        """
        attempt = self.engine_side.current_attempt
        if self.is_streaming or attempt is None or attempt.number != attempt_number:
            return
        if not attempt.withdraw():
            self.engine_side.cancel(attempt)

    def set_terms(self, terms: AttemptTerms) -> None:
        """Set the terms of further attempts; of one in flight only the priority can change."""
        self.engine_side.set_terms(terms)

    # ---- events of the engine client, through the attempt

    def send_page(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Stream a page to the client; from the first one on no other attempt can serve the request."""
        if not self.answered:
            self.state = ExchangeState.STREAMING
            self.client.send_page(data, on_sent)

    def on_send_refused(self, attempt: Attempt, refusal: SendRefusal) -> None:
        """The send guard has refused to write an attempt; its engine client ends it as not sent."""
        self.trace(TraceStep.SEND_REFUSED, attempt.endpoint, refusal.value)
        if refusal is SendRefusal.CLIENT_LEFT:
            self.abandon()

    def on_attempt_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Answer the client if the end of the attempt settles the request, then report it.

        The client is answered before the planner is notified: the outcome shows whether the request is over,
        and the planner may then send the next request of the same key.
        """
        self.engine_side.note_ended(attempt, code)
        duration = self.context.clock() - attempt.sent_at
        if code is OutcomeCode.OK and attempt.duration:
            duration = attempt.duration
        self.trace(TraceStep.ATTEMPT_ENDED, attempt.endpoint, code.value)
        if not self.answered and code is OutcomeCode.OK:
            self.answer(Answer(Verdict.SERVED, tuple(attempt.pages)))
        elif self.is_streaming:
            # The client has pages of this attempt: a rejection would be untrue, a retry cannot complete them
            self.answer(Answer(Verdict.FAILED))
        attempt.pages.clear()
        attempt.notify_observer(code, duration)
        self.notify_planner(attempt.outcome(code, duration))
        self.settle()

    # ---- the final answer

    def answer(self, answer: Answer) -> None:
        """Give the one final answer; any later one is ignored."""
        if self.answered:
            return
        if answer.verdict is Verdict.REJECTED and not self._check_rejection():
            answer = Answer(Verdict.FAILED)
        self._end()
        self.trace(TraceStep.ANSWERED, answer.verdict.value)
        self.context.counters.count_answer(self.request.class_name, answer.verdict)
        self.client.send_answer(answer)

    def _check_rejection(self) -> bool:
        """Whether the request may be rejected: a rejection promises that a retry has no second effect."""
        if self.is_streaming:
            return False
        if self.engine_side.may_be_rejected:
            return True
        details = f"request {self.request.client_request_id} may have run"
        self.context.invariants.report(Invariant.REJECTED_SAFELY, details)
        return False

    def abandon(self) -> None:
        """The client has left: no answer is owed."""
        if not self.answered:
            self.abandoned = True
            self._end()
            self.trace(TraceStep.ABANDONED)
            self.notify_planner(RequestAbandoned(self.request_id))
            # A planner process may cancel late or never, and an engine would run a request without a client:
            # what has not left is withdrawn here, whatever the planner does
            self.engine_side.withdraw()
            self.settle()

    def _end(self) -> None:
        """No answer is owed from now on."""
        self.state = ExchangeState.ANSWERED
        self.ended_at = now = self.context.clock()
        # One whose deadline was over already when it was accepted is answered at once
        if now > max(self.request.deadline, self.accepted_at) + ANSWER_SLACK_NS:
            details = f"request {self.request.client_request_id}"
            self.context.invariants.report(Invariant.ANSWERED_IN_TIME, details)

    def settle(self) -> None:
        """Let the forwarder forget the exchange, if it is answered and has no attempt in flight."""
        if self.answered and not self.engine_side.has_attempt_in_flight:
            self.context.on_settled(self.request_id)

    # ---- deadlines and the loss of the planner

    def on_deadline(self) -> None:
        """End the attempt in flight, if any; the planner has a grace period to decide on the answer."""
        self.timer = self.context.call_at(self.request.deadline + PLANNER_GRACE_NS, self.on_overdue)
        self.engine_side.abort(OutcomeCode.TIMEOUT)

    def on_overdue(self) -> None:
        """No planner has ended the exchange in time: fail it, or reject what no planner was notified of.

        Key quarantine, or an earlier request that may still be unread, has held the latter until now.
        """
        if not self.answered:
            self.answer(Answer(Verdict.FAILED if self.planner_notified else Verdict.REJECTED))
            self.notify_planner(RequestAbandoned(self.request_id))
        self.engine_side.abort(OutcomeCode.CANCELLED)
        self.settle()

    def end_without_planner(self) -> None:
        """End the exchange, as its planner is lost: rejected where a client's retry is safe, else failed."""
        self.planner_notified = False
        self.trace(TraceStep.PLANNER_LOST)
        # Withdrawn first: an attempt of which nothing has left never ran, so it does not rule out a rejection
        self.engine_side.withdraw()
        may_be_rejected = self.engine_side.may_be_rejected  # while the attempt is in flight, as it may run
        self.engine_side.abort(OutcomeCode.CANCELLED)
        self.answer(Answer(Verdict.REJECTED if may_be_rejected else Verdict.FAILED))
        self.settle()
