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
    reused_connection: bool = False
    sent_at: float = 0.0  # when its last byte was written; 0: it was not written whole
    turn_at: float = 0.0  # when the answer before it on its connection had come; 0: none was due
    ended_at: float = 0.0
    left_at: float = 0.0  # when its client closed the connection; 0: it did not
    ending: Ending = Ending.NOT_ACCEPTED
    detail: str = ""


class EngineEventKind(Enum):
    """What was seen between the gateways and an engine."""

    REQUEST = "request"  # a request came whole
    END = "end"  # its end was written
    STOP = "stop"  # the gateway gave it up
    BROKEN = "broken"  # its connection ended


@dataclass(slots=True, frozen=True)
class EngineEvent:
    """One event at an engine's door."""

    at: float
    kind: EngineEventKind
    engine: str
    client_request_id: str
    word: str = ""  # of an end
    budget: float = 0.0  # of a request, in seconds
    idempotency_key: str = ""
    began_at: float = 0.0  # of a request: when its first byte came


@dataclass(slots=True, frozen=True)
class EngineChange:
    """A change of an engine, and when each gateway had been notified of it."""

    engine: str
    kind: str  # up, draining or restarted
    at: float
    told_at: dict[str, float] = field(default_factory=dict)  # by gateway


@dataclass(slots=True, frozen=True)
class Outage:
    """A span in which a gateway was not there: from its signal until it was ready again."""

    gateway: str
    kind: str  # killed, stopped or crashed
    began_at: float
    killed_at: float
    ready_at: float


@dataclass(slots=True)
class Observations:
    """Everything that one run has shown."""

    clients: list[ClientRecord] = field(default_factory=list)
    engine_events: list[EngineEvent] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    unread_spans: list[tuple[str, float, float]] = field(default_factory=list)  # engine, begin, end
    notes: list[str] = field(default_factory=list)  # what was drawn beyond the schedule
    log_faults: list[str] = field(default_factory=list)  # lines of the gateways' logs that tell of a fault
    invariant_lines: list[str] = field(
        default_factory=list
    )  # violations that the gateways counted themselves
    driver_stalls: list[tuple[float, float]] = field(
        default_factory=list
    )  # spans in which the soak itself hung
