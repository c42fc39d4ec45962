"""Start times: how long a query would wait for its start at an engine, and over the fleet.

    engine in slow start without a credit         half an overload window
    engine with capacity, no query queued before  no wait
    otherwise                                     until enough attempts of this gateway should have ended

Input: the attempts in flight with their expected ends, the queue before the query, the concurrency limits.
Result: nanoseconds.
With thousands of attempts and queries, forecasts of ends and sums over queues are costly, so they are cached
for a time proportional to their length.
"""

from typing import Final

from query_gateway.model.estimates import RemainingTimeEstimator
from query_gateway.model.records import EngineState, QueryState, Workload
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS
from query_gateway.policy import capacity
from query_gateway.policy.slow_start import has_credit

EXACT_LENGTH: Final = 32  # queues and forecasts up to this length are never cached
QUEUED_LIFETIME_NS: Final = MS // 5  # per queued query: how long a sum over the queue is cached
FORECAST_LIFETIME_NS: Final = MS // 5  # per attempt in flight: how long a forecast is cached
# Progress of 2% or less predicts little and is not used. From 0.7 of the expected run time on, half the age
# is assumed to remain.
REMAINING_TIME: Final = RemainingTimeEstimator(
    trusted_progress=0.02, extrapolation_start=0.7, extrapolation_ratio=0.5
)


def start_delay(state: SchedulerState, engine: EngineState, query: QueryState) -> float:
    """Nanoseconds to the earliest start of a query at an engine."""
    if not has_credit(state, engine, query.request_class):
        return state.settings.slow_start_overload_window / 2
    threads_before = _threads_before(state, engine.workload, query)
    if not threads_before and capacity.has_capacity(state, engine, query):
        return 0.0
    limit = capacity.concurrency_limit(state, engine.cores, query.request_class)
    return _time_until_capacity(state, engine.workload, [engine], limit, query)


def fleet_start_delay(state: SchedulerState, query: QueryState) -> float:
    """Nanoseconds to the earliest start over all engines; 0 if key-ordered or within the fleet share."""
    if capacity.is_within_fleet_share(state, query) or query.is_key_ordered:
        return 0.0
    limit = capacity.fleet_limit(state, query.request_class)
    return _time_until_capacity(state, state.workload, list(state.fleet.engines.values()), limit, query)


def _time_until_capacity(
    state: SchedulerState, workload: Workload, engines: list[EngineState], limit: float, query: QueryState
) -> float:
    """Nanoseconds until enough attempts of a workload have ended for a query and those queued before it."""
    now, is_long = state.now, query.request_class.is_long
    forecast = workload.forecasts.of(is_long)
    if forecast is None or now >= forecast.valid_until or len(forecast.completes_at) <= EXACT_LENGTH:
        forecast = REMAINING_TIME.forecast(engines, is_long, now, FORECAST_LIFETIME_NS)
        workload.forecasts.replace(is_long, forecast)
    threads_in_use = workload.threads_in_use.of(is_long)
    threads_before = _threads_before(state, workload, query)
    needed = threads_before + query.settings.threads - limit + threads_in_use
    return forecast.time_until_free(needed, threads_in_use, limit, query.run_time, now)


def _threads_before(state: SchedulerState, workload: Workload, query: QueryState) -> int:
    return workload.queue.threads_before(query, state.now, EXACT_LENGTH, QUEUED_LIFETIME_NS)
