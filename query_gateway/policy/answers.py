"""Ends queries: rejects those that a client may safely retry, fails the others, and records abandoned ones.

    no attempt can have run, or a second run has no further effect     Reject: the client may retry
    otherwise                                                          Fail: the request may have run

`repetition` decides between the two. Attempts that are still in flight are cancelled where the site allows
cancellation. Times are nanoseconds.
"""

from typing import Final

from query_gateway.model.actions import Cancel, EndReason, Fail, Reject
from query_gateway.model.events import RequestAbandoned
from query_gateway.model.records import AttemptState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy.controller import record_cost
from query_gateway.policy.repetition import may_be_rejected

MIN_RETRY_AFTER_NS: Final = 100 * MS  # the scheduler's timer period; an earlier retry would be decided alike


def give_up(state: SchedulerState, query: QueryState, reason: EndReason, start_delay: float = 0.0) -> None:
    """Reject a query if a retry is safe, else fail it; Retry-After follows from `start_delay`."""
    if query.ended:
        return
    request, first_sent_at = query.request, query.first_sent_at
    delay = retry_after(state, start_delay)
    if may_be_rejected(query.settings, request.client_has_key, first_sent_at, state.now + delay):
        state.actions.append(Reject(request.request_id, delay, reason))
    else:
        state.actions.append(Fail(request.request_id, reason))
    _record_cost(state, query, late=state.now >= query.due_at or first_sent_at is not None)
    query.ended = True
    _cancel_attempts(state, query)


def retry_after(state: SchedulerState, start_delay: float) -> int:
    """Nanoseconds that a rejected client should wait before it retries, for Retry-After.

    The expected start delay, bounded by `MIN_RETRY_AFTER_NS` and the site's `max_retry_after`. Returns 0, an
    immediate retry, where the settings do not allow Retry-After.
    """
    if not state.settings.allows_retry_after:
        return 0
    return min(state.settings.max_retry_after, max(MIN_RETRY_AFTER_NS, int(start_delay)))


def _record_cost(state: SchedulerState, query: QueryState, late: bool) -> None:
    """Count a given-up query as late or rejected, except a client's retry: its first request was counted."""
    if not query.request.is_retry:
        weight = query.priority_weight
        record_cost(state, 0.0, 0.0 if late else weight, weight if late else 0.0)


def mark_answered(state: SchedulerState, query: QueryState) -> None:
    """Mark a query as ended by an outcome or by its client, and record the cost if it is late."""
    if not query.ended and state.now > query.due_at and not query.request.is_retry:
        record_cost(state, 0.0, 0.0, query.priority_weight)
    query.ended = True


def handle_abandonment(state: SchedulerState, event: RequestAbandoned) -> None:
    """End the query of a client that has left, and cancel its attempts."""
    query = state.queries.get(event.request_id)
    if query is not None and not query.ended:
        mark_answered(state, query)
        _cancel_attempts(state, query)


def _cancel_attempts(state: SchedulerState, query: QueryState) -> None:
    for attempt in query.in_flight:
        cancel_attempt(state, attempt)
    if not query.in_flight:
        state.forget(query)


def cancel_attempt(state: SchedulerState, attempt: AttemptState) -> None:
    """Cancel an attempt, at most once and only where the site allows cancellation."""
    if state.settings.allows_cancellation and not attempt.cancelled:
        attempt.cancelled = True
        state.actions.append(Cancel(attempt.query.request.request_id, attempt.number))
