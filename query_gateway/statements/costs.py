"""Cost estimates, learned from outcomes: by shape, else by table group and class, else by class.

Each is a small histogram with buckets in equal ratios. Its counts are halved when their sum reaches
MAX_TOTAL, so old outcomes fade, and a shape that becomes slow is followed within that number of outcomes.
"""

import math
from collections.abc import Mapping
from typing import Any

from query_gateway.statements.sketch import CountMin

BUCKET_RATIO = 1.35  # between the bounds of a bucket
FIRST_BOUND_NS = 1e5  # lower bound of the first bucket
BUCKETS = 64  # the upper bound of the last one is 6 hours
MAX_TOTAL = 48  # outcomes after which the counts halve
MIN_OUTCOMES = 5  # until a histogram is used
JUMP_LENGTH = 6  # outcomes in a row on one side, far from the estimate, after which earlier ones count less
JUMP_FACTOR = 2.0  # times the estimate, or the estimate divided by it: far
JUMP_DIVISOR = 8  # of the counts after such a jump
MEMORY_QUANTILE = 0.8  # above the median: too little memory makes a query spill
FINGERPRINT_BYTES = 16
MAX_SNAPSHOT_ENTRIES = 2_048  # of each table
MAX_CLASS_NAME_LENGTH = 200  # characters of a name from a snapshot; longer ones are cut
_LOG_RATIO = math.log(BUCKET_RATIO)
_LOG_FIRST = math.log(FIRST_BOUND_NS)
_halved = bytes(count >> 1 for count in range(256))

# Keys of the stored snapshot, which other versions read and write as well
VERSION = 1
VERSION_KEY, SHAPES_KEY, MEMORY_KEY, FALLBACKS_KEY = "version", "shapes", "needs", "coarse"


