"""Key quarantine: requests with a key are queued for some time after the loss of their planner.

An engine may still be running a request of the key that the lost planner sent. The restarted planner does not
know of it and would send the next request of the key at once, so that the two could change the same rows in
either order. The quarantine gives the earlier request time to end.

The same applies in a hot upgrade: the predecessor runs requests with keys that this process does not know of.

Input:   the request's planner and key, if any, and the duration of the quarantine (nanoseconds)
Result:  whether the request must wait; waiting requests are released together, in arrival order
"""

from collections.abc import Callable
from typing import Final, Generic, TypeVar

from query_gateway.forwarder.messages import CallAt
from query_gateway.model.settings import Settings
from query_gateway.policy.key_quarantine import key_quarantine_end

UNBOUNDED: Final = 2**63  # later than any clock time

Queued = TypeVar("Queued")  # the type of the queued requests


class KeyQuarantine(Generic[Queued]):
    """The key quarantine of each planner, with the requests that wait for its end in arrival order."""

    def __init__(
        self, clock: Callable[[], int], call_at: CallAt, on_released: Callable[[Queued], None]
    ) -> None:
        """`on_released` is called with each request after its quarantine, in arrival order per planner."""
        self.clock = clock
        self.call_at = call_at
        self.on_released = on_released
        self.ends_at: dict[int, int] = {}  # clock time by planner
        self.queues: dict[int, list[Queued]] = {}  # by planner; absent when empty

    def start(self, planner_index: int, settings: Settings) -> None:
        """Quarantine the keys of a planner from now on; a running quarantine is extended."""
        self.ends_at[planner_index] = key_quarantine_end(settings, self.clock())

    def start_unbounded(self, planner_index: int) -> None:
        """Quarantine the keys of a planner until `end_later` bounds the quarantine."""
        self.ends_at[planner_index] = UNBOUNDED

    def end_later(self, planner_index: int, settings: Settings) -> None:
        """Give an unbounded quarantine an end: it runs for the usual duration from now on."""
        self.start(planner_index, settings)
        if planner_index in self.queues:
            self._release_when_over(planner_index)

    def applies_to(self, planner_index: int, key: str | None) -> bool:
        """Whether a request with this key must wait.

        A request may arrive after the end of the quarantine but before the timer has released the queue. So
        that it does not overtake earlier requests of its key, it waits as long as the queue exists.
        """
        if not key:
            return False
        return planner_index in self.queues or self.ends_at.get(planner_index, 0) > self.clock()

    def queue(self, planner_index: int, request: Queued) -> None:
        """Queue a request until the end of its planner's quarantine."""
        queue = self.queues.setdefault(planner_index, [])
        queue.append(request)
        if len(queue) == 1:
            self._release_when_over(planner_index)

    def _release_when_over(self, planner_index: int) -> None:
        """Release the queue, or set the timer again if the quarantine was extended.

        The whole queue is released at once; otherwise a request that arrives in between could overtake those
        still queued.
        """
        if self.ends_at[planner_index] == UNBOUNDED:
            return
        if self.ends_at[planner_index] > self.clock():
            self.call_at(self.ends_at[planner_index], lambda: self._release_when_over(planner_index))
            return
        for request in self.queues.pop(planner_index, []):
            self.on_released(request)
