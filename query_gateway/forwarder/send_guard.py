"""The one guard that every attempt passes, first as it starts and again as its first byte is about to leave.

Between the two an attempt may wait, for a connection that comes up late or for an engine that does not read.
A planner may also decide late, or on an old view. Whatever has changed meanwhile is found here.
"""

from enum import Enum
from typing import TYPE_CHECKING

from query_gateway.forwarder.invariants import Invariant
from query_gateway.model.endpoints import EndpointState
from query_gateway.policy.repetition import may_run_twice, repeat_deadline

if TYPE_CHECKING:
    from query_gateway.forwarder.attempt import Attempt
    from query_gateway.forwarder.exchange import Exchange
    from query_gateway.forwarder.forwarder import Forwarder

SENT_AFTER_END_NS = 100_000_000  # an attempt may be on its way to the socket as its client leaves


class HoldBack(Enum):
    """Why an attempt is not sent; the values stand in the trace."""

    NOT_OPEN = "not-open"  # the request has its answer, or pages of one
    SECOND_ATTEMPT = "second-attempt"  # another one is in flight
    TOO_LATE = "too-late"  # its deadline, or the time in which a repeat is recognised, is over
    MAY_HAVE_RUN = "may-have-run"  # and its class may not run twice
    ENDPOINT_NOT_UP = "endpoint-not-up"  # it drains, was removed, or does not speak this wire
    CLIENT_LEFT = "client-left"
    COLD_ENDPOINT = "cold-endpoint"  # its slow-start budget for this moment is used up


class SendGuard:
    """Decides whether an attempt may be sent now."""

    def __init__(self, forwarder: "Forwarder") -> None:
        """Judge by the state of the forwarder's exchanges and endpoints."""
        self.forwarder = forwarder

    def refusal_to_start(self, exchange: "Exchange", endpoint: str) -> HoldBack | None:
        """Why an attempt at an endpoint may not start; None if it may."""
        if not exchange.is_open:
            return HoldBack.NOT_OPEN
        if exchange.current_attempt is not None:
            return HoldBack.SECOND_ATTEMPT
        return self._refusal_now(exchange, endpoint)

    def refusal_to_write(self, attempt: "Attempt") -> HoldBack | None:
        """Why an attempt that has started must not be written, just before its first byte would leave."""
        exchange = attempt.exchange
        if not exchange.is_open or not attempt.in_flight:
            return HoldBack.NOT_OPEN
        if refusal := self._refusal_now(exchange, attempt.endpoint):
            return refusal
        # Last, as it looks at the socket: the client's end may have come since the loop's last poll
        if exchange.client.has_left():
            return HoldBack.CLIENT_LEFT
        budgets = self.forwarder.slow_start_budgets
        work = exchange.request.estimated_work
        if not budgets.allows(attempt.endpoint, work, self.forwarder.clock()):
            return HoldBack.COLD_ENDPOINT
        return None

    def _refusal_now(self, exchange: "Exchange", endpoint: str) -> HoldBack | None:
        if exchange.may_have_run and not may_run_twice(exchange.class_settings):
            return HoldBack.MAY_HAVE_RUN
        if self.forwarder.clock() >= exchange.send_deadline:
            return HoldBack.TOO_LATE
        known = self.forwarder.endpoints.get(endpoint)
        if known is None or known.info.state is not EndpointState.UP or exchange.wire not in known.addresses:
            return HoldBack.ENDPOINT_NOT_UP
        return None

    def note_written(self, attempt: "Attempt") -> None:
        """Note that a request has left to its last byte, and count what is violated by that."""
        exchange, now = attempt.exchange, self.forwarder.clock()
        self.forwarder.slow_start_budgets.record(attempt.endpoint, exchange.request.estimated_work, now)
        checks, subject = (
            self.forwarder.invariants,
            f"request {exchange.request.client_request_id} at {attempt.endpoint}",
        )
        ended_at = exchange.ended_at
        ended_before = ended_at is not None and now > ended_at + SENT_AFTER_END_NS
        abandoned = exchange.abandoned and ended_before
        checks.check(not abandoned, Invariant.SENT_FOR_A_CLIENT, subject)
        checks.check(not ended_before or abandoned, Invariant.SENT_WHILE_OPEN, subject)
        in_time = now < exchange.request.deadline + SENT_AFTER_END_NS
        checks.check(in_time, Invariant.SENT_IN_TIME, subject)
        known = self.forwarder.endpoints.get(attempt.endpoint)
        is_up = known is not None and known.info.state is EndpointState.UP
        checks.check(is_up, Invariant.SENT_TO_AN_UP_ENDPOINT, subject)
        in_flight = [other.endpoint for other in exchange.attempts if other.in_flight]
        checks.check(len(in_flight) <= 1, Invariant.ONE_ATTEMPT, f"{subject}: {in_flight}")
        repeat_until = repeat_deadline(exchange.class_settings, exchange.first_executed_at)
        checks.check(now <= repeat_until + SENT_AFTER_END_NS, Invariant.REPEATED_SAFELY, subject)
