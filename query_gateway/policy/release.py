"""Release of queued queries: by earliest deadline, each is sent once an engine has capacity, or is given up.

    given up as CLIENT_TIMEOUT    its client is about to time out
    given up as LATE              under half its expected run time is left until due, and it may not run late
    stays queued                  it is not the next of its key, or no engine has capacity for it
    sent                          to the engine to which it was routed on arrival in this batch, else to the
                                  engine with capacity that has the least expected run time

Input: the queue by earliest deadline, the capacity of each engine. Times are nanoseconds.
"""

from dataclasses import dataclass
from typing import Final

from query_gateway.model.actions import EndReason
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import (
    answers,
    attempt_guard,
    attempts,
    capacity,
    key_ordering,
    placement,
    routing,
    start_times,
)
from query_gateway.policy.saturation import is_saturated

# Time before the client's deadline at which a query is given up; two timer periods, as one may be late
CLIENT_MARGIN_NS: Final = 200 * MS
# A queued query is late once less than this share of its expected run time is left until it is due; some runs
# take only half of the expected time
LAST_START_SHARE: Final = 0.5


@dataclass(slots=True)
class BlockedLengths:
    """Class lengths, short or long, for which this pass over the queue has found no capacity."""

    short: bool = False
    long: bool = False

    def all(self) -> bool:
        """Whether both lengths are blocked."""
        return self.short and self.long

    def has(self, is_long: bool) -> bool:
        """Whether a length is blocked."""
        return self.long if is_long else self.short

    def add(self, is_long: bool) -> None:
        """Mark a length as blocked."""
        if is_long:
            self.long = True
        else:
            self.short = True


def release_queued(state: SchedulerState) -> None:
    """Release or give up queued queries by earliest deadline; the others keep their order.

    Each query takes time to examine, so a long queue gets a full pass only at intervals. The passes in
    between stop once both class lengths are blocked, or after `EXACT_LENGTH` queries.
    """
    queue = state.workload.queue
    queued = queue.entries
    if not queued:
        return
    still_queued = queue.entries = []
    blocked = BlockedLengths()
    is_full_pass = state.now >= state.last_full_release_at + start_times.QUEUED_LIFETIME_NS * len(queued)
    if is_full_pass:
        state.last_full_release_at = state.now
    for index, entry in enumerate(queued):
        if not is_full_pass and (blocked.all() or index == start_times.EXACT_LENGTH):
            still_queued.extend(queued[index:])
            break
        query = entry.query
        engine = _select_engine(state, query, blocked)
        _remove_from_engine_queue(state, query, released=engine is not None)
        if engine:
            attempts.forward(state, query, engine)
        elif not query.ended:
            still_queued.append(entry)


def _remove_from_engine_queue(state: SchedulerState, query: QueryState, released: bool) -> None:
    """Remove a query from the queue of its engine once it was sent, has ended or may not run there."""
    engine = query.queued_at
    if engine and (query.ended or released or not placement.is_usable(state, engine, query)):
        engine.workload.queue.remove(query)
        query.queued_at = None


def _select_engine(state: SchedulerState, query: QueryState, blocked: BlockedLengths) -> EngineState | None:
    """Engine that a query is sent to now, if any; a query that cannot be in time is given up."""
    if query.ended:
        return None
    if reason := _give_up_reason(state, query):
        answers.give_up(state, query, reason)
        return None
    is_long = query.request_class.is_long
    is_blocked = blocked.has(is_long) and not query.is_key_ordered
    if is_blocked or not key_ordering.is_next(state.key_queues, query, state.now):
        return None
    engine = _engine_with_capacity(state, query)
    if engine is None and query.attempt_count == 0:
        blocked.add(is_long)
    return engine


def _give_up_reason(state: SchedulerState, query: QueryState) -> EndReason | None:
    """Reason for which a queued query is given up; None if it may wait."""
    if state.now + CLIENT_MARGIN_NS >= query.request.deadline:
        return EndReason.CLIENT_TIMEOUT
    late = state.now + query.run_time * LAST_START_SHARE >= query.due_at
    return EndReason.LATE if late and not _may_run_late(state, query) else None


def _may_run_late(state: SchedulerState, query: QueryState) -> bool:
    """Whether a query may run although it will be late.

    Only a query ordered by key may: rejecting it does not recover the time that it waited for its key. Its
    late answer must be worth more than the loss of the queries behind it in its key. No engine past slow
    start may be saturated, as other queries could be in time there instead.
    """
    if not query.is_key_ordered:
        return False
    past_slow_start = (engine for engine in state.fleet.snapshot.up if not engine.snapshot.in_slow_start)
    if any(is_saturated(engine) for engine in past_slow_start):
        return False
    lost_weight = key_ordering.weight_lost_behind(state.key_queues, query, state.now)
    return lost_weight < query.priority_weight * query.settings.late_weight


def _engine_with_capacity(state: SchedulerState, query: QueryState) -> EngineState | None:
    """The engine with capacity to which a query is sent now; None if there is none.

    Engines other than the one where the query is queued are considered, so that none idles while it waits.
    """
    own_engine = query.queued_at
    # A query that was routed on arrival in this batch, without a start delay, needs no second comparison
    just_routed = query.start_at <= query.arrived_at == state.now
    if own_engine and just_routed and _may_start(state, own_engine, query):
        return own_engine
    ready = [engine for engine in routing.candidates(state, query) if _may_start(state, engine, query)]
    return min(ready, key=lambda engine: routing.expected_run_time(state, engine, query), default=None)


def _may_start(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    has_capacity = capacity.has_capacity(state, engine, query)
    return has_capacity and attempt_guard.may_forward(state, query, engine)
