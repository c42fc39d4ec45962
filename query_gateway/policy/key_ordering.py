"""Per-key ordering: the queries of a key run one at a time, in the order of their arrival.

    first of its key, no attempt sent yet     may run once the key quarantine is over (`key_quarantine`)
    first of its key, an attempt was sent     may run again: the quarantine is due to its own attempts
    behind the first of its key               may not run

Queries without a key and those of classes without per-key ordering may always run. Times are clock times in
nanoseconds.
"""

from query_gateway.model.key_queues import KeyQueues
from query_gateway.model.records import QueryState


def is_next(key_queues: KeyQueues, query: QueryState, now: int) -> bool:
    """Whether per-key ordering allows a query to run now."""
    if not query.is_key_ordered:
        return True
    key = query.request.key or ""
    quarantine_over = query.attempt_count > 0 or now >= key_queues.quarantined_until.get(key, 0)
    return key_queues.queues[key][0] is query and quarantine_over


def quarantine(key_queues: KeyQueues, query: QueryState, until: int) -> None:
    """Delay the next query of a key until a clock time, as an attempt of `query` may still be running."""
    if query.request.key and query.settings.ordered_by_key:
        key_queues.quarantined_until[query.request.key] = until


def weight_lost_behind(key_queues: KeyQueues, query: QueryState, now: int) -> float:
    """Priority weight that the queries behind `query` in its key's queue lose if `query` runs now.

    0 if `query` is not the first of its key.
    """
    queue = key_queues.queues[query.request.key or ""]
    run_time_before, lost_weight = 0.0, 0.0
    for other in queue[1:] if queue and queue[0] is query else ():
        slack = other.due_at - now - other.run_time - run_time_before
        becomes_late = 0 < slack <= query.run_time
        lost_weight += other.priority_weight * (1 - other.settings.late_weight) * becomes_late
        run_time_before += other.run_time * (slack > 0)
    return lost_weight
