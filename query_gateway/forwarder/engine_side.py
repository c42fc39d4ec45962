"""The engine's side of an exchange: its attempts, one at a time, and what they mean for the next one.

    no attempt in flight --start--> in flight
    in flight --the attempt ends (see `attempt`)--> no attempt in flight
    in flight --cancel--> cancelled, still in flight for `CANCEL_PROPAGATION_NS` --> no attempt in flight

Whether an attempt may start is the send guard's decision; the exchange calls it before `start`.
"""

from typing import Final

from query_gateway.forwarder.attempt import Attempt, AttemptOwner, AttemptTerms
from query_gateway.forwarder.exchange_context import ExchangeContext, ForwardingEngineClient
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import OutcomeCode
from query_gateway.model.settings import ClassSettings
from query_gateway.model.units import MS
from query_gateway.policy.repetition import NEVER_RAN_CODES, may_be_rejected, repeat_deadline

# A cancelled attempt counts as in flight for so long. The next attempt may go to its engine over another
# connection and overtake the cancellation, so that both run at once; by then the cancellation has arrived.
# The next attempt of the request waits for this; an exchange that is answered does not.
CANCEL_PROPAGATION_NS: Final = 60 * MS


class EngineSide:
    """The attempts of one request on one wire, the newest last; at most one is in flight."""

    __slots__ = (
        "context", "engine_client", "wire", "class_settings", "attempts", "next_number", "terms",
        "first_executed_at",
    )  # fmt: skip

    def __init__(self, context: ExchangeContext, wire: str, class_settings: ClassSettings) -> None:
        """Begin without attempts; `wire` names the engine client that sends them."""
        self.context = context
        self.engine_client: ForwardingEngineClient = context.engine_clients[wire]
        self.wire = wire
        self.class_settings = class_settings
        self.attempts: list[Attempt] = []
        self.next_number = 0  # as the planner counts attempts: one that is not sent has a number, too
        self.terms = AttemptTerms()
        self.first_executed_at: int | None = None  # clock time: the first attempt that may have run was sent

    @property
    def current_attempt(self) -> Attempt | None:
        """The attempt in flight."""
        return self.attempts[-1] if self.attempts and self.attempts[-1].in_flight else None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether the newest attempt has not ended."""
        return bool(self.attempts) and self.attempts[-1].in_flight

    @property
    def endpoints_in_flight(self) -> list[str]:
        """The engines that have an attempt in flight; more than one would be a fault."""
        return [attempt.endpoint for attempt in self.attempts if attempt.in_flight]

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that has ended may have run at its engine."""
        return self.first_executed_at is not None

    @property
    def repeat_deadline(self) -> int:
        """Until when one more attempt may be sent, as a clock time; the client's deadline aside."""
        return repeat_deadline(self.class_settings, self.first_executed_at)

    @property
    def may_be_rejected(self) -> bool:
        """Whether the request may be rejected, as its client's retry is safe (see `repetition`)."""
        return may_be_rejected(self.class_settings, self.may_have_run or self.has_attempt_in_flight)

    def next_attempt(self, exchange: AttemptOwner, endpoint: str) -> Attempt:
        """Create the next attempt, which is not sent before `start`."""
        attempt = Attempt(exchange, self.engine_client, self.next_number, endpoint, self.terms)
        self.next_number += 1
        return attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, which may end at once; withdraw it when it may no longer be sent."""
        self.attempts.append(attempt)
        self.engine_client.start(attempt)
        send_deadline = self.repeat_deadline
        if attempt.in_flight and send_deadline < attempt.request.deadline:
            self.context.call_at(send_deadline, attempt.on_send_deadline)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt in flight; it ends when the cancellation must have arrived."""
        exchange = attempt.exchange
        exchange.trace(TraceStep.ATTEMPT_CANCELLED, attempt.endpoint, "by its planner")
        self.engine_client.cancel(attempt)
        if exchange.answered:
            attempt.on_ended(OutcomeCode.CANCELLED)
        else:
            ends_at = self.context.clock() + CANCEL_PROPAGATION_NS
            self.context.call_at(ends_at, lambda: attempt.on_ended(OutcomeCode.CANCELLED))

    def set_terms(self, terms: AttemptTerms) -> None:
        """Set the terms of further attempts; of one in flight only the priority can change."""
        self.terms = terms
        attempt = self.current_attempt
        if attempt and attempt.priority != terms.priority:
            attempt.priority = terms.priority
            self.engine_client.set_priority(attempt)

    def note_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Note whether an attempt that has ended may have run."""
        if self.first_executed_at is None and code not in NEVER_RAN_CODES:
            self.first_executed_at = attempt.sent_at

    def withdraw(self) -> bool:
        """End the attempt in flight as never sent, if nothing of it has left; whether that was so."""
        attempt = self.current_attempt
        return attempt is not None and attempt.withdraw()

    def abort(self, code: OutcomeCode) -> None:
        """End the attempt in flight at once: as never sent if that is so, else cancelled with this code."""
        if attempt := self.current_attempt:
            attempt.abort(code)
