"""State that a scheduler keeps about all engines. Times are clock times in nanoseconds.

`policy.fleet_snapshot` refreshes `FleetSnapshot`, `Fleet.mean_threads_in_use` and the `EngineSnapshot` of
each engine together; all other fields are updated as events arrive.
"""

from dataclasses import dataclass, field

from query_gateway.model.averages import DecayedAverage
from query_gateway.model.records import EngineState


@dataclass(slots=True, eq=False)
class FleetSnapshot:
    """The fleet at the last refresh of the snapshot."""

    taken_at: int = 0
    up: list[EngineState] = field(default_factory=list)
    engines_in_slow_start: list[EngineState] = field(default_factory=list)  # a subset of `up`
    all_ejected: bool = False  # every engine that is up is ejected
    # Of the engines that are up and past slow start, without ejected ones unless all are ejected; 1 if none
    cores: float = 1.0
    load: float = 0.0  # decayed mean of the load reports; without any, estimated from this gateway's threads
    slowdown: float = 0.0  # decayed mean of log(run time / uncontended run time) over all samples
    median_slowdown: float = 0.0  # median log slowdown of the engines that are up and past slow start
    congestion: float = 1.0  # divisor of this gateway's thread limit over all engines
    answer_interval: float = 0.0  # mean time between two answers of one engine


@dataclass(slots=True, eq=False)
class Fleet:
    """All engines: the listed ones, and unlisted ones with attempts in flight or queued queries."""

    engines: dict[str, EngineState] = field(default_factory=dict)  # by name
    mean_threads_in_use: float = 0.0  # of this gateway; decayed mean
    slowdown_samples: DecayedAverage = field(default_factory=DecayedAverage)  # log slowdowns
    load_reports: DecayedAverage = field(default_factory=DecayedAverage)  # reported busy shares of the cores
    snapshot: FleetSnapshot = field(default_factory=FleetSnapshot)
