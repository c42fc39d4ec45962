"""The predecessor fence: in a hot upgrade only one process at a time runs requests with a key.

    NONE --this process starts as a successor--> SERVING --predecessor drains--> DRAINING
    SERVING, DRAINING --predecessor has ended--> NONE

Each process orders only the requests that it has received itself; the order is not transferred to the
successor. While the predecessor serves, it may accept requests of any key, so this process rejects all
requests with a key. While the predecessor drains, it accepts no requests but may still run some with a key,
so this process queues its own. After the predecessor has ended, these wait for one more key quarantine.
"""

from collections.abc import Callable
from enum import Enum

from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.key_quarantine import KeyQuarantine
from query_gateway.forwarder.planner_routing import PlannerRouter
from query_gateway.model.settings import Settings


class PredecessorState(Enum):
    """Whether the predecessor may accept or run requests with a key."""

    NONE = "none"  # no predecessor is running
    SERVING = "serving"  # the predecessor accepts requests, as does this process
    DRAINING = "draining"  # the predecessor only answers its open requests


class PredecessorFence:
    """Tracks the state of the predecessor; waiting requests are queued in the key quarantine."""

    def __init__(
        self, router: PlannerRouter, key_quarantine: KeyQuarantine[Exchange], settings: Callable[[], Settings]
    ) -> None:
        """Start without a predecessor; `settings` returns the settings in force."""
        self.router, self.key_quarantine, self.settings = router, key_quarantine, settings
        self.state = PredecessorState.NONE

    def rejects(self, key: str | None) -> bool:
        """Whether a request with this key must be rejected."""
        return bool(key) and self.state is PredecessorState.SERVING

    def on_serving(self) -> None:
        """Reject requests with a key from now on, as a predecessor accepts them."""
        self.state = PredecessorState.SERVING

    def on_draining(self) -> None:
        """Queue requests with a key from now on: the predecessor drains, and accepts none any more."""
        self.state = PredecessorState.DRAINING
        for planner in self.router.planners:
            self.key_quarantine.start_unbounded(planner.index)

    def on_ended(self) -> None:
        """Release the queued requests one key quarantine from now, as the predecessor has ended.

        Has no effect without a predecessor.
        """
        if self.state is PredecessorState.NONE:
            return
        self.state = PredecessorState.NONE
        for planner in self.router.planners:
            self.key_quarantine.end_later(planner.index, self.settings())
