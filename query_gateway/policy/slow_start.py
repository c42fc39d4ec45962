"""Slow start: what an engine that started lately may be sent, as credits shared among all gateways.

    engine not in slow start     no limit here
    engine in slow start         one query of a class for each credit of this gateway that is not spent

What the engine can do grows by the recovery ramp (`recovery_ramp`). Of that, a class gets its share of the
work, and the gateways take turns: each has its position in a round, by its number and the engine's name, and
earns a credit for one query whenever the engine can have done a round of queries since. A credit lasts for
one overload window, for long classes for a few. Credits of an age at which this gateway did not know of the
start are not given out, nor those of an age at which the engine can hardly bear a few queries of the class.

Inputs: the start of the engine (nanoseconds), its cores, the mean work of the class (nanoseconds over all
threads), what was sent there lately. The forwarder's slow-start budgets bound again what really leaves, as
`recovery_ramp` says.
"""

import math
from typing import Final
from zlib import crc32

from query_gateway.model.records import EngineState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.recovery_ramp import RecoveryRamp, is_in_slow_start, recovery_ramp

BUDGET_SHARE: Final = 0.4  # of the overload budget is given out as credits; the rest is for late sends
QUERIES_IN_BUDGET: Final = 5  # queries of a class that the budget must hold before one is sent
LONG_CREDIT_WINDOWS: Final = 3  # windows that credits of long classes last, as each of many seldom has one
RATED_BUSY_SHARE: Final = 0.85  # busy share of its cores when an engine works at its rated capacity


def has_credit(state: SchedulerState, engine: EngineState, request_class: ClassState) -> bool:
    """Whether slow start, if the engine is in it, allows one more query of a class."""
    settings = state.settings
    if not is_in_slow_start(settings, engine.started_at, state.now):
        return True
    age, ramp = state.now - engine.started_at, recovery_ramp(settings)
    lifetime = credit_lifetime_ns(state, request_class)
    opens_at = _first_credited_age(state, engine, request_class, ramp, age - lifetime)
    oldest_counted_at = state.now - lifetime
    spent = sum(
        sent_class is request_class
        for sent_at, sent_class in engine.recent_sends
        if sent_at > oldest_counted_at
    )
    if opens_at >= age:
        return False
    earned = _credits_at(state, engine, request_class, ramp, age)
    return spent < earned - _credits_at(state, engine, request_class, ramp, opens_at)


def credit_lifetime_ns(state: SchedulerState, request_class: ClassState) -> int:
    """How long a credit of a class lasts, and a send counts against it."""
    return state.settings.slow_start_overload_window * (LONG_CREDIT_WINDOWS if request_class.is_long else 1)


def _first_credited_age(
    state: SchedulerState,
    engine: EngineState,
    request_class: ClassState,
    ramp: RecoveryRamp,
    expired_age: int,
) -> float:
    """The age of an engine from which credits of a class count; those up to `expired_age` have expired.

    If gateways that learn of a start late gave out the credits of the time before, or of classes so heavy
    that the budget holds a few, all would send at once. The engine would be overloaded within one window.
    """
    factor, window = state.settings.slow_start_overload_factor, state.settings.slow_start_overload_window
    rated_cores = engine.cores * RATED_BUSY_SHARE
    needed_capacity = request_class.mean_work() * QUERIES_IN_BUDGET / (rated_cores * factor * window)
    # What a predecessor of this process sent may still count
    own_start = state.started_at + window if engine.started_at < state.started_at else 0
    known_age = max(engine.start_known_at, own_start) - engine.started_at
    return max(known_age, ramp.age_at_capacity(needed_capacity), expired_age)


def _credits_at(
    state: SchedulerState, engine: EngineState, request_class: ClassState, ramp: RecoveryRamp, age: float
) -> int:
    """Credits for a class that this gateway has earned by an age of an engine."""
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
    """Remember a query sent to an engine for as long as it may count against credits."""
    lifetime = state.settings.slow_start_overload_window * LONG_CREDIT_WINDOWS
    engine.record_send(request_class, state.now, lifetime)
