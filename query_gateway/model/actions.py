"""Actions: what the scheduler has others do. Durations are in nanoseconds."""

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a planner ends a request; the values stand in the trace, and nothing else depends on them."""

    UNKNOWN = "unknown"
    LATE = "late"  # it could only be answered after its objective
    CLIENT_TIMEOUT = "client-timeout"  # its client is about to give up
    TOO_MANY_QUEUED = "too-many-queued"  # the queue would keep new clients out
    OVER_QUOTA = "over-quota"  # it is beyond its tenant's quota, and the engine is saturated
    ENDANGERS_OTHERS = "endangers-others"  # it would make more priority weight behind it late than its own
    NO_FURTHER_ATTEMPT = (
        "no-further-attempt"  # the last one failed, and another is not allowed or not in time
    )
    ATTEMPT_LOST = "attempt-lost"  # the attempt is lost, overdue or hopeless


@dataclass(slots=True, frozen=True)
class Forward:
    """Send an attempt of a request to an endpoint."""

    request_id: int
    endpoint: str
    timeout: int  # nanoseconds; 0: until the client gives up


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer a request at once: it did not run, or its client may repeat it."""

    request_id: int
    retry_after: int  # nanoseconds for which the client keeps away; 0: it may come back at once
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer a request at once: it may have run."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop an attempt in flight."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTerms:
    """Set what an attempt runs on; it precedes its `Forward`, or changes the priority of one in flight."""

    request_id: int
    memory_mb: float  # 0: no grant, or as it was
    priority: int  # 0 is the lowest


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send a `TimerFired` after a delay."""

    delay: int  # nanoseconds
    context: int  # comes back with `TimerFired`


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list, or stop that."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(slots=True, frozen=True)
class SendGossip:
    """A short message to one peer, by its number, or to every one."""

    data: str
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the log."""

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
