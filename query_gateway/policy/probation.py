"""Probation: how an engine comes back into full service.

    in service --begin_probation--> on probation --record_received--> in service
                                                  (once its ejection is over)

An engine on probation gets one query at a time. Probation begins with an ejection, or with one connection
that broke, and ends with an answer or a progress note.
"""

from query_gateway.model.records import EngineState
from query_gateway.model.state import SchedulerState


def begin_probation(engine: EngineState, now: int) -> None:
    """Put an engine on probation at the clock time `now` (nanoseconds): it gets one query at a time."""
    engine.on_probation, engine.probation_since = True, now


def allows_query(state: SchedulerState, engine: EngineState) -> bool:
    """Whether probation lets an engine have one more query now."""
    return not (engine.on_probation and engine.in_flight) or state.fleet.snapshot.all_ejected


def record_received(engine: EngineState, now: int) -> None:
    """An answer or a progress note came: on probation to in service, once the ejection is over.

    An engine that was unreachable has a new process, although the endpoint list may not have its start yet:
    it begins its slow start here, as its full share at once would overload it.
    """
    engine.last_received_at = now
    if engine.on_probation and now >= engine.ejected_until:
        if engine.unreachable:
            engine.started_at = engine.start_known_at = max(engine.started_at, now)
        engine.on_probation, engine.unreachable, engine.ejection_time = False, False, 0
