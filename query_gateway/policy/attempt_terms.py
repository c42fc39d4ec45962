"""Terms of an attempt at its engine: memory grant and priority.

Input: the request's memory estimate (MB), corrected by the mean error of its class; how the engine behaves
when memory is short; the class and the due time.
Result: a grant in MB, 0 for none, and a priority, of which 0 is the lowest.
"""

from typing import Final

from query_gateway.model.actions import SetTerms
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.settings import MemoryShortage
from query_gateway.model.state import SchedulerState

# Factor on the corrected estimate for a grant that takes memory from other queries, as it does unless the
# site's engines behave as `MemoryShortage.PAGE`
MEMORY_MARGIN: Final = 1.15
LATE_PRIORITY: Final = 0
LONG_PRIORITY: Final = 1
SHORT_PRIORITY: Final = 3


def memory_grant_mb(state: SchedulerState, query: QueryState, engine: EngineState) -> float:
    """Memory grant of a query at an engine, in MB; 0 where the site takes no grants."""
    settings = state.settings
    if not settings.takes_memory_grants:
        return 0.0
    largest_mb = engine.memory_mb * settings.max_grant_share
    if settings.memory_shortage is MemoryShortage.PAGE:  # an unused grant takes no memory: grant the maximum
        return largest_mb
    return min(largest_mb, query.corrected_memory_mb() * MEMORY_MARGIN)


def priority(state: SchedulerState, query: QueryState) -> int:
    """Priority of a query at its engine.

    Loads get the priority of short queries, as other queries wait for the tables that a load locks and for
    its key.
    """
    if state.now >= query.due_at:
        return LATE_PRIORITY
    is_long = query.request_class.is_long and not query.settings.locks_tables
    return LONG_PRIORITY if is_long else SHORT_PRIORITY


def set_terms(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    """Set the terms of an attempt that is about to be sent, where the site supports any."""
    memory_mb = memory_grant_mb(state, query, engine)
    query.priority = priority(state, query)
    if memory_mb or state.settings.heeds_priorities:
        state.actions.append(SetTerms(query.request.request_id, round(memory_mb, 1), query.priority))


def update_priority(state: SchedulerState, query: QueryState) -> None:
    """Update the priority of a query in flight if it has changed, where engines heed priorities."""
    if not state.settings.heeds_priorities:
        return
    new_priority = priority(state, query)
    if new_priority != query.priority:
        query.priority = new_priority
        state.actions.append(SetTerms(query.request.request_id, 0.0, new_priority))
