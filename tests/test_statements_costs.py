"""Cost estimates learned per shape from outcomes, and concurrency limits on shapes that did harm."""

import json
from random import Random

import pytest

from bench.statement_workloads import run_time
from query_gateway.statements.costs import BUCKETS, MAX_TOTAL, MIN_OUTCOMES, CostEstimates, Histogram
from query_gateway.statements.limits import (
    FAILED_ENGINES_TO_LIMIT,
    INITIAL_LIMIT,
    LIMIT_EXPIRY_NS,
    SUCCESSES_PER_STEP,
    UNLIMITED_FROM,
    ShapeLimits,
)
from tests.test_statements_cache import digest

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_skewed_mix_is_estimated_within_twice_for_nine_of_ten(seed: int) -> None:
    """Each shape has 200 outcomes from `run_time`, of which one in 25 is slow because of a poor plan."""
    random = Random(seed)
    usual_ms = {n: random.lognormvariate(5.5, 1.5) for n in range(60)}

    costs = CostEstimates()
    for _ in range(200):
        for n in usual_ms:
            costs.observe(digest(n), "lookup", n % 5, int(run_time(random, usual_ms[n]) * NS_PER_MS))
    expected = {n: costs.cost_ns(digest(n), "lookup", n % 5) for n in usual_ms}
    pairs = [(expected[n], run_time(random, usual_ms[n]) * NS_PER_MS) for n in usual_ms for _ in range(20)]
    within_twice = sum(cost is not None and 0.5 <= cost / actual <= 2 for cost, actual in pairs)
    assert within_twice >= 0.9 * len(pairs)


def test_a_shape_that_turns_five_times_slower_is_followed_soon() -> None:
    random = Random(3)
    costs = CostEstimates()
    for _ in range(200):
        costs.observe(digest(1), "lookup", 1, int(100 * NS_PER_MS * random.lognormvariate(0, 0.25)))
    runs = 0
    while runs < 100:
        runs += 1
        costs.observe(digest(1), "lookup", 1, int(500 * NS_PER_MS * random.lognormvariate(0, 0.25)))
        if (costs.cost_ns(digest(1), "lookup", 1) or 0) > 250 * NS_PER_MS:
            break
    assert runs <= 15


def test_what_was_never_seen_falls_back_to_its_group_and_then_its_class() -> None:
    costs = CostEstimates()
    assert costs.cost_ns(digest(1), "lookup", 1) is None
    for _ in range(MIN_OUTCOMES):
        costs.observe(digest(1), "lookup", 1, 100 * NS_PER_MS)
        costs.observe(digest(2), "lookup", 2, 900 * NS_PER_MS)
    of_shape, of_group = costs.cost_ns(digest(1), "lookup", 1), costs.cost_ns(digest(9), "lookup", 1)
    assert of_shape == of_group and 80 * NS_PER_MS < (of_shape or 0) < 130 * NS_PER_MS
    class_wide = costs.cost_ns(digest(9), "lookup", 7)
    assert class_wide and 80 * NS_PER_MS < class_wide < 1_100 * NS_PER_MS
    assert costs.cost_ns(digest(9), "report", 1) is None


def test_memory_is_estimated_by_the_shape_alone_and_on_the_high_side() -> None:
    costs = CostEstimates()
    for mb in (10, 20, 30, 40, 200):
        costs.observe(digest(1), "report", 1, NS_PER_S, mb)
    assert 30 < costs.memory_mb(digest(1)) < 250 and costs.memory_mb(digest(2)) == 0.0


def test_the_tables_are_bounded_and_keep_what_is_used() -> None:
    costs = CostEstimates(capacity=50, max_groups=10)
    for _ in range(8):
        costs.observe(digest("kept"), "lookup", 0, 100 * NS_PER_MS)
    for n in range(3_000):
        costs.observe(digest(n), "lookup", n, 100 * NS_PER_MS)
        if n % 20 == 0:
            costs.observe(digest("kept"), "lookup", 0, 100 * NS_PER_MS)
    assert len(costs.shapes) <= 50 and len(costs.fallbacks) <= 10
    assert digest("kept") in costs.shapes


def test_a_snapshot_carries_the_estimates_over() -> None:
    costs, restored = CostEstimates(), CostEstimates()
    for n in range(30):
        for _ in range(20):
            costs.observe(digest(n), "lookup", n, (n + 1) * 10 * NS_PER_MS, n + 1.0)
    assert restored.restore(json.loads(json.dumps(costs.snapshot())))
    for n in range(30):
        assert restored.cost_ns(digest(n), "lookup", n) == costs.cost_ns(digest(n), "lookup", n)
        assert restored.memory_mb(digest(n)) == costs.memory_mb(digest(n))
    assert len(json.dumps(costs.snapshot(max_entries=5))) < len(json.dumps(costs.snapshot()))


