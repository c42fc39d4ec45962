"""Release of queued queries: each leaves by earliest deadline when an engine has room, or is given up."""

from query_gateway.model.actions import EndReason
from query_gateway.model.records import EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import answers, attempts, capacity, routing

CLIENT_MARGIN_NS = 200 * MS  # two timer periods before a client gives up, as one may come late
LAST_CALL = 0.5  # of the run time that must be left to a queued query: runs scatter below the mean too


def release_queued(state: SchedulerState) -> None:
    """Look at queued queries by earliest deadline; those that stay keep their order."""
    queued = state.queue.entries
    if not queued:
        return
    waiting = state.queue.entries = []
    blocked: list[bool] = []  # lengths of classes of which a query found no room
    # Guards the CPU where many are queued: between full looks, only until nothing more has room
    full = state.now >= state.released_at + routing.QUEUED_AGE_NS * len(queued)
    if full:
        state.released_at = state.now
    for place, (order, query) in enumerate(queued):
        if not full and (len(blocked) == 2 or place == routing.EXACT_LENGTH):
            waiting.extend(queued[place:])
            break
        engine = _release(state, query, blocked)
        at = query.queued_at
        if at and (query.ended or engine or not routing.is_usable(state, at, query)):
            at.queue.remove(query)
            query.queued_at = None
        if engine:
            attempts.forward(state, query, engine)
        elif not query.ended:
            waiting.append((order, query))


def _release(state: SchedulerState, query: QueryState, blocked: list[bool]) -> EngineState | None:
    """The engine that a query leaves for now, if any; one that cannot be in time is given up."""
    if query.ended:
        return None
    # Guards against a client's time that runs out between two looks at the queue
    client_leaves = state.now + CLIENT_MARGIN_NS >= query.request.deadline
    late = state.now + query.run_time * LAST_CALL >= query.due_at
    if client_leaves or (late and not _is_worth_running_late(state, query)):
        answers.give_up(state, query, EndReason.CLIENT_TIMEOUT if client_leaves else EndReason.LATE)
        return None
    is_long = query.request_class.is_long
    if (is_long in blocked and not query.is_key_ordered) or not state.key_queues.is_next(query, state.now):
        return None
    engine = _engine_with_room(state, query)
    if engine is None and query.attempt_count == 0 and is_long not in blocked:
        blocked.append(is_long)
    return engine


def _is_worth_running_late(state: SchedulerState, query: QueryState) -> bool:
    """Late as its key had to wait, which no rejection mends: it goes if those behind lose less by it."""
    if not query.is_key_ordered:
        return False
    if any(engine.is_saturated() for engine in state.up if not engine.in_slow_start):
        return False  # its room is worth more to others
    lost = state.key_queues.weight_lost_behind(query, state.now)
    return lost < query.priority_weight * query.settings.late_weight


def _engine_with_room(state: SchedulerState, query: QueryState) -> EngineState | None:
    """The query's own engine or another with room: none stays idle while queries wait."""
    own = query.queued_at
    # Chosen just now, among all, as the one of least start delay
    just_chosen = query.start_at <= query.arrived_at == state.now
    if own and just_chosen and _may_start(state, own, query):
        return own
    ready = [engine for engine in routing.candidates(state, query) if _may_start(state, engine, query)]
    return min(ready, key=lambda engine: routing.expected_run_time(state, engine, query), default=None)


def _may_start(state: SchedulerState, engine: EngineState, query: QueryState) -> bool:
    return capacity.has_capacity(state, engine, query) and attempts.may_forward(state, query, engine)
