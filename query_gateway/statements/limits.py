"""Concurrency limits on query shapes that caused incidents.

    unlimited --incident--> limited to INITIAL_LIMIT --incident--> limit halved, at least 1
    limited --SUCCESSES_PER_STEP consecutive successes--> limit + 1 --UNLIMITED_FROM reached--> unlimited
    limited --LIMIT_EXPIRY_NS without an incident--> unlimited

An incident is an attempt that spilled to disk, one that needed many times the usual work of its shape (a
runaway), or the failure after which FAILED_ENGINES_TO_LIMIT engines have failed since the shape's last
success. An engine may fail for reasons of its own, so repeated failures on one engine count once. A limit
does not affect the choice of engines, which the scheduler makes.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SECOND_NS = 1_000_000_000
FAILED_ENGINES_TO_LIMIT = 3  # distinct engines with a failure since the shape's last success
RUNAWAY_FACTOR = 8.0  # a runaway needs more than this multiple of its shape's usual work
MIN_RUNAWAY_RUN_TIME_NS = SECOND_NS  # work, not run time; an attempt with less is never a runaway
INITIAL_LIMIT = 4  # concurrent queries
SUCCESSES_PER_STEP = 5  # consecutive successes that raise the limit by one
UNLIMITED_FROM = 16  # concurrent queries: the limit is removed when it reaches this
LIMIT_EXPIRY_NS = 300 * SECOND_NS  # time without an incident after which a limit is removed
MAX_RECORDS = 512  # shapes with a limit or with recent failures


@dataclass(slots=True)
class ShapeRecord:
    """State of a shape that had a failure or an incident."""

    failed_engines: set[str] = field(default_factory=set)  # since the last success or incident by failures
    max_concurrent: int = 0  # 0: unlimited
    successes: int = 0  # consecutive, since the last change of the limit
    last_incident_at: int = 0  # clock time in nanoseconds
    reason: str = ""


class EvictionOrder(NamedTuple):
    """Sort key: records without a limit are evicted first, then those with the oldest incident."""

    is_limited: bool
    last_incident_at: int


class ShapeLimits:
    """Limits by fingerprint, for at most `capacity` shapes.

    A full table evicts by `EvictionOrder`. Times are clock times in nanoseconds.
    """

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        """`capacity`: maximum number of records."""
        self.capacity = capacity
        self.records: dict[bytes, ShapeRecord] = {}
        self.running: dict[bytes, int] = {}  # open queries by fingerprint
        self.rejected_count = 0

    def rejection_reason(self, fingerprint: bytes, now: int) -> str:
        """Return the reason to reject another query of the shape; empty if it is accepted."""
        record = self.records.get(fingerprint)
        if record is None or not record.max_concurrent:
            return ""
        if now - record.last_incident_at > LIMIT_EXPIRY_NS:
            del self.records[fingerprint]
            return ""
        if self.running.get(fingerprint, 0) < record.max_concurrent:
            return ""
        self.rejected_count += 1
        return f"{record.max_concurrent} of this shape run already: {record.reason}"

    def query_started(self, fingerprint: bytes) -> None:
        """Count an accepted query as running."""
        self.running[fingerprint] = self.running.get(fingerprint, 0) + 1

    def query_ended(self, fingerprint: bytes) -> None:
        """Count a started query as ended: it is answered and has no attempt in flight."""
        still_running = self.running.get(fingerprint, 0) - 1
        if still_running > 0:
            self.running[fingerprint] = still_running
        else:
            self.running.pop(fingerprint, None)

    # ---- outcomes of attempts

    def attempt_succeeded(self, fingerprint: bytes, work_ns: int, usual_ns: int | None, now: int) -> None:
        """Record a success. `usual_ns`: the estimated work before this attempt, None if there was none."""
        if usual_ns and work_ns > RUNAWAY_FACTOR * usual_ns and work_ns > MIN_RUNAWAY_RUN_TIME_NS:
            self._record_incident(
                fingerprint, now, f"one ran {work_ns / usual_ns:.0f} times as long as usual"
            )
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
        """Record an attempt that needed more memory than its engine had."""
        self._record_incident(fingerprint, now, "one spilled")

    def attempt_failed(self, fingerprint: bytes, engine: str, now: int) -> None:
        """Record a failure that the statement itself may have caused."""
        record = self._get_or_create_record(fingerprint)
        record.failed_engines.add(engine)
        record.successes = 0
        if len(record.failed_engines) >= FAILED_ENGINES_TO_LIMIT:
            engines = len(record.failed_engines)
            record.failed_engines.clear()
            self._record_incident(fingerprint, now, f"failed on {engines} engines in a row")

    def _record_incident(self, fingerprint: bytes, now: int, reason: str) -> None:
        record = self._get_or_create_record(fingerprint)
        record.max_concurrent = max(1, record.max_concurrent // 2) if record.max_concurrent else INITIAL_LIMIT
        record.successes, record.last_incident_at, record.reason = 0, now, reason

    def _get_or_create_record(self, fingerprint: bytes) -> ShapeRecord:
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= self.capacity:
                del self.records[min(self.records, key=self._eviction_order)]
            record = self.records[fingerprint] = ShapeRecord()
        return record

    def _eviction_order(self, fingerprint: bytes) -> EvictionOrder:
        record = self.records[fingerprint]
        return EvictionOrder(record.max_concurrent > 0, record.last_incident_at)

    @property
    def limited_count(self) -> int:
        """Number of shapes with a limit, which counts until a query of the shape finds it expired."""
        return sum(1 for record in self.records.values() if record.max_concurrent)
