"""What the decision module asks for. Durations are in nanoseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Forward:
    request_id: int
    endpoint: str
    timeout: int  # 0: until the client gives up


@dataclass(slots=True, frozen=True)
class Reject:
    request_id: int
    retry_after: int  # 0: no advice


@dataclass(slots=True, frozen=True)
class Fail:
    request_id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    request_id: int
    attempt_number: int


@dataclass(slots=True, frozen=True)
class SetTerms:
    request_id: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    delay: int
    context: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    endpoint: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    pass


@dataclass(slots=True, frozen=True)
class SendGossip:
    """A short message to one peer, by its number, or to every one."""

    data: str
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
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
