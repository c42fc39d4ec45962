"""Key quarantine: requests with a key wait for a while after their planner was lost.

The lost planner may have had a request of the key at an engine. The quarantine gives that one time to end, so
that the next request of the key does not overtake it.
"""

from collections.abc import Callable

from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.messages import CallAt
from query_gateway.model.settings import Settings
from query_gateway.policy.key_quarantine import key_quarantine_end


class KeyQuarantine:
    """The quarantine of each planner's keys, and the exchanges that wait for its end, in order of arrival."""

    def __init__(
        self, clock: Callable[[], int], call_at: CallAt, on_released: Callable[[Exchange], None]
    ) -> None:
        """`on_released` takes each exchange when its quarantine has ended, those of a planner in order."""
        self.clock = clock
        self.call_at = call_at
        self.on_released = on_released
        self.ends_at: dict[int, int] = {}  # clock time by planner
        self.queues: dict[int, list[Exchange]] = {}  # by planner; absent when empty

    def start(self, planner_index: int, settings: Settings) -> None:
        """Quarantine the keys of a planner from now on; one that is running is prolonged."""
        self.ends_at[planner_index] = key_quarantine_end(settings, self.clock())

    def applies_to(self, exchange: Exchange) -> bool:
        """Whether the exchange must wait.

        It also waits behind a queue whose time is over but which was not released yet: else it would overtake
        earlier requests of its key.
        """
        if not exchange.request.key:
            return False
        index = exchange.planner_index
        return index in self.queues or self.ends_at.get(index, 0) > self.clock()

    def queue(self, exchange: Exchange) -> None:
        """Let the exchange wait for the end of the quarantine."""
        waiting = self.queues.setdefault(exchange.planner_index, [])
        waiting.append(exchange)
        if len(waiting) == 1:
            self._release_when_over(exchange.planner_index)

    def _release_when_over(self, planner_index: int) -> None:
        """Release the whole queue at once: guards its order against a request that comes at its end."""
        if self.ends_at[planner_index] > self.clock():
            self.call_at(self.ends_at[planner_index], lambda: self._release_when_over(planner_index))
            return
        for exchange in self.queues.pop(planner_index, []):
            self.on_released(exchange)
