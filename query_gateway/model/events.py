"""The events that a scheduler takes in. Times and durations are in nanoseconds."""

from dataclasses import dataclass
from enum import Enum

from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.settings import Settings

LAST_ATTEMPT = -1  # an attempt number: the last attempt sent, where the exchange that counted them has ended


class OutcomeCode(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the word for it in the trace; also of one that its engine declined as over already


class ProgressKind(Enum):
    """What a progress note reports."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """The endpoint list, or what has changed in it."""

    kind: EndpointUpdateKind
    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client has sent a query."""

    request_id: int
    class_index: int
    deadline: int  # clock time: when the answer must have left, the way back to the client taken off
    tenant: int
    table_group: float | None
    key: str | None
    estimated_work: int | None  # processor time in nanoseconds over all threads
    estimated_memory_mb: float
    is_retry: bool  # marked by the client
    received_at: int = 0  # clock time when it had come, of one with a key; 0: not known


@dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """New settings from here on; what is open keeps the rules that it came under."""

    settings: Settings
    new_classes: tuple[int, ...]  # numbers that stand for a class not known before


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A streamed answer has begun: no other attempt can serve the request from here on."""

    request_id: int
    attempt_number: int
    endpoint: str


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """An attempt has ended."""

    request_id: int
    final: bool  # the client has its answer
    code: OutcomeCode
    duration: int  # nanoseconds
    attempt_number: int
    endpoint: str
    work: int | None  # true work in nanoseconds over all threads, where reported
    memory_mb: float | None  # true memory, where reported
    load_report: tuple[float, ...]  # in the order of `Settings.load_report_fields`


@dataclass(slots=True, frozen=True)
class ProgressNote:
    """An engine reports the progress of an attempt in flight."""

    request_id: int
    attempt_number: int
    endpoint: str
    kind: ProgressKind
    level: float  # share of the work done, or MB that spilled


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    """The client of a request has left."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The delay of a `SetTimer` is over."""

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
    """A message of another gateway."""

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
