"""The engine side of an exchange: its attempts, one at a time, and whether another one is safe.

    no attempt in flight --start--> in flight
    in flight --the attempt ends (see `attempt`)--> no attempt in flight
    in flight --cancel--> cancelled, counted as in flight for `CANCEL_PROPAGATION_NS` --> no attempt in flight

The send guard decides whether an attempt may start; the exchange consults it before it calls `start`.
"""

from typing import Final

from query_gateway.forwarder.attempt import Attempt, AttemptOwner, AttemptTerms
from query_gateway.forwarder.exchange_context import ExchangeContext, ForwardingEngineClient
from query_gateway.forwarder.trace import TraceStep
from query_gateway.model.events import OutcomeCode
from query_gateway.model.settings import ClassSettings
from query_gateway.model.units import MS
from query_gateway.policy.repetition import NEVER_RAN_CODES, repeat_deadline

# How long a cancelled attempt still counts as in flight, which delays the next attempt of the request. The
# next attempt may reach the same engine over another connection; sent at once, it could overtake the
# cancellation, and both would run at the same time. After this time the cancellation is assumed to have
# arrived. The attempt of an exchange that is already answered ends at once, as no other attempt follows.
CANCEL_PROPAGATION_NS: Final = 60 * MS


class EngineSide:
    """The attempts of one request on one wire, oldest first; at most one is in flight."""

    __slots__ = (
        "context", "engine_client", "wire", "class_settings", "attempts", "next_number", "terms",
        "first_executed_at",
    )  # fmt: skip

    def __init__(self, context: ExchangeContext, wire: str, class_settings: ClassSettings) -> None:
        """Start without attempts; `wire`, the name of an engine protocol, selects the engine client."""
        self.context = context
        self.engine_client: ForwardingEngineClient = context.engine_clients[wire]
        self.wire = wire
        self.class_settings = class_settings
        self.attempts: list[Attempt] = []
        self.next_number = 0  # an attempt that the send guard refuses has a number too, as in the planner
        self.terms = AttemptTerms()
        # Clock time at which the first attempt that may have run was sent; None: none may have run
        self.first_executed_at: int | None = None

    @property
    def current_attempt(self) -> Attempt | None:
        """The attempt in flight, if any."""
        return self.attempts[-1] if self.attempts and self.attempts[-1].in_flight else None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether the latest attempt has not ended."""
        return bool(self.attempts) and self.attempts[-1].in_flight

    @property
    def endpoints_in_flight(self) -> list[str]:
        """The engines with an attempt in flight; more than one violates `Invariant.SINGLE_ATTEMPT`."""
        return [attempt.endpoint for attempt in self.attempts if attempt.in_flight]

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt that has ended may have run at its engine."""
        return self.first_executed_at is not None

    @property
    def repeat_deadline(self) -> int:
        """The clock time until which another attempt may be sent, regardless of the client's deadline."""
        return repeat_deadline(self.class_settings, self.first_executed_at)

    @property
    def first_sent_at(self) -> int | None:
        """When the first attempt was sent that may have run or is in flight; None: there is none."""
        if self.first_executed_at is None and (attempt := self.current_attempt):
            return attempt.sent_at
        return self.first_executed_at

    def next_attempt(self, exchange: AttemptOwner, endpoint: str) -> Attempt:
        """Create the next attempt; `start` sends it."""
        attempt = Attempt(exchange, self.engine_client, self.next_number, endpoint, self.terms)
        self.next_number += 1
        return attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, which may end at once; withdraw it if it is still unsent at its send deadline."""
        self.attempts.append(attempt)
        self.engine_client.start(attempt)
        send_deadline = self.repeat_deadline
        if attempt.in_flight and send_deadline < attempt.request.deadline:
            self.context.call_at(send_deadline, attempt.on_send_deadline)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt in flight; it ends once the cancellation has had time to reach the engine."""
        exchange = attempt.exchange
        exchange.trace(TraceStep.ATTEMPT_CANCELLED, attempt.endpoint, "by its planner")
        self.engine_client.cancel(attempt)
        if exchange.answered:
            attempt.on_ended(OutcomeCode.CANCELLED)
        else:
            ends_at = self.context.clock() + CANCEL_PROPAGATION_NS
            self.context.call_at(ends_at, lambda: attempt.on_ended(OutcomeCode.CANCELLED))

    def set_terms(self, terms: AttemptTerms) -> None:
        """Set the terms of later attempts; for an attempt in flight only the priority changes."""
        self.terms = terms
        attempt = self.current_attempt
        if attempt and attempt.priority != terms.priority:
            attempt.priority = terms.priority
            self.engine_client.set_priority(attempt)

    def note_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        """Record whether an attempt that has ended may have run."""
        if self.first_executed_at is None and code not in NEVER_RAN_CODES:
            self.first_executed_at = attempt.sent_at

    def withdraw(self) -> bool:
        """End the attempt in flight as not sent if no byte was sent; return whether this was the case."""
        attempt = self.current_attempt
        return attempt is not None and attempt.withdraw()

    def abort(self, code: OutcomeCode) -> None:
        """End the attempt in flight, if any, at once (see `Attempt.abort`)."""
        if attempt := self.current_attempt:
            attempt.abort(code)
