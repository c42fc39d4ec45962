"""Planner routing: the planners of a forwarder, and which of them decides on a request.

Inputs  the request's key, and which planners are connected
Answer  one planner, from its acceptance until its end
Reason  only one planner can keep the requests of a key in order; all others are spread evenly
"""

from dataclasses import dataclass
from zlib import crc32

from query_gateway.forwarder.messages import Notify
from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, Event, SettingsUpdate
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class PlannerConnection:
    """One planner as the forwarder reaches it, in this process or in another."""

    index: int
    notify: Notify
    connected: bool  # whether events reach it
    settings: Settings | None  # sent when it connects; None until a reload: it keeps those it started with

    def connect(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Send a planner that has started what it needs to decide: its settings, then all endpoints."""
        self.connected = True
        if self.settings:  # the settings it read at its start may number the classes otherwise
            all_classes = tuple(range(len(self.settings.classes)))
            self.notify(SettingsUpdate(self.settings, all_classes))
        self.notify(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))

    def update_settings(self, settings: Settings, new_classes: tuple[int, ...]) -> None:
        """Give it other settings; `new_classes` are the numbers that stand for another class from now on."""
        self.settings = settings
        self.notify(SettingsUpdate(settings, new_classes))


class PlannerRouter:
    """The planners of a forwarder; they are added at start only."""

    def __init__(self) -> None:
        """Begin without planners."""
        self.planners: list[PlannerConnection] = []
        self.requests_routed = 0  # those without a key

    @property
    def any_connected(self) -> bool:
        """Whether any planner can decide."""
        return any(planner.connected for planner in self.planners)

    def add(self, notify: Notify, connected: bool, settings: Settings | None = None) -> None:
        """Add a planner; `settings`, if any, are sent to it whenever it connects."""
        self.planners.append(PlannerConnection(len(self.planners), notify, connected, settings))

    def notify_all(self, event: Event) -> None:
        """Send an event to every planner."""
        for planner in self.planners:
            planner.notify(event)

    def planner_for(self, key: str | None) -> PlannerConnection:
        """The planner that decides on a request with this key.

        A key always goes to the same planner, connected or not. Requests without a key take turns among the
        planners that are connected.
        """
        if key:
            return self.planners[crc32(key.encode()) % len(self.planners)]
        connected = [planner for planner in self.planners if planner.connected] or self.planners[:1]
        self.requests_routed += 1
        return connected[self.requests_routed % len(connected)]
