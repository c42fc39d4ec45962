"""The gateway's position in the endpoint list's events, and what each answer changes."""

from typing import Any

from query_gateway.discovery.endpoint_list import (
    EndpointListAnswer,
    EndpointListError,
    EndpointListEvent,
    ZoneAndKindNames,
    parse_answer,
)
from query_gateway.discovery.reconciliation import EndpointListChange, SequenceAnomaly, reconcile
from query_gateway.discovery.start_times import StartTimes
from query_gateway.discovery.tombstones import EndpointTombstones
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import Endpoint
from query_gateway.net.log import log


class EndpointFeed:
    """Checks every answer of the discovery service against the last event received, and passes it on."""

    def __init__(self, forwarder: Forwarder, names: ZoneAndKindNames, start_times: StartTimes) -> None:
        """The feed is empty before `take_initial`."""
        self.forwarder, self.names, self.start_times = forwarder, names, start_times
        self.answered_at: int | None = None  # clock time of the last answer that left nothing out
        self.position = 0  # the number of the last event; 0: a snapshot is needed
        self.newest: EndpointListEvent | None = None  # and that event
        self.resyncing = False  # the service has restarted its numbers, and sent no snapshot since
        self.tombstones = EndpointTombstones()

    def take_initial(self, answer: EndpointListAnswer) -> None:
        """Take the list that the configuration contains.

        The position is as the configuration says, also where events are missing: the first poll is for
        what comes after.
        """
        change = reconcile(0, answer)
        self._publish(self._on_our_clock(change), change.is_snapshot)
        self._record_position(answer.position, answer.events)

    def take_answer(self, raw: Any, repeats_newest: bool = False) -> int:
        """Take an answer of the discovery service and return the new position. Raises ValueError.

        `repeats_newest`: the poll was for the newest event once more, and what follows it.
        """
        try:
            answer = parse_answer(raw, self.names)
        except EndpointListError as error:
            raise ValueError(str(error)) from None
        change = reconcile(self.position, answer, self.newest if repeats_newest else None)
        self.resyncing |= change.anomaly is SequenceAnomaly.RESET
        endpoints = self._on_our_clock(change)
        if self.resyncing:
            endpoints = self.tombstones.apply(endpoints)
        if change.is_snapshot or endpoints:
            self._publish(endpoints, change.is_snapshot)
        self.resyncing &= not change.is_snapshot
        if change.anomaly:
            positions = (
                f"position {self.position}, answer to {answer.position}; position now {change.position}"
            )
            log("discovery", f"{change.anomaly.value}: {positions}")
        self._record_position(change.position, answer.events)
        return self.position

    def _on_our_clock(self, change: EndpointListChange) -> list[Endpoint]:
        """The endpoints of a change, with their starts on our clock."""
        endpoints = self.start_times.translate(
            change.endpoints, None if change.is_snapshot else self.answered_at
        )
        has_gap = change.anomaly is not None and not change.is_snapshot
        self.answered_at = None if has_gap else self.forwarder.clock()
        return endpoints

    def _publish(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        # The tombstones first: they compare with the list as it stood before this change
        self.tombstones.record(endpoints, is_snapshot, self.forwarder.endpoints)
        self.forwarder.update_endpoints(endpoints, is_snapshot)

    def _record_position(self, position: int, events: tuple[EndpointListEvent, ...]) -> None:
        self.position = position
        self.newest = next((event for event in reversed(events) if event.position == position), self.newest)
