"""Slow start: bounds the queries to an engine that started recently, by credits shared among all gateways.

    engine not in slow start     no limit here
    engine in slow start         one query of a class for each unspent credit of this gateway

The capacity of the engine grows by the recovery ramp (`recovery_ramp`) and is divided among the classes by
their shares of the work. The gateways take turns: each has a position in a round, derived from its number and
the engine's name, and earns a credit for one query whenever the engine has had the capacity for one more
query from every gateway. A credit lasts for one overload window, or several of them for long classes. No
credits are earned while this gateway does not know of the start yet, nor while the overload budget does not
cover a few queries of the class.

Input: the start of the engine (nanoseconds), its cores, the mean work of the class (nanoseconds over all
threads), the recent sends to the engine. The forwarder's slow-start budgets bound what is actually sent, as
described in `recovery_ramp`.
"""

import math
from typing import Final
from zlib import crc32

from query_gateway.model.records import EngineState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.recovery_ramp import RecoveryRamp, is_in_slow_start, recovery_ramp

BUDGET_SHARE: Final = 0.4  # share of the overload budget for credits; the rest is left for delayed sends
QUERIES_IN_BUDGET: Final = 5  # queries of a class that the overload budget must cover before one is sent
# Overload windows that a credit of a long class lasts, as each of many gateways earns such a credit rarely
LONG_CREDIT_WINDOWS: Final = 3
RATED_BUSY_SHARE: Final = 0.85  # busy share of the cores of an engine at its rated capacity


def has_credit(state: SchedulerState, engine: EngineState, request_class: ClassState) -> bool:
    """Whether an engine is not in slow start, or has a credit for one more query of the class."""
    settings = state.settings
    if not is_in_slow_start(settings, engine.started_at, state.now):
        return True
    age, ramp = state.now - engine.started_at, recovery_ramp(settings)
    lifetime = credit_lifetime_ns(state, request_class)
    first_credited_age = _first_credited_age(state, engine, request_class, ramp, age - lifetime)
    oldest_counted_at = state.now - lifetime
    spent = sum(
        sent_class is request_class
        for sent_at, sent_class in engine.recent_sends
        if sent_at > oldest_counted_at
    )
    if first_credited_age >= age:
        return False
    earned = _credits_at(state, engine, request_class, ramp, age)
    return spent < earned - _credits_at(state, engine, request_class, ramp, first_credited_age)


def credit_lifetime_ns(state: SchedulerState, request_class: ClassState) -> int:
    """How long a credit of a class lasts, and how long a send counts against the credits."""
    return state.settings.slow_start_overload_window * (LONG_CREDIT_WINDOWS if request_class.is_long else 1)


def _first_credited_age(
    state: SchedulerState,
    engine: EngineState,
    request_class: ClassState,
    ramp: RecoveryRamp,
    expired_age: int,
) -> float:
    """Age of an engine from which credits of a class count; those earned up to `expired_age` have expired.

    Credits from before a gateway learned of the start, or for classes so heavy that the budget covers only a
    few queries, would be used by all gateways at once and overload the engine within one window.
    """
    factor, window = state.settings.slow_start_overload_factor, state.settings.slow_start_overload_window
    rated_cores = engine.cores * RATED_BUSY_SHARE
    needed_capacity = request_class.mean_work() * QUERIES_IN_BUDGET / (rated_cores * factor * window)
    # A predecessor's sends to an engine that started before this process may still count against the credits,
    # but are not known here, so credits for such an engine count only after one window of this process
    sends_known_from = state.started_at + window if engine.started_at < state.started_at else 0
    known_age = max(engine.start_known_at, sends_known_from) - engine.started_at
    return max(known_age, ramp.age_at_capacity(needed_capacity), expired_age)


def _credits_at(
    state: SchedulerState, engine: EngineState, request_class: ClassState, ramp: RecoveryRamp, age: float
) -> int:
    """Credits for a class that this gateway has earned up to an age of an engine."""
    settings = state.settings
    credited_cores = (
        engine.cores * RATED_BUSY_SHARE * min(1.0, settings.slow_start_overload_factor * BUDGET_SHARE)
    )
    queries = (
        credited_cores
        * age
        * ramp.mean_capacity_until(age)
        * request_class.work_share
        / request_class.mean_work()
    )
    offset = crc32(engine.info.name.encode()) / 2**32
    position = (settings.instance_index + 0.5) / settings.instance_count + offset
    return math.floor(queries * settings.slow_start_share / settings.instance_count + position)


def record_send(state: SchedulerState, engine: EngineState, request_class: ClassState) -> None:
    """Record a query sent to an engine for as long as it may count against credits."""
    lifetime = state.settings.slow_start_overload_window * LONG_CREDIT_WINDOWS
    engine.record_send(request_class, state.now, lifetime)
