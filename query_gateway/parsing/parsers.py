"""The state of the parser processes, free of I/O: what is asked of which, what waits, and what has taken too
long.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from query_gateway.statements.messages import ParseResult
from query_gateway.statements.normalizer import NormalizedStatement

BUDGET = 0.25  # seconds that a parse may take
START = 10.0  # seconds in which a parser process must be ready
WAITING = 256  # shapes that wait for a parser; beyond, a statement is told to come back
PATIENCE = 1.0  # seconds that a shape waits at most
TRIES = 5  # starts in a row that never came to be ready, before we start one only now and then
REST = 5.0  # seconds until the next start then
POISON = 30.0  # seconds that a shape is not read again after a parser was lost over it; doubled each time
MOST_POISON = 3_600.0
POISONS = 1_024  # shapes remembered for that

Then = Callable[[ParseResult | None], None]  # None: not read now; come back


@dataclass(slots=True)
class PendingParse:
    statement: NormalizedStatement
    started_at: float
    callbacks: list[Then] = field(default_factory=list)


@dataclass(slots=True)
class ParserSlot:
    """One parser process and what it is at."""

    number: int
    ready: bool = False
    request: PendingParse | None = None
    since: float = 0.0  # of its start, or of its job


class ParserPool:
    """Each call returns what is to be done; the caller starts, asks and kills."""

    def __init__(self, seats: int) -> None:
        self.slots = [ParserSlot(n) for n in range(seats)]
        self.waiting: deque[PendingParse] = deque()
        self.requests: dict[
            bytes, PendingParse
        ] = {}  # by shape, waiting or being read: who comes meanwhile joins
        self.quarantine: dict[bytes, tuple[float, float, str]] = {}  # until when, for how long, and why
        self.failed_starts = 0
        self.timed_out_count = self.died_count = 0

    def quarantined(self, shape: NormalizedStatement, now: float) -> ParseResult | None:
        """The plan of a shape that a parser was lost over. For a time: a parser may also be lost by
        chance.
        """
        told = self.quarantine.get(shape.fingerprint)
        return ParseResult(True, reason=told[2], is_parsed=False) if told and now < told[0] else None

    def add(self, shape: NormalizedStatement, now: float, then: Then) -> bool:
        """Whether it is taken on; `then` is called once, later."""
        if job := self.requests.get(shape.fingerprint):
            if len(job.callbacks) >= WAITING:
                return False
            job.callbacks.append(then)
            return True
        if len(self.waiting) >= WAITING:
            return False
        job = self.requests[shape.fingerprint] = PendingParse(shape, now, [then])
        self.waiting.append(job)
        return True

    def assign(self, now: float) -> list[tuple[ParserSlot, PendingParse]]:
        """What is to be asked of whom now."""
        given = []
        for seat in self.slots:
            if seat.ready and seat.request is None and self.waiting:
                seat.request, seat.since = self.waiting.popleft(), now
                given.append((seat, seat.request))
        return given

    def starting(self, seat: ParserSlot, now: float) -> None:
        seat.ready, seat.request, seat.since = False, None, now

    def ready(self, seat: ParserSlot) -> None:
        seat.ready = True
        self.failed_starts = 0

    def completed(self, seat: ParserSlot) -> PendingParse | None:
        """A parser has answered; the job whose callers are to hear of it."""
        job, seat.request = seat.request, None
        if job:
            del self.requests[job.statement.fingerprint]
        return job

    def lost(self, seat: ParserSlot, why: str, now: float) -> PendingParse | None:
        """A parser process is gone, killed or dead: what it was at is turned down, and rests."""
        if not seat.ready:
            self.failed_starts += 1
        else:
            self.died_count += 1
        job = self.completed(seat)
        seat.ready = False
        if job:
            _, span, _ = self.quarantine.pop(job.statement.fingerprint, (0.0, POISON / 2, ""))
            span = min(2 * span, MOST_POISON)
            self.quarantine[job.statement.fingerprint] = now + span, span, why
            if len(self.quarantine) > POISONS:
                del self.quarantine[next(iter(self.quarantine))]
        return job

    def replaced(self, seat: ParserSlot) -> PendingParse | None:
        """A parser is replaced on purpose: what it was at is told to come back, and nothing held against
        it.
        """
        seat.ready = False
        return self.completed(seat)

    def overdue(self, now: float) -> list[ParserSlot]:
        """Who has to be killed: a parse or a start that takes too long."""
        late = [s for s in self.slots if s.request and now - s.since > BUDGET]
        self.timed_out_count += len(late)
        return late + [s for s in self.slots if not s.ready and not s.request and now - s.since > START]

    def expire(self, now: float) -> list[PendingParse]:
        """What has waited too long; its callers are told to come back."""
        gone = []
        while self.waiting and now - self.waiting[0].started_at > PATIENCE:
            job = self.waiting.popleft()
            del self.requests[job.statement.fingerprint]
            gone.append(job)
        return gone

    def next_deadline(self) -> float | None:
        """When to look again, in loop time."""
        times = [s.since + (BUDGET if s.request else START) for s in self.slots if s.request or not s.ready]
        if self.waiting:
            times.append(self.waiting[0].started_at + PATIENCE)
        return min(times, default=None)

    @property
    def restart_delay(self) -> float:
        """How long to wait before a parser is started anew."""
        return REST if self.failed_starts >= TRIES else 0.0
