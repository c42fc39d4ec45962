"""What a scheduler keeps about all engines together. Times are clock times in nanoseconds.

`FleetSnapshot` and each engine's `EngineSnapshot` are refreshed together by `policy.fleet_snapshot`; all else
here is live.
"""

from dataclasses import dataclass, field

from query_gateway.model.averages import DecayedAverage
from query_gateway.model.records import EngineState


@dataclass(slots=True, eq=False)
class FleetSnapshot:
    """The fleet as it stood when the snapshot was last refreshed."""

    taken_at: int = 0
    up: list[EngineState] = field(default_factory=list)
    engines_in_slow_start: list[EngineState] = field(default_factory=list)  # of those, the ones in slow start
    all_ejected: bool = False  # no engine that is up is not ejected
    cores: float = 1.0  # of engines that are up, not ejected and past slow start
    load: float = 0.0  # decayed mean of the load reports, or what this gateway's threads let expect
    slowdown: float = 0.0  # log of run time over the uncontended one, decayed mean of all samples
    median_slowdown: float = 0.0  # of the engines past slow start
    congestion: float = 1.0  # by what this gateway's capacity is divided
    answer_interval: float = 0.0  # time between two answers of one engine


@dataclass(slots=True, eq=False)
class Fleet:
    """All engines: those that are listed, and others while something of theirs is in flight or queued."""

    engines: dict[str, EngineState] = field(default_factory=dict)  # by name
    mean_threads_in_use: float = 0.0  # of this gateway in use, decayed mean
    slowdown_samples: DecayedAverage = field(default_factory=DecayedAverage)  # of `FleetSnapshot.slowdown`
    load_reports: DecayedAverage = field(default_factory=DecayedAverage)  # busy share of the cores
    snapshot: FleetSnapshot = field(default_factory=FleetSnapshot)
