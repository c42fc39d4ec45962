"""The sequence check: determines the changes in an answer, and whether events are missing from it.

    the answer                                              anomaly    next position
    continues after the current position                    none       of its last event
    has only events up to the current position, which the   DUPLICATE  unchanged
    poll did not ask for again
    omits an event, or ends before the position that it     GAP        0: poll for a snapshot
    states
    states a position below the current one, or has a       RESET      of its last event, or 0 if events
    different event at the current position than received              are missing

Pure functions; the caller holds the position.
"""

from dataclasses import dataclass
from enum import Enum

from query_gateway.discovery.endpoint_list import EndpointListAnswer, EndpointListEvent
from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState


class SequenceAnomaly(Enum):
    """How the positions of an answer break the sequence; the values appear in the log."""

    RESET = "sequence-reset"  # the service restarted its numbering
    GAP = "sequence-gap"  # events are missing
    DUPLICATE = "duplicate"  # all of its events were received before


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """The changes in an answer: the whole list if it has a snapshot, else the endpoints that have changed."""

    position: int  # of the last event received; 0: the next poll must be for a snapshot
    is_snapshot: bool
    endpoints: list[Endpoint]
    anomaly: SequenceAnomaly | None = None


def reconcile(
    position: int, answer: EndpointListAnswer, verified_event: EndpointListEvent | None = None
) -> EndpointListChange:
    """Check the answer to a poll from `position`: the positions of its events must be consecutive.

    `verified_event`: the event received at `position`, if the poll asked for it again. If the answer lacks
    it, the service restarted its numbering and has since passed `position`.

    The endpoints in the answer are all applied, in one step. If events are missing, the next poll must be for
    a snapshot. Otherwise, a service that restarted its numbering, or states a position beyond the events that
    it sends, would leave the gateway at a position that the service does not reach: every later answer would
    be ignored, and the list would never change again.
    """
    has_reset = answer.position < position or (
        verified_event is not None and verified_event not in answer.events
    )
    last_position = 0 if has_reset else position
    is_duplicate = (
        bool(answer.events) and answer.events[-1].position <= last_position and verified_event is None
    )
    is_snapshot = has_gap = False
    endpoints = dict[str, Endpoint]()
    for event in answer.events:
        if event.position <= last_position:  # received before
            continue
        if event.is_snapshot:
            is_snapshot, endpoints = True, {}
        has_gap |= event.position != last_position + 1 and not event.is_snapshot
        last_position = event.position
        endpoints |= {endpoint.info.name: endpoint for endpoint in event.endpoints}
    has_gap |= last_position < answer.position
    changed = list(endpoints.values())
    if is_snapshot:
        changed = [endpoint for endpoint in changed if endpoint.info.state is not EndpointState.REMOVED]
    anomaly = _anomaly(has_reset, has_gap, is_duplicate)
    return EndpointListChange(0 if has_gap else last_position, is_snapshot, changed, anomaly)


def _anomaly(has_reset: bool, has_gap: bool, is_duplicate: bool) -> SequenceAnomaly | None:
    """The anomaly to report, or None; of several, RESET takes precedence, then GAP."""
    if has_reset:
        return SequenceAnomaly.RESET
    if has_gap:
        return SequenceAnomaly.GAP
    return SequenceAnomaly.DUPLICATE if is_duplicate else None
