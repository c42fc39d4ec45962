"""What a gateway keeps about classes, queries, attempts and engines. All times in nanoseconds.

Records only: nothing is decided here and no figure is set here; that is `policy.py`'s.
"""

import math
from collections import deque
from dataclasses import dataclass, field, replace

from mothknot.interface import ClassSettings, Entry, Request


@dataclass(slots=True)
class Mean:
    """A running mean and variance: plain at first, decaying later."""

    value: float = 0.0
    var: float = 0.0
    n: int = 0

    def add(self, x: float, weight: float) -> None:
        self.n += 1
        w = max(weight, 1 / self.n)
        d = x - self.value
        self.value += w * d
        self.var += w * (d * d * (1 - w) - self.var)


@dataclass(slots=True)
class Fading:
    """A running mean whose samples fade with time."""

    total: float = 0.0
    n: float = 0.0
    at: int = 0

    def add(self, x: float, now: int, memory: float) -> None:
        fade = math.exp(-(now - self.at) / memory)
        self.total, self.n, self.at = self.total * fade + x, self.n * fade + 1, now

    def count(self, now: int, memory: float) -> float:
        return self.n * math.exp(-(now - self.at) / memory)

    def mean(self, now: int, memory: float, prior: float, weight: float) -> float:
        fade = math.exp(-(now - self.at) / memory)
        return (self.total * fade + prior * weight) / (self.n * fade + weight)


@dataclass(slots=True)
class Class:
    s: ClassSettings
    prior: float  # work expected before any sample
    work: Mean = field(default_factory=Mean)
    log_work: Mean = field(default_factory=Mean)
    hint: Mean = field(default_factory=Mean)  # log of true work over the estimate
    memory: Mean = field(default_factory=Mean)  # log of true memory over the estimate
    rate: Fading = field(default_factory=Fading)  # run time over uncontended run time
    scatter: Mean = field(default_factory=Mean)  # log of run time over the one expected at arrival
    long: bool = False
    share: float = 1.0  # of the work in hand
    first_span: int = 0  # longest client time seen on a first try

    def renewed(self, s: ClassSettings) -> "Class":
        """The same class under new rules; its means are shared with the record that open queries keep."""
        return replace(self, s=s, first_span=0)

    def mean_work(self) -> float:
        return self.work.value if self.work.n else self.prior


@dataclass(slots=True)
class Attempt:
    number: int
    engine: "Engine"
    sent: int
    sign: int  # last note, or the send
    long: bool
    share: float = 0.0  # of the work done, by the last note
    share_at: int = 0
    cancelled: bool = False
    lost: bool = False


@dataclass(slots=True)
class Query:
    r: Request
    c: Class
    at: int
    worth: float
    work: float
    run: float
    deadline: int  # clock time: the lesser of the class deadline and the client's
    order: tuple[int, int]
    most: int  # attempts allowed when it came
    sends: int = 0
    out: list[Attempt] = field(default_factory=list)
    ran: list[tuple[int, "Engine"]] = field(default_factory=list)  # attempts that may have run
    erred: list["Engine"] = field(default_factory=list)  # where it ended in error
    held_at: "Engine | None" = None
    start_at: float = 0.0
    ended: bool = False
    restarts: int = 0
    priority: int = -1


@dataclass(slots=True, eq=False)  # looked up by what it is, not field by field
class Engine:
    e: Entry
    cores: int
    memory: float
    known: bool = True
    out: dict[tuple[int, int], tuple[Query, Attempt]] = field(default_factory=dict)
    warm: list[float] = field(default_factory=list)
    pace: Fading = field(default_factory=Fading)
    faults: float = 0.0
    sign: int = 0
    shun_until: int = 0
    shun: int = 0
    trial: bool = False
    tried_at: int = 0  # when that trial began
    down: bool = False
    tie: float = 0.0
    used: list[int] = field(default_factory=lambda: [0, 0])  # threads of ours, of short and of long classes
    line: list[tuple[tuple[int, int], "Query"]] = field(default_factory=list)
    rate: float = 0.0  # pace, load a core and that of others, and whether it is pressed, by the last survey
    load: float = 0.0
    others: float = 0.0
    tense: bool = False
    told: float = 0.0  # busy share of its cores by its last report
    told_at: int = 0
    launch: int = 0
    cold_at: int = 0  # when we heard of that start
    cold: bool = False  # started so lately that rights bound what it gets, by the last survey
    sends: deque[tuple[int, Class]] = field(default_factory=deque)
    loads: dict[float, list[tuple["Query", Attempt]]] = field(default_factory=dict)  # ours, by tables
    kept: dict[float, bool] = field(default_factory=dict)  # tables whose loads it takes
    room: float = 0.0  # threads of ours from which it is pressed, and its illness, by the last survey
    illness: float = 1.0
    ahead: "Ahead | None" = None
    ends: list["Ends | None"] = field(default_factory=lambda: [None, None])  # of short and of long classes

    def begin_trial(self, now: int) -> None:
        """One query at a time until the engine is heard again."""
        self.trial, self.tried_at = True, now


@dataclass(slots=True)
class Ends:
    """When the attempts out are thought to end, in order, with the threads that are free by then."""

    until: int  # the clock up to which this is good
    at: list[int]
    freed: list[int]


@dataclass(slots=True)
class Ahead:
    """Threads held up to each place of a long line, of short and of long classes."""

    until: int  # the clock up to which this is good
    orders: list[tuple[int, int]]
    threads: tuple[list[int], list[int]]
