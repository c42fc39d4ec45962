"""W-TinyLFU: a bounded cache that resists pollution by entries that are used only once.

New entries enter a small window in least-recently-used order. When the main part is full, an entry that
leaves the window is admitted to it only if a count-min sketch has seen the entry more often than the one that
would be evicted.
The main part has two segments in least-recently-used order: an entry on probation that is used again moves
to the protected segment.
"""

from typing import Generic, TypeVar

from query_gateway.statements.sketch import CountMin

MIN_CAPACITY = 4
Value = TypeVar("Value")


class Cache(Generic[Value]):
    """At most `capacity` entries by digest.

    Dicts keep insertion order, so the first key of each segment is the least recently used one.
    """

    def __init__(self, capacity: int, window_share: float = 0.01, protected_share: float = 0.8) -> None:
        """`window_share` is a fraction of `capacity`, `protected_share` a fraction of the main part.

        Raises ValueError for a capacity below MIN_CAPACITY.
        """
        if capacity < MIN_CAPACITY:
            raise ValueError(f"cache capacity must be at least {MIN_CAPACITY}, got {capacity}")
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
        """Return the number of entries in all segments."""
        return len(self.window) + len(self.probation) + len(self.protected)

    def get(self, digest: bytes) -> Value | None:
        """Return the entry and count a use; None if there is none."""
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
        """Return the entry without counting a use; None if there is none."""
        for segment in (self.protected, self.probation, self.window):
            if (found := segment.get(digest)) is not None:
                return found
        return None

    def put(self, digest: bytes, value: Value) -> bytes | None:
        """Add or replace an entry; returns the digest that was evicted for it, if any."""
        for segment in (self.protected, self.probation, self.window):
            if digest in segment:
                segment[digest] = value
                return None
        self.window[digest] = value
        if len(self.window) <= self.window_capacity:
            return None
        return self._evict_from_window()

    def _evict_from_window(self) -> bytes | None:
        """Move the window's oldest entry to the main part or evict an entry; returns the evicted digest."""
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
        """Remove all entries; the frequency sketch is kept."""
        self.window, self.probation, self.protected = {}, {}, {}
