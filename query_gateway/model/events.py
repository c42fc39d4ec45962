"""Events that a scheduler handles. Times and durations are in nanoseconds."""

from dataclasses import dataclass
from enum import Enum

from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.settings import ClassSettings, Settings

# Attempt number in an outcome if the forwarder's exchange, which numbers the attempts, has already ended.
# It denotes the last attempt of the request; the planner process replaces it with the actual number.
LAST_ATTEMPT = -1


class OutcomeCode(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the engine refused the attempt for lack of capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    # "moot" in the trace; also if the attempt was sent, but the engine declined it as its request had ended
    NOT_SENT = "moot"


class ProgressKind(Enum):
    """What a progress note reports, and thus what its `level` measures."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """A snapshot or a delta of the endpoint list, or the failure of the watch of the list."""

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
    received_at: int = 0  # clock time of arrival, which orders the requests of a key; 0: unknown
    # Of its class when it arrived, if they have changed since; None: those that the scheduler has
    class_settings: ClassSettings | None = None
    # Whether its client can repeat its idempotency key; False: the gateway made the key up
    client_has_key: bool = True


@dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """New settings take effect; open requests keep the class settings and attempt limit of their arrival."""

    settings: Settings
    new_classes: tuple[int, ...]  # indexes that now denote another class, which has no learned state yet


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
    final: bool  # the client has been answered or has disconnected
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
    level: float  # PROGRESS: share of the work done; SPILLING: MB spilled; WAITING: not used


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
