"""Concurrency limits: how many threads of an engine, and of the whole fleet, one gateway may use.

The limit of a class in threads is the UNIT paper's (2.3). It binds only where an engine is saturated.
"""

import math
from typing import Final

from query_gateway.model.records import ClassState, EngineState, QueryState
from query_gateway.model.settings import MemoryShortage
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import SEC

THREADS_PER_CORE: Final = 1.0  # limit of a class, with short or with long runs, in our share of the cores
CHANCE_SPREADS: Final = 0.5  # spreads (square roots) left to chance, as other gateways draw unevenly
QUOTA_PERIOD_NS: Final = 1 * SEC  # how long one rounding of our quota lasts: the period of the controller


def class_share(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """Threads that a class may use of so many cores: our share and an allowance for chance."""
    count = state.settings.instance_count
    share = cores / count
    chance = CHANCE_SPREADS * math.sqrt(share * (1 - 1 / count) * request_class.settings.threads)
    return share * THREADS_PER_CORE + chance


def concurrency_limit(state: SchedulerState, cores: float, request_class: ClassState) -> float:
    """The share of a class at an engine, but at least one query."""
    return max(float(request_class.settings.threads), class_share(state, cores, request_class))


def fleet_limit(state: SchedulerState, request_class: ClassState) -> float:
    """Threads that a class may use over all engines, fewer in times of congestion."""
    return class_share(state, state.cores, request_class) / state.congestion


def is_within_quota(state: SchedulerState, query: QueryState) -> bool:
    """Whether the fleet limit has room. Guards against "one query at least" of each of many gateways."""
    if state.settings.memory_shortage is MemoryShortage.WAIT:  # engines let queries wait: no need of it
        return True
    period = math.floor(state.now / QUOTA_PERIOD_NS - state.control_phase)
    rounding = state.quota_rounding.draw(period, state.random)
    threads = query.settings.threads
    queries = math.floor(fleet_limit(state, query.request_class) / threads + rounding)
    in_use = state.threads_in_use[query.request_class.is_long]
    return in_use + threads <= max(queries, state.congestion <= 1) * threads


def has_capacity(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    """Whether a query may start at an engine now, as far as limits go."""
    if engine.on_probation and engine.in_flight and not state.all_ejected:
        return False
    # The next query of a key keeps the others of its key waiting: no limit on top of that
    if not engine.is_saturated() or query.is_key_ordered:
        return True
    in_use, threads = engine.threads_in_use[query.request_class.is_long], query.settings.threads
    if in_use and in_use + threads > concurrency_limit(state, engine.cores, query.request_class):
        return False
    return engine.in_slow_start or is_within_quota(state, query)
