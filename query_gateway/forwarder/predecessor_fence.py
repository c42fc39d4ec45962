"""The predecessor fence: requests with a key are run by one process of a hot upgrade at a time.

    NONE --this process starts as a successor--> SERVING --it drains--> DRAINING --it has ended--> NONE
                                                    `-------- it has ended ----------------------^

Each process orders the requests of a key that it knows, and nothing of that order is transferred. While the
predecessor serves, it may take requests of any key, so that all of ours are rejected. While it drains it
takes none, but may still run some, so that ours wait; once it has ended, for one key quarantine more.
"""

from collections.abc import Callable
from enum import Enum

from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.key_quarantine import KeyQuarantine
from query_gateway.forwarder.planner_routing import PlannerRouter
from query_gateway.model.settings import Settings


class PredecessorState(Enum):
    """The process before this one, as far as it runs requests of keys."""

    NONE = "none"  # none runs
    SERVING = "serving"  # it accepts clients, as this one does
    DRAINING = "draining"  # it answers what is open there


class PredecessorFence:
    """Follows the predecessor; what waits is in the key quarantine."""

    def __init__(
        self, router: PlannerRouter, key_quarantine: KeyQuarantine[Exchange], settings: Callable[[], Settings]
    ) -> None:
        """There is no predecessor. `settings` returns those in force."""
        self.router, self.key_quarantine, self.settings = router, key_quarantine, settings
        self.state = PredecessorState.NONE

    def rejects(self, key: str | None) -> bool:
        """Whether a request with this key must be rejected."""
        return bool(key) and self.state is PredecessorState.SERVING

    def on_serving(self) -> None:
        """A predecessor accepts clients beside this process."""
        self.state = PredecessorState.SERVING

    def on_draining(self) -> None:
        """The predecessor accepts nothing more."""
        self.state = PredecessorState.DRAINING
        for planner in self.router.planners:
            self.key_quarantine.start_unbounded(planner.index)

    def on_ended(self) -> None:
        """The predecessor, if there was one, has ended."""
        if self.state is PredecessorState.NONE:
            return
        self.state = PredecessorState.NONE
        for planner in self.router.planners:
            self.key_quarantine.end_later(planner.index, self.settings())
