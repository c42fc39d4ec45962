"""What the soak observes, as typed values. All times are seconds of the machine's monotonic clock."""

from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a client's request ended, as the client saw it."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    LEFT = "left"  # the client closed its connection first
    CLOSED = "closed"  # the gateway ended the connection without an answer
    SILENT = "silent"  # nothing came within the time and its slack
    NOT_ACCEPTED = "not accepted"  # no connection, or it broke before the request was written
    UNREADABLE = "unreadable"  # an answer that is no answer, or a second one


@dataclass(slots=True)
class ClientRecord:
    """One request of a client."""

    client_request_id: str
    gateway: str
    request_class: str
    ttl: float
    key: str = ""
    idempotency_key: str = ""
    reused_connection: bool = False  # it was open for a while before, used or not
    pipelined: bool = False  # sent behind another one without waiting for its answer
    sent_at: float = 0.0  # when its last byte was written; 0: it was not written completely
    turn_at: float = 0.0  # when the answer before it on its connection had come; 0: none was due
    ended_at: float = 0.0
    left_at: float = 0.0  # when its client closed the connection; 0: it did not
    ending: Ending = Ending.NOT_ACCEPTED
    detail: str = ""


class EngineEventKind(Enum):
    """What was seen between the gateways and an engine."""

    REQUEST = "request"  # a complete request came
    END = "end"  # its end was written
    STOP = "stop"  # the gateway cancelled it
    BROKEN = "broken"  # its connection ended


@dataclass(slots=True, frozen=True)
class EngineEvent:
    """One event between the gateways and an engine."""

    observed_at: float
    kind: EngineEventKind
    engine: str
    client_request_id: str
    outcome: str = ""  # of an end, as the engine wrote it
    budget: float = 0.0  # of a request, in seconds
    idempotency_key: str = ""
    began_at: float = 0.0  # of a request: when its first byte came


class EngineChangeKind(Enum):
    """How an engine changed in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    RESTARTED = "restarted"


@dataclass(slots=True, frozen=True)
class EngineChange:
    """A change of an engine, and when each gateway had been notified of it.

    A successor of a hot upgrade is notified by itself, later than its predecessor.
    """

    engine: str
    kind: EngineChangeKind
    changed_at: float
    notified_at: dict[str, float] = field(default_factory=dict)  # by gateway, first
    notified_again_at: dict[str, list[float]] = field(default_factory=dict)  # by gateway, later


class OutageKind(Enum):
    """How a gateway ended."""

    KILLED = "killed"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class Outage:
    """A span in which a gateway was not there: from its signal until it was ready again."""

    gateway: str
    kind: OutageKind
    began_at: float
    killed_at: float
    ready_at: float


@dataclass(slots=True, frozen=True)
class SuccessorStart:
    """When a process was started beside another one of its gateway."""

    gateway: str
    started_at: float


@dataclass(slots=True, frozen=True)
class UnreadSpan:
    """A span in which requests to an engine may have waited in the machine's buffers."""

    engine: str
    began_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class DriverStall:
    """A span in which the soak's own process did not run."""

    began_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class Crowd:
    """A span in which idle clients filled a gateway's connections."""

    gateway: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class Observations:
    """Everything that one run has shown."""

    clients: list[ClientRecord] = field(default_factory=list)
    engine_events: list[EngineEvent] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    successor_starts: list[SuccessorStart] = field(default_factory=list)
    unread_spans: list[UnreadSpan] = field(default_factory=list)
    crowds: list[Crowd] = field(default_factory=list)
    path_faults: list[str] = field(default_factory=list)  # faults of paths, which the schedule does not show
    log_faults: list[str] = field(default_factory=list)  # lines of the gateways' logs that report a fault
    invariant_lines: list[str] = field(
        default_factory=list
    )  # violations that the gateways counted themselves
    driver_stalls: list[DriverStall] = field(default_factory=list)
    driver_delays: list[DriverStall] = field(default_factory=list)  # shorter ones too
    read_requests: set[str] = field(default_factory=set)  # that a gateway has read, by their traces
