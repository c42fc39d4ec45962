"""Cost estimates learned from outcomes, with fallback from shape to table group and class, then to class.

Each estimate is a small histogram with buckets of equal width on a logarithmic scale. Its counts are halved
when their sum reaches MAX_TOTAL, so old outcomes lose weight: if a shape becomes slow, its estimate follows
within MAX_TOTAL outcomes. A cost is the work of an attempt: processor time over all threads. A table group is
the numeric suffix of a schema name, see `forwarder.table_group`.
"""

import math
from collections.abc import Mapping
from typing import Any

from query_gateway.statements.sketch import CountMin

BUCKET_RATIO = 1.35  # upper bound of a bucket divided by its lower bound
FIRST_BOUND_NS = 1e5  # lower bound of the first bucket
BUCKETS = 64  # the last one ends at 6 hours
MAX_TOTAL = 48  # sum of the counts at which they are halved
MIN_OUTCOMES = 5  # in a histogram; with fewer, its estimate is not used
SHIFT_OUTCOMES = 6  # consecutive outliers on one side of the estimate before the counts are reduced
OUTLIER_FACTOR = 2.0  # an outlier is above the estimate times this, or below the estimate divided by it
SHIFT_DIVISOR = 8  # by which the counts are divided after a level shift
MEMORY_QUANTILE = 0.8  # above the median, as a query with too little memory spills to disk
FINGERPRINT_BYTES = 16
MAX_SNAPSHOT_ENTRIES = 2_048  # of each table
MAX_CLASS_NAME_LENGTH = 200  # characters of a name in a snapshot; longer ones are truncated
_LOG_RATIO = math.log(BUCKET_RATIO)
_LOG_FIRST = math.log(FIRST_BOUND_NS)
_halving_table = bytes(count >> 1 for count in range(256))

# Keys of the stored snapshot, which other versions of the gateway also read and write
VERSION = 1
VERSION_KEY, SHAPES_KEY, MEMORY_KEY, FALLBACKS_KEY = "version", "shapes", "needs", "coarse"


