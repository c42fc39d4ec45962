"""The bytes that are queued to be written to a connection, and the callbacks for when they have left."""

from collections.abc import Callable
from typing import NamedTuple


class _Mark(NamedTuple):
    """How many of the bytes ever queued must have left for a callback to be due."""

    end: int
    callback: Callable[[], None]


class Outbox:
    """Bytes in the order in which they leave; empty if there are none. Knows no socket."""

    def __init__(self) -> None:
        """Nothing is queued."""
        self.data = bytearray()
        self._queued = 0  # bytes ever queued, less those dropped
        self._marks: list[_Mark] = []  # few; an empty list is smaller than a deque

    def __len__(self) -> int:
        """Bytes that have not left."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Queue bytes behind those that are there."""
        self.data += data
        self._queued += len(data)

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call once all that is queued now has left; never, if it is dropped."""
        self._marks.append(_Mark(self._queued, callback))

    def remove_sent(self, count: int) -> None:
        """Remove the first bytes, which have left, and call the callbacks that are due by that."""
        del self.data[:count]
        while self._marks and self._marks[0].end <= self._queued - len(self.data):
            self._marks.pop(0).callback()

    def drop(self) -> None:
        """Drop what has not left; none of its callbacks is called."""
        self._queued -= len(self.data)
        self.data.clear()
        self._marks.clear()
