"""Slow start: what an engine that started lately may be sent, as credits shared among all gateways.

Each gateway has its place in a round, by its number and the engine's name. In each round it earns the credit
for one query of a class when the engine can have done so many queries by then.
"""

import math
from typing import Final
from zlib import crc32

from query_gateway.model.records import ClassState, EngineState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.recovery_ramp import is_in_slow_start, recovery_ramp

BUDGET_SHARE: Final = 0.4  # of the overload budget comes as credits: late ones meet others in one window
QUERIES_IN_BUDGET: Final = 5  # queries of a class that the budget must hold before one is sent
LONG_CREDIT_WINDOWS: Final = 3  # windows that credits of long classes last, as each of many seldom has one
RATED_BUSY_SHARE: Final = 0.85  # busy share of the cores that a rating as capacity means


def has_credit(state: SchedulerState, engine: EngineState, request_class: ClassState) -> bool:
    """Whether slow start, if the engine is in it, allows one more query of a class."""
    settings, age = state.settings, state.now - engine.started_at
    if not is_in_slow_start(settings, engine.started_at, state.now):
        return True
    factor, window = settings.cold_overload_factor, settings.cold_overload_window
    cores = engine.cores * RATED_BUSY_SHARE
    rate = cores * min(1.0, factor * BUDGET_SHARE)
    work, ramp = request_class.mean_work(), recovery_ramp(settings)
    lifetime = window * (LONG_CREDIT_WINDOWS if request_class.is_long else 1)
    # Guards the budget against credits that all saved up until they knew, or until it held a few so heavy
    needed_capacity = work * QUERIES_IN_BUDGET / (cores * factor * window)
    # What a predecessor of this process sent may still count
    own_start = state.started_at + window if engine.started_at < state.started_at else 0
    known_age = max(engine.start_known_at, own_start) - engine.started_at
    opens_at = max(known_age, ramp.age_at_capacity(needed_capacity), age - lifetime)
    offset = crc32(engine.info.name.encode()) / 2**32
    position = (settings.instance_index + 0.5) / settings.instance_count + offset

    def credits_at(age: float) -> int:
        """Credits that this gateway has earned by an age of the engine."""
        done = rate * age * ramp.mean_capacity_until(age) * request_class.work_share / work
        return math.floor(done * settings.slow_start_share / settings.instance_count + position)

    spent = sum(sent is request_class for at, sent in engine.recent_sends if at > state.now - lifetime)
    return opens_at < age and spent < credits_at(age) - credits_at(opens_at)


def record_send(state: SchedulerState, engine: EngineState, request_class: ClassState) -> None:
    """Remember a query sent to an engine for as long as it may count against credits."""
    lifetime = state.settings.cold_overload_window * LONG_CREDIT_WINDOWS
    engine.record_send(request_class, state.now, lifetime)