class Histogram:
    """Counts of values by bucket, in which old values lose weight."""

    __slots__ = ("counts", "total", "streak")

    def __init__(self, counts: bytes = bytes(BUCKETS)) -> None:
        """`counts`: one byte for each bucket."""
        self.counts = bytearray(counts)
        self.total = sum(counts)
        self.streak = 0  # consecutive outliers above (+) or below (-) the estimate

    def add(self, value: float) -> None:
        """Add a positive value: nanoseconds, or MB times FIRST_BOUND_NS, so that buckets start at 1 MB."""
        bucket = int((math.log(max(value, 1.0)) - _LOG_FIRST) / _LOG_RATIO)
        self._detect_level_shift(value)
        self.counts[min(BUCKETS - 1, max(0, bucket))] += 1
        self.total += 1
        if self.total >= MAX_TOTAL:
            self.counts = self.counts.translate(_halving_table)
            self.total = sum(self.counts)

    def _detect_level_shift(self, value: float) -> None:
        """Reduce the counts after a level shift: SHIFT_OUTCOMES consecutive outliers on one side."""
        median = self.quantile(0.5)
        if median and value > median * OUTLIER_FACTOR:
            self.streak = max(1, self.streak + 1)
        elif median and value * OUTLIER_FACTOR < median:
            self.streak = min(-1, self.streak - 1)
        else:
            self.streak = 0
        if abs(self.streak) >= SHIFT_OUTCOMES:  # a mix of slow and fast outcomes resets the streak first
            self.counts = bytearray(count // SHIFT_DIVISOR for count in self.counts)
            self.total = sum(self.counts)
            self.streak = 0

    def quantile(self, share: float) -> float:
        """Return the value below which `share` of the values lie, by interpolation; 0.0 if there are none."""
        if not self.total:
            return 0.0
        remaining = share * self.total
        for bucket, count in enumerate(self.counts):
            if count and remaining < count:
                return math.exp(_LOG_FIRST + _LOG_RATIO * (bucket + remaining / count))
            remaining -= count
        return math.exp(_LOG_FIRST + _LOG_RATIO * BUCKETS)


FallbackKey = tuple[str, int | None]  # class name and table group; None: the whole class


class CostEstimates:
    """Estimates of work and memory for `capacity` shapes and `max_groups` pairs of class and table group.

    A full table evicts the least recently used shape, unless the new one was seen less often.
    """

    def __init__(self, capacity: int = 10_000, max_groups: int = 1_024) -> None:
        """Start without estimates; `capacity` and `max_groups` bound the tables."""
        self.capacity, self.max_groups = capacity, max_groups
        self.shapes: dict[bytes, Histogram] = {}
        self.memory: dict[bytes, Histogram] = {}
        self.fallbacks: dict[FallbackKey, Histogram] = {}
        self.seen = CountMin(capacity)

    def observe(
        self,
        fingerprint: bytes,
        class_name: str,
        table_group: int | None,
        work_ns: int,
        memory_mb: float = 0.0,
    ) -> None:
        """Record a successful attempt that took `work_ns` of work; `memory_mb` is 0 if it is unknown."""
        self.seen.add(fingerprint)
        if histogram := self._histogram_of(self.shapes, fingerprint):
            histogram.add(work_ns)
        if memory_mb > 0 and (histogram := self._histogram_of(self.memory, fingerprint)):
            histogram.add(memory_mb * FIRST_BOUND_NS)
        for key in ((class_name, table_group), (class_name, None)):
            fallback = self.fallbacks.pop(key, None) or Histogram()
            self.fallbacks[key] = fallback
            fallback.add(work_ns)
        while len(self.fallbacks) > self.max_groups:
            del self.fallbacks[next(iter(self.fallbacks))]

    def _histogram_of(self, table: dict[bytes, Histogram], fingerprint: bytes) -> Histogram | None:
        """Return or create the histogram; None if a full table's oldest shape was seen more often."""
        if histogram := table.pop(fingerprint, None):
            table[fingerprint] = histogram
            return histogram
        if len(table) >= self.capacity:
            oldest = next(iter(table))
            if self.seen.count(oldest) > self.seen.count(fingerprint):
                # Moved to the end, so that the next new shape is compared with another shape
                table[oldest] = table.pop(oldest)
                return None
            del table[oldest]
        table[fingerprint] = Histogram()
        return table[fingerprint]

    def cost_ns(self, fingerprint: bytes, class_name: str, table_group: int | None) -> int | None:
        """Return the median work of the shape, else of its group in the class, else of the class.

        The first of the three that has MIN_OUTCOMES is used; None if none has.
        """
        candidates = (
            self.shapes.get(fingerprint),
            self.fallbacks.get((class_name, table_group)),
            self.fallbacks.get((class_name, None)),
        )
        for histogram in candidates:
            if histogram and histogram.total >= MIN_OUTCOMES:
                return int(histogram.quantile(0.5))
        return None

    def memory_mb(self, fingerprint: bytes) -> float:
        """Return the MEMORY_QUANTILE of the shape's memory use in MB; 0.0 if it has too few outcomes."""
        histogram = self.memory.get(fingerprint)
        if histogram is None or histogram.total < MIN_OUTCOMES:
            return 0.0
        return histogram.quantile(MEMORY_QUANTILE) / FIRST_BOUND_NS

    # ---- snapshots for a restart or a successor

    def snapshot(self, max_entries: int = MAX_SNAPSHOT_ENTRIES) -> dict[str, Any]:
        """Return the most recently used entries as JSON values; at most `max_entries` of each table."""
        fallbacks = [
            [class_name, table_group, bytes(histogram.counts).hex()]
            for (class_name, table_group), histogram in list(self.fallbacks.items())[-max_entries:]
        ]
        return {
            VERSION_KEY: VERSION,
            SHAPES_KEY: _encode_table(self.shapes, max_entries),
            MEMORY_KEY: _encode_table(self.memory, max_entries),
            FALLBACKS_KEY: fallbacks,
        }

    def restore(self, raw: Any) -> bool:
        """Replace the estimates by a snapshot's. Returns False, without changes, if any part is invalid."""
        try:
            if raw[VERSION_KEY] != VERSION:
                return False
            shapes = _decode_table(raw[SHAPES_KEY], self.capacity)
            memory = _decode_table(raw[MEMORY_KEY], self.capacity)
            fallbacks = _decode_fallbacks(raw[FALLBACKS_KEY][-self.max_groups :])
        except (KeyError, TypeError, ValueError, AttributeError):
            return False
        self.shapes, self.memory, self.fallbacks = shapes, memory, fallbacks
        for fingerprint in shapes:
            self.seen.add(fingerprint)
        return True


def _encode_table(table: dict[bytes, Histogram], max_entries: int) -> dict[str, str]:
    most_recent = list(table.items())[-max_entries:]
    return {fingerprint.hex(): bytes(histogram.counts).hex() for fingerprint, histogram in most_recent}


def _decode_table(raw: Mapping[str, str], max_entries: int) -> dict[bytes, Histogram]:
    table = {}
    for name, counts in list(raw.items())[-max_entries:]:
        fingerprint = bytes.fromhex(name)
        if len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError(f"fingerprint must have {FINGERPRINT_BYTES} bytes, got {len(fingerprint)}")
        table[fingerprint] = _decode_histogram(counts)
    return table


def _decode_fallbacks(raw: list[Any]) -> dict[FallbackKey, Histogram]:
    fallbacks: dict[FallbackKey, Histogram] = {}
    for class_name, table_group, counts in raw:
        if not isinstance(class_name, str):
            raise ValueError(f"class name must be a string, got {class_name!r}")
        if table_group is not None and type(table_group) is not int:
            raise ValueError(f"table group must be an integer, got {table_group!r}")
        fallbacks[class_name[:MAX_CLASS_NAME_LENGTH], table_group] = _decode_histogram(counts)
    return fallbacks


def _decode_histogram(raw: str) -> Histogram:
    counts = bytes.fromhex(raw)
    if len(counts) != BUCKETS or sum(counts) > MAX_TOTAL:
        raise ValueError(f"histogram must have {BUCKETS} counts with a sum of at most {MAX_TOTAL}")
    return Histogram(counts)
