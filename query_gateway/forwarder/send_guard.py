"""The send guard: checks every attempt when it starts, and again right before its first byte is written.

Time passes between the decision of the scheduler and the first byte of an attempt. The attempt may wait for a
connection that is slow to establish or for an engine that does not read, and a planner process may decide
late or on an outdated endpoint list. The guard therefore applies the scheduler's rules again, to the state of
this process, at the last moment when the attempt can still be withdrawn.

Input:      the request with its deadline and client, its earlier attempts, the endpoint list in force, the
            slow-start budgets, the clock (nanoseconds)
Result:     None if the attempt may be sent, else a `SendRefusal`
Rationale:  `policy.repetition` defines until when a request may run again, and `policy.recovery_ramp` how
            much work an engine in slow start can take; nothing is sent to an engine that is not up, or for a
            client that has disconnected

After the last byte, `check_written` checks the attempt against these rules. It prevents nothing, but a
violation reveals a code path that bypasses the guard.
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

# Tolerance of `check_written`: the request may end, or its deadline pass, between the guard's decision and
# the last byte on the socket
SEND_LATENCY_NS: Final = 100_000_000


class SendRefusal(Enum):
    """Why an attempt is not sent; the values appear in the trace."""

    REQUEST_NOT_OPEN = "not-open"  # the request is answered, or its client has received result pages
    ATTEMPT_IN_FLIGHT = "second-attempt"  # another attempt of the request is in flight
    TOO_LATE = "too-late"  # the deadline or the deduplication window has passed
    NOT_REPEATABLE = "may-have-run"  # an attempt may have run, and the class does not allow another run
    ENDPOINT_NOT_UP = "endpoint-not-up"  # the engine is draining, removed, or has no address on this wire
    CLIENT_LEFT = "client-left"
    SLOW_START = "cold-endpoint"  # the slow-start budget of the engine is used up (`SlowStartBudgets`)


class GuardedAttempts(Protocol):
    """The attempts of a request, as far as the guard reads them."""

    @property
    def wire(self) -> str:
        """The wire on which the attempts are sent."""

    @property
    def repeat_deadline(self) -> int:
        """The clock time until which another attempt may start, regardless of the client's deadline."""

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether the latest attempt has not ended."""

    @property
    def endpoints_in_flight(self) -> list[str]:
        """The engines with an attempt in flight."""


class GuardedExchange(Protocol):
    """An exchange, as far as the guard reads it."""

    @property
    def request(self) -> ClientRequest:
        """The client request, of which the guard reads the deadline, the estimated work and the id."""

    @property
    def client(self) -> Client:
        """The client, which must still be connected when the attempt is written."""

    @property
    def engine_side(self) -> GuardedAttempts:
        """The attempts of the request."""

    @property
    def is_open(self) -> bool:
        """Whether the exchange is neither streaming nor answered, so that any attempt may still serve it."""

    @property
    def abandoned(self) -> bool:
        """Whether the client disconnected before the answer was sent."""

    @property
    def ended_at(self) -> int | None:
        """The clock time when the request was answered or abandoned; None: it is neither."""


class GuardedAttempt(Protocol):
    """An attempt that has started, as far as the guard reads it."""

    @property
    def exchange(self) -> GuardedExchange:
        """The exchange whose request the attempt sends."""

    @property
    def endpoint(self) -> str:
        """The engine to which the attempt is sent."""

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended."""


class SendGuard:
    """Decides whether an attempt may be sent now."""

    def __init__(
        self,
        state: ForwarderState,
        budgets: SlowStartBudgets,
        clock: Callable[[], int],
        invariants: InvariantChecks,
    ) -> None:
        """Check against the endpoint list and settings of `state`; report violations to `invariants`."""
        self.state = state
        self.budgets = budgets
        self.clock = clock
        self.invariants = invariants

    def refusal_to_start(self, exchange: GuardedExchange, endpoint: str) -> SendRefusal | None:
        """The reason why an attempt at an endpoint may not start, or None if it may."""
        if not exchange.is_open:
            return SendRefusal.REQUEST_NOT_OPEN
        if exchange.engine_side.has_attempt_in_flight:
            return SendRefusal.ATTEMPT_IN_FLIGHT
        return self._refusal_at(exchange, endpoint, self.clock())

    def refusal_to_write(self, attempt: GuardedAttempt) -> SendRefusal | None:
        """The reason why a started attempt must not be written, or None if it may be written now."""
        exchange = attempt.exchange
        if not exchange.is_open or not attempt.in_flight:
            return SendRefusal.REQUEST_NOT_OPEN
        now = self.clock()
        if refusal := self._refusal_at(exchange, attempt.endpoint, now):
            return refusal
        # A client may disconnect between two polls of the event loop. Without this check, the engine would
        # run a request without a client. The check reads the client's socket; it follows those above because
        # it costs a system call
        if exchange.client.has_left():
            return SendRefusal.CLIENT_LEFT
        engine = self.state.endpoints[attempt.endpoint].info
        if not self.budgets.allows(engine, self.state.settings, exchange.request.estimated_work, now):
            return SendRefusal.SLOW_START
        return None

    def _refusal_at(self, exchange: GuardedExchange, endpoint_name: str, now: int) -> SendRefusal | None:
        """The reason to refuse an attempt at an endpoint, or None; the checks common to start and writing."""
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
        """Count a completely written attempt in the budgets, and report every invariant that it violates."""
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
