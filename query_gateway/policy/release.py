"""Release of queued queries: each leaves by earliest deadline when an engine has capacity, or is given up.

    given up as CLIENT_TIMEOUT    its client is about to give up
    given up as LATE              half a run would end after it is due, and it may not run late
    stays                         not next of its key, or no engine has capacity for it
    leaves                        for its own engine if that was just found, else for that of least run time

Inputs: the queue by earliest deadline, the capacity of each engine. Times are nanoseconds.
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

CLIENT_MARGIN_NS: Final = 200 * MS  # two timer periods before a client gives up, as one may come late
LAST_START_SHARE: Final = 0.5  # of the run time that must be left; some runs are that much shorter


@dataclass(slots=True)
class BlockedLengths:
    """Whether a query of a short or of a long class has found no capacity in this look at the queue."""

    short: bool = False
    long: bool = False

    def all(self) -> bool:
        """Whether that is so of all classes."""
        return self.short and self.long

    def has(self, is_long: bool) -> bool:
        """Whether that is so of long classes, or of short ones."""
        return self.long if is_long else self.short

    def add(self, is_long: bool) -> None:
        """Note it of long classes, or of short ones."""
        if is_long:
            self.long = True
        else:
            self.short = True


def release_queued(state: SchedulerState) -> None:
    """Look at queued queries by earliest deadline; those that stay keep their order.

    A long queue is looked over in full only once in a while, as each look takes time for every query; in
    between only until both lengths of classes have found no capacity.
    """
    queue = state.workload.queue
    queued = queue.entries
    if not queued:
        return
    staying = queue.entries = []
    blocked = BlockedLengths()
    is_full_look = state.now >= state.last_full_release_at + start_times.QUEUED_LIFETIME_NS * len(queued)
    if is_full_look:
        state.last_full_release_at = state.now
    for index, entry in enumerate(queued):
        if not is_full_look and (blocked.all() or index == start_times.EXACT_LENGTH):
            staying.extend(queued[index:])
            break
        query = entry.query
        engine = _release(state, query, blocked)
        _leave_engine_queue(state, query, released=engine is not None)
        if engine:
            attempts.forward(state, query, engine)
        elif not query.ended:
            staying.append(entry)


def _leave_engine_queue(state: SchedulerState, query: QueryState, released: bool) -> None:
    """Take a query out of the queue of its engine once it has left or ended, or may not run there."""
    engine = query.queued_at
    if engine and (query.ended or released or not placement.is_usable(state, engine, query)):
        engine.workload.queue.remove(query)
        query.queued_at = None


def _release(state: SchedulerState, query: QueryState, blocked: BlockedLengths) -> EngineState | None:
    """The engine that a query leaves for now, if any; one that cannot be in time is given up."""
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
    """Why a queued query must not wait any longer; None if it may."""
    if state.now + CLIENT_MARGIN_NS >= query.request.deadline:
        return EndReason.CLIENT_TIMEOUT
    late = state.now + query.run_time * LAST_START_SHARE >= query.due_at
    return EndReason.LATE if late and not _may_run_late(state, query) else None


def _may_run_late(state: SchedulerState, query: QueryState) -> bool:
    """Whether a query runs although it will be late, as its key had to wait, which no rejection mends.

    It does where its late answer counts for more than what those behind it in its key lose, and where no
    engine past slow start is saturated: there, other queries could be in time in its place.
    """
    if not query.is_key_ordered:
        return False
    past_slow_start = (engine for engine in state.fleet.snapshot.up if not engine.snapshot.in_slow_start)
    if any(is_saturated(engine) for engine in past_slow_start):
        return False
    lost_weight = key_ordering.weight_lost_behind(state.key_queues, query, state.now)
    return lost_weight < query.priority_weight * query.settings.late_weight


def _engine_with_capacity(state: SchedulerState, query: QueryState) -> EngineState | None:
    """The query's own engine or another with capacity: none stays idle while queries wait."""
    own_engine = query.queued_at
    # Routed in this batch, among all candidates, to the engine of least start delay
    just_routed = query.start_at <= query.arrived_at == state.now
    if own_engine and just_routed and _may_start(state, own_engine, query):
        return own_engine
    ready = [engine for engine in routing.candidates(state, query) if _may_start(state, engine, query)]
    return min(ready, key=lambda engine: routing.expected_run_time(state, engine, query), default=None)


def _may_start(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    has_capacity = capacity.has_capacity(state, engine, query)
    return has_capacity and attempt_guard.may_forward(state, query, engine)
