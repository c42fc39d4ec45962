"""Encodes the learned state of a scheduler as JSON for its successor: versioned, bounded and validated.

Earlier and later versions of the program read this format, so its keys and the order of its values must not
change. The keys are used in this module only:

    version               format version
    lag                   lag ratio, with which admission scales delays (`policy.controller`)
    usual                 mean number of threads in use by this gateway
    paces                 slowdown of the fleet, a decayed average
    costs                 priority weight of all, of rejected and of late requests, each a decayed average
    classes               by class name: the means of `MEANS`; rate (slowdown); first_span (longest timeout)
    engines               by engine name, a list: start in the endpoint list, start as observed, slowdown,
                          fault rate, last received at, ejected until, ejection time, warm table groups

Times are wall-clock times in nanoseconds, which each process converts to its steady clock; 0 means never.
Durations are in nanoseconds.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.costs import CostTotals
from query_gateway.model.records import EngineState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.scheduler import Scheduler

VERSION = 1
MAX_ENGINES = 512  # maximum number of engines written
MAX_TABLE_GROUPS = 16  # maximum number of warm table groups read per engine
MAX_LAG_RATIO = 1e3  # above any value that the controller can reach
START_TOLERANCE_NS = 1_000_000_000  # start times that differ by less denote the same start
# Attribute of `ClassState` by stored key, for each running mean
MEANS = {
    "work": "work",
    "log_work": "log_work",
    "hint": "estimate_error",
    "memory": "memory_error",
    "scatter": "run_time_error",
}


class LearnedStateError(ValueError):
    """A stored value is missing, of the wrong type or out of range."""


@dataclass(slots=True, frozen=True)
class LearnedClass:
    """Learned state of one class, and the `ClassState` to restore it to."""

    state: ClassState
    means: dict[str, RunningMean]  # by attribute of `ClassState`
    slowdown: DecayedAverage
    longest_timeout: int  # nanoseconds

    def restore(self) -> None:
        """Copy this learned state into `state`."""
        for attribute, mean in self.means.items():
            setattr(self.state, attribute, mean)
        self.state.slowdown = self.slowdown
        self.state.longest_timeout = self.longest_timeout


@dataclass(slots=True, frozen=True)
class LearnedEngine:
    """Learned state of one engine, and the `EngineState` to restore it to. Times are in nanoseconds."""

    state: EngineState
    started_at: int
    log_slowdown: DecayedAverage
    fault_rate: float
    last_received_at: int
    ejected_until: int
    ejection_time: int
    warm_table_groups: list[float]

    def restore(self) -> None:
        """Copy this learned state into `state`."""
        engine = self.state
        engine.started_at, engine.log_slowdown = self.started_at, self.log_slowdown
        engine.fault_rate, engine.last_received_at = self.fault_rate, self.last_received_at
        engine.ejected_until, engine.ejection_time = self.ejected_until, self.ejection_time
        engine.warm_table_groups = self.warm_table_groups
        # An engine that has sent nothing since the end of its ejection is on probation: one query at a time
        engine.on_probation = self.ejected_until > self.last_received_at


@dataclass(slots=True, frozen=True)
class LearnedState:
    """The validated learned state of the classes and engines that this process has."""

    lag_ratio: float
    mean_threads_in_use: float
    slowdown_samples: DecayedAverage
    costs: CostTotals
    classes: list[LearnedClass]
    engines: list[LearnedEngine]

    def restore(self, state: SchedulerState) -> None:
        """Copy this learned state into that of a scheduler, including its classes and engines."""
        state.controller.lag_ratio, state.controller.costs = self.lag_ratio, self.costs
        state.fleet.mean_threads_in_use = self.mean_threads_in_use
        state.fleet.slowdown_samples = self.slowdown_samples
        for request_class in self.classes:
            request_class.restore()
        for engine in self.engines:
            engine.restore()


def export_state(
    scheduler: Scheduler, class_indexes: Mapping[str, int], wall_clock_offset: int = 0
) -> dict[str, Any]:
    """Export the learned state of a scheduler, with its classes by name.

    `wall_clock_offset`: wall-clock time minus the scheduler's clock time, in nanoseconds.
    """
    return _Encoder(wall_clock_offset).encode(scheduler.state, class_indexes)


def restore_state(
    scheduler: Scheduler, class_indexes: Mapping[str, int], raw: Any, wall_clock_offset: int = 0
) -> bool:
    """Restore an exported state. Returns False, and restores nothing, if any of its values is invalid."""
    try:
        learned = _Decoder(wall_clock_offset).decode(scheduler.state, class_indexes, raw)
    except (KeyError, TypeError, ValueError, AttributeError):
        return False
    learned.restore(scheduler.state)
    return True


class _Encoder:
    """Encodes the stored form, converting times to the wall clock."""

    def __init__(self, wall_clock_offset: int) -> None:
        self.wall_clock_offset = wall_clock_offset

    def encode(self, state: SchedulerState, class_indexes: Mapping[str, int]) -> dict[str, Any]:
        """Encode the learned state of a scheduler."""
        controller, fleet = state.controller, state.fleet
        costs = (controller.costs.requested, controller.costs.rejected, controller.costs.late)
        return {
            "version": VERSION,
            "lag": controller.lag_ratio,
            "paces": self._average(fleet.slowdown_samples),
            "costs": [self._average(cost) for cost in costs],
            "usual": fleet.mean_threads_in_use,
            "classes": {name: self._class(state.classes[index]) for name, index in class_indexes.items()},
            "engines": {engine.info.name: self._engine(engine) for engine in fleet.snapshot.up[:MAX_ENGINES]},
        }

    def _time(self, time: int) -> int:
        return time + self.wall_clock_offset if time else 0

    def _average(self, average: DecayedAverage) -> list[float]:
        return [average.total, average.weight, self._time(average.updated_at)]

    def _class(self, request_class: ClassState) -> dict[str, Any]:
        means = {key: _encode_mean(getattr(request_class, attribute)) for key, attribute in MEANS.items()}
        slowdown = self._average(request_class.slowdown)
        return {**means, "rate": slowdown, "first_span": request_class.longest_timeout}

    def _engine(self, engine: EngineState) -> list[Any]:
        return [
            self._time(engine.info.started_at),
            self._time(engine.started_at),
            self._average(engine.log_slowdown),
            engine.fault_rate,
            self._time(engine.last_received_at),
            self._time(engine.ejected_until),
            engine.ejection_time,
            engine.warm_table_groups,
        ]


class _Decoder:
    """Decodes the stored form and validates each value."""

    def __init__(self, wall_clock_offset: int) -> None:
        self.wall_clock_offset = wall_clock_offset

    def decode(self, state: SchedulerState, class_indexes: Mapping[str, int], raw: Any) -> LearnedState:
        """Decode the learned state.

        Raises LearnedStateError, KeyError, TypeError, ValueError or AttributeError for a value that is
        missing or invalid.
        """
        if raw["version"] != VERSION:
            raise LearnedStateError(f"unsupported version {raw['version']!r:.40}, expected {VERSION}")
        costs = [self._average(cost) for cost in raw["costs"]]
        lag_ratio = _number(raw["lag"])
        if len(costs) != 3 or not 0 < lag_ratio < MAX_LAG_RATIO:
            raise LearnedStateError(
                f"expected 3 costs and lag ratio 0 to {MAX_LAG_RATIO:g}, got {len(costs)} and {lag_ratio}"
            )
        return LearnedState(
            lag_ratio=lag_ratio,
            mean_threads_in_use=_number(raw["usual"]),
            slowdown_samples=self._average(raw["paces"]),
            costs=CostTotals(*costs),
            classes=[
                self._class(state.classes[class_indexes[name]], values)
                for name, values in raw["classes"].items()
                if name in class_indexes
            ],
            engines=[
                engine
                for name, values in raw["engines"].items()
                if (engine := self._engine(state.fleet.engines.get(name), values)) is not None
            ],
        )

    def _time(self, raw: Any) -> int:
        time = int(_number(raw))
        return time - self.wall_clock_offset if time else 0

    def _average(self, raw: Any) -> DecayedAverage:
        total, weight, updated_at = raw
        return DecayedAverage(_number(total), max(0.0, _number(weight)), self._time(updated_at))

    def _class(self, request_class: ClassState, raw: Any) -> LearnedClass:
        means = {attribute: _decode_mean(raw[key]) for key, attribute in MEANS.items()}
        longest_timeout = int(_number(raw["first_span"]))
        return LearnedClass(request_class, means, self._average(raw["rate"]), longest_timeout)

    def _engine(self, engine: EngineState | None, raw: Any) -> LearnedEngine | None:
        """Decode an engine; None if this process does not have it or it has restarted since."""
        listed_start, started_at, slowdown, fault_rate, *times, ejection_time, table_groups = raw
        if engine is None or not _is_same_start(engine.info.started_at, self._time(listed_start)):
            return None
        last_received_at, ejected_until = (self._time(time) for time in times)
        return LearnedEngine(
            state=engine,
            started_at=self._time(started_at),
            log_slowdown=self._average(slowdown),
            fault_rate=_number(fault_rate),
            last_received_at=last_received_at,
            ejected_until=ejected_until,
            ejection_time=int(_number(ejection_time)),
            warm_table_groups=[_number(group) for group in table_groups[:MAX_TABLE_GROUPS]],
        )


def _is_same_start(listed_here: int, listed_by_predecessor: int) -> bool:
    """Whether two listed start times denote the same start.

    Each process has converted the listed time to its own steady clock, so the results may differ slightly.
    """
    if not listed_here or not listed_by_predecessor:
        return listed_here == listed_by_predecessor
    return abs(listed_here - listed_by_predecessor) < START_TOLERANCE_NS


def _encode_mean(mean: RunningMean) -> list[float]:
    return [mean.value, mean.variance, mean.count]


def _decode_mean(raw: Any) -> RunningMean:
    value, variance, count = raw
    return RunningMean(_number(value), max(0.0, _number(variance)), max(0, int(_number(count))))


def _number(raw: Any) -> float:
    if type(raw) not in (int, float) or not math.isfinite(raw):
        raise LearnedStateError(f"expected a finite number, got {raw!r:.40}")
    return float(raw)
