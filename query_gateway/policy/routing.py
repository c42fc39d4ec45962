"""Routing: which of the usable engines should answer a query first.

The route is the engine with the least sum of start delay (`start_times`) and expected run time. The expected
run time is the query's own, times a cost: 1 at a healthy idle engine, more for load, faults, crossing zones
and repeating an attempt, less for a warm cache. Of a large fleet a random sample is looked at.
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

SAMPLE_SIZE: Final = 12  # engines drawn for a closer look; bounds the time, and gateways draw different ones
# Costs in shares of the run time
LOAD_COST: Final = 1.0  # for one thread of this gateway on each core of its share
WARM_CACHE_GAIN: Final = 0.3  # saved by tables that this gateway read there lately
LOADS_AND_READERS_COST: Final = 1.0  # for a load off the engines for loads of its tables, or a reader on them
CROSS_ZONE_COST: Final = 2.0  # for each point of the site's fee on crossing zones
WARM_ENGINE_COST: Final = 0.5  # for an engine past slow start, while one within it has a credit
REPEATED_ENGINE_COST: Final = 1.0  # for an engine where an attempt of the query may have run
TIE_BREAKER_COST: Final = 0.01  # at most, so that gateways with the same view do not all take the same engine


@dataclass(slots=True)
class Route:
    """An engine for a query, and when the query should start and have its answer there."""

    engine: EngineState
    start_delay: float  # nanoseconds
    answer_delay: float  # nanoseconds, with the costs that count as run time


def candidates(state: SchedulerState, query: QueryState) -> list[EngineState]:
    """A random sample of the usable engines, so that many gateways do not all take the same one.

    Engines in slow start with a credit for the query are always among them: a credit lasts for a short time,
    and an engine that is not drawn meanwhile would stay idle.
    """
    snapshot = state.fleet.snapshot
    is_small = len(snapshot.up) <= SAMPLE_SIZE
    sampled = snapshot.up if is_small else state.random.sample(snapshot.up, SAMPLE_SIZE)
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
    """Run time (nanoseconds) at an engine, with all costs."""
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
    """The cost of an engine's load and faults, as shares of the run time.

    The threads of this gateway count for all gateways: others send there as much, for the same reasons.
    """
    threads = engine.workload.threads_in_use.total() * state.settings.instance_count
    load = (threads + query.settings.threads) / engine.cores + engine.snapshot.load_of_others
    return engine.snapshot.penalty * (1 + LOAD_COST * load) + TIE_BREAKER_COST * engine.tie_breaker


def _lock_conflict_cost(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """The cost of a load off the engines for loads of its tables, or of a reader on them."""
    table_group = query.request.table_group
    if not state.classes.has_lock_conflicts or table_group is None:
        return 0.0
    return LOADS_AND_READERS_COST * (takes_loads(engine, table_group) != query.settings.locks_tables)
