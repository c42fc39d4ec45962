"""Request tracing: records every state change of each request with its reason. Off unless a sink is set."""

from enum import Enum
from typing import Protocol


class TraceStep(Enum):
    """The state changes of a request; the values appear in the trace."""

    REJECTED_EARLY = "rejected-early"  # without asking a planner; see `EarlyRejection`
    ACCEPTED = "accepted"
    HELD_FOR_ORDER = "held-for-order"  # an earlier request may still be unread
    ATTEMPT_STARTED = "attempt-started"
    SEND_REFUSED = "held-back"  # the send guard has refused an attempt
    ATTEMPT_WRITTEN = "attempt-written"
    ATTEMPT_ENDED = "attempt-ended"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    DECIDED = "decided"  # a planner has rejected or failed the request
    ANSWERED = "answered"
    ABANDONED = "abandoned"  # the client has disconnected
    PLANNER_LOST = "planner-lost"  # ended without a planner: it is lost, or the process is about to exit


class RequestTrace(Protocol):
    """A sink for the trace steps of requests."""

    def record(
        self, clock_time: int, request_id: int, client_request_id: str, step: TraceStep, details: str
    ) -> None:
        """Record one step at a clock time (nanoseconds)."""
