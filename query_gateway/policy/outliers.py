"""Outlier detection: which engines are ejected, for how long, and how they come back by probation."""

from query_gateway.model.events import OutcomeCode
from query_gateway.model.records import AttemptState, EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC
from query_gateway.policy.fleet_survey import rate_penalty, survey_fleet

SILENT_RUNS = 6.0  # mean runs, summed over what is in flight, without a sign from an engine: e^-6 by chance
SILENT_MIN_NS = 700 * MS  # and never in less than this, so that short pauses are no fault
FIRST_EJECTION_NS = 500 * MS
MAX_EJECTION_NS = 4 * SEC  # longer if answers are few
MIN_EJECTION_JITTER = 0.75  # factor on an ejection time, drawn from here to half more
FAULT_RATE_LIMIT = 0.3  # share of recent attempts that ended in error from which an engine is ejected
FAULT_WEIGHT = 0.15  # weight of a new outcome in that share


def eject(state: SchedulerState, engine: EngineState) -> None:
    """Eject an engine that failed; each probation that fails doubles the time."""
    if state.now < engine.ejected_until:
        return
    longest = MAX_EJECTION_NS + state.answer_interval
    engine.ejection_time = int(min(max(FIRST_EJECTION_NS, engine.ejection_time * 2), longest))
    # Not all gateways come back at once
    jitter = MIN_EJECTION_JITTER + state.random.random() / 2
    engine.ejected_until = state.now + int(engine.ejection_time * jitter)
    engine.begin_probation(state.now)
    survey_fleet(state, force=True)


def eject_unresponsive(state: SchedulerState) -> None:
    """Eject engines of which nothing was heard for so long that some attempt should have answered."""
    for engine in state.engines.values():
        if engine.in_flight:
            hazard, silence = engine.silence_hazard(state.now)
            if hazard > SILENT_RUNS and silence > SILENT_MIN_NS:
                eject(state, engine)


def record_lost_attempt(state: SchedulerState, engine: EngineState) -> None:
    """An attempt got no answer from an engine that answers others."""
    engine.fault_rate += FAULT_WEIGHT * (1 - engine.fault_rate)
    rate_penalty(state, engine)


def record_health(
    state: SchedulerState, engine: EngineState, query: QueryState, attempt: AttemptState, code: OutcomeCode
) -> None:
    """What the end of an attempt says of the health of its engine."""
    if code in (OutcomeCode.OK, OutcomeCode.ERROR):
        _record_answer(state, engine, query, code is OutcomeCode.ERROR)
    elif code is OutcomeCode.RESET and not engine.on_probation:
        # Guards a healthy engine against ejection for one broken connection: a dead one refuses the next
        engine.begin_probation(state.now)
    elif code in (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED) or (
        code is OutcomeCode.RESET and attempt.sent_at >= engine.probation_since
    ):
        # Guards a healthy engine against slow start: a process that has died says nothing
        silent = state.now - engine.last_heard_at > SILENT_MIN_NS
        engine.unreachable |= code is OutcomeCode.CONNECT_FAILED and silent
        eject(state, engine)


def _record_answer(state: SchedulerState, engine: EngineState, query: QueryState, failed: bool) -> None:
    engine.record_sign_of_life(state.now)
    # Where answers are few, each says more
    engine.record_answer(query, failed, max(FAULT_WEIGHT, 1 / (2 + engine.log_slowdown.weight)))
    if failed:
        rate_penalty(state, engine)
    if engine.fault_rate > FAULT_RATE_LIMIT:
        eject(state, engine)
