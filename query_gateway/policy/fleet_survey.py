"""The survey: which engines are saturated, slow or failing, and how congested the fleet is."""

import math
from typing import Final

from query_gateway.model.learning import FleetEstimator
from query_gateway.model.records import EngineState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC
from query_gateway.policy.capacity import CHANCE_SPREADS

SURVEY_PERIOD_NS: Final = 200 * MS
SATURATED_SLOWDOWN: Final = 1.7  # run time over the uncontended one from which an engine counts as saturated
SATURATED_THREADS: Final = 1.1  # our threads for each core of ours from which it does, before any answer
TOLERATED_SLOWDOWN: Final = 0.25  # log slowdown over the peers' that is no sign of a fault
LONG_CLASS_MARGIN: Final = 1.001  # over the geometric middle for a class to be long: equal ones are short
SATURATED_LOAD: Final = 0.92  # reported busy share of the cores from which an engine counts as saturated
FLEET_ESTIMATOR: Final = FleetEstimator(
    load_decay_ns=2 * SEC,  # about a long run
    slowdown_decay_ns=4 * SEC,  # a few answers of the busiest class
    slowdown_decay_answers=3,
    prior_samples=2.0,
    sample_weight=1 / 80,  # a few seconds of a busy class
    learned_samples=20,
    min_log_slowdown=-1.2,  # so that one odd run says little
    max_log_slowdown=1.6,
    max_class_slowdown=20.0,
    full_threads=1.6,  # some of them wait for reads
    full_load=SATURATED_LOAD,
)


def survey_fleet(state: SchedulerState, force: bool = False) -> None:
    """Refresh what is surveyed if it is due, or when the endpoint list or an ejection has changed."""
    elapsed = state.now - state.surveyed_at
    if elapsed < SURVEY_PERIOD_NS and not force:
        return
    state.surveyed_at = state.now
    state.refresh_fleet()
    state.refresh_classes(LONG_CLASS_MARGIN)
    FLEET_ESTIMATOR.refresh(state, elapsed)
    # Guards against congestion that all of us keep up, each with "one query at least". Where no load is
    # reported the slowdown shows it, and whether among many, who draw unevenly, our share may grow
    share_of_engine = max(state.settings.cores_by_kind, default=1) / state.settings.instance_count
    slow = max(min(1.0, share_of_engine), math.exp(state.median_slowdown) / SATURATED_SLOWDOWN)
    state.congestion = max(1.0, state.fleet_load) if state.load_reports.weight else slow
    for engine in state.up:
        _rate_saturation(state, engine)
        rate_penalty(state, engine)


def _rate_saturation(state: SchedulerState, engine: EngineState) -> None:
    loaded = state.load_reports.weight > 0 and engine.load > SATURATED_LOAD
    engine.saturated = engine.slowdown > math.log(SATURATED_SLOWDOWN) or loaded
    others = state.settings.instance_count - 1
    chance = CHANCE_SPREADS * math.sqrt(others * engine.cores)
    threads_of_others = others * state.usual_threads * engine.cores / state.cores
    engine.saturation_threads = SATURATED_THREADS * engine.cores + chance - threads_of_others


def rate_penalty(state: SchedulerState, engine: EngineState) -> None:
    """Rate an engine: 1 when healthy; slower than its peers at this time, or failing, makes it more."""
    slow = math.exp(max(0.0, engine.slowdown - state.median_slowdown - TOLERATED_SLOWDOWN))
    engine.penalty = slow / max(0.1, 1 - engine.fault_rate)
