"""Key quarantine: requests with a key wait for a while after their planner was lost.

The lost planner may have had a request of the key at an engine, where it still runs. A restarted planner does
not know of it and would send the next request of the key at once, so that the two change the same rows in
either order. The quarantine gives the first one time to end.

The same holds in a hot upgrade: the predecessor runs requests of keys of which this process does not know.

Inputs  the planner of the request, whether it has a key, and the duration of the quarantine (nanoseconds)
Answer  whether the request must wait; those that wait are released together, in the order of their arrival
"""

from collections.abc import Callable
from typing import Final, Generic, TypeVar

from query_gateway.forwarder.messages import CallAt
from query_gateway.model.settings import Settings
from query_gateway.policy.key_quarantine import key_quarantine_end

UNBOUNDED: Final = 2**63  # a clock time that never comes

Waiting = TypeVar("Waiting")  # what waits for the end of a quarantine


class KeyQuarantine(Generic[Waiting]):
    """The quarantine of each planner's keys, and what waits for its end in the order of arrival."""

    def __init__(
        self, clock: Callable[[], int], call_at: CallAt, on_released: Callable[[Waiting], None]
    ) -> None:
        """`on_released` takes what has waited when its quarantine has ended, that of one planner in order."""
        self.clock = clock
        self.call_at = call_at
        self.on_released = on_released
        self.ends_at: dict[int, int] = {}  # clock time by planner
        self.queues: dict[int, list[Waiting]] = {}  # by planner; absent when empty

    def start(self, planner_index: int, settings: Settings) -> None:
        """Quarantine the keys of a planner from now on; one that is running is prolonged."""
        self.ends_at[planner_index] = key_quarantine_end(settings, self.clock())

    def start_unbounded(self, planner_index: int) -> None:
        """Quarantine the keys of a planner until `end_later`."""
        self.ends_at[planner_index] = UNBOUNDED

    def end_later(self, planner_index: int, settings: Settings) -> None:
        """End an unbounded quarantine as if its cause had ended now."""
        self.start(planner_index, settings)
        if planner_index in self.queues:
            self._release_when_over(planner_index)

    def applies_to(self, planner_index: int, key: str | None) -> bool:
        """Whether a request with this key must wait.

        A request can come after the end of the quarantine and before the timer that releases the queue. It
        would overtake earlier requests of its key, so it waits as long as there is a queue.
        """
        if not key:
            return False
        return planner_index in self.queues or self.ends_at.get(planner_index, 0) > self.clock()

    def queue(self, planner_index: int, waiting: Waiting) -> None:
        """Let a request wait for the end of its planner's quarantine."""
        queue = self.queues.setdefault(planner_index, [])
        queue.append(waiting)
        if len(queue) == 1:
            self._release_when_over(planner_index)

    def _release_when_over(self, planner_index: int) -> None:
        """Release the queue, or wait on if the quarantine was prolonged.

        It is released all at once: if it were released one by one, a request that comes meanwhile could
        overtake the rest.
        """
        if self.ends_at[planner_index] == UNBOUNDED:
            return
        if self.ends_at[planner_index] > self.clock():
            self.call_at(self.ends_at[planner_index], lambda: self._release_when_over(planner_index))
            return
        for waiting in self.queues.pop(planner_index, []):
            self.on_released(waiting)
