"""Fleet snapshot: which engines are up, in slow start, saturated or slow, and how congested the fleet is.

It is refreshed before the events of a batch once `SNAPSHOT_PERIOD_NS` has passed, and at once when the
endpoint list or an ejection changes. All decisions in between use the same snapshot; only an engine's penalty
is also refreshed at each fault (`fault_rate`).
"""

from typing import Final

from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.model.workload import ThreadsInUse
from query_gateway.policy.class_lengths import refresh_class_lengths
from query_gateway.policy.fault_rate import refresh_penalty
from query_gateway.policy.fleet_estimator import FLEET_ESTIMATOR
from query_gateway.policy.recovery_ramp import is_in_slow_start
from query_gateway.policy.saturation import refresh_congestion, refresh_saturation

SNAPSHOT_PERIOD_NS: Final = 200 * MS


def refresh_fleet_snapshot(state: SchedulerState, force: bool = False) -> None:
    """Refresh the snapshot if its period has passed, or if forced."""
    snapshot = state.fleet.snapshot
    elapsed = state.now - snapshot.taken_at
    if elapsed < SNAPSHOT_PERIOD_NS and not force:
        return
    snapshot.taken_at = state.now
    _forget_removed_engines(state)
    _refresh_members(state)
    _recount_threads(state)
    refresh_class_lengths(state.classes)
    FLEET_ESTIMATOR.refresh(state, elapsed)
    refresh_congestion(state)
    for engine in snapshot.up:
        refresh_saturation(state, engine)
        refresh_penalty(state, engine)


def _forget_removed_engines(state: SchedulerState) -> None:
    """Drop engines that are no longer on the endpoint list and have nothing in flight or queued.

    A replaced engine gets a new name, so records that were kept for ever would exhaust the memory.
    """
    state.fleet.engines = {
        name: engine
        for name, engine in state.fleet.engines.items()
        if engine.listed or engine.in_flight or engine.workload.queue.entries
    }


def _refresh_members(state: SchedulerState) -> None:
    """Refresh which engines are up, ejected and in slow start, and the cores that count as capacity."""
    settings, snapshot, engines = state.settings, state.fleet.snapshot, state.fleet.engines.values()
    snapshot.up = [engine for engine in engines if engine.is_up]
    usable = [engine for engine in snapshot.up if not engine.is_ejected(state.now)]
    snapshot.all_ejected = not usable  # ejections are then ignored: the cause is not a single engine
    for engine in engines:
        engine.snapshot.in_slow_start = is_in_slow_start(settings, engine.started_at, state.now)
    # Credits bound the queries sent to an engine in slow start (`slow_start`), so neither its cores nor its
    # threads count in the fleet's totals
    snapshot.engines_in_slow_start = [engine for engine in snapshot.up if engine.snapshot.in_slow_start]
    past_slow_start = [engine for engine in usable or snapshot.up if not engine.snapshot.in_slow_start]
    snapshot.cores = float(sum(engine.cores for engine in past_slow_start)) or 1.0


def _recount_threads(state: SchedulerState) -> None:
    """Sum the threads in use over all engines past slow start, including those that are not up."""
    counted = [engine for engine in state.fleet.engines.values() if not engine.snapshot.in_slow_start]
    state.workload.threads_in_use = ThreadsInUse(
        short=sum(engine.workload.threads_in_use.short for engine in counted),
        long=sum(engine.workload.threads_in_use.long for engine in counted),
    )
