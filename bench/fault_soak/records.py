"""Records of what the soak observes. All times are in seconds of the machine's monotonic clock."""

from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a request ended, as its client saw it."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    LEFT = "left"  # the client closed its connection or cancelled the call first
    CLOSED = "closed"  # the gateway ended the connection or the gRPC stream without an answer
    SILENT = "silent"  # no answer arrived within the deadline and its slack
    NOT_ACCEPTED = "not accepted"  # not fully written, refused by GOAWAY, or pipelined behind the last answer
    UNREADABLE = "unreadable"  # a malformed answer, or one that belongs to another request


@dataclass(slots=True)
class ClientRecord:
    """One request of a client."""

    client_request_id: str
    gateway: str
    request_class: str
    ttl: float
    key: str = ""
    idempotency_key: str = ""
    reused_connection: bool = False  # the connection was not opened just for this request; HTTP only
    pipelined: bool = False  # sent after another request without waiting for its answer
    sent_at: float = 0.0  # when its last byte was written; 0 if it was not written completely
    turn_at: float = 0.0  # when the answer to the request pipelined before it ended; 0 if there is none
    ended_at: float = 0.0
    left_at: float = 0.0  # when its client closed the connection or cancelled the call; 0 if neither
    ending: Ending = Ending.NOT_ACCEPTED
    detail: str = ""


class EngineEventKind(Enum):
    """The kinds of events between the gateways and an engine."""

    REQUEST = "request"  # a complete request arrived
    END = "end"  # its final answer was observed
    STOP = "stop"  # the gateway cancelled it
    BROKEN = "broken"  # its connection ended first


@dataclass(slots=True, frozen=True)
class EngineEvent:
    """An event between a gateway and an engine."""

    observed_at: float
    kind: EngineEventKind
    engine: str
    client_request_id: str
    outcome: str = ""  # of an END, as the engine wrote it
    budget: float = 0.0  # of a REQUEST: the time until the deadline passed on, in seconds
    idempotency_key: str = ""
    began_at: float = 0.0  # of a REQUEST: when its first byte arrived


class EngineChangeKind(Enum):
    """The kinds of changes of an engine in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    RESTARTED = "restarted"


@dataclass(slots=True, frozen=True)
class EngineChange:
    """A change of an engine, and when each gateway was notified of it.

    The successor in a hot upgrade gets its own notification, later than its predecessor.
    """

    engine: str
    kind: EngineChangeKind
    changed_at: float
    notified_at: dict[str, float] = field(default_factory=dict)  # by gateway: the first time
    notified_again_at: dict[str, list[float]] = field(default_factory=dict)  # by gateway: later times


class OutageKind(Enum):
    """How the run ended a gateway."""

    KILLED = "killed"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class Outage:
    """A span in which a gateway was unavailable: from the signal until it was ready again."""

    gateway: str
    kind: OutageKind
    began_at: float
    killed_at: float
    ready_at: float


@dataclass(slots=True, frozen=True)
class SuccessorStart:
    """The start of a gateway process while its predecessor still ran."""

    gateway: str
    started_at: float


@dataclass(slots=True, frozen=True)
class UnreadSpan:
    """A span in which requests to an engine may have waited in kernel buffers."""

    engine: str
    began_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class DriverStall:
    """A span in which the soak's own process was not scheduled."""

    began_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class IdleClientSpan:
    """A span in which idle clients occupied a gateway's connections."""

    gateway: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class Observations:
    """Everything that was observed in one run."""

    clients: list[ClientRecord] = field(default_factory=list)
    engine_events: list[EngineEvent] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    successor_starts: list[SuccessorStart] = field(default_factory=list)
    unread_spans: list[UnreadSpan] = field(default_factory=list)
    idle_client_spans: list[IdleClientSpan] = field(default_factory=list)
    path_faults: list[str] = field(default_factory=list)  # engine, proxy command, times; not in the schedule
    log_faults: list[str] = field(default_factory=list)  # log lines of gateways that report internal errors
    invariant_lines: list[str] = field(default_factory=list)  # invariant violations that gateways logged
    driver_stalls: list[DriverStall] = field(default_factory=list)
    driver_delays: list[DriverStall] = field(default_factory=list)  # all overruns above `run.DELAY_S`
    read_requests: set[str] = field(default_factory=set)  # ids of requests in the traces: a gateway read them
