"""Unit tests of the model: estimators, budgets, queues, forecasts and gossip."""

import math
from dataclasses import replace
from random import Random

import pytest

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.budgets import RetryBudget, TokenBucket
from query_gateway.model.costs import CostShares, CostTotals
from query_gateway.model.estimates import RemainingTimeEstimator
from query_gateway.model.forecasts import (
    ExpectedEnd,
    QueuedThreads,
    QueuePlace,
    forecast_completions,
    index_queued_threads,
)
from query_gateway.model.gossip import TenantTraffic
from query_gateway.model.key_queues import KeyQueues
from query_gateway.model.records import AttemptKey, AttemptState, DeadlineQueue, EngineState, QueryState
from query_gateway.model.request_classes import ClassState
from query_gateway.model.settings import ClassSettings
from query_gateway.model.state import EndpointWatch, PeriodicFraction
from query_gateway.policy import admission, key_ordering
from query_gateway.policy.retry_budget import allows_retry, record_request
from query_gateway.policy.unresponsive import IdleHazard, idle_hazard
from tests.world import LOAD, MS, QUICK, SEC, SITE, SchedulerHarness, engine

NOW = 100 * SEC


def query(
    number: int, due_at: int = NOW + SEC, class_settings: ClassSettings = QUICK, key: str | None = None
) -> QueryState:
    request = SchedulerHarness().new_request(key=key)
    return QueryState(
        request,
        ClassState(class_settings, 0.0),
        NOW,
        1.0,
        1.0 * SEC,
        1.0 * SEC,
        due_at,
        QueuePlace(due_at, number),
        4,
    )


def test_a_running_mean_is_plain_at_first_and_its_spread_is_drawn_to_the_prior() -> None:
    mean = RunningMean()
    assert mean.standard_deviation(0.7, 20) == pytest.approx(0.7)
    for sample in (1.0, 3.0):
        mean.add(sample, 0.01)
    assert (mean.value, mean.variance, mean.count) == (2.0, 1.0, 2)
    assert mean.standard_deviation(0.0, 2) == pytest.approx(0.5)


def test_a_decayed_average_loses_weight_with_time_and_returns_to_the_prior() -> None:
    average = DecayedAverage()
    average.add(4.0, NOW, SEC)
    assert average.mean(NOW, SEC, 0.0, 1.0) == pytest.approx(2.0)
    assert average.weight_at(NOW + SEC, SEC) == pytest.approx(math.exp(-1))
    assert average.mean(NOW + 60 * SEC, SEC, 7.0, 1.0) == pytest.approx(7.0)


def test_a_token_bucket_starts_full_and_refills_at_its_rate() -> None:
    bucket = TokenBucket()
    assert [bucket.take(1.0, 2.0, NOW) for _ in range(3)] == [True, True, False]
    assert not bucket.take(1.0, 2.0, NOW + 500 * MS)
    assert bucket.take(1.0, 2.0, NOW + SEC)


def test_a_retry_budget_counts_what_lies_within_its_window() -> None:
    budget = RetryBudget()
    assert allows_retry(budget, SITE, NOW)  # SITE sets no retry limit
    site = replace(SITE, retry_allowance=0.0, retries_per_request=0.5, retry_window=SEC)
    for _ in range(2):
        record_request(budget, site, NOW)
    assert allows_retry(budget, site, NOW)
    budget.retries.append(NOW)
    assert not allows_retry(budget, site, NOW)
    assert not allows_retry(budget, site, NOW + SEC) and not budget.requests


def test_costs_are_shares_of_the_weight_requested() -> None:
    costs = CostTotals()
    assert costs.shares() == CostShares(0.0, 0.0)
    costs.add(10.0, 1.0, 2.0, NOW, SEC)
    shares = costs.shares()
    assert (shares.rejected, shares.late) == pytest.approx((0.1, 0.2))


def test_a_forecast_tells_when_enough_threads_are_free() -> None:
    forecast = forecast_completions([ExpectedEnd(300.0, 2), ExpectedEnd(100.0, 1)], NOW, NOW + 1)
    assert forecast.completes_at == [NOW + 100, NOW + 300] and forecast.freed_threads == [1, 3]
    assert forecast.time_until_free(1, 3, 4.0, 50.0, NOW) == 100.0
    assert forecast.time_until_free(2, 3, 4.0, 50.0, NOW) == 300.0
    assert forecast.time_until_free(7, 3, 4.0, 50.0, NOW) == 300.0 + 4 / 4 * 50.0
    assert forecast_completions([], NOW, NOW).time_until_free(4, 0, 4.0, 50.0, NOW) == 50.0


