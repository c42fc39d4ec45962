"""The trace of requests: every change of state of each, with its reason. Off unless a sink is set."""

from enum import Enum
from typing import Protocol


class TraceStep(Enum):
    """What happens to a request; the values stand in the trace."""

    ACCEPTED = "accepted"
    STARTED = "attempt-started"
    HELD_BACK = "held-back"  # an attempt was not sent, by the send guard
    WRITTEN = "attempt-written"
    ENDED = "attempt-ended"
    CANCELLED = "attempt-cancelled"
    DECIDED = "decided"  # a planner ends the request
    ANSWERED = "answered"
    ABANDONED = "abandoned"  # its client has left
    PLANNER_LOST = "planner-lost"


class RequestTrace(Protocol):
    """A sink for the steps of requests."""

    def record(self, at: int, request_id: int, client_request_id: str, step: TraceStep, details: str) -> None:
        """Note one step at a clock time (nanoseconds)."""
