"""The state of the parser processes, free of I/O: what is asked of which, what waits, and what has taken too
long.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from query_gateway.statements.messages import Plan
from query_gateway.statements.shape import Shape

BUDGET = 0.25  # seconds that a parse may take
START = 10.0  # seconds in which a parser process must be ready
WAITING = 256  # shapes that wait for a parser; beyond, a statement is told to come back
PATIENCE = 1.0  # seconds that a shape waits at most
TRIES = 5  # starts in a row that never came to be ready, before we start one only now and then
REST = 5.0  # seconds until the next start then
POISON = 30.0  # seconds that a shape is not read again after a parser was lost over it; doubled each time
MOST_POISON = 3_600.0
POISONS = 1_024  # shapes remembered for that

Then = Callable[[Plan | None], None]  # None: not read now; come back


@dataclass(slots=True)
class Job:
    shape: Shape
    since: float
    thens: list[Then] = field(default_factory=list)


@dataclass(slots=True)
class Seat:
    """One parser process and what it is at."""

    number: int
    ready: bool = False
    job: Job | None = None
    since: float = 0.0  # of its start, or of its job


class Parsers:
    """Each call returns what is to be done; the caller starts, asks and kills."""

    def __init__(self, seats: int) -> None:
        self.seats = [Seat(n) for n in range(seats)]
        self.waiting: deque[Job] = deque()
        self.jobs: dict[bytes, Job] = {}  # by shape, waiting or being read: who comes meanwhile joins
        self.poison: dict[bytes, tuple[float, float, str]] = {}  # until when, for how long, and why
        self.failed_starts = 0
        self.too_slow = self.died = 0

    def poisoned(self, shape: Shape, now: float) -> Plan | None:
        """The plan of a shape that a parser was lost over. For a time: a parser may also be lost by
        chance.
        """
        told = self.poison.get(shape.digest)
        return Plan(True, reason=told[2], parsed=False) if told and now < told[0] else None

    def add(self, shape: Shape, now: float, then: Then) -> bool:
        """Whether it is taken on; `then` is called once, later."""
        if job := self.jobs.get(shape.digest):
            if len(job.thens) >= WAITING:
                return False
            job.thens.append(then)
            return True
        if len(self.waiting) >= WAITING:
            return False
        job = self.jobs[shape.digest] = Job(shape, now, [then])
        self.waiting.append(job)
        return True

    def next(self, now: float) -> list[tuple[Seat, Job]]:
        """What is to be asked of whom now."""
        given = []
        for seat in self.seats:
            if seat.ready and seat.job is None and self.waiting:
                seat.job, seat.since = self.waiting.popleft(), now
                given.append((seat, seat.job))
        return given

    def started(self, seat: Seat, now: float) -> None:
        seat.ready, seat.job, seat.since = False, None, now

    def is_ready(self, seat: Seat) -> None:
        seat.ready = True
        self.failed_starts = 0

    def told(self, seat: Seat) -> Job | None:
        """A parser has answered; the job whose callers are to hear of it."""
        job, seat.job = seat.job, None
        if job:
            del self.jobs[job.shape.digest]
        return job

    def ended(self, seat: Seat, why: str, now: float) -> Job | None:
        """A parser process is gone, killed or dead: what it was at is turned down, and rests."""
        if not seat.ready:
            self.failed_starts += 1
        else:
            self.died += 1
        job = self.told(seat)
        seat.ready = False
        if job:
            _, span, _ = self.poison.pop(job.shape.digest, (0.0, POISON / 2, ""))
            span = min(2 * span, MOST_POISON)
            self.poison[job.shape.digest] = now + span, span, why
            if len(self.poison) > POISONS:
                del self.poison[next(iter(self.poison))]
        return job

    def dropped(self, seat: Seat) -> Job | None:
        """A parser is replaced on purpose: what it was at is told to come back, and nothing held against
        it.
        """
        seat.ready = False
        return self.told(seat)

    def overdue(self, now: float) -> list[Seat]:
        """Who has to be killed: a parse or a start that takes too long."""
        late = [s for s in self.seats if s.job and now - s.since > BUDGET]
        self.too_slow += len(late)
        return late + [s for s in self.seats if not s.ready and not s.job and now - s.since > START]

    def stale(self, now: float) -> list[Job]:
        """What has waited too long; its callers are told to come back."""
        gone = []
        while self.waiting and now - self.waiting[0].since > PATIENCE:
            job = self.waiting.popleft()
            del self.jobs[job.shape.digest]
            gone.append(job)
        return gone

    def due(self) -> float | None:
        """When to look again, in loop time."""
        times = [s.since + (BUDGET if s.job else START) for s in self.seats if s.job or not s.ready]
        if self.waiting:
            times.append(self.waiting[0].since + PATIENCE)
        return min(times, default=None)

    @property
    def rest(self) -> float:
        """How long to wait before a parser is started anew."""
        return REST if self.failed_starts >= TRIES else 0.0
