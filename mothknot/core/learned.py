"""What a module has learned, as plain values for its successor: versioned, bounded, checked as a whole."""

import math
from collections.abc import Mapping
from typing import Any

from mothknot.policy import Gateway
from mothknot.records import Class, Engine, Fading, Mean

VERSION = 1
ENGINES = 512  # told of at most
GROUPS = 16  # of tables kept warm
MEANS = ("work", "log_work", "hint", "memory", "scatter")


def learned(module: Gateway, numbers: Mapping[str, int]) -> dict[str, Any]:
    return {
        "version": VERSION,
        "lag": module.lag,
        "paces": _fading(module.paces),
        "costs": [_fading(cost) for cost in module.costs],
        "usual": module.usual,
        "classes": {name: _class(module.classes[number]) for name, number in numbers.items()},
        "engines": {e.e.engine: _engine(e) for e in module.up[:ENGINES]},
    }


def _fading(f: Fading) -> list[float]:
    return [f.total, f.n, f.at]


def _class(c: Class) -> dict[str, Any]:
    means = {name: [(m := getattr(c, name)).value, m.var, m.n] for name in MEANS}
    return {**means, "rate": _fading(c.rate), "first_span": c.first_span}


def _engine(e: Engine) -> list[Any]:
    return [e.e.launched, e.launch, _fading(e.pace), e.faults, e.sign, e.shun_until, e.shun, e.warm]


def _number(raw: Any) -> float:
    if type(raw) not in (int, float) or not math.isfinite(raw):
        raise ValueError(f"{raw!r:.40} is no number")
    return float(raw)


def _to_fading(raw: Any) -> Fading:
    total, n, at = raw
    return Fading(_number(total), max(0.0, _number(n)), int(_number(at)))


def _to_mean(raw: Any) -> Mean:
    value, var, n = raw
    return Mean(_number(value), max(0.0, _number(var)), max(0, int(_number(n))))


def adopt(module: Gateway, numbers: Mapping[str, int], raw: Any) -> bool:
    """Take over what an elder tells, all of it or, if anything in it is unusable, nothing."""
    try:
        if raw["version"] != VERSION:
            return False
        lag, usual, paces = _number(raw["lag"]), _number(raw["usual"]), _to_fading(raw["paces"])
        costs = tuple(_to_fading(cost) for cost in raw["costs"])
        classes = [
            (
                module.classes[numbers[name]],
                {mean: _to_mean(told[mean]) for mean in MEANS} | {"rate": _to_fading(told["rate"])},
                int(_number(told["first_span"])),
            )
            for name, told in raw["classes"].items()
            if name in numbers
        ]
        engines = []
        for name, (launched, launch, pace, *rest, warm) in raw["engines"].items():
            engine = module.engines.get(name)
            if engine and engine.e.launched == launched:  # a restart since: its past says nothing
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
        c.first_span = span
    for engine, (launch, pace, faults, sign, until, shun, groups) in engines:
        engine.launch, engine.pace, engine.faults, engine.sign = launch, pace, faults, sign
        engine.shun_until, engine.shun, engine.warm = until, shun, groups
        engine.trial = until > sign  # rested and not heard since: one query at a time, as it was
    return True
