"""Admission (UNIT 3.3): what comes is queued for its engine, or rejected at once.

A query passes if `lag ratio * earliest start + mean run time` lies before it is due, and if the weight of
what it would make late is not above its own.
"""

from query_gateway.model.actions import EndReason
from query_gateway.model.events import Request
from query_gateway.model.records import ClassState, EngineState, QueryState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import answers, capacity, routing, tenants
from query_gateway.policy.controller import record_cost
from query_gateway.policy.fleet_survey import FLEET_ESTIMATOR

FULL_CLIENTS = 0.75  # share of the clients' connections taken from which nothing more is queued
MIN_ESTIMATES = 5  # answers from which the error of a class's estimates is known
CLIENT_JITTER_NS = 1 * MS  # by which a client's timeout may differ from one request to the next


def arrive(state: SchedulerState, request: Request) -> None:
    """Take a new request in and decide whether it is admitted."""
    if request.request_id in state.queries or request.class_index >= len(state.classes):
        return
    state.retry_budget.record_request(state.settings, state.now)
    query = _new_query(state, request, state.classes[request.class_index])
    state.queries[request.request_id] = query
    if request.key and query.settings.ordered_by_key:
        state.key_queues.add(request.key, query)
    if not request.is_retry:
        record_cost(state, query.priority_weight, 0.0, 0.0)
    admit(state, query)


def _new_query(state: SchedulerState, request: Request, known: ClassState) -> QueryState:
    settings, remaining = known.settings, request.deadline - state.now
    work = known.expected_work(request, MIN_ESTIMATES)
    run_time = work / settings.threads * FLEET_ESTIMATOR.class_slowdown(state, known)
    objective = settings.latency_objective + int(settings.objective_per_run_time * work / settings.threads)
    if not request.is_retry:
        known.longest_timeout = max(known.longest_timeout, remaining)
    elif remaining < known.longest_timeout - CLIENT_JITTER_NS:
        # Its first request was so long ago, and that much of its objective has passed
        objective -= max(0, settings.timeout - remaining)
    due_at = min(state.now + objective, request.deadline)
    weight, order = tenants.request_weight(state, known, request.tenant), (due_at, request.request_id)
    most = state.settings.max_attempts
    return QueryState(request, known, state.now, weight, work, run_time, due_at, order, most)


def admit(state: SchedulerState, query: QueryState) -> None:
    """Check whether a query can be in time and what it endangers; it is queued for its engine or given up."""
    delay, engine = routing.best_route(state, query) or (0.0, None)
    if reason := _rejection_reason(state, query, engine, delay):
        answers.give_up(state, query, reason, delay)
        return
    query.queued_at, query.start_at = engine, state.now + delay
    state.queue.add(query)
    if engine:
        engine.queue.add(query)


def _rejection_reason(
    state: SchedulerState, query: QueryState, engine: EngineState | None, delay: float
) -> EndReason | None:
    """Why a query is not admitted; None if it is."""
    if state.now + state.lag_ratio * delay + query.run_time >= query.due_at:
        return EndReason.LATE
    # Guards clients who find no connection: each queued one keeps one, and only who gets in can be rejected
    if delay > 0 and 0 < state.settings.max_client_connections * FULL_CLIENTS <= len(state.queries):
        return EndReason.TOO_MANY_QUEUED
    # Guards the others against a tenant's surplus: it weighs little, and at a saturated engine it delays all
    surplus = query.priority_weight < query.settings.priority_weight
    if engine is not None and surplus and engine.is_saturated():
        return EndReason.OVER_QUOTA
    if engine and _endangered_weight(state, query, engine, delay) > query.priority_weight:
        return EndReason.ENDANGERS_OTHERS
    return None


def _endangered_weight(state: SchedulerState, query: QueryState, engine: EngineState, delay: float) -> float:
    """Weight queued behind a query that would come late because of it, and would not have."""
    if delay <= 0:
        return 0.0
    limit = capacity.concurrency_limit(state, engine.cores, query.request_class)
    return engine.queue.weight_made_late(query, query.run_time * query.settings.threads / max(1.0, limit))
