"""Events that a scheduler handles. Times and durations are in nanoseconds."""

from dataclasses import dataclass
from enum import Enum

from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.settings import Settings

# Attempt number of an outcome that denotes the last attempt: the exchange that counts the attempts has ended
LAST_ATTEMPT = -1


class OutcomeCode(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    # "moot" in the trace; also if the attempt was sent, but the engine declined it as its request had ended
    NOT_SENT = "moot"


class ProgressKind(Enum):
    """The kind of a progress note, which defines `ProgressNote.level`."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A snapshot or a delta of the endpoint list."""

    kind: EndpointUpdateKind
    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client has sent a request."""

    request_id: int
    class_index: int
    deadline: int  # clock time by which the answer must be sent; excludes the transfer to the client
    tenant: int
    table_group: float | None
    key: str | None
    estimated_work: int | None  # processor time over all threads, nanoseconds
    estimated_memory_mb: float
    is_retry: bool  # as marked by the client
    received_at: int = 0  # clock time of arrival, set only for requests with a key; 0: unknown


@dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """New settings take effect; open requests keep the settings under which they arrived."""

    settings: Settings
    new_classes: tuple[int, ...]  # indexes that now denote a class without learned state


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A streamed answer has started: no other attempt can serve the request any more."""

    request_id: int
    attempt_number: int
    endpoint: str


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """An attempt has ended."""

    request_id: int
    final: bool  # the client has been answered
    code: OutcomeCode
    duration: int  # nanoseconds
    attempt_number: int
    endpoint: str
    work: int | None  # measured work in nanoseconds over all threads, if reported
    memory_mb: float | None  # measured memory, if reported
    load_report: tuple[float, ...]  # in the order of `Settings.load_report_fields`


@dataclass(slots=True, frozen=True)
class ProgressNote:
    """An engine has reported the progress of an attempt in flight."""

    request_id: int
    attempt_number: int
    endpoint: str
    kind: ProgressKind
    level: float  # share of the work done, or MB spilled


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client of a request no longer waits for its answer."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The delay of a `SetTimer` has elapsed."""

    context: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """A health check has ended."""

    endpoint: str
    ok: bool
    duration: int
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class GossipMessage:
    """A gossip message from another gateway."""

    sender: int
    data: str


Event = (
    EndpointUpdate
    | Request
    | SettingsUpdate
    | AttemptStarted
    | AttemptOutcome
    | ProgressNote
    | RequestAbandoned
    | TimerFired
    | HealthCheckResult
    | GossipMessage
)
