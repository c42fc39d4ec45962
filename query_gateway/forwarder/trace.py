"""The trace of requests: every change of state of each, with its reason. Off unless a sink is set."""

from enum import Enum
from typing import Protocol


class TraceStep(Enum):
    """What happens to a request; the values stand in the trace."""

    REJECTED_EARLY = "rejected-early"  # before the forwarder took it; see `EarlyRejection`
    ACCEPTED = "accepted"
    HELD_FOR_ORDER = "held-for-order"  # a request of its key that came earlier may still be unread
    ATTEMPT_STARTED = "attempt-started"
    SEND_REFUSED = "held-back"  # an attempt was not sent, by the send guard
    ATTEMPT_WRITTEN = "attempt-written"
    ATTEMPT_ENDED = "attempt-ended"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    DECIDED = "decided"  # a planner ends the request
    ANSWERED = "answered"
    ABANDONED = "abandoned"  # its client has left
    PLANNER_LOST = "planner-lost"


class RequestTrace(Protocol):
    """A sink for the steps of requests."""

    def record(
        self, clock_time: int, request_id: int, client_request_id: str, step: TraceStep, details: str
    ) -> None:
        """Note one step at a clock time (nanoseconds)."""
