"""Routing: selects the engine that is expected to answer a query earliest.

The route is the engine with the smallest sum of start delay (`start_times`) and expected run time. The
expected run time is the run time of the query multiplied by a cost: 1 at a healthy idle engine, more for
load, faults, lock conflicts, another zone and an engine that may already have run the query, less for a warm
cache. In a large fleet, only a random sample of the engines is considered.
"""

from dataclasses import dataclass
from typing import Final

from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.load_placement import takes_loads
from query_gateway.policy.placement import is_usable
from query_gateway.policy.saturation import is_saturated
from query_gateway.policy.slow_start import has_credit
from query_gateway.policy.start_times import REMAINING_TIME, fleet_start_delay, start_delay

SAMPLE_SIZE: Final = 12  # engines considered per query; bounds the time that routing takes
# Costs in shares of the run time
LOAD_COST: Final = 1.0  # for one thread of this gateway per core of its share
WARM_CACHE_GAIN: Final = 0.3  # subtracted where this gateway recently sent a query of the same table group
# For a load at an engine that takes no loads of its table group, or for a reader at an engine that takes them
LOADS_AND_READERS_COST: Final = 1.0
CROSS_ZONE_COST: Final = 2.0  # per unit of the site's fee for crossing zones
# For every engine but those in slow start with a credit for the query, so that credits are used first
WARM_ENGINE_COST: Final = 0.5
REPEATED_ENGINE_COST: Final = 1.0  # for an engine where an attempt of the query may already have run
TIE_BREAKER_COST: Final = 0.01  # upper bound; keeps gateways with the same view from choosing the same engine


@dataclass(slots=True)
class Route:
    """An engine for a query, with the expected delays until the query starts and is answered there."""

    engine: EngineState
    start_delay: float  # nanoseconds
    answer_delay: float  # nanoseconds, including all costs, converted to run time


def candidates(state: SchedulerState, query: QueryState) -> list[EngineState]:
    """The usable engines in a random sample of those up, or all usable ones if the sample has none.

    Each gateway draws its own sample, so that they do not all choose the same engine.

    Engines in slow start with a credit for the query are always included: a credit lasts only for a short
    time, and an engine outside the sample would stay idle during it.
    """
    snapshot = state.fleet.snapshot
    fits_sample = len(snapshot.up) <= SAMPLE_SIZE
    sampled = snapshot.up if fits_sample else state.random.sample(snapshot.up, SAMPLE_SIZE)
    sampled = sampled + [
        engine
        for engine in snapshot.engines_in_slow_start
        if engine not in sampled and has_credit(state, engine, query.request_class)
    ]
    usable = [engine for engine in sampled if is_usable(state, engine, query)]
    return usable or [engine for engine in snapshot.up if is_usable(state, engine, query)]


def best_route(state: SchedulerState, query: QueryState) -> Route | None:
    """The route with the earliest answer; None if no engine is usable."""
    fleet_delay = fleet_start_delay(state, query)
    best: Route | None = None
    for engine in candidates(state, query):
        delay = start_delay(state, engine, query)
        if fleet_delay and not engine.snapshot.in_slow_start and is_saturated(engine):
            delay = max(delay, fleet_delay)
        answer_delay = delay + expected_run_time(state, engine, query)
        if best is None or answer_delay < best.answer_delay:
            best = Route(engine, delay, answer_delay)
    return best


def expected_run_time(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Run time (nanoseconds) at an engine, including all costs."""
    settings = query.settings
    cost = _load_cost(state, engine, query)
    if query.request.table_group in engine.warm_table_groups and not settings.locks_tables:
        cost -= WARM_CACHE_GAIN
    uses_locks = settings.locks_tables or settings.waits_for_locks
    if uses_locks:
        cost += _lock_conflict_cost(state, engine, query)
    if engine.info.zone != state.settings.zone:
        cost += CROSS_ZONE_COST * state.settings.cross_zone_cost
    if not (engine.snapshot.in_slow_start and has_credit(state, engine, query.request_class)):
        cost += WARM_ENGINE_COST
    if query.executed and any(engine is executed.engine for executed in query.executed):
        cost += REPEATED_ENGINE_COST
    lock_wait = REMAINING_TIME.lock_wait(engine, query, state.now) if uses_locks else 0.0
    return query.run_time * cost + lock_wait


def _load_cost(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Cost of an engine's load and faults, in shares of the run time.

    The threads of this gateway are multiplied by the number of gateways, as the others route by the same
    rules and send as much there.
    """
    threads = engine.workload.threads_in_use.total() * state.settings.instance_count
    load = (threads + query.settings.threads) / engine.cores + engine.snapshot.load_of_others
    return engine.snapshot.penalty * (1 + LOAD_COST * load) + TIE_BREAKER_COST * engine.tie_breaker


def _lock_conflict_cost(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Cost of a load on an engine that takes none of its table group, or of a reader on one that does."""
    table_group = query.request.table_group
    if not state.classes.has_lock_conflicts or table_group is None:
        return 0.0
    return LOADS_AND_READERS_COST * (takes_loads(engine, table_group) != query.settings.locks_tables)
