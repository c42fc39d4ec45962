"""Outlier detection: which engines are ejected, and for how long.

    in service    --eject-->                      ejected, for `FIRST_EJECTION_NS` at first
    in service    --one connection reset-->       on probation
    ejected       --ejection time over-->         on probation
    ejected       --new start of the engine-->    on probation, the next ejection is short again
    on probation  --answer or progress note-->    in service
    on probation  --fails-->                      ejected, for twice the time

Probation begins with the ejection and outlasts it; a new start ends the ejection alone.
Ejected: an engine that refuses connections or has no capacity, that ended too many attempts in error
(`fault_rate`), or that is unresponsive (`unresponsive`). One broken connection only begins probation.
While all engines that are up are ejected, ejections are ignored. Times are nanoseconds.
"""

from typing import Final

from query_gateway.model.events import OutcomeCode
from query_gateway.model.records import AttemptState, EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC
from query_gateway.policy.fault_rate import record_answer
from query_gateway.policy.fleet_snapshot import refresh_fleet_snapshot
from query_gateway.policy.probation import begin_probation, record_received
from query_gateway.policy.unresponsive import is_idle, is_unresponsive

FIRST_EJECTION_NS: Final = 500 * MS
MAX_EJECTION_NS: Final = 4 * SEC  # and the time between two answers of an engine on top of that
MIN_EJECTION_JITTER: Final = 0.75  # factor on an ejection time, drawn from here to half more
FAULT_RATE_LIMIT: Final = 0.3  # share of recent attempts that ended in error from which an engine is ejected


def eject(state: SchedulerState, engine: EngineState) -> None:
    """In service or on probation to ejected; each probation that fails doubles the time."""
    if engine.is_ejected(state.now):
        return
    longest = MAX_EJECTION_NS + state.fleet.snapshot.answer_interval
    engine.ejection_time = int(min(max(FIRST_EJECTION_NS, engine.ejection_time * 2), longest))
    # Without jitter all gateways would send to the engine again in the same moment
    jitter = MIN_EJECTION_JITTER + state.random.random() / 2
    engine.ejected_until = state.now + int(engine.ejection_time * jitter)
    begin_probation(engine, state.now)
    refresh_fleet_snapshot(state, force=True)


def eject_unresponsive(state: SchedulerState) -> None:
    """Eject engines from which nothing came for too long."""
    for engine in state.fleet.engines.values():
        if is_unresponsive(engine, state.now):
            eject(state, engine)


def record_health(
    state: SchedulerState, engine: EngineState, query: QueryState, attempt: AttemptState, code: OutcomeCode
) -> None:
    """Take in what the end of an attempt shows of the health of its engine."""
    if code in (OutcomeCode.OK, OutcomeCode.ERROR):
        record_received(engine, state.now)
        record_answer(state, engine, query, code is OutcomeCode.ERROR)
        if engine.fault_rate > FAULT_RATE_LIMIT:
            eject(state, engine)
    elif code is OutcomeCode.RESET and not engine.on_probation:
        # One connection may break at a healthy engine, whose ejection would take its capacity from the fleet.
        # Probation is enough: an engine that has died refuses the next connection, and is ejected then.
        begin_probation(engine, state.now)
    elif code in (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED) or (
        code is OutcomeCode.RESET and attempt.sent_at >= engine.probation_since
    ):
        # Taken for unreachable, an engine begins a slow start when it answers again. A healthy one that
        # refused a single connection would lose most of its capacity for that; it has answered lately, a dead
        # one not.
        engine.unreachable |= code is OutcomeCode.CONNECT_FAILED and is_idle(engine, state.now)
        eject(state, engine)
