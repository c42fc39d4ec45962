"""Checks an answer against the position that we hold: what it changes, and whether events are missing."""

from dataclasses import dataclass
from enum import Enum

from query_gateway.discovery.endpoint_list import EndpointListAnswer, EndpointListEvent
from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState


class SequenceAnomaly(Enum):
    """What is odd about the positions of an answer; the value stands in the log."""

    RESET = "sequence-reset"  # the service restarted its numbering
    GAP = "sequence-gap"  # events are missing
    DUPLICATE = "duplicate"  # it brought only events that we hold


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """What an answer changes: the whole list, or the endpoints named."""

    position: int  # of the last event that is held from now on; 0: the whole list must be polled for
    is_snapshot: bool
    endpoints: list[Endpoint]
    anomaly: SequenceAnomaly | None = None


def reconcile(
    position: int, answer: EndpointListAnswer, verified_event: EndpointListEvent | None = None
) -> EndpointListChange:
    """Check the answer to a poll from `position` against the positions of its events, which go up by one.

    `verified_event`: the event at `position`, where it was polled for once more. If the answer holds another
    one there, the service restarted its numbering and has passed our position.

    All endpoints that the answer names are applied, in one step. Where events must be missing, the whole list
    is to be polled for: guards against a list that never changes again, because the service restarted its
    numbering or reports its end too soon.
    """
    has_reset = answer.position < position or (
        verified_event is not None and verified_event not in answer.events
    )
    reached = 0 if has_reset else position
    is_duplicate = bool(answer.events) and answer.events[-1].position <= reached and verified_event is None
    is_snapshot = has_gap = False
    endpoints = dict[str, Endpoint]()
    for event in answer.events:
        if event.position <= reached:  # held already
            continue
        if event.is_snapshot:
            is_snapshot, endpoints = True, {}
        has_gap |= event.position != reached + 1 and not event.is_snapshot
        reached = event.position
        endpoints |= {endpoint.info.name: endpoint for endpoint in event.endpoints}
    has_gap |= reached < answer.position
    changed = list(endpoints.values())
    if is_snapshot:
        changed = [endpoint for endpoint in changed if endpoint.info.state is not EndpointState.REMOVED]
    anomaly = _anomaly(has_reset, has_gap, is_duplicate)
    return EndpointListChange(0 if has_gap else reached, is_snapshot, changed, anomaly)


def _anomaly(has_reset: bool, has_gap: bool, is_duplicate: bool) -> SequenceAnomaly | None:
    """The anomaly to report where there are several."""
    if has_reset:
        return SequenceAnomaly.RESET
    if has_gap:
        return SequenceAnomaly.GAP
    return SequenceAnomaly.DUPLICATE if is_duplicate else None
