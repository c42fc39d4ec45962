"""Fault rate: which engine an error is attributed to, and how strongly routing avoids a faulty engine.

    first error of a query                      counts against the engine that returned it
    further error at the same engine            counts against that engine
    error at a second engine                    clears the first engine: the query is at fault

The fault rate is the decayed share of attempts that ended in error, from 0 to 1. The penalty is the factor
by which routing multiplies the expected run time at an engine.
"""

import math
from typing import Final

from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState

FAULT_WEIGHT: Final = 0.15  # minimum weight of an answer in the fault rate; weight of a lost attempt
TOLERATED_SLOWDOWN: Final = 0.25  # log slowdown above the peers' median that adds no penalty
MIN_SUCCESS_RATE: Final = 0.1  # bounds the penalty of an engine whose attempts all fail


def record_answer(state: SchedulerState, engine: EngineState, query: QueryState, failed: bool) -> None:
    """Count an answer in the fault rate of its engine, or clear the engine where the query failed before.

    A client may send a query that no engine can serve. Counted against every engine that tries it, such
    queries would get all engines ejected. A failure at a second engine shows that the first was not at fault.
    """
    # The fewer the recent answers, the more weight each one has
    weight = max(FAULT_WEIGHT, 1 / (2 + engine.log_slowdown.weight))
    if not failed or not query.failed_at or query.failed_at[0] is engine:
        engine.fault_rate += weight * (failed - engine.fault_rate)
    elif len(query.failed_at) == 1:
        cleared = query.failed_at[0]
        cleared.fault_rate = max(0.0, (cleared.fault_rate - weight) / (1 - weight))
    if failed:
        query.failed_at.append(engine)
        refresh_penalty(state, engine)


def record_lost_attempt(state: SchedulerState, engine: EngineState) -> None:
    """Count a lost attempt as a fault of its engine, which may still answer other attempts."""
    engine.fault_rate += FAULT_WEIGHT * (1 - engine.fault_rate)
    refresh_penalty(state, engine)


def refresh_penalty(state: SchedulerState, engine: EngineState) -> None:
    """Refresh an engine's penalty: 1 if healthy, more if it is slower than its peers or fails."""
    excess = engine.snapshot.slowdown - state.fleet.snapshot.median_slowdown - TOLERATED_SLOWDOWN
    slowdown_factor = math.exp(max(0.0, excess))
    engine.snapshot.penalty = slowdown_factor / max(MIN_SUCCESS_RATE, 1 - engine.fault_rate)
