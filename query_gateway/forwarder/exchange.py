"""One exchange: a request, its attempts, and exactly one final answer.

The client's side and the engine's side meet only here. A planner decides what happens to the request; the
forwarder owes the answer, so the deadline ends every exchange, whatever a planner does or fails to do.
"""

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from query_gateway.forwarder.attempt import Attempt, AttemptTerms
from query_gateway.forwarder.invariants import Invariant
from query_gateway.forwarder.messages import Answer, Client, ClientRequest, Timer, Verdict
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import Event, OutcomeCode, RequestAbandoned
from query_gateway.policy.repetition import NEVER_RAN_CODES, client_may_retry, repeat_deadline

if TYPE_CHECKING:
    from query_gateway.forwarder.forwarder import Forwarder, ForwardingEngineClient

MS_NS = 1_000_000
# Until a cancelled attempt counts as ended. Guards against the next attempt overtaking the cancellation on
# another connection, so that both run at once; no answer waits for this.
CANCEL_PROPAGATION_NS = 60 * MS_NS
# After its deadline a request counts as answered in time for so long
ANSWER_SLACK_NS = 400 * MS_NS
# After its deadline the planner has this long to end an exchange, then it is ended here
PLANNER_GRACE_NS = 5 * MS_NS


class ExchangeState(Enum):
    """What the client has been sent. `Exchange` names the transitions; none leads back."""

    OPEN = "open"  # nothing: any attempt may still serve the request
    STREAMING = "streaming"  # result pages: only the attempt that sent them can complete the result
    ANSWERED = "answered"  # the final answer, or the client has left and none is owed


