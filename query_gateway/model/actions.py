"""Actions that the scheduler returns, for the planner, the forwarder or the simulator to carry out.

Durations are in nanoseconds.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a planner ends a request. The values appear in the trace and in messages to the forwarder."""

    UNKNOWN = "unknown"
    LATE = "late"  # the request is not expected to be answered before it is due
    CLIENT_TIMEOUT = "client-timeout"  # its client is about to time out
    TOO_MANY_QUEUED = "too-many-queued"  # the queue would take the connections that new clients need
    OVER_QUOTA = "over-quota"  # its tenant is over quota and the engine is saturated
    ENDANGERS_OTHERS = "endangers-others"  # it would make queries with a larger total priority weight late
    NO_FURTHER_ATTEMPT = (
        "no-further-attempt"  # the last attempt failed, and a retry is not allowed or would be late
    )
    ATTEMPT_LOST = "attempt-lost"  # the attempt is lost, overdue or cannot succeed


@dataclass(slots=True, frozen=True)
class Forward:
    """Send an attempt of a request to an endpoint."""

    request_id: int
    endpoint: str
    timeout: int  # nanoseconds; 0: until the client times out


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject a request immediately: it did not run, or the client may safely repeat it."""

    request_id: int
    retry_after: int  # nanoseconds before the client may retry; 0: it may retry immediately
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request immediately: it may have run."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTerms:
    """Set the memory grant and priority of the next `Forward`, or the priority of an attempt in flight."""

    request_id: int
    memory_mb: float  # 0: no grant; for an attempt in flight: unchanged
    priority: int  # 0 is the lowest


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` after a delay."""

    delay: int  # nanoseconds
    context: int  # passed back in `TimerFired`


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Run a health check on an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a gossip message to one peer, by its index, or to all peers."""

    data: str
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Forward
    | Reject
    | Fail
    | Cancel
    | SetTerms
    | SetTimer
    | HealthCheck
    | WatchEndpoints
    | FetchEndpoints
    | SendGossip
    | Log
)
