"""When the bytes of a connection came: a peer's time runs from then, however late the loop reads them."""

from typing import NamedTuple

MAX_ENTRIES = 64  # kept of one connection; beyond it two are joined, at the earlier time


class _Arrival(NamedTuple):
    end_position: int  # how many bytes had been received with it
    time: "ArrivalTime"


class ArrivalTime(NamedTuple):
    """When bytes had come, in loop times: within this span."""

    earliest: float
    latest: float  # the same as `earliest` where the machine does not tell it


class ArrivalLog:
    """The reads of one connection. Times are loop times in seconds."""

    def __init__(self, unread_since: float | None = None) -> None:
        """Nothing has been read; `unread_since`: what is read first may have waited since then."""
        self.received = 0  # bytes since the connection began
        self.unread_since = unread_since  # what is read next may have waited since then; None: not long
        self._arrivals: list[_Arrival] = []  # few; an empty list is smaller than a deque

    def record_read(self, size: int, time: ArrivalTime, more_waits: bool) -> None:
        """Note a read of so many bytes, which came at that time, or earlier where they were left unread.

        `more_waits`: further bytes that came with them may be unread still.
        """
        if self.unread_since is not None:
            time = ArrivalTime(min(time.earliest, self.unread_since), time.latest)
            if not more_waits:
                self.unread_since = None
        self.record(size, time)

    def record(self, size: int, time: ArrivalTime) -> None:
        """Note that so many further bytes have come."""
        self.received += size
        if len(self._arrivals) >= MAX_ENTRIES:
            time = ArrivalTime(self._arrivals.pop().time.earliest, time.latest)
        self._arrivals.append(_Arrival(self.received, time))

    def time_of(self, position: int, default: float) -> ArrivalTime:
        """When the byte at a position, counted from 1, had come; the bytes before it are forgotten."""
        while self._arrivals and self._arrivals[0].end_position < position:
            del self._arrivals[0]
        return self._arrivals[0].time if self._arrivals else ArrivalTime(default, default)
