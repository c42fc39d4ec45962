"""Applies the answers of the discovery service to the endpoint list, and tracks the position in its events.

The service numbers its events consecutively. The feed has two states:

    IN_SEQUENCE --the service restarted its numbering--> RESYNCING --snapshot--> IN_SEQUENCE

    In either state, position 0 means that an event is missing: the next poll asks for a snapshot.

A restarted service may have older information than this process. While RESYNCING, endpoints that it reports
as up are therefore checked against the tombstones.

RESYNCING covers only restarted numbering (`SequenceAnomaly.RESET`). The reason code `Reason.RESYNC`, with
which `EndpointWatchClient` closes its connection, covers more: an answer that sets the position back because
of a restart or a gap, and one that contains nothing new and comes immediately.
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
    """Whether the service still numbers its events as before; see the module's description."""

    IN_SEQUENCE = "in sequence"
    RESYNCING = "resyncing"  # the service restarted its numbering and has sent no snapshot since


class EndpointFeed:
    """Checks each answer of the discovery service against the last event received, and applies it.

    Owns the position, the tombstones and the translated start times.
    """

    def __init__(self, forwarder: Forwarder, names: ZoneAndKindNames, start_times: StartTimes) -> None:
        """Start without a position; `apply_initial_list` sets it."""
        self.forwarder, self.names, self.start_times = forwarder, names, start_times
        self.state = FeedState.IN_SEQUENCE
        # Clock time of the last answer, as of which the list is complete; None: that answer may lack events
        self.complete_at: int | None = None
        self.position = 0  # of the last event received; 0: a snapshot is needed
        self.newest_event: EndpointListEvent | None = None  # the event at that position
        self.tombstones = EndpointTombstones()

    def apply_initial_list(self, answer: EndpointListAnswer) -> None:
        """Apply the endpoint list in the configuration, and take over the position that the list states.

        The first poll asks for the events after that position, even if the list lacks events before it. (An
        answer of the service that lacks events sets the position to 0, so that the next poll is for a
        snapshot.)
        """
        change = reconcile(0, answer)
        self._publish(self._with_steady_start_times(change), change.is_snapshot)
        self._record_position(answer.position, answer.events)

    def apply_answer(self, raw: Any, repeats_newest: bool = False) -> int:
        """Apply an answer of the discovery service and return the new position.

        `repeats_newest`: the poll asked for the event at the current position again, and for those after it.
        Raises ValueError without any change if the answer cannot be decoded.
        """
        answer = self._decode(raw)
        change = reconcile(self.position, answer, self.newest_event if repeats_newest else None)
        if change.anomaly is SequenceAnomaly.RESET:
            self.state = FeedState.RESYNCING
        endpoints = self._with_steady_start_times(change)
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
            # The watch client logs the type of the exception, and that log line must stay the same
            raise ValueError(str(error)) from None

    def _log_anomaly(self, anomaly: SequenceAnomaly, answer_position: int, new_position: int) -> None:
        positions = f"position {self.position}, answer ends at {answer_position}; new position {new_position}"
        log("discovery", f"{anomaly.value}: {positions}")

    def _with_steady_start_times(self, change: EndpointListChange) -> list[Endpoint]:
        """Return the endpoints of a change with start times on the steady clock, and update `complete_at`."""
        endpoints = self.start_times.translate(
            change.endpoints, None if change.is_snapshot else self.complete_at
        )
        may_lack_events = change.anomaly is not None and not change.is_snapshot
        self.complete_at = None if may_lack_events else self.forwarder.clock()
        return endpoints

    def _publish(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        # Recorded first, because the tombstones need the list as it was before this change
        self.tombstones.record(endpoints, is_snapshot, self.forwarder.endpoints)
        self.forwarder.update_endpoints(endpoints, is_snapshot)

    def _record_position(self, position: int, events: tuple[EndpointListEvent, ...]) -> None:
        self.position = position
        self.newest_event = next(
            (event for event in reversed(events) if event.position == position), self.newest_event
        )
