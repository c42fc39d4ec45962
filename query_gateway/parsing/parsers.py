"""The state of the parser processes and of the statements queued for them, without I/O.

    STARTING --ready--> IDLE --assign--> PARSING --completed--> IDLE
    any state --lost or replaced--> STARTING

When a parse or a start exceeds its timeout, the caller kills the process and reports it as lost. The
statement of a lost process is quarantined, as it may have caused the loss. Times are loop times in seconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from query_gateway.statements.messages import ParseResult
from query_gateway.statements.normalizer import NormalizedStatement

PARSE_TIMEOUT_S = 0.25
START_TIMEOUT_S = 10.0  # for a new parser process to become ready
MAX_WAITING = 256  # limit both of the statements queued for a parser and of the callbacks of one statement
MAX_WAIT_S = 1.0  # of a statement in the queue for a parser
MAX_FAILED_STARTS = 5  # consecutive failed starts, from which on each start is delayed
RESTART_BACKOFF_S = 5.0  # delay of each start after MAX_FAILED_STARTS failed ones
QUARANTINE_S = 30.0  # of a statement whose parser was lost; doubled at each further loss
MAX_QUARANTINE_S = 3_600.0
# Statements whose quarantine is recorded, even if it has expired, as the next one lasts twice as long. The
# oldest record is removed first.
MAX_QUARANTINED = 1_024

ParseCallback = Callable[[ParseResult | None], None]  # None: not parsed, the client has to retry


@dataclass(slots=True)
class PendingParse:
    """A statement that is queued or being parsed, and the callbacks for its result."""

    statement: NormalizedStatement
    enqueued_at: float
    callbacks: list[ParseCallback] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Quarantine:
    """The period in which a statement is rejected without a parse, and the reason."""

    until: float
    duration: float  # seconds
    reason: str


class SlotState(Enum):
    """The state of a slot's process."""

    STARTING = auto()  # started but not ready, or its start is scheduled
    IDLE = auto()
    PARSING = auto()


@dataclass(slots=True)
class ParserSlot:
    """A slot for one parser process and the statement that it parses."""

    number: int
    state: SlotState = SlotState.STARTING
    pending: PendingParse | None = None  # while PARSING
    began_at: float = 0.0  # start of the process or of the parse

    def start(self, now: float) -> None:
        """Record that a process is started, or scheduled to start, at `now`."""
        self.state, self.pending, self.began_at = SlotState.STARTING, None, now

    def become_idle(self) -> None:
        """Record that the process is ready for a parse."""
        self.state = SlotState.IDLE

    def begin_parse(self, pending: PendingParse, now: float) -> None:
        """Assign a statement to the idle process."""
        self.state, self.pending, self.began_at = SlotState.PARSING, pending, now

    def end_parse(self) -> PendingParse | None:
        """End the parse and return its statement; None if no parse was running."""
        pending, self.pending = self.pending, None
        if self.state is SlotState.PARSING:
            self.state = SlotState.IDLE
        return pending

    def deadline(self) -> float | None:
        """Return the time at which the start or the parse times out; None while the process is idle."""
        if self.state is SlotState.IDLE:
            return None
        timeout = PARSE_TIMEOUT_S if self.state is SlotState.PARSING else START_TIMEOUT_S
        return self.began_at + timeout


