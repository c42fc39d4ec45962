"""Saturation: whether an engine is fully used, and how congested the fleet is.

    saturated at the last fleet snapshot     the engine's slowdown or its reported load exceeds a limit
    saturated since then                     this gateway alone has `saturation_threads` in use there

Input: slowdowns as logarithms of run time over the uncontended run time, loads as busy shares of the cores,
threads in use of this gateway. Concurrency limits and the fleet share apply only at saturated engines
(`capacity`).

Congestion is the factor by which this gateway's capacity over the fleet is divided.
"""

import math
from typing import Final

from query_gateway.model.records import EngineState
from query_gateway.model.state import SchedulerState
from query_gateway.policy.statistical_allowance import allowance

SATURATED_SLOWDOWN: Final = 1.7  # run time over the uncontended one above which an engine is saturated
SATURATED_LOAD: Final = 0.92  # reported busy share of the cores above which an engine is saturated
SATURATED_THREADS: Final = 1.1  # threads of all gateways per core from which an engine is saturated


def is_saturated(engine: EngineState) -> bool:
    """Whether an engine is saturated by the last fleet snapshot or by the queries sent since."""
    snapshot = engine.snapshot
    return snapshot.saturated or engine.workload.threads_in_use.total() >= snapshot.saturation_threads


def refresh_saturation(state: SchedulerState, engine: EngineState) -> None:
    """Refresh the saturation of an engine, whose slowdown and load must have been refreshed before."""
    fleet, snapshot = state.fleet, engine.snapshot
    loaded = fleet.load_reports.weight > 0 and snapshot.load > SATURATED_LOAD
    snapshot.saturated = snapshot.slowdown > math.log(SATURATED_SLOWDOWN) or loaded
    peers = state.settings.instance_count - 1
    threads_of_peers = peers * fleet.mean_threads_in_use * engine.cores / fleet.snapshot.cores
    snapshot.saturation_threads = (
        SATURATED_THREADS * engine.cores + allowance(peers * engine.cores) - threads_of_peers
    )


def refresh_congestion(state: SchedulerState) -> None:
    """Refresh the congestion of the fleet, whose slowdowns and loads must have been refreshed before.

    Each gateway may always have one query at an engine, which alone lets many gateways keep a fleet
    congested: queries run slowly at every engine, and none recovers. Dividing the capacity of every gateway
    by the congestion resolves this. Where engines report no load, the median slowdown is used instead. Where
    a gateway's share is less than one core, a low slowdown lets the share grow, as the other gateways leave
    theirs unused.
    """
    settings, fleet = state.settings, state.fleet
    cores_per_gateway = max(settings.cores_by_kind, default=1) / settings.instance_count
    slowdown = math.exp(fleet.snapshot.median_slowdown) / SATURATED_SLOWDOWN
    inferred = max(min(1.0, cores_per_gateway), slowdown)
    reported = max(1.0, fleet.snapshot.load)
    fleet.snapshot.congestion = reported if fleet.load_reports.weight else inferred