def test_an_index_sums_threads_before_a_place_by_length_of_class() -> None:
    index = index_queued_threads(
        [
            QueuedThreads(QueuePlace(1, 1), 2, is_long=False),
            QueuedThreads(QueuePlace(2, 2), 3, is_long=True),
            QueuedThreads(QueuePlace(3, 3), 4, is_long=False),
        ],
        NOW,
    )
    assert (
        index.threads_before(QueuePlace(3, 0), False) == 2
        and index.threads_before(QueuePlace(9, 0), False) == 6
    )
    assert index.threads_before(QueuePlace(9, 0), True) == 3


def test_a_deadline_queue_counts_the_same_whether_it_is_read_or_indexed() -> None:
    queue, queries = DeadlineQueue(), [query(i, NOW + i * SEC) for i in (3, 1, 2)]
    for each in queries:
        queue.add(each)
    assert [entry.place.request_id for entry in queue.entries] == [1, 2, 3]
    for exact_length in (32, 0):
        assert queue.threads_before(queries[0], NOW, exact_length, MS) == 2
    queries[0].start_at = queries[0].due_at - queries[0].run_time - 5.0
    assert queue.queries_behind(queries[1]) == [queries[1], queries[2], queries[0]]
    assert queue.queries_behind(queries[0]) == [queries[0]]
    assert admission.weight_made_late(queue, queries[1], 5.0) == 1.0
    assert admission.weight_made_late(queue, queries[1], 4.0) == 0.0
    queue.remove(queries[1])
    assert len(queue.entries) == 2


def test_a_key_queue_lets_one_run_at_a_time_and_holds_a_key_in_quarantine() -> None:
    class_settings = replace(LOAD, ordered_by_key=True)
    queues, first, second = (
        KeyQueues(),
        query(1, class_settings=class_settings, key="k"),
        query(2, class_settings=class_settings, key="k"),
    )
    for each in (first, second):
        queues.add("k", each)
    assert (
        key_ordering.is_next(queues, first, NOW)
        and not key_ordering.is_next(queues, second, NOW)
        and key_ordering.is_next(queues, query(3), NOW)
    )
    key_ordering.quarantine(queues, first, NOW + SEC)
    queues.remove(first)
    assert not key_ordering.is_next(queues, second, NOW) and key_ordering.is_next(queues, second, NOW + SEC)
    queues.remove(second)
    assert not queues.queues


def test_traffic_counts_only_well_formed_reports_and_scales_up_what_was_observed_shortly() -> None:
    traffic = TenantTraffic([DecayedAverage()])
    for data in ("x", "1,2", "", "1234567890"):
        traffic.record_report(1, data, NOW)
    assert not traffic.reports
    traffic.record_report(1, "5", NOW)
    assert traffic.peer_requests(0, NOW, SEC) == 5 and traffic.peer_requests(0, NOW + SEC, SEC) == 0
    assert traffic.extrapolated_peer_requests(0, NOW, SEC, 10, 2.0) == 25
    traffic.counts[0].add(1.0, NOW, SEC)
    assert traffic.local_requests(0, NOW, SEC, SEC) == pytest.approx(1 / (1 - math.exp(-1)))
    assert traffic.message(NOW, SEC, SEC) == "2"


def test_idle_time_counts_mean_runs_over_all_attempts_in_flight() -> None:
    engine_state, running_query = EngineState(engine("a"), 8, 0.0), query(1)
    engine_state.last_received_at = NOW - 3 * SEC
    engine_state.in_flight[AttemptKey(1, 0)] = AttemptState(
        running_query, 0, engine_state, NOW - 2 * SEC, NOW, False
    )
    assert idle_hazard(engine_state, NOW) == IdleHazard(2.0, 2 * SEC)


def test_remaining_time_follows_progress_or_else_age() -> None:
    estimator = RemainingTimeEstimator(
        trusted_progress=0.1, extrapolation_start=0.5, extrapolation_ratio=0.25
    )
    attempt = AttemptState(query(1), 0, EngineState(engine("a"), 8, 0.0), NOW, NOW, False)
    assert estimator.remaining_time(attempt, NOW + 400 * MS) == 600 * MS
    assert estimator.remaining_time(attempt, NOW + 2 * SEC) == 500 * MS
    attempt.progress, attempt.progress_at = 0.5, NOW + SEC
    assert estimator.remaining_time(attempt, NOW + SEC) == SEC


def test_a_watch_begins_once_and_again_only_after_its_backoff() -> None:
    watch = EndpointWatch()
    assert watch.begin(NOW) and not watch.begin(NOW)
    watch.fail(NOW + SEC)
    assert not watch.begin(NOW) and watch.begin(NOW + SEC)


def test_a_periodic_fraction_is_drawn_once_a_period() -> None:
    fraction, random = PeriodicFraction(), Random(1)
    first = fraction.draw(1, random)
    assert fraction.draw(1, random) == first != fraction.draw(2, random)
