"""Fault rate: which engine an error counts against, and by how much a faulty engine is avoided.

    a query ends in error, for the first time       counts against the engine
    it ends in error again, at the same engine      counts against the engine
    it ends in error at a second engine             clears the first; the query itself is at fault

The fault rate is a decayed share, from 0 to 1, of the attempts that ended in error. The penalty is the factor
by which routing takes a run at the engine to be longer than at a healthy one.
"""

import math
from typing import Final

from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState

FAULT_WEIGHT: Final = 0.15  # least weight of a new outcome in the fault rate
TOLERATED_SLOWDOWN: Final = 0.25  # log slowdown over the peers' median that is not taken for a fault
MIN_SUCCESS_RATE: Final = 0.1  # bounds the penalty of an engine that only fails


def record_answer(state: SchedulerState, engine: EngineState, query: QueryState, failed: bool) -> None:
    """Count an answer in the fault rate of its engine, or clear the engine that failed the query before.

    A client may send a query that no engine can serve. Counted against each engine that tries it, such
    queries would get all engines ejected; the second engine that fails shows that the first was not to
    blame.
    """
    # Where answers are few, each counts for more
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
    """An attempt got no answer from an engine that answers others: a fault of the engine."""
    engine.fault_rate += FAULT_WEIGHT * (1 - engine.fault_rate)
    refresh_penalty(state, engine)


def refresh_penalty(state: SchedulerState, engine: EngineState) -> None:
    """Rate an engine: 1 when healthy; more if it is slower than its peers at this time, or fails."""
    excess = engine.snapshot.slowdown - state.fleet.snapshot.median_slowdown - TOLERATED_SLOWDOWN
    slow = math.exp(max(0.0, excess))
    engine.snapshot.penalty = slow / max(MIN_SUCCESS_RATE, 1 - engine.fault_rate)
