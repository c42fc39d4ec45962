"""Concurrency limits: how many threads one gateway may use at an engine and over the fleet.

    engine on probation with a query in flight     no capacity, unless all engines are ejected (`probation`)
    engine not saturated, or query ordered by key  capacity, without a limit
    engine saturated                               within the concurrency limit of the class there and, unless
                                                   in slow start, within this gateway's share of the fleet

The concurrency limit of a class at an engine is this gateway's share of the engine's cores plus a statistical
allowance, but at least the threads of one query. It is derived from UNIT, section 2.3 (full title in the
docstring of `policy/scheduler.py`), and bounds the threads in use by all classes of the same length (short or
long). So each gateway may have one short and one long query at every engine, even if its share of the
engine's cores is smaller. Over all engines, the number of queries of each length is bounded by this gateway's
share of the fleet, unless engines queue queries themselves (`MemoryShortage.WAIT`).
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

THREADS_PER_CORE: Final = 1.0  # threads that a class may use for each core of this gateway's share
FLEET_SHARE_PERIOD_NS: Final = 1 * SEC  # between two roundings of the fleet share; equals the control period


def class_share(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """Threads that a class may use of `cores`: this gateway's share and a statistical allowance."""
    count = state.settings.instance_count
    share = cores / count
    variance = share * (1 - 1 / count) * request_class.settings.threads
    return share * THREADS_PER_CORE + allowance(variance)


def concurrency_limit(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """Threads that a class may use at an engine with `cores`: its share, but enough for one query."""
    return max(float(request_class.settings.threads), class_share(state, cores, request_class))


def fleet_limit(state: SchedulerState, request_class: ClassState) -> float:
    """Threads that a class may use over all engines; congestion reduces them."""
    snapshot = state.fleet.snapshot
    return class_share(state, snapshot.cores, request_class) / snapshot.congestion


def is_within_fleet_share(state: SchedulerState, query: QueryState) -> bool:
    """Whether this gateway's share of the fleet allows one more query of the class.

    With many gateways, one query from each at each engine can add up to several times the capacity of the
    fleet. The share is rounded to a whole number of queries at random, up or down, so that a share of less
    than one query is kept on average. Without congestion, it is at least one query.
    """
    if state.settings.memory_shortage is MemoryShortage.WAIT:  # engines queue queries: no bound needed
        return True
    period = math.floor(state.now / FLEET_SHARE_PERIOD_NS - state.fleet_share.phase)
    rounding = state.fleet_share.rounding.draw(period, state.random)
    threads = query.settings.threads
    queries = math.floor(fleet_limit(state, query.request_class) / threads + rounding)
    in_use = state.workload.threads_in_use.of(query.request_class.is_long)
    return in_use + threads <= max(queries, state.fleet.snapshot.congestion <= 1) * threads


def has_capacity(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    """Whether the concurrency limits allow a query to start at an engine now."""
    if not probation.allows_query(state, engine):
        return False
    # Queries of a key run one at a time, so they need no further limit
    if not is_saturated(engine) or query.is_key_ordered:
        return True
    request_class, threads = query.request_class, query.settings.threads
    in_use = engine.workload.threads_in_use.of(request_class.is_long)
    if in_use and in_use + threads > concurrency_limit(state, engine.cores, request_class):
        return False
    return engine.snapshot.in_slow_start or is_within_fleet_share(state, query)
