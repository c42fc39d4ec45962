"""The gateway's position in the endpoint list's events, and what each answer changes."""

from typing import Any

from query_gateway.discovery.endpoint_list import (
    EndpointListError,
    EndpointListEvent,
    EndpointTombstones,
    ZoneAndKindNames,
    changes_of,
    follow,
)
from query_gateway.forwarder.exchange import Forwarder
from query_gateway.forwarder.messages import Endpoint
from query_gateway.net.log import log

RESYNC_ANOMALY = "began-anew"  # of an answer: the service numbers its events from the start again


class EndpointFeed:
    """Checks every answer of the discovery service against the last event received, and passes it on."""

    def __init__(self, forwarder: Forwarder, names: ZoneAndKindNames) -> None:
        """The feed is empty before `take_initial`."""
        self.forwarder, self.names = forwarder, names
        self.position = 0  # the number of the last event; 0: a snapshot is needed
        self.newest: EndpointListEvent | None = None  # and that event
        self.resyncing = False  # the service has restarted its numbers, and sent no snapshot since
        self.tombstones = EndpointTombstones()

    def take_initial(self, raw: Any) -> None:
        """Take the list that the configuration contains. Raises EndpointListError.

        The position is as the configuration says, also where events are missing: the first poll is for
        what comes after.
        """
        last, events = changes_of(raw, self.names)
        change = follow(0, last, events)
        self._publish(change.endpoints, change.is_snapshot)
        self._record_position(last, events)

    def take_answer(self, raw: Any, repeats_newest: bool = False) -> int:
        """Take an answer of the discovery service and return the new position. Raises ValueError.

        `repeats_newest`: the poll was for the newest event once more, and what follows it.
        """
        try:
            last, events = changes_of(raw, self.names)
        except EndpointListError as error:
            raise ValueError(str(error)) from None
        change = follow(self.position, last, events, self.newest if repeats_newest else None)
        self.resyncing |= change.anomaly == RESYNC_ANOMALY
        endpoints = self.tombstones.apply(change.endpoints) if self.resyncing else change.endpoints
        if change.is_snapshot or endpoints:
            self._publish(endpoints, change.is_snapshot)
        self.resyncing &= not change.is_snapshot
        if change.anomaly:
            log(
                "discovery",
                f"{change.anomaly}: held {self.position}, told to {last}; held now {change.position}",
            )
        self._record_position(change.position, events)
        return self.position

    def _publish(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        # The tombstones first: they compare with the list as it stood before this change
        self.tombstones.record(endpoints, is_snapshot, self.forwarder.endpoints)
        self.forwarder.update_endpoints(endpoints, is_snapshot)

    def _record_position(self, position: int, events: list[EndpointListEvent]) -> None:
        self.position = position
        self.newest = next((event for event in reversed(events) if event[0] == position), self.newest)