class Exchange:
    """One request; the forwarder keeps it until it is answered and no attempt is in flight."""

    __slots__ = (
        "forwarder", "request_id", "request", "client", "wire", "planner_index", "streams_results", "timer",
        "attempts", "attempt_count", "terms", "state", "planner_notified", "first_executed_at",
        "class_settings", "abandoned", "accepted_at", "ended_at",
    )  # fmt: skip

    def __init__(
        self, forwarder: "Forwarder", request_id: int, request: ClientRequest, client: Client, wire: str
    ) -> None:
        """An open exchange that is routed to a planner, which does not know of it yet.

        `wire` names the engine client that its attempts are sent with.
        """
        self.forwarder = forwarder
        self.request_id = request_id
        self.request = request
        self.client = client
        self.wire = wire
        self.planner_index = forwarder.router.planner_index(request.key)
        self.streams_results = self.engine_client.streams_results
        # Those at its start apply until its end, whatever a configuration reload changes
        self.class_settings = forwarder.settings.classes[request.class_index]
        self.attempts: list[Attempt] = []
        self.attempt_count = 0  # as the planner counts them: one that was not sent has a number, too
        self.terms = AttemptTerms()
        self.state = ExchangeState.OPEN
        self.abandoned = False  # its client has left
        self.accepted_at = forwarder.clock()
        self.ended_at: int | None = None  # clock time from which no answer was owed
        self.planner_notified = False  # whether the planner has the request and gets its events
        self.first_executed_at: int | None = None  # when the first attempt that may have run was sent
        self.timer: Timer | None = None

    @property
    def engine_client(self) -> "ForwardingEngineClient":
        """The engine client of the exchange's wire."""
        return self.forwarder.engine_clients[self.wire]

    @property
    def answered(self) -> bool:
        """Whether no answer is owed any more."""
        return self.state is ExchangeState.ANSWERED

    @property
    def is_open(self) -> bool:
        """Whether any attempt may still serve the request."""
        return self.state is ExchangeState.OPEN

    @property
    def is_streaming(self) -> bool:
        """Whether the client has result pages and waits for more."""
        return self.state is ExchangeState.STREAMING

    @property
    def current_attempt(self) -> Attempt | None:
        """The attempt in flight; there is one at most."""
        return self.attempts[-1] if self.attempts and self.attempts[-1].in_flight else None

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that has ended may have run at its engine."""
        return self.first_executed_at is not None

    @property
    def send_deadline(self) -> int:
        """Until when an attempt may be sent, as a clock time."""
        return min(self.request.deadline, repeat_deadline(self.class_settings, self.first_executed_at))

    @property
    def may_be_rejected(self) -> bool:
        """Whether a rejection is true: nothing may have run, or a client's retry has no second effect."""
        may_run = self.may_have_run or self.current_attempt is not None
        return not may_run or client_may_retry(self.class_settings)

    def trace(self, step: TraceStep, details: str = "") -> None:
        """Note a step of this request, where requests are traced."""
        if sink := self.forwarder.request_trace:
            sink.record(
                self.forwarder.clock(), self.request_id, self.request.client_request_id, step, details
            )

    def notify_planner(self, event: Event) -> None:
        """Send an event to the planner, if it knows of this exchange."""
        if self.planner_notified:
            self.forwarder.planners[self.planner_index].notify(event)

    # ---- what the planner asks for

    def forward(self, endpoint: str) -> None:
        """Send an attempt to an endpoint, or report to the planner that it was not sent."""
        attempt = Attempt(self, self.attempt_count, endpoint, self.forwarder.clock())
        self.attempt_count += 1
        if refusal := self.forwarder.send_guard.refusal_to_start(self, endpoint):
            attempt.in_flight = False
            self.trace(TraceStep.HELD_BACK, f"{endpoint} {refusal.value}")
            self.notify_planner(attempt.outcome(OutcomeCode.NOT_SENT, 0))
            return
        self.trace(TraceStep.STARTED, f"{endpoint} number {attempt.number}")
        self.attempts.append(attempt)
        self.engine_client.start(attempt)
        if attempt.in_flight and self.send_deadline < self.request.deadline:
            self.forwarder.call_at(self.send_deadline, attempt.on_send_deadline)

    def cancel(self, attempt_number: int) -> None:
        """Cancel an attempt that is in flight; it counts as ended when the cancellation must have arrived."""
        if self.is_streaming:
            # Guards a result under way: no other attempt can stand in for the one whose pages the client has,
            # so only the client, the engine or the deadline ends it
            return
        attempt = self.current_attempt
        if attempt is None or attempt.number != attempt_number or self.withdraw():
            return
        self.trace(TraceStep.CANCELLED, f"{attempt.endpoint} by its planner")
        self.engine_client.cancel(attempt)
        if self.answered:
            attempt.on_ended(OutcomeCode.CANCELLED)
        else:
            ends_at = self.forwarder.clock() + CANCEL_PROPAGATION_NS
            self.forwarder.call_at(ends_at, lambda: attempt.on_ended(OutcomeCode.CANCELLED))

    def set_terms(self, terms: AttemptTerms) -> None:
        """Set the terms of further attempts; of one in flight only the priority can change."""
        self.terms = terms
        attempt = self.current_attempt
        if attempt and attempt.priority != terms.priority:
            attempt.priority = terms.priority
            self.engine_client.set_priority(attempt)

    # ---- what the engine client reports, through the attempt

    def send_page(self, data: bytes, on_sent: Callable[[], None]) -> None:
        """Stream a page to the client; from the first one on no other attempt can serve the request."""
        if not self.answered:
            self.state = ExchangeState.STREAMING
            self.client.send_page(data, on_sent)

    def on_attempt_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Answer the client if the end of the attempt settles the request, then report it.

        The client is answered before the planner is notified: the outcome says whether the request is over,
        and the planner may then send the next request of the same key.
        """
        if self.first_executed_at is None and code not in NEVER_RAN_CODES:
            self.first_executed_at = attempt.sent_at
        duration = self.forwarder.clock() - attempt.sent_at
        if code is OutcomeCode.OK and attempt.duration:
            duration = attempt.duration
        self.trace(TraceStep.ENDED, f"{attempt.endpoint} {code.value}")
        if not self.answered and code is OutcomeCode.OK:
            self.answer(Answer(Verdict.SERVED, tuple(attempt.pages)))
        elif self.is_streaming:
            # The client has pages of this attempt: a rejection would be untrue, a retry cannot complete them
            self.answer(Answer(Verdict.FAILED))
        attempt.pages.clear()
        attempt.notify_observer(code, duration)
        self.notify_planner(attempt.outcome(code, duration))
        self.forwarder.release(self)

    # ---- the final answer

    def answer(self, answer: Answer) -> None:
        """Give the one final answer; any later one is ignored."""
        if self.answered:
            return
        if answer.verdict is Verdict.REJECTED and not self._is_true_rejection():
            answer = Answer(Verdict.FAILED)
        self._end()
        self.trace(TraceStep.ANSWERED, answer.verdict.value)
        self.forwarder.counters.count_answer(self.request.class_name, answer.verdict)
        self.client.send_answer(answer)

    def _is_true_rejection(self) -> bool:
        """Guards the promise of a rejection: where the request may have run it is a failure."""
        if self.is_streaming:
            return False
        is_true = self.may_be_rejected
        self.forwarder.invariants.check(
            is_true, Invariant.REJECTED_TRULY, f"request {self.request.client_request_id} may have run"
        )
        return is_true

    def _end(self) -> None:
        """No answer is owed from now on."""
        self.state = ExchangeState.ANSWERED
        self.ended_at = now = self.forwarder.clock()
        # One that was late already when it was accepted is answered at once
        in_time = now <= max(self.request.deadline, self.accepted_at) + ANSWER_SLACK_NS
        self.forwarder.invariants.check(
            in_time, Invariant.ANSWERED_IN_TIME, f"request {self.request.client_request_id}"
        )

    def abandon(self) -> None:
        """The client has left: no answer is owed."""
        if not self.answered:
            self.abandoned = True
            self._end()
            self.trace(TraceStep.ABANDONED)
            self.notify_planner(RequestAbandoned(self.request_id))
            # Guards engines against work for nobody: a planner in another process may cancel late or never
            self.withdraw()
            self.forwarder.release(self)

    def withdraw(self) -> bool:
        """End the attempt in flight as never sent, if nothing of it has left; whether that was so."""
        attempt = self.current_attempt
        return attempt is not None and attempt.withdraw()

    def abort_attempt(self, code: OutcomeCode) -> None:
        """End the attempt in flight at once: as never sent if that is so, else cancelled with this code."""
        if attempt := self.current_attempt:
            attempt.abort(code)

    def on_deadline(self) -> None:
        """End the attempt in flight, if any; the planner has a grace period to end the exchange."""
        self.timer = self.forwarder.call_at(self.request.deadline + PLANNER_GRACE_NS, self.on_overdue)
        self.abort_attempt(OutcomeCode.TIMEOUT)

    def on_overdue(self) -> None:
        """No planner has ended the exchange in time: fail it."""
        if not self.answered:
            self.answer(Answer(Verdict.FAILED))
            self.notify_planner(RequestAbandoned(self.request_id))
        self.abort_attempt(OutcomeCode.CANCELLED)
        self.forwarder.release(self)

    def end_without_planner(self) -> None:
        """End the exchange at once, as its planner is lost: rejected where that is true, else failed."""
        self.planner_notified = False
        self.trace(TraceStep.PLANNER_LOST)
        # Withdrawn first: an attempt of which nothing has left never ran, so it does not rule out a rejection
        self.withdraw()
        may_be_rejected = self.may_be_rejected  # judged while the attempt is in flight, as it may run
        self.abort_attempt(OutcomeCode.CANCELLED)
        self.answer(Answer(Verdict.REJECTED if may_be_rejected else Verdict.FAILED))
        self.forwarder.release(self)