class ParserPool:
    """Assigns statements to parser processes; ParserSupervisor runs them and exchanges the frames."""

    def __init__(self, slot_count: int) -> None:
        """Create the slots, all in the state STARTING."""
        self.slots = [ParserSlot(number) for number in range(slot_count)]
        self.waiting: deque[PendingParse] = deque()
        self.pending: dict[bytes, PendingParse] = {}  # by fingerprint, queued or being parsed
        self.quarantine: dict[bytes, Quarantine] = {}
        self.failed_starts = 0  # consecutive
        self.timed_out_count = self.lost_count = 0

    def quarantined(self, statement: NormalizedStatement, now: float) -> ParseResult | None:
        """Return a result that rejects the statement while it is in quarantine; None if it may be parsed.

        A quarantine expires, as a parser may also be lost for a reason other than its statement.
        """
        quarantine = self.quarantine.get(statement.fingerprint)
        if quarantine is None or now >= quarantine.until:
            return None
        return ParseResult(True, reason=quarantine.reason, is_parsed=False)

    def add(self, statement: NormalizedStatement, now: float, callback: ParseCallback) -> bool:
        """Queue a statement with the callback for its result; equal fingerprints share one parse.

        Returns False, without storing `callback`, if MAX_WAITING is reached.
        """
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

    def assign(self, now: float) -> list[ParserSlot]:
        """Assign queued statements to idle processes; returns the slots whose `pending` is to be sent."""
        assigned = []
        for slot in self.slots:
            if slot.state is SlotState.IDLE and self.waiting:
                slot.begin_parse(self.waiting.popleft(), now)
                assigned.append(slot)
        return assigned

    def starting(self, slot: ParserSlot, now: float) -> None:
        """Record that a process is started, or scheduled to start, at `now`."""
        slot.start(now)

    def start_failed(self) -> None:
        """Record that a process could not be started."""
        self.failed_starts += 1

    def ready(self, slot: ParserSlot) -> None:
        """Record that the process has started and is idle."""
        slot.become_idle()
        self.failed_starts = 0

    def completed(self, slot: ParserSlot) -> PendingParse | None:
        """Record the end of a parse; returns the statement whose callbacks are to be called."""
        pending = slot.end_parse()
        if pending:
            del self.pending[pending.statement.fingerprint]
        return pending

    def lost(self, slot: ParserSlot, reason: str, now: float) -> PendingParse | None:
        """Record that a process was killed or died; returns its statement, quarantined and to be rejected."""
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
        previous = self.quarantine.pop(fingerprint, None)
        duration = min(2 * previous.duration, MAX_QUARANTINE_S) if previous else QUARANTINE_S
        self.quarantine[fingerprint] = Quarantine(now + duration, duration, reason)
        if len(self.quarantine) > MAX_QUARANTINED:
            del self.quarantine[next(iter(self.quarantine))]

    def replaced(self, slot: ParserSlot, now: float) -> PendingParse | None:
        """Record that a process is replaced; returns its statement, whose clients have to retry."""
        pending = self.completed(slot)
        slot.start(now)
        return pending

    def overdue(self, now: float) -> list[ParserSlot]:
        """Return the slots whose process is to be killed because its parse or start has timed out."""
        parses = [slot for slot in self.slots if _is_overdue(slot, SlotState.PARSING, PARSE_TIMEOUT_S, now)]
        starts = [slot for slot in self.slots if _is_overdue(slot, SlotState.STARTING, START_TIMEOUT_S, now)]
        self.timed_out_count += len(parses)
        return parses + starts

    def expire(self, now: float) -> list[PendingParse]:
        """Remove and return statements queued for more than MAX_WAIT_S; their clients have to retry."""
        expired = []
        while self.waiting and now - self.waiting[0].enqueued_at > MAX_WAIT_S:
            pending = self.waiting.popleft()
            del self.pending[pending.statement.fingerprint]
            expired.append(pending)
        return expired

    def next_deadline(self) -> float | None:
        """Return the time of the next timeout; None if nothing is queued, starting or being parsed."""
        deadlines = [deadline for slot in self.slots if (deadline := slot.deadline()) is not None]
        if self.waiting:
            deadlines.append(self.waiting[0].enqueued_at + MAX_WAIT_S)
        return min(deadlines, default=None)

    @property
    def restart_delay(self) -> float:
        """Seconds to wait before the next start of a process."""
        return RESTART_BACKOFF_S if self.failed_starts >= MAX_FAILED_STARTS else 0.0


def _is_overdue(slot: ParserSlot, state: SlotState, timeout_s: float, now: float) -> bool:
    return slot.state is state and now - slot.began_at > timeout_s
