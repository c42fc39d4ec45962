"""Planner routing: selects the planner that decides on a request.

Input:      the key of the request, and which planners are connected
Result:     one planner, for the whole life of the request
Rationale:  only a single planner can keep the requests of a key in order; requests without a key are spread
            evenly
"""

from dataclasses import dataclass
from zlib import crc32

from query_gateway.forwarder.messages import Notify
from query_gateway.model.endpoints import EndpointInfo, EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, Event, SettingsUpdate
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class PlannerConnection:
    """The connection to one planner, in this process or in another."""

    index: int
    notify: Notify
    connected: bool  # whether events reach the planner
    # Sent whenever the planner connects; None: nothing is sent, and it uses those that it read at its start
    settings: Settings | None

    def connect(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Send a planner that has started the state it needs to decide: its settings, then all endpoints."""
        self.connected = True
        if self.settings:  # the settings that it read at its start may number the classes differently
            all_classes = tuple(range(len(self.settings.classes)))
            self.notify(SettingsUpdate(self.settings, all_classes))
        self.notify(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints))

    def update_settings(self, settings: Settings, new_classes: tuple[int, ...]) -> None:
        """Send new settings to the planner; `new_classes` are the numbers that now denote another class."""
        self.settings = settings
        self.notify(SettingsUpdate(settings, new_classes))


class PlannerRouter:
    """The planners of a forwarder, which are added only at start."""

    def __init__(self) -> None:
        """Start without planners."""
        self.planners: list[PlannerConnection] = []
        self.keyless_requests_routed = 0

    @property
    def any_connected(self) -> bool:
        """Whether any planner is connected and can decide on requests."""
        return any(planner.connected for planner in self.planners)

    def add(self, notify: Notify, connected: bool, settings: Settings | None = None) -> None:
        """Add a planner; `settings`, if given, are sent to it whenever it connects."""
        self.planners.append(PlannerConnection(len(self.planners), notify, connected, settings))

    def notify_all(self, event: Event) -> None:
        """Send an event to every planner."""
        for planner in self.planners:
            planner.notify(event)

    def planner_for(self, key: str | None) -> PlannerConnection:
        """The planner that decides on a request with this key.

        A key is always routed to the same planner, connected or not. Requests without a key are distributed
        round-robin over the connected planners; if none is connected, they go to the first planner.
        """
        if key:
            return self.planners[crc32(key.encode()) % len(self.planners)]
        connected = [planner for planner in self.planners if planner.connected] or self.planners[:1]
        self.keyless_requests_routed += 1
        return connected[self.keyless_requests_routed % len(connected)]
