"""Arrival order: requests with a key wait until every request that came before them is known.

The machine accepts connections and buffers requests while this process cannot read them, and reports them in
any order once it can. A planner runs the requests of a key in the order in which it is notified of them, so
it is notified of each only when no earlier one can be unread any more.

Inputs  the request's time of arrival; the watermark: the time up to which all that came is known
Answer  the requests that may be passed on, in the order of their arrival
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Protocol


class Watermark(Protocol):
    """The progress of reading, in clock time (nanoseconds)."""

    @property
    def read_through(self) -> int:
        """Every request that came before is known."""

    def await_progress(self, is_awaited: bool) -> None:
        """Whether somebody waits for the watermark to move."""


@dataclass(slots=True, frozen=True)
class _Entry:
    arrived_at: int  # clock time
    sequence: int  # of what arrived in the same moment
    release: Callable[[], None]


class ArrivalOrder:
    """What waits for the watermark, by request id."""

    def __init__(self, watermark: Watermark) -> None:
        """Nothing waits."""
        self.watermark = watermark
        self._entries: dict[object, _Entry] = {}
        self._sequence = count()

    @property
    def waiting_count(self) -> int:
        """How many wait."""
        return len(self._entries)

    def must_wait(self, arrived_at: int) -> bool:
        """Whether an earlier request may still be unknown."""
        return arrived_at > self.watermark.read_through

    def queue(self, request_id: object, arrived_at: int, release: Callable[[], None]) -> None:
        """Call `release` when the turn of a request has come, unless it is removed."""
        self._entries[request_id] = _Entry(arrived_at, next(self._sequence), release)
        self.watermark.await_progress(True)

    def remove(self, request_id: object) -> None:
        """Forget a request that has ended; harmless if it does not wait."""
        self._entries.pop(request_id, None)

    def release(self) -> None:
        """Pass on all whose turn has come; for the end of each turn of the loop."""
        if not self._entries:
            return
        read_through = self.watermark.read_through
        due = [item for item in self._entries.items() if item[1].arrived_at <= read_through]
        for request_id, entry in sorted(due, key=lambda item: (item[1].arrived_at, item[1].sequence)):
            if self._entries.pop(request_id, None):  # releasing another may have removed it
                entry.release()
        self.watermark.await_progress(bool(self._entries))
