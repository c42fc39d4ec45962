"""The terms that an attempt runs on at its engine: its memory grant and its priority.

Inputs: the request's estimate of its memory (MB), corrected by what its class has shown; what the engine does
when memory is short; the class and the due time. Answer: MB, 0 for no grant; a priority, 0 is the lowest.
"""

from typing import Final

from query_gateway.model.actions import SetTerms
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.settings import MemoryShortage
from query_gateway.model.state import SchedulerState

MEMORY_MARGIN: Final = 1.15  # memory over the corrected estimate, where memory granted is taken from others
LATE_PRIORITY: Final = 0
LONG_PRIORITY: Final = 1
SHORT_PRIORITY: Final = 3


def memory_grant_mb(state: SchedulerState, query: QueryState, engine: EngineState) -> float:
    """The memory to grant a query at an engine, in MB; 0: the site grants none."""
    settings = state.settings
    if not settings.takes_memory_grants:
        return 0.0
    largest_mb = engine.memory_mb * settings.max_grant_share
    if settings.memory_shortage is MemoryShortage.PAGE:  # only what is in use counts: all is granted
        return largest_mb
    return min(largest_mb, query.corrected_memory_mb() * MEMORY_MARGIN)


def priority(state: SchedulerState, query: QueryState) -> int:
    """Priority at the engine. Loads count as short: others wait for their tables and their key."""
    if state.now >= query.due_at:
        return LATE_PRIORITY
    is_long = query.request_class.is_long and not query.settings.locks_tables
    return LONG_PRIORITY if is_long else SHORT_PRIORITY


def set_terms(state: SchedulerState, query: QueryState, engine: EngineState) -> None:
    """Set the terms of an attempt that is about to be sent, where the site takes any."""
    memory_mb = memory_grant_mb(state, query, engine)
    query.priority = priority(state, query)
    if memory_mb or state.settings.heeds_priorities:
        state.actions.append(SetTerms(query.request.request_id, round(memory_mb, 1), query.priority))


def update_priority(state: SchedulerState, query: QueryState) -> None:
    """Change the priority of a query in flight if it has another one by now, where the site heeds it."""
    if not state.settings.heeds_priorities:
        return
    new_priority = priority(state, query)
    if new_priority != query.priority:
        query.priority = new_priority
        state.actions.append(SetTerms(query.request.request_id, 0.0, new_priority))
