"""The state of the parser processes, free of I/O: which parses what, what waits, and what has taken too long.

Times are those of the loop, in seconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from query_gateway.statements.messages import ParseResult
from query_gateway.statements.normalizer import NormalizedStatement

PARSE_TIMEOUT_S = 0.25
START_TIMEOUT_S = 10.0  # within which a parser process must be ready
MAX_WAITING = 256  # statements that wait for a parser, and callers of one; beyond, a client has to retry
MAX_WAIT_S = 1.0  # that a statement waits for a parser
MAX_FAILED_STARTS = 5  # in a row; after them a process is started only now and then
RESTART_BACKOFF_S = 5.0  # until the next start then
QUARANTINE_S = 30.0  # that a statement is not parsed again after a parser was lost over it; doubled each time
MAX_QUARANTINE_S = 3_600.0
MAX_QUARANTINED = 1_024  # statements remembered for that

ParseCallback = Callable[[ParseResult | None], None]  # None: not parsed now; the client has to retry


@dataclass(slots=True)
class PendingParse:
    """A statement that waits or is being parsed, and who wants to know of it."""

    statement: NormalizedStatement
    enqueued_at: float
    callbacks: list[ParseCallback] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Quarantine:
    """How long a statement is not parsed again, and why."""

    until: float
    duration: float
    reason: str


class SlotState(Enum):
    """What the process of a slot does."""

    STARTING = auto()  # or waiting for its start
    IDLE = auto()
    PARSING = auto()


@dataclass(slots=True)
class ParserSlot:
    """One parser process at a time, and what it works on."""

    number: int
    state: SlotState = SlotState.STARTING
    pending: PendingParse | None = None  # while PARSING
    since: float = 0.0  # start of the process or of the parse

    def start(self, now: float) -> None:
        """A process is started now, or will be at that time."""
        self.state, self.pending, self.since = SlotState.STARTING, None, now

    def become_idle(self) -> None:
        """The process is ready for a parse."""
        self.state = SlotState.IDLE

    def begin_parse(self, pending: PendingParse, now: float) -> None:
        """The idle process is given a statement."""
        self.state, self.pending, self.since = SlotState.PARSING, pending, now

    def end_parse(self) -> PendingParse | None:
        """The statement is parsed or given up; None if there was none."""
        pending, self.pending = self.pending, None
        if self.state is SlotState.PARSING:
            self.state = SlotState.IDLE
        return pending

    def deadline(self) -> float | None:
        """When what it does has taken too long; None while it is idle."""
        if self.state is SlotState.IDLE:
            return None
        timeout = PARSE_TIMEOUT_S if self.state is SlotState.PARSING else START_TIMEOUT_S
        return self.since + timeout


class ParserPool:
    """Each call returns what is to be done; the caller starts, writes to and kills the processes."""

    def __init__(self, slot_count: int) -> None:
        """All slots wait for their start."""
        self.slots = [ParserSlot(number) for number in range(slot_count)]
        self.waiting: deque[PendingParse] = deque()
        self.pending: dict[bytes, PendingParse] = {}  # by fingerprint, waiting or being parsed
        self.quarantine: dict[bytes, Quarantine] = {}
        self.failed_starts = 0  # in a row
        self.timed_out_count = self.lost_count = 0

    def quarantined(self, statement: NormalizedStatement, now: float) -> ParseResult | None:
        """The result of a statement that a parser was lost over; None if it may be parsed.

        It lasts for a time only: a parser may also be lost by chance.
        """
        quarantine = self.quarantine.get(statement.fingerprint)
        if quarantine is None or now >= quarantine.until:
            return None
        return ParseResult(True, reason=quarantine.reason, is_parsed=False)

    def add(self, statement: NormalizedStatement, now: float, callback: ParseCallback) -> bool:
        """Whether it is taken on; `callback` is called once, later. Equal statements are parsed once."""
        if pending := self.pending.get(statement.fingerprint):
            if len(pending.callbacks) >= MAX_WAITING:
                return False
            pending.callbacks.append(callback)
            return True
        if len(self.waiting) >= MAX_WAITING:
            return False
        pending = self.pending[statement.fingerprint] = PendingParse(statement, now, [callback])
        self.waiting.append(pending)
        return True

    def assign(self, now: float) -> list[tuple[ParserSlot, PendingParse]]:
        """Give what waits to idle processes; returns what is to be sent to which."""
        assigned = []
        for slot in self.slots:
            if slot.state is SlotState.IDLE and self.waiting:
                pending = self.waiting.popleft()
                slot.begin_parse(pending, now)
                assigned.append((slot, pending))
        return assigned

    def starting(self, slot: ParserSlot, now: float) -> None:
        """A process is started now, or will be at that time."""
        slot.start(now)

    def start_failed(self) -> None:
        """A process could not even be started."""
        self.failed_starts += 1

    def ready(self, slot: ParserSlot) -> None:
        """The process has started."""
        slot.become_idle()
        self.failed_starts = 0

    def completed(self, slot: ParserSlot) -> PendingParse | None:
        """The process has answered, or is given up; returns whose callbacks are to be called."""
        pending = slot.end_parse()
        if pending:
            del self.pending[pending.statement.fingerprint]
        return pending

    def lost(self, slot: ParserSlot, reason: str, now: float) -> PendingParse | None:
        """A process was killed or died: what it worked on is rejected, and quarantined."""
        if slot.state is SlotState.STARTING:
            self.failed_starts += 1
        else:
            self.lost_count += 1
        pending = self.completed(slot)
        slot.start(now)
        if pending:
            self._quarantine(pending.statement.fingerprint, reason, now)
        return pending

    def _quarantine(self, fingerprint: bytes, reason: str, now: float) -> None:
        last = self.quarantine.pop(fingerprint, None)
        duration = min(2 * last.duration, MAX_QUARANTINE_S) if last else QUARANTINE_S
        self.quarantine[fingerprint] = Quarantine(now + duration, duration, reason)
        if len(self.quarantine) > MAX_QUARANTINED:
            del self.quarantine[next(iter(self.quarantine))]

    def replaced(self, slot: ParserSlot, now: float) -> PendingParse | None:
        """A process is replaced on purpose: the client of what it worked on has to retry."""
        pending = self.completed(slot)
        slot.start(now)
        return pending

    def overdue(self, now: float) -> list[ParserSlot]:
        """Whose process has to be killed: a parse or a start that takes too long."""
        late = [slot for slot in self.slots if _is_late(slot, SlotState.PARSING, PARSE_TIMEOUT_S, now)]
        self.timed_out_count += len(late)
        return late + [
            slot for slot in self.slots if _is_late(slot, SlotState.STARTING, START_TIMEOUT_S, now)
        ]

    def expire(self, now: float) -> list[PendingParse]:
        """What has waited too long, removed; its clients have to retry."""
        expired = []
        while self.waiting and now - self.waiting[0].enqueued_at > MAX_WAIT_S:
            pending = self.waiting.popleft()
            del self.pending[pending.statement.fingerprint]
            expired.append(pending)
        return expired

    def next_deadline(self) -> float | None:
        """When to look again; None while nothing is under way."""
        deadlines = [deadline for slot in self.slots if (deadline := slot.deadline()) is not None]
        if self.waiting:
            deadlines.append(self.waiting[0].enqueued_at + MAX_WAIT_S)
        return min(deadlines, default=None)

    @property
    def restart_delay(self) -> float:
        """Seconds to wait before a process is started again."""
        return RESTART_BACKOFF_S if self.failed_starts >= MAX_FAILED_STARTS else 0.0


def _is_late(slot: ParserSlot, state: SlotState, timeout_s: float, now: float) -> bool:
    return slot.state is state and now - slot.since > timeout_s
