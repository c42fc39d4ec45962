"""How many queries of a shape may run at once after it has done harm.

    unlimited --harm--> limited to INITIAL_LIMIT --harm--> half as many, 1 at least
    limited --SUCCESSES_PER_STEP successes in a row--> one more --UNLIMITED_FROM reached--> unlimited
    limited --LIMIT_EXPIRY_NS without harm--> unlimited

Harm is an attempt that spilled, ran many times longer than usual, or was the last of failures on several
engines in a row. An engine may fail by itself, so its failures count once. The scheduler alone chooses
engines.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SECOND_NS = 1_000_000_000
FAILED_ENGINES_TO_LIMIT = 3  # different ones that a shape fails on in a row before it is limited
RUNAWAY_FACTOR = 8.0  # times its usual run time
MIN_RUNAWAY_NS = SECOND_NS  # a shorter attempt is no runaway
INITIAL_LIMIT = 4  # at once, at first
SUCCESSES_PER_STEP = 5  # attempts in a row that succeed, for one more at once
UNLIMITED_FROM = 16  # at once: from here on it is unlimited again
LIMIT_EXPIRY_NS = 300 * SECOND_NS  # without harm until the limit is lifted
MAX_RECORDS = 512  # shapes limited or watched


@dataclass(slots=True)
class ShapeRecord:
    """What is remembered of a shape that failed or did harm."""

    failed_engines: set[str] = field(default_factory=set)  # since its last success
    max_concurrent: int = 0  # 0: unlimited
    successes: int = 0  # in a row
    last_harm_at: int = 0  # clock time in nanoseconds
    reason: str = ""


class EvictionOrder(NamedTuple):
    """Records of shapes that are not limited are dropped first, then those whose harm is oldest."""

    is_limited: bool
    last_harm_at: int


class ShapeLimits:
    """Limits by fingerprint, for at most `capacity` shapes.

    A full table drops the record of the shape whose harm is oldest. Times are clock times in nanoseconds.
    """

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        """`capacity`: records at most."""
        self.capacity = capacity
        self.records: dict[bytes, ShapeRecord] = {}
        self.running: dict[bytes, int] = {}  # open queries by fingerprint
        self.rejected_count = 0

    def rejection_reason(self, fingerprint: bytes, now: int) -> str:
        """Why one more may not be accepted; empty if it may."""
        record = self.records.get(fingerprint)
        if record is None or not record.max_concurrent:
            return ""
        if now - record.last_harm_at > LIMIT_EXPIRY_NS:
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
        still_running = self.running.get(fingerprint, 0) - 1
        if still_running > 0:
            self.running[fingerprint] = still_running
        else:
            self.running.pop(fingerprint, None)

    # ---- outcomes of attempts

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
        """An attempt failed in a way that the statement itself may have caused."""
        record = self._record(fingerprint)
        record.failed_engines.add(engine)
        record.successes = 0
        if len(record.failed_engines) >= FAILED_ENGINES_TO_LIMIT:
            engines = len(record.failed_engines)
            record.failed_engines.clear()
            self._harm(fingerprint, now, f"failed on {engines} engines in a row")

    def _harm(self, fingerprint: bytes, now: int, reason: str) -> None:
        record = self._record(fingerprint)
        record.max_concurrent = max(1, record.max_concurrent // 2) if record.max_concurrent else INITIAL_LIMIT
        record.successes, record.last_harm_at, record.reason = 0, now, reason

    def _record(self, fingerprint: bytes) -> ShapeRecord:
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= self.capacity:
                del self.records[min(self.records, key=self._eviction_order)]
            record = self.records[fingerprint] = ShapeRecord()
        return record

    def _eviction_order(self, fingerprint: bytes) -> EvictionOrder:
        record = self.records[fingerprint]
        return EvictionOrder(record.max_concurrent > 0, record.last_harm_at)

    @property
    def limited_count(self) -> int:
        """How many shapes are limited now."""
        return sum(1 for record in self.records.values() if record.max_concurrent)
