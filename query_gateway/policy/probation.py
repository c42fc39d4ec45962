"""Probation: the return of an engine to full service.

    in service --begin_probation--> on probation --record_response--> in service
                                                  (once its ejection is over)

An engine on probation gets one query at a time. Probation begins with an ejection or a single connection
reset, and ends with an answer or a progress note.
"""

from query_gateway.model.records import EngineState
from query_gateway.model.state import SchedulerState


def begin_probation(engine: EngineState, now: int) -> None:
    """Put an engine on probation from the clock time `now` (nanoseconds)."""
    engine.on_probation, engine.probation_since = True, now


def allows_query(state: SchedulerState, engine: EngineState) -> bool:
    """Whether probation allows one more query at an engine now."""
    return not (engine.on_probation and engine.in_flight) or state.fleet.snapshot.all_ejected


def record_response(engine: EngineState, now: int) -> None:
    """Record an answer or a progress note, which ends probation once the ejection is over.

    An engine that was unreachable is assumed to run in a new process, whose start the endpoint list may not
    report yet. Its slow start begins here, as a full share of the queries at once would overload it.
    """
    engine.last_received_at = now
    if engine.on_probation and now >= engine.ejected_until:
        if engine.unreachable:
            engine.started_at = engine.start_known_at = max(engine.started_at, now)
        engine.on_probation, engine.unreachable, engine.ejection_time = False, False, 0
