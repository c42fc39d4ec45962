"""The gateway's position in the events of the endpoint list, and what each answer changes.

The positions of the service's events go up by one. What the feed knows of them:

    IN_SEQUENCE --the service restarted its numbering--> RESYNCING --snapshot--> IN_SEQUENCE

    position 0: an event is missing, so the next poll is for a snapshot, whichever the state is

A service that has restarted may know less than this process does. While RESYNCING, the tombstones decide
which of the endpoints that it reports as up are so.

RESYNCING covers restarted numbering alone (`SequenceAnomaly.RESET`). The reason code `Reason.RESYNC` ends the
connection of a poll (`EndpointWatchClient`) and covers more: an answer that sets the position back, by a
restart or a gap, and one that brought nothing and came at once.
"""

from enum import Enum
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


class FeedState(Enum):
    """Whether the service's events follow on those that were received before; see the drawing above."""

    IN_SEQUENCE = "in sequence"
    RESYNCING = "resyncing"  # the service has restarted its numbering, and sent no snapshot since


class EndpointFeed:
    """Checks every answer of the discovery service against the last event received, and applies it.

    Owns the position, the tombstones and the translated start times.
    """

    def __init__(self, forwarder: Forwarder, names: ZoneAndKindNames, start_times: StartTimes) -> None:
        """The feed has no position before `apply_initial_list`."""
        self.forwarder, self.names, self.start_times = forwarder, names, start_times
        self.state = FeedState.IN_SEQUENCE
        self.complete_at: int | None = None  # clock time of the last answer; None: events were missing in it
        self.position = 0  # of the last event received; 0: a snapshot is needed
        self.newest_event: EndpointListEvent | None = None  # the event at that position
        self.tombstones = EndpointTombstones()

    def apply_initial_list(self, answer: EndpointListAnswer) -> None:
        """Apply the list that the configuration contains.

        The position is the one in the configuration, also where events are missing: the first poll is for
        the events behind it.
        """
        change = reconcile(0, answer)
        self._publish(self._with_steady_starts(change), change.is_snapshot)
        self._record_position(answer.position, answer.events)

    def apply_answer(self, raw: Any, repeats_newest: bool = False) -> int:
        """Apply an answer of the discovery service and return the new position.

        `repeats_newest`: the poll was for the newest event once more, and those behind it. Raises ValueError
        if the answer cannot be decoded; then nothing has changed.
        """
        answer = self._decode(raw)
        change = reconcile(self.position, answer, self.newest_event if repeats_newest else None)
        if change.anomaly is SequenceAnomaly.RESET:
            self.state = FeedState.RESYNCING
        endpoints = self._with_steady_starts(change)
        if self.state is FeedState.RESYNCING:
            endpoints = self.tombstones.apply(endpoints)
        if change.is_snapshot or endpoints:
            self._publish(endpoints, change.is_snapshot)
        if change.is_snapshot:
            self.state = FeedState.IN_SEQUENCE
        if change.anomaly:
            self._log_anomaly(change.anomaly, answer.position, change.position)
        self._record_position(change.position, answer.events)
        return self.position

    def _decode(self, raw: Any) -> EndpointListAnswer:
        try:
            return parse_answer(raw, self.names)
        except EndpointListError as error:
            # The watch client logs the type of an error as well, and that line stays as it is
            raise ValueError(str(error)) from None

    def _log_anomaly(self, anomaly: SequenceAnomaly, answer_position: int, new_position: int) -> None:
        positions = f"position {self.position}, answer to {answer_position}; position now {new_position}"
        log("discovery", f"{anomaly.value}: {positions}")

    def _with_steady_starts(self, change: EndpointListChange) -> list[Endpoint]:
        """The endpoints of a change, with their start times on the steady clock."""
        endpoints = self.start_times.translate(
            change.endpoints, None if change.is_snapshot else self.complete_at
        )
        has_gap = change.anomaly is not None and not change.is_snapshot
        self.complete_at = None if has_gap else self.forwarder.clock()
        return endpoints

    def _publish(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        # The tombstones compare with the list as it was before this change, so they are recorded first
        self.tombstones.record(endpoints, is_snapshot, self.forwarder.endpoints)
        self.forwarder.update_endpoints(endpoints, is_snapshot)

    def _record_position(self, position: int, events: tuple[EndpointListEvent, ...]) -> None:
        self.position = position
        self.newest_event = next(
            (event for event in reversed(events) if event.position == position), self.newest_event
        )
