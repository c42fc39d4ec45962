"""Arrival order: a request with a key waits until all requests that arrived earlier have been read.

The kernel accepts connections and buffers requests while this process is not reading, and then reports them
as readable in no particular order. A planner runs the requests of a key in the order of its notifications, so
it must not be notified of a request while an earlier one may still be unread, or is read but not passed on.
Every request with a key therefore passes through this queue, also one that need not wait.

Input:   the arrival time of the request, and the watermark: the time up to which all arrivals have been read
Result:  the requests that may be passed on, in arrival order
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Protocol


class Watermark(Protocol):
    """The read progress, as a clock time in nanoseconds."""

    @property
    def read_through(self) -> int:
        """The time up to which all arrived requests have been read."""

    def await_progress(self, is_awaited: bool) -> None:
        """Tell the watermark whether any request is waiting for it to advance."""

    def release_soon(self) -> None:
        """Have `ArrivalOrder.release` called soon, even if the watermark cannot advance."""


@dataclass(slots=True, frozen=True)
class _Entry:
    arrived_at: int  # clock time
    sequence: int  # breaks ties between equal arrival times
    release: Callable[[], None]


class ArrivalOrder:
    """The requests that wait for the watermark, by request id."""

    def __init__(self, watermark: Watermark) -> None:
        """Start with an empty queue."""
        self.watermark = watermark
        self._entries: dict[object, _Entry] = {}
        self._sequence = count()

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests, and of waiting callbacks of `Forwarder.call_in_order`."""
        return len(self._entries)

    def must_wait(self, arrived_at: int) -> bool:
        """Whether an earlier request may still be unread."""
        return arrived_at > self.watermark.read_through

    def queue(self, request_id: object, arrived_at: int, release: Callable[[], None]) -> None:
        """Call `release` once all earlier requests have been read, unless the request is removed first."""
        self._entries[request_id] = _Entry(arrived_at, next(self._sequence), release)
        self.watermark.await_progress(True)
        if not self.must_wait(arrived_at):
            self.watermark.release_soon()

    def remove(self, request_id: object) -> None:
        """Drop a request that has ended; no effect if it is not waiting."""
        self._entries.pop(request_id, None)

    def release(self) -> None:
        """Release every request that the watermark has reached; called at the end of each loop turn."""
        if not self._entries:
            return
        read_through = self.watermark.read_through
        due = [item for item in self._entries.items() if item[1].arrived_at <= read_through]
        for request_id, entry in sorted(due, key=lambda item: (item[1].arrived_at, item[1].sequence)):
            if self._entries.pop(request_id, None):  # an earlier release may have removed it
                entry.release()
        self.watermark.await_progress(bool(self._entries))
