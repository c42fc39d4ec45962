"""When the bytes of a connection came: a peer's time runs from then, however long we took to turn to them."""

from typing import NamedTuple

MAX_ENTRIES = 64  # kept of one connection; beyond it two are joined, at the earlier time


class _Arrival(NamedTuple):
    end: int  # how many bytes had been received with it
    at: float


class ArrivalLog:
    """The reads of one connection. Times are loop times in seconds."""

    def __init__(self) -> None:
        """Nothing has come."""
        self.received = 0  # bytes since the connection began
        self._arrivals: list[_Arrival] = []  # few; an empty list is smaller than a deque

    def record(self, size: int, at: float) -> None:
        """Note that so many further bytes have come, `at` the earliest."""
        self.received += size
        if len(self._arrivals) >= MAX_ENTRIES:
            at = self._arrivals.pop().at
        self._arrivals.append(_Arrival(self.received, at))

    def time_of(self, position: int, default: float) -> float:
        """When the byte at a position, counted from 1, had come; the bytes before it are forgotten."""
        while self._arrivals and self._arrivals[0].end < position:
            del self._arrivals[0]
        return self._arrivals[0].at if self._arrivals else default
