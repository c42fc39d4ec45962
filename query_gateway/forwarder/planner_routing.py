"""The planners of a forwarder, and which of them a request goes to."""

from dataclasses import dataclass
from zlib import crc32

from query_gateway.forwarder.messages import Notify
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class PlannerConnection:
    """One planner as the forwarder reaches it, in this process or in another."""

    notify: Notify
    connected: bool  # whether events reach it
    settings: Settings | None  # sent when it connects; None until a reload: it keeps those it started with


class PlannerRouter:
    """Chooses a planner for each request; the list of planners is the forwarder's and grows at start only."""

    def __init__(self, planners: list[PlannerConnection]) -> None:
        """Route among `planners`, which the caller owns."""
        self.planners = planners
        self.requests_routed = 0

    def planner_index(self, key: str | None) -> int:
        """The planner for a request: a key always goes to the same one, connected or not.

        Only one planner can keep the requests of a key in order. Those without a key are spread evenly over
        the planners that are connected.
        """
        if key:
            return crc32(key.encode()) % len(self.planners)
        connected = [index for index, planner in enumerate(self.planners) if planner.connected] or [0]
        self.requests_routed += 1
        return connected[self.requests_routed % len(connected)]
