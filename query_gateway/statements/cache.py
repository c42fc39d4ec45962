"""A bounded cache that a flood of entries used once cannot flush: W-TinyLFU.

New entries come into a small window in least-recently-used order. An entry that leaves the window enters the
main part only if it was seen more often, by a count-min sketch, than the entry that would be evicted for it.
The main part has two segments in least-recently-used order: an entry on probation that is used again is
protected.
"""

from typing import Generic, TypeVar

from query_gateway.statements.sketch import CountMin

MIN_CAPACITY = 4
Value = TypeVar("Value")


class Cache(Generic[Value]):
    """At most `capacity` entries by digest.

    Dicts keep their order, so the first key of each segment is the least recently used one.
    """

    def __init__(self, capacity: int, window_share: float = 0.01, protected_share: float = 0.8) -> None:
        """`window_share` is of `capacity`, `protected_share` of the main part.

        Raises ValueError for a capacity below MIN_CAPACITY.
        """
        if capacity < MIN_CAPACITY:
            raise ValueError(f"a cache needs a capacity of {MIN_CAPACITY} at least, not {capacity}")
        self.capacity = capacity
        self.window_capacity = max(1, int(capacity * window_share))
        self.main_capacity = capacity - self.window_capacity
        self.protected_capacity = int(self.main_capacity * protected_share)
        self.window: dict[bytes, Value] = {}
        self.probation: dict[bytes, Value] = {}
        self.protected: dict[bytes, Value] = {}
        self.sketch = CountMin(capacity)
        self.hits = self.misses = 0

    def __len__(self) -> int:
        """The number of entries in all segments."""
        return len(self.window) + len(self.probation) + len(self.protected)

    def get(self, digest: bytes) -> Value | None:
        """The entry, which counts as a use; None if there is none."""
        self.sketch.add(digest)
        if (found := self.protected.pop(digest, None)) is not None:
            self.protected[digest] = found
        elif (found := self.probation.pop(digest, None)) is not None:
            self.protected[digest] = found
            if len(self.protected) > self.protected_capacity:
                oldest = next(iter(self.protected))
                self.probation[oldest] = self.protected.pop(oldest)
        elif (found := self.window.pop(digest, None)) is not None:
            self.window[digest] = found
        else:
            self.misses += 1
            return None
        self.hits += 1
        return found

    def peek(self, digest: bytes) -> Value | None:
        """The entry without counting it as a use; None if there is none."""
        for segment in (self.protected, self.probation, self.window):
            if (found := segment.get(digest)) is not None:
                return found
        return None

    def put(self, digest: bytes, value: Value) -> bytes | None:
        """Add or replace an entry; returns the digest that was evicted for it, if one was."""
        for segment in (self.protected, self.probation, self.window):
            if digest in segment:
                segment[digest] = value
                return None
        self.window[digest] = value
        if len(self.window) <= self.window_capacity:
            return None
        return self._evict_from_window()

    def _evict_from_window(self) -> bytes | None:
        """Move the window's oldest entry to the main part, or evict one; returns the evicted digest."""
        candidate = next(iter(self.window))
        value = self.window.pop(candidate)
        if len(self.probation) + len(self.protected) < self.main_capacity:
            self.probation[candidate] = value
            return None
        segment = self.probation or self.protected
        victim = next(iter(segment))
        if self.sketch.count(candidate) <= self.sketch.count(victim):
            return candidate
        del segment[victim]
        self.probation[candidate] = value
        return victim

    def clear(self) -> None:
        """Remove all entries; how often they were seen stays counted."""
        self.window, self.probation, self.protected = {}, {}, {}