VALID = {"version": 1, "shapes": {}, "needs": {}, "coarse": []}


@pytest.mark.parametrize("raw", [
    None, 5, [], {}, VALID | {"version": 2}, VALID | {"shapes": {"zz": ""}},
    VALID | {"shapes": {"00" * 16: "00"}},
    VALID | {"shapes": {"00" * 15: "00" * BUCKETS}}, VALID | {"shapes": {"00" * 16: "ff" * BUCKETS}},
    VALID | {"coarse": [["a", "b", "00" * BUCKETS]]}, VALID | {"coarse": [[1, 2]]}, VALID | {"needs": []},
])  # fmt: skip
def test_a_snapshot_that_cannot_be_used_changes_nothing(raw: object) -> None:
    costs = CostEstimates()
    for _ in range(MIN_OUTCOMES):
        costs.observe(digest(1), "lookup", 1, 100 * NS_PER_MS)
    before = costs.snapshot()
    assert not costs.restore(raw) and costs.snapshot() == before


def test_counts_stay_small_however_much_is_added() -> None:
    histogram = Histogram()
    for n in range(10_000):
        histogram.add(10.0 ** (n % 20))
    assert histogram.total < MAX_TOTAL and sum(histogram.counts) == histogram.total


# ---- limits


def count_admitted(limits: ShapeLimits, n: int, now: int = 0) -> int:
    """How many of `n` simultaneous requests of one shape are admitted."""
    admitted = 0
    for _ in range(n):
        if not limits.rejection_reason(digest(1), now):
            limits.query_started(digest(1))
            admitted += 1
    for _ in range(admitted):
        limits.query_ended(digest(1))
    return admitted


def test_a_shape_is_free_until_it_does_harm() -> None:
    limits = ShapeLimits()
    assert count_admitted(limits, 100) == 100 and not limits.records
    limits.attempt_spilled(digest(1), 0)
    assert count_admitted(limits, 100) == INITIAL_LIMIT
    limits.attempt_spilled(digest(1), 0)
    limits.attempt_spilled(digest(1), 0)
    limits.attempt_spilled(digest(1), 0)
    assert count_admitted(limits, 100) == 1
    assert "spilled" in ("" if not limits.records else limits.records[digest(1)].reason)


def test_runs_that_end_well_set_it_free_again() -> None:
    limits = ShapeLimits()
    limits.attempt_spilled(digest(1), 0)
    for _ in range(SUCCESSES_PER_STEP):
        limits.attempt_succeeded(digest(1), NS_PER_MS, NS_PER_MS, 0)
    assert count_admitted(limits, 100) == INITIAL_LIMIT + 1
    for _ in range(SUCCESSES_PER_STEP * UNLIMITED_FROM):
        limits.attempt_succeeded(digest(1), NS_PER_MS, NS_PER_MS, 0)
    assert count_admitted(limits, 100) == 100 and not limits.records


def test_one_engine_s_failures_are_not_the_shape_s() -> None:
    limits = ShapeLimits()
    for _ in range(20):
        limits.attempt_failed(digest(1), "e1", 0)
    assert count_admitted(limits, 50) == 50
    for engine in ("e2", "e3"):
        limits.attempt_failed(digest(1), engine, 0)
    assert count_admitted(limits, 50) == INITIAL_LIMIT
    assert f"failed on {FAILED_ENGINES_TO_LIMIT} engines" in limits.records[digest(1)].reason


def test_a_run_that_ends_well_between_failures_clears_them() -> None:
    limits = ShapeLimits()
    for engine in ("e1", "e2", "e3", "e4"):
        limits.attempt_failed(digest(1), engine, 0)
        limits.attempt_succeeded(digest(1), NS_PER_MS, NS_PER_MS, 0)
    assert count_admitted(limits, 50) == 50 and not limits.records


def test_a_runaway_is_harm_and_a_slow_short_one_is_not() -> None:
    limits = ShapeLimits()
    limits.attempt_succeeded(digest(1), 900 * NS_PER_MS, 10 * NS_PER_MS, 0)
    assert count_admitted(limits, 50) == 50
    limits.attempt_succeeded(digest(1), 90 * NS_PER_S, 3 * NS_PER_S, 0)
    assert count_admitted(limits, 50) == INITIAL_LIMIT and "30 times" in limits.records[digest(1)].reason


def test_harm_long_past_is_forgotten_and_the_table_is_bounded() -> None:
    limits = ShapeLimits(capacity=8)
    limits.attempt_spilled(digest(1), 0)
    assert count_admitted(limits, 50, LIMIT_EXPIRY_NS + 1) == 50
    for n in range(100):
        limits.attempt_spilled(digest(n), n)
        limits.attempt_failed(digest(f"x{n}"), "e1", n)
    assert len(limits.records) <= 8
