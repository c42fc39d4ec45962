"""What statements cost, learned from outcomes: by shape, else by table group and class, else by class.

Each is a histogram of few bytes with buckets in equal ratios, whose counts halve when they pass a bound: so
old outcomes fade by what came since, and a shape that turns slow is followed within that bound's number of
outcomes.
"""

import math
from collections.abc import Mapping
from typing import Any

from query_gateway.statements.sketch import CountMin

VERSION = 1
RATIO = 1.35  # between the bounds of a bucket: an estimate is off by its root at most, within a bucket
LEAST, BUCKETS = 1e5, 64  # nanoseconds of the first bucket's lower bound; the last's upper one is 6 hours
FULL = 48  # outcomes after which the counts halve
ENOUGH = 5  # outcomes that make a histogram worth asking
JUMP = 6  # outcomes in a row on one side, far from the estimate: what was learned before them is forgotten
FAR = 2.0
_STEP = math.log(RATIO)
_FIRST = math.log(LEAST)
_halved = bytes(n >> 1 for n in range(256))


class Histogram:
    """Counts of values by bucket, fading. Takes some 180 bytes."""

    __slots__ = ("counts", "total", "streak")

    def __init__(self, counts: bytes = bytes(BUCKETS)) -> None:
        self.counts = bytearray(counts)
        self.total = sum(counts)
        self.streak = 0  # outcomes in a row above (+) or below (-) the estimate by FAR

    def add(self, value: float) -> None:
        """`value`: a positive number in the sketch's unit (nanoseconds, or MB times LEAST)."""
        usual = self.quantile(0.5)
        at = min(BUCKETS - 1, max(0, int((math.log(max(value, 1.0)) - _FIRST) / _STEP)))
        if usual and value > usual * FAR:
            self.streak = max(1, self.streak + 1)
        elif usual and value * FAR < usual:
            self.streak = min(-1, self.streak - 1)
        else:
            self.streak = 0
        if abs(self.streak) >= JUMP:  # no mix of slow and fast ones would be so long on one side by chance
            self.counts = bytearray(n // 8 for n in self.counts)
            self.total = sum(self.counts)
            self.streak = 0
        self.counts[at] += 1
        self.total += 1
        if self.total >= FULL:
            self.counts = self.counts.translate(_halved)
            self.total = sum(self.counts)

    def quantile(self, share: float) -> float:
        """The value below which that share lies, at its bucket's middle; 0 if nothing is known."""
        if not self.total:
            return 0.0
        left = share * self.total
        for at, n in enumerate(self.counts):
            if n and left < n:
                return math.exp(_FIRST + _STEP * (at + left / n))
            left -= n
        return math.exp(_FIRST + _STEP * BUCKETS)


Key = bytes | tuple[str, int | None]


class Costs:
    """Estimates of run time and memory. Holds `room` shapes and as many groups as `groups`.

    When it is full, the shape that goes is the one used longest ago, unless the new one is rarer yet.
    """

    def __init__(self, room: int = 10_000, groups: int = 1_024) -> None:
        self.room, self.groups = room, groups
        self.shapes: dict[bytes, Histogram] = {}
        self.needs: dict[bytes, Histogram] = {}
        self.coarse: dict[tuple[str, int | None], Histogram] = {}
        self.seen = CountMin(room)

    def ran(self, digest: bytes, cls: str, group: int | None, took_ns: int, need_mb: float = 0.0) -> None:
        """An attempt has ended well after `took_ns` of work."""
        self.seen.add(digest)
        if found := self._at(self.shapes, digest):
            found.add(took_ns)
        if need_mb > 0 and (found := self._at(self.needs, digest)):
            found.add(need_mb * LEAST)
        for key in ((cls, group), (cls, None)):
            coarse = self.coarse.pop(key, None) or Histogram()
            self.coarse[key] = coarse
            coarse.add(took_ns)
        while len(self.coarse) > self.groups:
            del self.coarse[next(iter(self.coarse))]

    def _at(self, table: dict[bytes, Histogram], digest: bytes) -> Histogram | None:
        if found := table.pop(digest, None):
            table[digest] = found
            return found
        if len(table) >= self.room:
            oldest = next(iter(table))
            if self.seen.count(oldest) > self.seen.count(digest):
                table[oldest] = table.pop(oldest)  # its turn comes again: what is next is weighed then
                return None
            del table[oldest]
        table[digest] = Histogram()
        return table[digest]

    def cost_ns(self, digest: bytes, cls: str, group: int | None) -> int | None:
        """The usual run time; None if nothing like it has run."""
        for found in (self.shapes.get(digest), self.coarse.get((cls, group)), self.coarse.get((cls, None))):
            if found and found.total >= ENOUGH:
                return int(found.quantile(0.5))
        return None

    def need_mb(self, digest: bytes) -> float:
        """Memory that most of its queries needed; 0 if nothing is known."""
        found = self.needs.get(digest)
        return found.quantile(0.8) / LEAST if found and found.total >= ENOUGH else 0.0

    # ---- for a restart or a successor

    def snapshot(self, most: int = 2_048) -> dict[str, Any]:
        """The shapes used last, as plain values."""

        def told(table: dict[bytes, Histogram]) -> dict[str, str]:
            return {d.hex(): bytes(h.counts).hex() for d, h in list(table.items())[-most:]}

        coarse = [[c, g, bytes(h.counts).hex()] for (c, g), h in list(self.coarse.items())[-most:]]
        return {"version": VERSION, "shapes": told(self.shapes), "needs": told(self.needs), "coarse": coarse}

    def adopt(self, raw: Any) -> bool:
        """Take over a snapshot, all of it or, if anything in it is unusable, nothing."""
        try:
            if raw["version"] != VERSION:
                return False
            shapes, needs = self._told(raw["shapes"]), self._told(raw["needs"])
            coarse: dict[tuple[str, int | None], Histogram] = {}
            for cls, group, counts in raw["coarse"][-self.groups :]:
                if not isinstance(cls, str) or not (group is None or type(group) is int):
                    return False
                coarse[cls[:200], group] = _histogram(counts)
        except (KeyError, TypeError, ValueError, AttributeError):
            return False
        self.shapes, self.needs, self.coarse = shapes, needs, coarse
        for digest in shapes:
            self.seen.add(digest)
        return True

    def _told(self, raw: Mapping[str, str]) -> dict[bytes, Histogram]:
        found = {}
        for name, counts in list(raw.items())[-self.room :]:
            digest = bytes.fromhex(name)
            if len(digest) != 16:
                raise ValueError("a shape's name has 32 digits")
            found[digest] = _histogram(counts)
        return found


def _histogram(raw: str) -> Histogram:
    counts = bytes.fromhex(raw)
    if len(counts) != BUCKETS or sum(counts) > FULL:
        raise ValueError("no histogram of ours")
    return Histogram(counts)