class Histogram:
    """Counts of values by bucket; old ones fade."""

    __slots__ = ("counts", "total", "streak")

    def __init__(self, counts: bytes = bytes(BUCKETS)) -> None:
        """`counts`: one byte for each bucket."""
        self.counts = bytearray(counts)
        self.total = sum(counts)
        self.streak = 0  # outcomes in a row above (+) or below (-) the estimate by JUMP_FACTOR

    def add(self, value: float) -> None:
        """Count a positive number in the histogram's unit (nanoseconds, or MB times FIRST_BOUND_NS)."""
        bucket = int((math.log(max(value, 1.0)) - _LOG_FIRST) / _LOG_RATIO)
        self._follow_jump(value)
        self.counts[min(BUCKETS - 1, max(0, bucket))] += 1
        self.total += 1
        if self.total >= MAX_TOTAL:
            self.counts = self.counts.translate(_halved)
            self.total = sum(self.counts)

    def _follow_jump(self, value: float) -> None:
        """Reduce the counts once values have moved far from the estimate and stay there."""
        usual = self.quantile(0.5)
        if usual and value > usual * JUMP_FACTOR:
            self.streak = max(1, self.streak + 1)
        elif usual and value * JUMP_FACTOR < usual:
            self.streak = min(-1, self.streak - 1)
        else:
            self.streak = 0
        if abs(self.streak) >= JUMP_LENGTH:  # a mix of slow and fast outcomes changes sides earlier
            self.counts = bytearray(count // JUMP_DIVISOR for count in self.counts)
            self.total = sum(self.counts)
            self.streak = 0

    def quantile(self, share: float) -> float:
        """The value below which that share lies, interpolated within its bucket; 0.0 without outcomes."""
        if not self.total:
            return 0.0
        remaining = share * self.total
        for bucket, count in enumerate(self.counts):
            if count and remaining < count:
                return math.exp(_LOG_FIRST + _LOG_RATIO * (bucket + remaining / count))
            remaining -= count
        return math.exp(_LOG_FIRST + _LOG_RATIO * BUCKETS)


FallbackKey = tuple[str, int | None]  # class name; table group, None: of the whole class


class CostEstimates:
    """Estimates of run time and memory for `capacity` shapes and `max_groups` pairs of class and table group.

    A full table drops the least recently used shape, unless the new one was seen less often.
    """

    def __init__(self, capacity: int = 10_000, max_groups: int = 1_024) -> None:
        """Begin without estimates."""
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
        run_time_ns: int,
        memory_mb: float = 0.0,
    ) -> None:
        """An attempt has succeeded after `run_time_ns` of work."""
        self.seen.add(fingerprint)
        if histogram := self._histogram_of(self.shapes, fingerprint):
            histogram.add(run_time_ns)
        if memory_mb > 0 and (histogram := self._histogram_of(self.memory, fingerprint)):
            histogram.add(memory_mb * FIRST_BOUND_NS)
        for key in ((class_name, table_group), (class_name, None)):
            fallback = self.fallbacks.pop(key, None) or Histogram()
            self.fallbacks[key] = fallback
            fallback.add(run_time_ns)
        while len(self.fallbacks) > self.max_groups:
            del self.fallbacks[next(iter(self.fallbacks))]

    def _histogram_of(self, table: dict[bytes, Histogram], fingerprint: bytes) -> Histogram | None:
        """The shape's histogram, new if there is none; None if a full table's oldest shape is seen more."""
        if histogram := table.pop(fingerprint, None):
            table[fingerprint] = histogram
            return histogram
        if len(table) >= self.capacity:
            oldest = next(iter(table))
            if self.seen.count(oldest) > self.seen.count(fingerprint):
                table[oldest] = table.pop(oldest)  # to the end: the next shape is compared with another one
                return None
            del table[oldest]
        table[fingerprint] = Histogram()
        return table[fingerprint]

    def cost_ns(self, fingerprint: bytes, class_name: str, table_group: int | None) -> int | None:
        """The usual run time; None if there are too few outcomes of its shape, group and class."""
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
        """Memory that most of its queries needed; 0.0 if there are too few outcomes."""
        histogram = self.memory.get(fingerprint)
        if histogram is None or histogram.total < MIN_OUTCOMES:
            return 0.0
        return histogram.quantile(MEMORY_QUANTILE) / FIRST_BOUND_NS

    # ---- for a restart or a successor

    def snapshot(self, max_entries: int = MAX_SNAPSHOT_ENTRIES) -> dict[str, Any]:
        """The most recently used shapes as JSON values; `max_entries` of each table."""
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
        """Replace the estimates by a snapshot's. Returns False and changes nothing if any part is invalid."""
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
    latest = list(table.items())[-max_entries:]
    return {fingerprint.hex(): bytes(histogram.counts).hex() for fingerprint, histogram in latest}


def _decode_table(raw: Mapping[str, str], max_entries: int) -> dict[bytes, Histogram]:
    table = {}
    for name, counts in list(raw.items())[-max_entries:]:
        fingerprint = bytes.fromhex(name)
        if len(fingerprint) != FINGERPRINT_BYTES:
            raise ValueError(f"a fingerprint has {FINGERPRINT_BYTES} bytes, not {len(fingerprint)}")
        table[fingerprint] = _decode_histogram(counts)
    return table


def _decode_fallbacks(raw: list[Any]) -> dict[FallbackKey, Histogram]:
    fallbacks: dict[FallbackKey, Histogram] = {}
    for class_name, table_group, counts in raw:
        if not isinstance(class_name, str):
            raise ValueError(f"a class name is a text, not {class_name!r}")
        if table_group is not None and type(table_group) is not int:
            raise ValueError(f"a table group is a whole number, not {table_group!r}")
        fallbacks[class_name[:MAX_CLASS_NAME_LENGTH], table_group] = _decode_histogram(counts)
    return fallbacks


def _decode_histogram(raw: str) -> Histogram:
    counts = bytes.fromhex(raw)
    if len(counts) != BUCKETS or sum(counts) > MAX_TOTAL:
        raise ValueError(f"a histogram has {BUCKETS} counts of {MAX_TOTAL} in all at most")
    return Histogram(counts)
