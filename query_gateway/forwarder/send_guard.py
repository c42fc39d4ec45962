"""The send guard: every attempt passes it as it starts, and again as its first byte is about to leave.

The scheduler plans an attempt; until its first byte leaves, time passes. The attempt may wait for a
connection that comes up late or for an engine that does not read; a planner process may decide late, or on an
outdated endpoint list. The guard therefore applies the same rules once more, at the last moment when the
attempt can still be taken back, and on the state of this process.

Inputs  the request with its deadline and client, its earlier attempts, the endpoint list in force, the
        slow-start budgets, the clock (nanoseconds)
Answer  None if the attempt may be sent, else a `SendRefusal`
Reason  `policy.repetition` says until when a request may run once more, `policy.recovery_ramp` what an engine
        in slow start takes; nothing is sent to an engine that is not up, or for a client that has left

After the last byte `check_written` compares what has really left with the same rules. It prevents nothing: a
violation shows a path that went around the guard.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

from query_gateway.forwarder.forwarder_state import ForwarderState
from query_gateway.forwarder.invariants import Invariant, InvariantChecks
from query_gateway.forwarder.messages import Client, ClientRequest
from query_gateway.forwarder.slow_start_budgets import SlowStartBudgets
from query_gateway.model.endpoints import EndpointState
from query_gateway.policy.repetition import NEVER

# After its request has ended, an attempt may need so long from the guard to its last byte on the socket
SEND_LATENCY_NS: Final = 100_000_000


class SendRefusal(Enum):
    """Why an attempt is not sent; the values stand in the trace."""

    REQUEST_NOT_OPEN = "not-open"  # the request is answered, or its client has pages of a result
    ATTEMPT_IN_FLIGHT = "second-attempt"  # another attempt of the request is in flight
    TOO_LATE = "too-late"  # its deadline is over, or engines no longer recognise a duplicate
    NOT_REPEATABLE = "may-have-run"  # an attempt may have run, and its class may not run twice
    ENDPOINT_NOT_UP = "endpoint-not-up"  # the engine drains, was removed, or does not speak this wire
    CLIENT_LEFT = "client-left"
    SLOW_START = "cold-endpoint"  # the engine's slow-start budget of this window is used up


class GuardedAttempts(Protocol):
    """What the guard reads of the attempts of a request."""

    @property
    def wire(self) -> str:
        """The wire that they are sent on."""

    @property
    def repeat_deadline(self) -> int:
        """Until when one more attempt may start, the client's deadline aside."""

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether one of them has not ended."""

    @property
    def endpoints_in_flight(self) -> list[str]:
        """The engines that have an attempt in flight."""


class GuardedExchange(Protocol):
    """What the guard reads of an exchange."""

    @property
    def request(self) -> ClientRequest:
        """The request."""

    @property
    def client(self) -> Client:
        """Its client."""

    @property
    def engine_side(self) -> GuardedAttempts:
        """Its attempts."""

    @property
    def is_open(self) -> bool:
        """Whether any attempt may still serve the request."""

    @property
    def abandoned(self) -> bool:
        """Whether its client has left."""

    @property
    def ended_at(self) -> int | None:
        """Since when no answer is owed; None: one is."""


class GuardedAttempt(Protocol):
    """What the guard reads of an attempt that has started."""

    @property
    def exchange(self) -> GuardedExchange:
        """The exchange that it belongs to."""

    @property
    def endpoint(self) -> str:
        """The engine that it goes to."""

    @property
    def in_flight(self) -> bool:
        """Whether it has not ended."""


class SendGuard:
    """Decides whether an attempt may be sent now."""

    def __init__(
        self,
        state: ForwarderState,
        budgets: SlowStartBudgets,
        clock: Callable[[], int],
        invariants: InvariantChecks,
    ) -> None:
        """Judge by the endpoint list and settings of `state`; violations are counted by `invariants`."""
        self.state = state
        self.budgets = budgets
        self.clock = clock
        self.invariants = invariants

    def refusal_to_start(self, exchange: GuardedExchange, endpoint: str) -> SendRefusal | None:
        """Why an attempt at an endpoint may not start; None if it may."""
        if not exchange.is_open:
            return SendRefusal.REQUEST_NOT_OPEN
        if exchange.engine_side.has_attempt_in_flight:
            return SendRefusal.ATTEMPT_IN_FLIGHT
        return self._refusal_at(exchange, endpoint, self.clock())

    def refusal_to_write(self, attempt: GuardedAttempt) -> SendRefusal | None:
        """Why an attempt that has started must not be written; None if its first byte may leave now."""
        exchange = attempt.exchange
        if not exchange.is_open or not attempt.in_flight:
            return SendRefusal.REQUEST_NOT_OPEN
        now = self.clock()
        if refusal := self._refusal_at(exchange, attempt.endpoint, now):
            return refusal
        # A client may close between two polls of the loop, and an engine would run its request for no client.
        # This reads the client's socket itself; it comes late, as it costs a system call
        if exchange.client.has_left():
            return SendRefusal.CLIENT_LEFT
        engine = self.state.endpoints[attempt.endpoint].info
        if not self.budgets.allows(engine, self.state.settings, exchange.request.estimated_work, now):
            return SendRefusal.SLOW_START
        return None

    def _refusal_at(self, exchange: GuardedExchange, endpoint_name: str, now: int) -> SendRefusal | None:
        """The rules of both moments."""
        attempts = exchange.engine_side
        repeat_deadline = attempts.repeat_deadline
        if repeat_deadline == NEVER:
            return SendRefusal.NOT_REPEATABLE
        if now >= repeat_deadline or now >= exchange.request.deadline:
            return SendRefusal.TOO_LATE
        endpoint = self.state.endpoints.get(endpoint_name)
        is_up = endpoint is not None and endpoint.info.state is EndpointState.UP
        if endpoint is None or not is_up or attempts.wire not in endpoint.addresses:
            return SendRefusal.ENDPOINT_NOT_UP
        return None

    def check_written(self, attempt: GuardedAttempt) -> None:
        """Count an attempt that has left to its last byte, and every invariant that it violates."""
        exchange, now = attempt.exchange, self.clock()
        endpoint = self.state.endpoints.get(attempt.endpoint)
        if endpoint is not None:
            work = exchange.request.estimated_work
            self.budgets.record(endpoint.info, self.state.settings, work, now)
        if exchange.ended_at is not None and now > exchange.ended_at + SEND_LATENCY_NS:
            was_abandoned = exchange.abandoned
            violated = Invariant.SENT_FOR_CLIENT if was_abandoned else Invariant.SENT_WHILE_OPEN
            self._report(violated, attempt)
        if now >= exchange.request.deadline + SEND_LATENCY_NS:
            self._report(Invariant.SENT_BEFORE_DEADLINE, attempt)
        if endpoint is None or endpoint.info.state is not EndpointState.UP:
            self._report(Invariant.SENT_TO_UP_ENDPOINT, attempt)
        in_flight = exchange.engine_side.endpoints_in_flight
        if len(in_flight) > 1:
            self._report(Invariant.SINGLE_ATTEMPT, attempt, f": {in_flight}")
        if now > exchange.engine_side.repeat_deadline + SEND_LATENCY_NS:
            self._report(Invariant.REPEATED_SAFELY, attempt)

    def _report(self, invariant: Invariant, attempt: GuardedAttempt, details: str = "") -> None:
        client_request_id = attempt.exchange.request.client_request_id
        self.invariants.report(invariant, f"request {client_request_id} at {attempt.endpoint}{details}")
