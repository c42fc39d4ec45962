"""What a module has learned, as plain values for its successor: versioned, bounded, checked as a whole."""

import math
from collections.abc import Mapping
from typing import Any

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.records import ClassState, EngineState
from query_gateway.policy.scheduler import Scheduler

VERSION = 1
ENGINES = 512  # told of at most
GROUPS = 16  # of tables kept warm
# The transferred key of each running mean and the attribute that holds it: the keys are a stored form
MEANS = {
    "work": "work",
    "log_work": "log_work",
    "hint": "estimate_error",
    "memory": "memory_error",
    "scatter": "run_time_error",
}


def learned(module: Scheduler, numbers: Mapping[str, int]) -> dict[str, Any]:
    return {
        "version": VERSION,
        "lag": module.lag,
        "paces": _fading(module.paces),
        "costs": [_fading(cost) for cost in module.costs],
        "usual": module.usual,
        "classes": {name: _class(module.classes[number]) for name, number in numbers.items()},
        "engines": {e.info.name: _engine(e) for e in module.up[:ENGINES]},
    }


def _fading(f: DecayedAverage) -> list[float]:
    return [f.total, f.weight, f.updated_at]


def _mean(mean: RunningMean) -> list[float]:
    return [mean.value, mean.variance, mean.count]


def _class(c: ClassState) -> dict[str, Any]:
    means = {key: _mean(getattr(c, attribute)) for key, attribute in MEANS.items()}
    return {**means, "rate": _fading(c.slowdown), "first_span": c.longest_timeout}


def _engine(e: EngineState) -> list[Any]:
    return [
        e.info.started_at,
        e.started_at,
        _fading(e.log_slowdown),
        e.fault_rate,
        e.last_heard_at,
        e.ejected_until,
        e.ejection_time,
        e.warm_table_groups,
    ]


def _number(raw: Any) -> float:
    if type(raw) not in (int, float) or not math.isfinite(raw):
        raise ValueError(f"{raw!r:.40} is no number")
    return float(raw)


def _to_fading(raw: Any) -> DecayedAverage:
    total, n, at = raw
    return DecayedAverage(_number(total), max(0.0, _number(n)), int(_number(at)))


def _to_mean(raw: Any) -> RunningMean:
    value, var, n = raw
    return RunningMean(_number(value), max(0.0, _number(var)), max(0, int(_number(n))))


def adopt(module: Scheduler, numbers: Mapping[str, int], raw: Any) -> bool:
    """Take over what an elder tells, all of it or, if anything in it is unusable, nothing."""
    try:
        if raw["version"] != VERSION:
            return False
        lag, usual, paces = _number(raw["lag"]), _number(raw["usual"]), _to_fading(raw["paces"])
        costs = tuple(_to_fading(cost) for cost in raw["costs"])
        classes = [
            (
                module.classes[numbers[name]],
                {MEANS[key]: _to_mean(told[key]) for key in MEANS} | {"slowdown": _to_fading(told["rate"])},
                int(_number(told["first_span"])),
            )
            for name, told in raw["classes"].items()
            if name in numbers
        ]
        engines = []
        for name, (launched, launch, pace, *rest, warm) in raw["engines"].items():
            engine = module.engines.get(name)
            if engine and engine.info.started_at == launched:  # a restart since: its past says nothing
                faults, sign, until, shun = (_number(value) for value in rest)
                groups = [_number(group) for group in warm[:GROUPS]]
                past = int(_number(launch)), _to_fading(pace), faults
                engines.append((engine, (*past, int(sign), int(until), int(shun), groups)))
        if len(costs) != 3 or not 0 < lag < 1e3:
            return False
    except (KeyError, TypeError, ValueError, AttributeError):
        return False
    module.lag, module.usual, module.paces, module.costs = lag, usual, paces, costs
    for c, means, span in classes:
        for name, mean in means.items():
            setattr(c, name, mean)
        c.longest_timeout = span
    for engine, (launch, pace, faults, sign, until, shun, groups) in engines:
        engine.started_at, engine.log_slowdown, engine.fault_rate, engine.last_heard_at = (
            launch,
            pace,
            faults,
            sign,
        )
        engine.ejected_until, engine.ejection_time, engine.warm_table_groups = until, shun, groups
        engine.on_probation = until > sign  # rested and not heard since: one query at a time, as it was
    return True
