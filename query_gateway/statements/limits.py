"""How many queries of a shape may run at once, once it has done harm; which engine runs them stays the
scheduler's to decide.

A shape is unlimited until it does harm: an attempt spilled, ran many times longer than usual, or failed on
several engines in a row. Then it is limited: few at once, fewer each time harm comes again, and one more as
attempts succeed. Harm that one engine alone does is not the shape's, so failures count once for an engine.
"""

from dataclasses import dataclass, field

SECOND_NS = 1_000_000_000
ENGINES = 3  # that a shape fails on in a row, before it is limited
RUNAWAY_FACTOR = 8.0  # times its usual run time
MIN_RUNAWAY_NS = SECOND_NS  # a shorter attempt is no runaway
INITIAL_LIMIT = 4  # at once, at first
SUCCESSES_PER_STEP = 5  # attempts in a row that succeed, for one more at once
UNLIMITED_FROM = 16  # at once: from here on it is unlimited again
FORGET_AFTER_NS = 300 * SECOND_NS  # without harm, after which the limit is lifted
MAX_RECORDS = 512  # shapes limited or watched


@dataclass(slots=True)
class Record:
    """What is remembered of a shape that failed or did harm."""

    failed_engines: set[str] = field(default_factory=set)  # since its last success
    max_concurrent: int = 0  # 0: unlimited
    successes: int = 0  # in a row
    last_harm_at: int = 0  # clock time in nanoseconds
    reason: str = ""


class ShapeLimits:
    """Limits by fingerprint. Bounded by the open queries, and by `capacity` records.

    When it is full, the record that goes is of the shape whose harm is oldest. Times are clock times in
    nanoseconds.
    """

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        """`capacity`: records at most."""
        self.capacity = capacity
        self.records: dict[bytes, Record] = {}
        self.running: dict[bytes, int] = {}  # open queries by fingerprint
        self.rejected_count = 0

    def rejection_reason(self, fingerprint: bytes, now: int) -> str:
        """Why one more may not be accepted; empty if it may."""
        record = self.records.get(fingerprint)
        if record is None or not record.max_concurrent:
            return ""
        if now - record.last_harm_at > FORGET_AFTER_NS:
            del self.records[fingerprint]
            return ""
        if self.running.get(fingerprint, 0) < record.max_concurrent:
            return ""
        self.rejected_count += 1
        return f"{record.max_concurrent} of this shape run already: {record.reason}"

    def query_started(self, fingerprint: bytes) -> None:
        """A query was accepted."""
        self.running[fingerprint] = self.running.get(fingerprint, 0) + 1

    def query_ended(self, fingerprint: bytes) -> None:
        """A query that was started has its answer."""
        left = self.running.get(fingerprint, 0) - 1
        if left > 0:
            self.running[fingerprint] = left
        else:
            self.running.pop(fingerprint, None)

    # ---- what its attempts did

    def attempt_succeeded(self, fingerprint: bytes, run_time_ns: int, usual_ns: int | None, now: int) -> None:
        """`usual_ns`: the estimate before this attempt; None if there was none."""
        if usual_ns and run_time_ns > RUNAWAY_FACTOR * usual_ns and run_time_ns > MIN_RUNAWAY_NS:
            self._harm(fingerprint, now, f"one ran {run_time_ns / usual_ns:.0f} times as long as usual")
            return
        record = self.records.get(fingerprint)
        if record is None:
            return
        record.failed_engines.clear()
        if record.max_concurrent:
            record.successes += 1
            if record.successes >= SUCCESSES_PER_STEP:
                record.successes = 0
                record.max_concurrent += 1
        if not record.max_concurrent or record.max_concurrent >= UNLIMITED_FROM:
            del self.records[fingerprint]

    def attempt_spilled(self, fingerprint: bytes, now: int) -> None:
        """An attempt needed more memory than its engine had."""
        self._harm(fingerprint, now, "one spilled")

    def attempt_failed(self, fingerprint: bytes, engine: str, now: int) -> None:
        """An attempt failed in a way that may be the statement's own doing."""
        record = self._record(fingerprint)
        record.failed_engines.add(engine)
        record.successes = 0
        if len(record.failed_engines) >= ENGINES:
            engines = len(record.failed_engines)
            record.failed_engines.clear()
            self._harm(fingerprint, now, f"failed on {engines} engines in a row")

    def _harm(self, fingerprint: bytes, now: int, reason: str) -> None:
        record = self._record(fingerprint)
        record.max_concurrent = max(1, record.max_concurrent // 2) if record.max_concurrent else INITIAL_LIMIT
        record.successes, record.last_harm_at, record.reason = 0, now, reason

    def _record(self, fingerprint: bytes) -> Record:
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= self.capacity:
                del self.records[min(self.records, key=self._eviction_order)]
            record = self.records[fingerprint] = Record()
        return record

    def _eviction_order(self, fingerprint: bytes) -> tuple[bool, int]:
        """Shapes that are only watched go first, then by the age of their harm."""
        record = self.records[fingerprint]
        return record.max_concurrent > 0, record.last_harm_at

    @property
    def limited_count(self) -> int:
        """How many shapes are limited now."""
        return sum(1 for record in self.records.values() if record.max_concurrent)
