"""Routing: which engines may serve a query, and which of them should answer it first."""

from typing import Final

from query_gateway.model.estimates import RemainingTimeEstimator
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.settings import Idempotency
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import capacity, repetition
from query_gateway.policy.slow_start import has_credit

SAMPLE_SIZE: Final = 12  # engines drawn for a closer look; bounds the cost and parts gateways alike
# Costs in shares of the run time
LOAD_COST: Final = 1.0  # for one thread of ours a core of ours
WARM_CACHE_GAIN: Final = 0.3  # saved by tables that we read there lately
LOADS_AND_READERS_COST: Final = 1.0  # for a load off the engines for loads of its tables, or a reader on them
CROSS_ZONE_COST: Final = 2.0  # for each point of the site's fee on crossing zones
WARM_ENGINE_COST: Final = 0.5  # for an engine past slow start, while one within it has a credit for us
REPEATED_ENGINE_COST: Final = 1.0  # for an engine where an attempt of the query may have run
TIE_BREAKER_COST: Final = 0.01  # at most, so that gateways alike differ
LOAD_ENGINES: Final = 3  # one in so many of the engines takes the loads of a table group
REMEMBERED_TABLE_GROUPS: Final = 4096  # for each engine; bounds the memory
# Start times
EXACT_LENGTH: Final = 32  # queues and forecasts up to this length are always read exactly
QUEUED_AGE_NS: Final = MS // 5  # for each query queued: how often all are looked at, not only the first ones
FORECAST_AGE_NS: Final = MS // 5  # for each attempt in flight: how long their order is kept, as sorting costs
# Progress under a fiftieth says little; a run that is over 0.7 of the expected time has half its age to go
REMAINING_TIME: Final = RemainingTimeEstimator(trusted_progress=0.02, mostly_done=0.7, overrun=0.5)


def may_run_again(query: QueryState, now: int) -> bool:
    """Whether a query may run once more, by its idempotency and by what may have run of it."""
    first_executed_at = query.executed[0][0] if query.executed else None
    return repetition.may_run_again(query.settings, first_executed_at, now)


def may_run_at(query: QueryState, engine: EngineState, now: int) -> bool:
    """Whether an engine is within a query's placement constraints and drops a duplicate of what ran."""
    settings = query.settings
    if not settings.allows_placement(engine.info.zone, engine.info.kind):
        return False
    if settings.idempotency is not Idempotency.KEYED or not query.executed:
        return True
    _, first = query.executed[0]
    return may_run_again(query, now) and repetition.recognises_duplicate(settings, first.info, engine.info)


def is_usable(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    """Whether an engine may serve a query: listed, placed right, not ejected, within its repeats."""
    ejected = state.now < engine.ejected_until and not state.all_ejected
    return not ejected and engine.is_up and may_run_at(query, engine, state.now)


def candidates(state: SchedulerState, query: QueryState) -> list[EngineState]:
    """A random few of the usable engines, so that many gateways do not run to the same one."""
    drawn = state.up if len(state.up) <= SAMPLE_SIZE else state.random.sample(state.up, SAMPLE_SIZE)
    # Guards an engine's few credits against not being drawn in the moment that they last
    drawn = drawn + [
        engine
        for engine in state.warming_up
        if engine not in drawn and has_credit(state, engine, query.request_class)
    ]
    usable = [engine for engine in drawn if is_usable(state, engine, query)]
    return usable or [engine for engine in state.up if is_usable(state, engine, query)]


def best_route(state: SchedulerState, query: QueryState) -> tuple[float, EngineState] | None:
    """The usable engine of least start delay and run time, with that delay in nanoseconds, if any."""
    fleet_delay = fleet_start_delay(state, query)
    rated = []
    for engine in candidates(state, query):
        delay = start_delay(state, engine, query)
        if fleet_delay and not engine.in_slow_start and engine.is_saturated():
            delay = max(delay, fleet_delay)
        rated.append((delay + expected_run_time(state, engine, query), delay, engine))
    return min(rated, key=lambda route: route[0])[1:] if rated else None


def expected_run_time(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Run time (nanoseconds) at an engine, with the costs of crossing zones and of repeating there."""
    request, settings = query.request, query.settings
    # Our own threads there tell of the engine beyond their weight: other gateways fare alike
    used = engine.threads_in_use[0] + engine.threads_in_use[1]
    load = (used * state.settings.instance_count + settings.threads) / engine.cores + engine.load_of_others
    cost = engine.penalty * (1 + LOAD_COST * load) + TIE_BREAKER_COST * engine.tie_breaker
    if request.table_group in engine.warm_table_groups and not settings.locks_tables:
        cost -= WARM_CACHE_GAIN
    uses_locks = settings.locks_tables or settings.waits_for_locks
    # Guards readers against other gateways' loads, which nobody reports: a table group's loads have the same
    # engines at all gateways, and its readers prefer the others
    if uses_locks and state.has_lock_conflicts and request.table_group is not None:
        takes_loads = engine.takes_loads(request.table_group, LOAD_ENGINES, REMEMBERED_TABLE_GROUPS)
        cost += LOADS_AND_READERS_COST * (takes_loads != settings.locks_tables)
    if engine.info.zone != state.settings.zone:
        cost += CROSS_ZONE_COST * state.settings.cross_zone_cost
    if not (engine.in_slow_start and has_credit(state, engine, query.request_class)):
        cost += WARM_ENGINE_COST
    if query.executed and any(engine is other for _, other in query.executed):
        cost += REPEATED_ENGINE_COST
    lock_wait = REMAINING_TIME.lock_wait(engine, query, state.now) if uses_locks else 0.0
    return query.run_time * cost + lock_wait


def start_delay(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Nanoseconds to the earliest start at an engine: now, or when enough of ours before it should end."""
    if not has_credit(state, engine, query.request_class):
        return state.settings.cold_overload_window / 2
    waits = engine.queue.threads_ahead(query, state.now, EXACT_LENGTH, QUEUED_AGE_NS)
    if not waits and capacity.has_capacity(state, engine, query):
        return 0.0
    limit = capacity.concurrency_limit(state, engine.cores, query.request_class)
    return _free_after(state, engine, limit, query)


def fleet_start_delay(state: SchedulerState, query: QueryState) -> float:
    """The same over all engines: our share of one may be under a query, so that only that limit binds."""
    if capacity.is_within_quota(state, query) or query.is_key_ordered:
        return 0.0
    return _free_after(state, None, capacity.fleet_limit(state, query.request_class), query)


def _free_after(state: SchedulerState, engine: EngineState | None, limit: float, query: QueryState) -> float:
    """Nanoseconds until enough of ours, there or everywhere, has ended for a query and those ahead of it."""
    now, is_long, where = state.now, query.request_class.is_long, engine or state
    forecast = where.forecasts[is_long]
    if forecast is None or now >= forecast.valid_until or len(forecast.completes_at) <= EXACT_LENGTH:
        engines = [engine] if engine else list(state.engines.values())
        # Guards the CPU: the order is kept for a while that grows with what it costs to find
        forecast = REMAINING_TIME.forecast(engines, is_long, now, FORECAST_AGE_NS)
        where.forecasts[is_long] = forecast
    used = where.threads_in_use[is_long]
    ahead = where.queue.threads_ahead(query, now, EXACT_LENGTH, QUEUED_AGE_NS)
    needed = ahead + query.settings.threads - limit + used
    return forecast.time_until_free(needed, used, limit, query.run_time, now)
