"""Concurrency limits: how many threads of an engine, and of the fleet, one gateway may use.

    engine on probation with a query in flight     no capacity (`probation`)
    engine not saturated, or query ordered by key  capacity, without a limit
    engine saturated                               within the concurrency limit of the class there, and within
                                                   this gateway's share of the fleet

The limit of a class in threads is its share of the cores (UNIT, section 2.3; cited in `scheduler`). Every
engine may always have one query of each length from each gateway, however small the gateway's share of its
cores; the gateway's share of the fleet bounds these.
"""

import math
from typing import Final

from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.settings import MemoryShortage
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import SEC
from query_gateway.policy import probation
from query_gateway.policy.saturation import is_saturated
from query_gateway.policy.statistical_allowance import allowance

THREADS_PER_CORE: Final = 1.0  # limit of a class in this gateway's share of the cores
FLEET_SHARE_PERIOD_NS: Final = (
    1 * SEC
)  # how long one rounding of the fleet share lasts: the period of the controller


def class_share(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """Threads that a class may use of so many cores: this gateway's share and a statistical allowance."""
    count = state.settings.instance_count
    share = cores / count
    variance = share * (1 - 1 / count) * request_class.settings.threads
    return share * THREADS_PER_CORE + allowance(variance)


def concurrency_limit(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """Threads that a class may use at an engine of so many cores: its share, but at least one query."""
    return max(float(request_class.settings.threads), class_share(state, cores, request_class))


def fleet_limit(state: SchedulerState, request_class: ClassState) -> float:
    """Threads that a class may use over all engines, fewer in times of congestion."""
    snapshot = state.fleet.snapshot
    return class_share(state, snapshot.cores, request_class) / snapshot.congestion


def is_within_fleet_share(state: SchedulerState, query: QueryState) -> bool:
    """Whether this gateway's share of the fleet allows one more query of a class.

    With many gateways "at least one query" at each engine adds up to several times what the fleet can do. The
    share is rounded to an integer of queries at random, up or down, so that one under a single query is kept
    on average.
    """
    if state.settings.memory_shortage is MemoryShortage.WAIT:  # engines let queries wait: no need of it
        return True
    period = math.floor(state.now / FLEET_SHARE_PERIOD_NS - state.fleet_share.phase)
    rounding = state.fleet_share.rounding.draw(period, state.random)
    threads = query.settings.threads
    queries = math.floor(fleet_limit(state, query.request_class) / threads + rounding)
    in_use = state.workload.threads_in_use.of(query.request_class.is_long)
    return in_use + threads <= max(queries, state.fleet.snapshot.congestion <= 1) * threads


def has_capacity(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    """Whether a query may start at an engine now, as far as limits go."""
    if not probation.allows_query(state, engine):
        return False
    # Queries of a key run one at a time, which bounds them already: no limit on top of that
    if not is_saturated(engine) or query.is_key_ordered:
        return True
    request_class, threads = query.request_class, query.settings.threads
    in_use = engine.workload.threads_in_use.of(request_class.is_long)
    if in_use and in_use + threads > concurrency_limit(state, engine.cores, request_class):
        return False
    return engine.snapshot.in_slow_start or is_within_fleet_share(state, query)
