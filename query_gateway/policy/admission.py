"""Admission (UNIT, section 3.3): decides whether a request is queued for an engine or rejected at once.

The first condition that applies rejects the query, with its `EndReason`:

    LATE               now + lag ratio * start delay + run time is not before its due time
    TOO_MANY_QUEUED    it would have to wait, and open queries hold most of the allowed client connections
    OVER_QUOTA         it exceeds its tenant's quota, and its engine is saturated
    ENDANGERS_OTHERS   it would make queries queued behind it late whose total priority weight exceeds its own

Input: the request, the expected run time of its class and the start delay of its best route (nanoseconds),
the lag ratio. A query whose last attempt failed is admitted again by the same rules.
The citation of the paper is in `scheduler`.
"""

import math
from typing import Final

from query_gateway.model.actions import EndReason
from query_gateway.model.events import Request
from query_gateway.model.forecasts import QueuePlace
from query_gateway.model.records import DeadlineQueue, EngineState, QueryState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import answers, capacity, retry_budget, routing, tenants
from query_gateway.policy.controller import record_cost
from query_gateway.policy.fleet_estimator import FLEET_ESTIMATOR
from query_gateway.policy.saturation import is_saturated
from query_gateway.policy.work_estimate import expected_work

MAX_CONNECTION_SHARE: Final = 0.75  # open queries / client connection limit, from which no query is queued
CLIENT_JITTER_NS: Final = 1 * MS  # variation of a client's timeout between requests


def handle_request(state: SchedulerState, request: Request) -> None:
    """Register a new request and decide whether it is admitted."""
    if request.request_id in state.queries or request.class_index >= len(state.classes):
        return
    retry_budget.record_request(state.retry_budget, state.settings, state.now)
    request_class = state.classes[request.class_index]
    if request.class_settings is not None:
        request_class = request_class.with_settings(request.class_settings)
    query = _new_query(state, request, request_class)
    state.queries[request.request_id] = query
    if request.key and query.settings.ordered_by_key:
        state.key_queues.add(request.key, query)
    if not request.is_retry:
        record_cost(state, query.priority_weight, 0.0, 0.0)
    admit(state, query)


def _new_query(state: SchedulerState, request: Request, request_class: ClassState) -> QueryState:
    threads = request_class.settings.threads
    work = expected_work(request_class, request)
    due_at = min(state.now + _remaining_objective(state, request, request_class, work), request.deadline)
    return QueryState(
        request=request,
        request_class=request_class,
        arrived_at=state.now,
        priority_weight=tenants.request_weight(state, request_class, request.tenant),
        work=work,
        run_time=work / threads * FLEET_ESTIMATOR.class_slowdown(state, request_class),
        due_at=due_at,
        place=QueuePlace(due_at, request.request_id),
        max_attempts=state.settings.max_attempts,
    )


def _remaining_objective(
    state: SchedulerState, request: Request, request_class: ClassState, work: float
) -> int:
    """Nanoseconds that remain of a request's latency objective.

    A client's retry arrives with less time to its deadline than a first request of its class. The difference
    has elapsed since the first request and is subtracted from the objective.
    """
    settings, remaining = request_class.settings, request.deadline - state.now
    objective = settings.latency_objective + int(settings.objective_per_run_time * work / settings.threads)
    if not request.is_retry:
        request_class.longest_timeout = max(request_class.longest_timeout, remaining)
    elif remaining < request_class.longest_timeout - CLIENT_JITTER_NS:
        objective -= max(0, settings.timeout - remaining)
    return objective


def admit(state: SchedulerState, query: QueryState) -> None:
    """Queue a query for its best engine, or give it up if a reason to reject it applies."""
    route = routing.best_route(state, query)
    engine, delay = (route.engine, route.start_delay) if route else (None, 0.0)
    if reason := _rejection_reason(state, query, engine, delay):
        answers.give_up(state, query, reason, delay)
        return
    query.queued_at, query.start_at = engine, state.now + delay
    state.workload.queue.add(query)
    if engine:
        engine.workload.queue.add(query)


def _rejection_reason(
    state: SchedulerState, query: QueryState, engine: EngineState | None, delay: float
) -> EndReason | None:
    """Reason for which a query is rejected; None if it is admitted."""
    if state.now + state.controller.lag_ratio * delay + query.run_time >= query.due_at:
        return EndReason.LATE
    # Each queued query holds a client connection. Once all connections are held, new clients cannot connect
    # and time out without an answer; a client that can connect at least receives a rejection.
    if delay > 0 and _holds_most_connections(state):
        return EndReason.TOO_MANY_QUEUED
    # Requests over quota have a low weight, but at a saturated engine they still delay all other queries
    is_over_quota = query.priority_weight < query.settings.priority_weight
    if engine is not None and is_over_quota and is_saturated(engine):
        return EndReason.OVER_QUOTA
    if engine and _endangered_weight(state, query, engine, delay) > query.priority_weight:
        return EndReason.ENDANGERS_OTHERS
    return None


def _holds_most_connections(state: SchedulerState) -> bool:
    """Whether the open queries hold most of the allowed client connections; False if no limit is known."""
    limit = state.settings.max_client_connections * MAX_CONNECTION_SHARE
    return 0 < limit <= len(state.queries)


def _endangered_weight(state: SchedulerState, query: QueryState, engine: EngineState, delay: float) -> float:
    """Priority weight of the queries queued behind this one that it would make late."""
    if delay <= 0:
        return 0.0
    limit = capacity.concurrency_limit(state, engine.cores, query.request_class)
    added_delay = query.run_time * query.settings.threads / max(1.0, limit)
    return weight_made_late(engine.workload.queue, query, added_delay)


def weight_made_late(queue: DeadlineQueue, query: QueryState, added_delay: float) -> float:
    """Priority weight of queries behind `query` that a delay (nanoseconds) would newly make late."""
    return math.fsum(
        other.priority_weight
        for other in queue.queries_behind(query)
        if 0 < other.due_at - other.start_at - other.run_time <= added_delay
    )
