"""What the decision module is told. Times and durations are in nanoseconds."""

from dataclasses import dataclass
from enum import Enum

from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.settings import Settings

LAST_ATTEMPT = -1  # an attempt number: the last attempt sent, where the exchange that counted them has ended


class OutcomeCode(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"


class ProgressKind(Enum):
    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    kind: EndpointUpdateKind
    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class Request:
    request_id: int
    class_index: int
    deadline: int
    tenant: int
    table_group: float | None
    key: str | None
    estimated_work: int | None  # estimated work of all its threads
    memory_mb: float
    is_retry: bool


@dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """New settings from here on; what is open keeps the rules that it came under."""

    settings: Settings
    new_classes: tuple[int, ...]  # numbers that stand for a class not known before


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A streamed answer has begun; the request is the client's from here on."""

    request_id: int
    attempt_number: int
    endpoint: str


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    request_id: int
    final: bool
    code: OutcomeCode
    duration: int
    attempt_number: int
    endpoint: str
    work: int | None  # true work, where told
    memory_mb: float | None  # true memory, where told
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class ProgressNote:
    request_id: int
    attempt_number: int
    endpoint: str
    kind: ProgressKind
    level: float


@dataclass(slots=True, frozen=True)
class RequestAbandoned:
    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    context: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    endpoint: str
    ok: bool
    duration: int
    load_report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class GossipMessage:
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
