"""Arrival times of the bytes of a connection.

Timeouts and deadlines of a request count from its arrival, however late the loop reads it.
"""

from typing import NamedTuple

MAX_ENTRIES = 64  # per connection; a further arrival is merged with the newest entry, spanning both times


class _Arrival(NamedTuple):
    end_position: int  # position of the last of the bytes, counted from 1 over the whole connection
    time: "ArrivalTime"


class ArrivalTime(NamedTuple):
    """The range of loop times in which bytes arrived."""

    earliest: float  # the bytes may have arrived, and waited unread, since then
    # When the newest of the bytes arrived, if the kernel reports it; otherwise the start of the loop's lag
    # (`Loop.lag`), at which they may have arrived
    latest: float


class ArrivalLog:
    """The arrival times of the bytes of one connection, as loop times in seconds."""

    def __init__(self, unread_since: float | None = None) -> None:
        """`unread_since`: the first bytes to be read may have waited since then."""
        self.received = 0  # bytes since the connection was opened
        # Loop time since which the next bytes may have been unread; None: no longer than the loop's lag
        self.unread_since = unread_since
        self._arrivals: list[_Arrival] = []  # few; an empty list is smaller than a deque

    def record_read(self, size: int, time: ArrivalTime, more_waits: bool) -> None:
        """Record a read of `size` bytes that arrived at `time`, or since `unread_since` if that is earlier.

        `more_waits`: bytes that arrived together with these may still be unread.
        """
        if self.unread_since is not None:
            time = ArrivalTime(min(time.earliest, self.unread_since), time.latest)
            if not more_waits:
                self.unread_since = None
        self.record(size, time)

    def record(self, size: int, time: ArrivalTime) -> None:
        """Record the arrival of the next `size` bytes."""
        self.received += size
        if len(self._arrivals) >= MAX_ENTRIES:
            time = ArrivalTime(self._arrivals.pop().time.earliest, time.latest)
        self._arrivals.append(_Arrival(self.received, time))

    def peek(self, position: int, default: float) -> ArrivalTime:
        """As `time_of`, for the byte at `position` or the last one received; drops no entry."""
        position = min(position, self.received)
        pending = (arrival.time for arrival in self._arrivals if arrival.end_position >= position)
        return next(pending, ArrivalTime(default, default))

    def time_of(self, position: int, default: float) -> ArrivalTime:
        """The arrival time of the byte at `position`, counted from 1, or `default` if none is recorded.

        Drops the entries before this byte.
        """
        while self._arrivals and self._arrivals[0].end_position < position:
            del self._arrivals[0]
        return self._arrivals[0].time if self._arrivals else ArrivalTime(default, default)
