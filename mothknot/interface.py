"""Settings, events and actions of the decision module. Every time and duration is in nanoseconds.

Only types live here: what is decided, and every figure behind a decision, is in `policy.py`.
"""

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Short(Enum):
    """What an engine does when the memory granted passes what it has."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


class Code(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class State(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class NoteKind(Enum):
    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


@dataclass(slots=True, frozen=True)
class ClassSettings:
    aim: int
    aim_stretch: float
    give_up: int
    worth: float
    late_value: float
    repeat: Repeat
    scope: Scope
    memory_span: int
    threads: int
    loads: bool
    waits: bool
    in_turn: bool
    stays_in: tuple[int, ...] | None
    bound_to: tuple[int, ...] | None


@dataclass(slots=True, frozen=True)
class Settings:
    """What a site states at start; `None` stands for a rule or limit that it does not have."""

    me: int
    instances: int
    my_zone: int
    classes: tuple[ClassSettings, ...]
    quotas: tuple[float, ...]  # requests per second of each tenant, over all instances; 0: none stated
    over_share_worth: float
    cores: tuple[int, ...]  # by kind
    memory_mb: tuple[float, ...]  # by kind
    most_grant: float
    when_short: Short
    grants: bool
    priorities: bool
    progress: int  # time between notes; 0: none
    tells_cost: bool
    report_fields: tuple[str, ...]
    asks_list: bool
    may_probe: bool
    peers: bool
    cancelling: bool
    second_copies: bool
    retry_after: bool
    max_retry_after: int
    max_attempts: int
    marks_retry: bool
    cross_zone_fee: float
    start_capacity: float
    cold: int
    overload_factor: float
    tip_after: int
    settle: int
    must_ask_in: int
    spare_attempts: float | None
    extra_per_request: float
    counted_over: int
    cold_share: float = 1.0  # our part of what one instance may send to a cold engine
    places: int = 0  # connections that clients may hold; 0: no such limit is known
    patience: int = 0  # beyond what a run may take before it counts as odd: a wire's own connects and pauses

    def check(self) -> None:
        """Raise ValueError, naming the setting, where they contradict themselves or one another."""
        faults = {
            "instances": self.instances < 1,
            "me": not 0 <= self.me < self.instances,
            "services": not self.classes,
            "limits.max-attempts": self.max_attempts < 1,
            "rules.start-capacity": not 0 < self.start_capacity <= 1,
            "rules.counted-over": self.spare_attempts is not None and self.counted_over <= 0,
            "family-info.cpu-of-kind": any(c <= 0 for c in self.cores),
            "family-info.memory-by-kind-mb": len(self.cores) != len(self.memory_mb),
            "family-info.parallelism": any(c.threads < 1 for c in self.classes),
            "services[].give-up": any(c.give_up <= 0 for c in self.classes),
        }
        for name, bad in faults.items():
            if bad:
                raise ValueError(f"setting {name} contradicts itself or the others")


@dataclass(slots=True, frozen=True)
class Entry:
    engine: str
    state: State
    zone: int
    kind: int
    group: int
    launched: int
    size: float


@dataclass(slots=True, frozen=True)
class ListChange:
    scope: ListScope
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    xid: int
    cls: int
    give_up_at: int
    tenant: int
    tables: float | None
    key: str | None
    cost: int | None  # estimated work of all its threads
    need_mb: float
    retry: bool


@dataclass(slots=True, frozen=True)
class Retune:
    """New settings from here on; what is open keeps the rules that it came under."""

    settings: Settings
    fresh: tuple[int, ...]  # numbers that stand for a class not known before


@dataclass(slots=True, frozen=True)
class Started:
    """A streamed answer has begun; the request is the client's from here on."""

    xid: int
    copy: int
    engine: str


@dataclass(slots=True, frozen=True)
class Outcome:
    xid: int
    final: bool
    code: Code
    took: int
    copy: int
    engine: str
    work: int | None  # true work, where told
    memory_mb: float | None  # true memory, where told
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Note:
    xid: int
    copy: int
    engine: str
    kind: NoteKind
    level: float


@dataclass(slots=True, frozen=True)
class Gone:
    xid: int


@dataclass(slots=True, frozen=True)
class Timer:
    context: int


@dataclass(slots=True, frozen=True)
class Probed:
    engine: str
    ok: bool
    took: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class Message:
    sender: int
    data: str


Event = ListChange | Request | Retune | Started | Outcome | Note | Gone | Timer | Probed | Message


@dataclass(slots=True, frozen=True)
class Send:
    xid: int
    engine: str
    within: int  # 0: until the client gives up


@dataclass(slots=True, frozen=True)
class Refuse:
    xid: int
    retry_after: int  # 0: no advice


@dataclass(slots=True, frozen=True)
class Fail:
    xid: int


@dataclass(slots=True, frozen=True)
class Cancel:
    xid: int
    copy: int


@dataclass(slots=True, frozen=True)
class Terms:
    xid: int
    memory_mb: float
    priority: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    wait: int
    context: int


@dataclass(slots=True, frozen=True)
class Probe:
    engine: str


@dataclass(slots=True, frozen=True)
class Watch:
    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    pass


@dataclass(slots=True, frozen=True)
class Post:
    """A short message to one peer, by its number, or to every one."""

    data: str
    peer: int | None = None


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Terms | SetTimer | Probe | Watch | Fetch | Post | Log
