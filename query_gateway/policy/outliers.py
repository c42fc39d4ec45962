"""Outlier detection: which engines are ejected, and for how long.

    in service    --ejection-->                   ejected, initially for `FIRST_EJECTION_NS`
    in service    --one connection reset-->       on probation
    ejected       --ejection time elapsed-->      on probation
    ejected       --restart of the engine-->      on probation; the next ejection is short again
    on probation  --answer or progress note-->    in service
    on probation  --failure-->                    ejected, for twice the previous time

Probation begins with the ejection and outlasts it; a restart ends only the ejection.
An engine is ejected if it refuses connections, has no capacity, ended too many attempts in error
(`fault_rate`) or is unresponsive (`unresponsive`). A single connection reset begins only probation.
Ejections are ignored while all engines that are up are ejected. Times are nanoseconds.
"""

from typing import Final

from query_gateway.model.events import OutcomeCode
from query_gateway.model.records import AttemptState, EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC
from query_gateway.policy.fault_rate import record_answer
from query_gateway.policy.fleet_snapshot import refresh_fleet_snapshot
from query_gateway.policy.probation import begin_probation, record_response
from query_gateway.policy.unresponsive import is_idle, is_unresponsive

FIRST_EJECTION_NS: Final = 500 * MS
MAX_EJECTION_NS: Final = 4 * SEC  # plus the mean time between two answers of an engine
MIN_EJECTION_JITTER: Final = 0.75  # least random factor on an ejection time; the greatest is 0.5 more
FAULT_RATE_LIMIT: Final = 0.3  # share of recent attempts that ended in error above which an engine is ejected


def eject(state: SchedulerState, engine: EngineState) -> None:
    """Eject an engine; each failed probation doubles the ejection time."""
    if engine.is_ejected(state.now):
        return
    max_ejection_time = MAX_EJECTION_NS + state.fleet.snapshot.answer_interval
    engine.ejection_time = int(min(max(FIRST_EJECTION_NS, engine.ejection_time * 2), max_ejection_time))
    # Without jitter, all gateways would resume sending to the engine at the same moment
    jitter = MIN_EJECTION_JITTER + state.random.random() / 2
    engine.ejected_until = state.now + int(engine.ejection_time * jitter)
    begin_probation(engine, state.now)
    refresh_fleet_snapshot(state, force=True)


def eject_unresponsive(state: SchedulerState) -> None:
    """Eject the engines that have been silent for too long."""
    for engine in state.fleet.engines.values():
        if is_unresponsive(engine, state.now):
            eject(state, engine)


def record_health(
    state: SchedulerState, engine: EngineState, query: QueryState, attempt: AttemptState, code: OutcomeCode
) -> None:
    """Update the health of an engine from the outcome of an attempt."""
    if code in (OutcomeCode.OK, OutcomeCode.ERROR):
        record_response(engine, state.now)
        record_answer(state, engine, query, code is OutcomeCode.ERROR)
        if engine.fault_rate > FAULT_RATE_LIMIT:
            eject(state, engine)
    elif code is OutcomeCode.RESET and not engine.on_probation:
        # A single reset also occurs at a healthy engine, whose ejection would cost the fleet its capacity.
        # Probation is enough: a dead engine refuses the next connection and is ejected for that.
        begin_probation(engine, state.now)
    elif code in (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED) or (
        code is OutcomeCode.RESET and attempt.sent_at >= engine.probation_since
    ):
        # An engine marked as unreachable enters slow start when it answers again. A healthy engine that
        # refused a single connection would lose most of its capacity by that, so the mark requires that the
        # engine has not answered recently, which tells a dead engine from a healthy one.
        engine.unreachable |= code is OutcomeCode.CONNECT_FAILED and is_idle(engine, state.now)
        eject(state, engine)
