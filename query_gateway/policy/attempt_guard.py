"""Checks made before each attempt is sent, and the check that a further attempt can end in time.

An attempt may be sent if all of these conditions hold:

    the query is open, before its client's deadline, and has attempts left
    the engine is usable for the query (`placement`), and the query may run again (`repetition`)
    no attempt of the query is in flight, or the site allows hedging and the class may run twice
    the query is the next of its key (`key_ordering`)
    the engine has a slow-start credit for the query (`slow_start`)
    for a retry: the retry budget allows one more (`retry_budget`)

The forwarder's send guard repeats the checks whose result may change before the first byte is sent.
"""

from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.policy import key_ordering, retry_budget, slow_start
from query_gateway.policy.placement import is_usable, may_run_again
from query_gateway.policy.repetition import may_run_twice


def may_forward(state: SchedulerState, query: QueryState, engine: EngineState) -> bool:
    """Whether an attempt of a query may be sent to an engine now."""
    settings = state.settings
    if query.ended or state.now >= query.request.deadline or query.attempt_count >= query.max_attempts:
        return False
    if not is_usable(state, engine, query) or not may_run_again(query, state.now):
        return False
    if query.in_flight and not (settings.allows_hedging and may_run_twice(query.settings)):
        return False
    is_next = key_ordering.is_next(state.key_queues, query, state.now)
    if not is_next or not slow_start.has_credit(state, engine, query.request_class):
        return False
    return not query.attempt_count or retry_budget.allows_retry(state.retry_budget, settings, state.now)


def has_time_for_attempt(query: QueryState, now: int) -> bool:
    """Whether a query has an attempt left that would end before the due time if it started now."""
    return query.attempt_count < query.max_attempts and now + query.run_time < query.due_at
