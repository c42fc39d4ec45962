"""The shape cache compared with a plain LRU on the same traces, and its frequency sketch."""

from hashlib import blake2b
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.statement_workloads import skewed, statement
from bench.statements import Lru
from query_gateway.statements.cache import Cache
from query_gateway.statements.messages import Rules
from query_gateway.statements.sketch import CountMin
from tests.statements import KEYS, LocalClassifier


def digest(n: int | str) -> bytes:
    return blake2b(str(n).encode(), digest_size=16).digest()


def replay(cache: Cache[int] | Lru, trace: list[int], regular: int) -> float:
    """The hit rate of the regular shapes, those numbered below `regular`."""
    hits = lookups = 0
    for n in trace:
        key = digest(n)
        found = cache.get(key)
        if found is None:
            cache.put(key, n)
        if n < regular:
            lookups += 1
            hits += found is not None
    return hits / lookups


def test_a_trace_of_500_shapes_hits_95_percent_and_more() -> None:
    random = Random(5)
    trace = [10**6 + i if random.random() < 0.01 else skewed(random, 500) for i in range(100_000)]
    cache: Cache[int] = Cache(10_000)
    assert replay(cache, trace, 10**9) >= 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flood_of_one_offs_costs_the_regular_shapes_little(seed: int) -> None:
    """Nine of ten statements have a shape that is never seen again, and the cache holds 600 shapes.

    An LRU admits each of them and evicts regular shapes, whose hit rate then falls by over 0.05. Admission
    by frequency must keep the loss below that.
    """
    random = Random(seed)
    regular = [skewed(random, 500) for _ in range(40_000)]
    warm_up = [skewed(random, 500) for _ in range(20_000)]
    flood = [
        shape
        for position, regular_shape in enumerate(regular)
        for shape in (regular_shape, *(10**6 + 9 * position + offset for offset in range(9)))
    ]
    rates = {}
    for name, create_cache in (("tiny_lfu", lambda: Cache[int](600)), ("lru", lambda: Lru(600))):
        without_flood, with_flood = create_cache(), create_cache()
        replay(without_flood, warm_up, 500)
        replay(with_flood, warm_up, 500)
        rates[name] = replay(without_flood, regular, 500), replay(with_flood, flood, 500)
    assert rates["tiny_lfu"][0] - rates["tiny_lfu"][1] < 0.05, rates
    assert rates["lru"][0] - rates["lru"][1] > 0.05, rates


def test_a_scan_over_more_shapes_than_fit_leaves_the_used_ones_in() -> None:
    random = Random(7)
    rates = []
    for cache in (Cache[int](400), Lru(400)):
        replay(cache, [skewed(random, 300) for _ in range(20_000)], 300)
        scan = [n for i in range(20_000) for n in (skewed(random, 300), 10**6 + i % 2_000)]
        rates.append(replay(cache, scan, 300))
    assert rates[0] >= rates[1]


def test_what_becomes_regular_later_comes_in() -> None:
    cache: Cache[int] = Cache(100)
    for n in [*range(100)] * 20:
        if cache.get(digest(n)) is None:
            cache.put(digest(n), n)
    fresh = [*range(1_000, 1_050)] * 200
    assert replay(cache, fresh, 10**9) > 0.8


@given(st.lists(st.integers(0, 60), max_size=400), st.integers(4, 40))
@settings(derandomize=True, deadline=None)
def test_it_never_holds_more_than_its_room_or_a_wrong_value(trace: list[int], room: int) -> None:
    cache: Cache[int] = Cache(room)
    for n in trace:
        found = cache.get(digest(n))
        assert found in (None, n)
        if found is None:
            left = cache.put(digest(n), n)
            assert left is None or cache.peek(left) is None
        assert len(cache) <= room
    assert cache.hits + cache.misses == len(trace)


def test_the_sketch_counts_what_was_seen_and_halves_with_time() -> None:
    sketch = CountMin(1_000)
    for n in range(200):
        for _ in range(n % 10):
            sketch.add(digest(n))
    assert all(sketch.count(digest(n)) >= n % 10 for n in range(200))
    assert sum(sketch.count(digest(n)) > n % 10 for n in range(200)) < 10
    for n in range(sketch.halving_threshold):
        sketch.add(digest(f"x{n}"))
    assert sketch.count(digest(9)) <= 5


def test_a_replayed_trace_of_statements_hits_its_shapes() -> None:
    """100,000 statements of 500 shapes; one in a hundred has a shape that is never seen again."""
    random, local = Random(3), LocalClassifier(Rules(keys=KEYS))
    for position in range(100_000):
        shape = 10**6 + position if random.random() < 0.01 else skewed(random, 500)
        local.judge(statement(random, shape))
    shapes = local.classifier.shapes
    assert shapes.hits + shapes.misses == 100_000 and shapes.hits >= 95_000
