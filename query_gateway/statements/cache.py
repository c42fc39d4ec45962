"""A bounded cache that a flood of things seen once cannot flush: W-TinyLFU.

New entries come into a small window kept by recency. What falls out of it has to be seen more often, by a
count-min sketch, than the entry that would leave for it. The main part is kept by recency in two segments:
what is used again in probation is protected.
"""

from typing import Generic, TypeVar

from query_gateway.statements.sketch import CountMin

V = TypeVar("V")


class Cache(Generic[V]):
    """`room` entries by digest. Dicts keep their order, so the first key of each is the least recent one."""

    def __init__(self, room: int, window: float = 0.01, protected: float = 0.8) -> None:
        if room < 4:
            raise ValueError("a cache has room for 4 at least")
        self.room = room
        self.window_room = max(1, int(room * window))
        self.main_room = room - self.window_room
        self.protected_room = int(self.main_room * protected)
        self.window: dict[bytes, V] = {}
        self.probation: dict[bytes, V] = {}
        self.protected: dict[bytes, V] = {}
        self.sketch = CountMin(room)
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self.window) + len(self.probation) + len(self.protected)

    def get(self, digest: bytes) -> V | None:
        self.sketch.add(digest)
        if (found := self.protected.pop(digest, None)) is not None:
            self.protected[digest] = found
        elif (found := self.probation.pop(digest, None)) is not None:
            self.protected[digest] = found
            if len(self.protected) > self.protected_room:
                oldest = next(iter(self.protected))
                self.probation[oldest] = self.protected.pop(oldest)
        elif (found := self.window.pop(digest, None)) is not None:
            self.window[digest] = found
        else:
            self.misses += 1
            return None
        self.hits += 1
        return found

    def peek(self, digest: bytes) -> V | None:
        """Without counting it as a use."""
        for part in (self.protected, self.probation, self.window):
            if (found := part.get(digest)) is not None:
                return found
        return None

    def put(self, digest: bytes, value: V) -> bytes | None:
        """Take in what was not there; returns the digest that left for it, if one did."""
        for part in (self.protected, self.probation, self.window):
            if digest in part:
                part[digest] = value
                return None
        self.window[digest] = value
        if len(self.window) <= self.window_room:
            return None
        candidate = next(iter(self.window))
        told = self.window.pop(candidate)
        if len(self.probation) + len(self.protected) < self.main_room:
            self.probation[candidate] = told
            return None
        victim = next(iter(self.probation or self.protected))
        if self.sketch.count(candidate) <= self.sketch.count(victim):
            return candidate
        (self.probation if self.probation else self.protected).pop(victim)
        self.probation[candidate] = told
        return victim

    def clear(self) -> None:
        """Forget the entries, not how often they were seen."""
        self.window, self.probation, self.protected = {}, {}, {}
