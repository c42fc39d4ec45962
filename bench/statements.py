"""Measures the cost of classifying statements.

`python -m bench.statements [--seed N] [--seconds S] [PART]` prints a line of JSON for each part:
  micro   microseconds for a hit and a miss (p50, p99), slowest parses, memory at 10,000 shapes
  cache   hit rates of the statement cache and of a plain LRU on skewed, scanning and adversarial traces
  costs   share of estimates within a factor of 2, and runs until the estimate follows a fivefold slowdown
  loopback  what `costs` measures, over real sockets through a gateway
  front   requests per second of the Flight SQL front: classification off, on with hits only, and on with a
          flood, in which about half of the statements have a shape that occurs once
"""

import json
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import click

from bench.statement_workloads import (
    fingerprint_of,
    quantiles,
    run_time,
    share_within_twice,
    skewed,
    slow_run_time,
    statement,
)
from query_gateway.statements.cache import Cache
from query_gateway.statements.classifier import Classifier
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.messages import KeyRule, ParseResult, Rules
from query_gateway.statements.normalizer import normalize
from query_gateway.statements.reader import Reader

KEYS = (KeyRule("lending_*.loans", "member"),)
SHAPES = 500  # in the traces of regular statements
HITS = 20_000  # statements in the trace of hits
CACHE_CAPACITY = 600  # of the compared caches
MICROSECONDS, MILLISECONDS = 1e6, 1e3  # in a second
MEBIBYTE = 2**20


# ---- microseconds and memory


class MissTimes:
    """Times in microseconds of statements that had to be parsed, and the result of the last parse."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.misses: list[float] = []
        self.parses: list[float] = []
        self.last_result = ParseResult(True)

    def measure(self, classifier: Classifier, reader: Reader, sql: str) -> None:
        """Classify a statement, and record the times if it was not cached."""
        started_at = time.perf_counter()
        normalized = classifier.normalize(sql)
        if classifier.cached(normalized) is not None:
            return
        parse_started_at = time.perf_counter()
        self.last_result = reader.read(normalized)
        self.parses.append((time.perf_counter() - parse_started_at) * MICROSECONDS)
        classifier.decide(classifier.learn(normalized, self.last_result), normalized)
        self.misses.append((time.perf_counter() - started_at) * MICROSECONDS)


@dataclass(frozen=True)
class HitTimes:
    """Measurements of a trace of hits."""

    microseconds: list[float]  # of each hit
    mean_length: int  # of the statements, in characters


@dataclass(frozen=True)
class ClassifierMemory:
    """The memory use of a full classifier."""

    shapes: int
    mebibytes: float


def micro(seed: int) -> dict[str, Any]:
    """Times of hits, misses and the slowest parses, and the memory use of a full classifier."""
    random = Random(seed)
    classifier, reader, miss_times = Classifier(Rules(keys=KEYS)), Reader(Rules(keys=KEYS)), MissTimes()
    for n in range(SHAPES):
        miss_times.measure(classifier, reader, statement(random, n))
    hit_times = _hit_times(classifier, random)
    repeated_hit_us = _repeated_hit_us(classifier, random)
    memory = _memory(reader, miss_times.last_result)
    return {
        "hit_us": quantiles(hit_times.microseconds),
        "hit_again_us": round(repeated_hit_us, 1),
        "miss_us": quantiles(miss_times.misses),
        "parse_us": quantiles(miss_times.parses),
        "mean_length": hit_times.mean_length,
        "shapes": memory.shapes,
        "memory_mb": round(memory.mebibytes, 2),
        "slowest_parse_ms": slowest(reader),
    }


def _hit_times(classifier: Classifier, random: Random) -> HitTimes:
    """Time of each hit on a skewed trace, and the mean length of its statements."""
    hits = []
    lengths = 0
    for _ in range(HITS):
        sql = statement(random, skewed(random, SHAPES))
        lengths += len(sql)
        started_at = time.perf_counter()
        normalized = classifier.normalize(sql)
        cached = classifier.cached(normalized)
        if cached is not None:
            classifier.decide(cached, normalized)
            hits.append((time.perf_counter() - started_at) * MICROSECONDS)
    return HitTimes(hits, lengths // HITS)


def _repeated_hit_us(classifier: Classifier, random: Random) -> float:
    """Mean microseconds of a hit in a tight loop over the same texts, in the second of two passes."""
    texts = [statement(random, skewed(random, SHAPES)) for _ in range(2_000)]
    mean_us = 0.0
    for _ in range(2):
        started_at = time.perf_counter()
        for sql in texts:
            normalized = classifier.normalize(sql)
            if (cached := classifier.cached(normalized)) is not None:
                classifier.decide(cached, normalized)
        mean_us = (time.perf_counter() - started_at) / len(texts) * MICROSECONDS
    return mean_us


def _memory(reader: Reader, parse_result: ParseResult) -> ClassifierMemory:
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    classifier = Classifier(Rules(keys=KEYS))
    for n in range(14_000):  # more shapes than the cache holds, each used twice
        normalized = classifier.normalize(f"SELECT c{n} FROM lending_{n % 40}.loans WHERE member = 1")
        if classifier.cached(normalized) is None:
            classifier.learn(normalized, reader.read(normalized) if n < 50 else parse_result)
        classifier.cached(normalized)
        classifier.costs.observe(normalized.fingerprint, "lookup", n % 40, 10_000_000)
    mebibytes = (tracemalloc.get_traced_memory()[0] - bytes_before) / MEBIBYTE
    tracemalloc.stop()
    return ClassifierMemory(len(classifier.shapes), mebibytes)


# Statements within the lexer's limits that are slow to normalize or to parse
SLOW_TO_NORMALIZE = {"by": "by " * 1_900, "lists": "in (1, " * 30 + ")" * 30, "strings": "'a' " * 1_900}
SLOW_TO_PARSE = {
    "nested parentheses": "SELECT " + "(" * 31 + "1" + ")" * 31,
    "nested cases": "SELECT " + "CASE WHEN 1 = 1 THEN " * 30 + "1" + " END" * 30,
    "nested calls": "SELECT " + "coalesce(a, " * 30 + "1" + ")" * 30,
    "long sum": "SELECT " + " + ".join(["a"] * 900),
    "long conjunction": "SELECT a FROM b WHERE " + " AND ".join(f"a = {n}" for n in range(450)),
    "many tables": "SELECT * FROM " + ", ".join(f"t{n}" for n in range(900)),
    "many branches": "SELECT 1 " + "UNION ALL SELECT 1 " * 480,
    "many casts": "SELECT a" + "::int" * 900,
    "many nots": "SELECT " + "NOT " * 1_900 + "a",
}


def slowest(reader: Reader) -> dict[str, float]:
    """Milliseconds to normalize or to parse slow statements; only normalizing runs on a gateway's loop."""
    times = {}
    for name, sql in SLOW_TO_NORMALIZE.items():
        times[f"lexing {name}"] = _milliseconds(lambda sql=sql: normalize(sql))  # type: ignore[misc]
    for name, sql in SLOW_TO_PARSE.items():
        normalized = normalize(sql)
        times[name] = _milliseconds(lambda normalized=normalized: reader.read(normalized))  # type: ignore[misc]
    return times


def _milliseconds(call: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    call()
    return round((time.perf_counter() - started_at) * MILLISECONDS, 1)


# ---- hit rates of the cache


class Lru:
    """A cache that evicts the least recently used entry: the baseline for the statement cache."""

    def __init__(self, capacity: int) -> None:
        """Create an empty cache for `capacity` entries."""
        self.capacity, self.entries = capacity, OrderedDict[bytes, int]()

    def get(self, key: bytes) -> int | None:
        """Return the entry and mark it as the most recently used; None if there is none."""
        if key in self.entries:
            self.entries.move_to_end(key)
        return self.entries.get(key)

    def put(self, key: bytes, value: int) -> None:
        """Add an entry; a full cache evicts its least recently used one."""
        self.entries[key] = value
        if len(self.entries) > self.capacity:
            self.entries.popitem(last=False)


def rate(cache: Cache[int] | Lru, trace: list[int], regular: int) -> float:
    """The hit rate of the regular shapes, whose numbers are below `regular`."""
    hits = lookups = 0
    for n in trace:
        key = n.to_bytes(8, "little") * 2 if isinstance(cache, Lru) else fingerprint_of(n)
        found = cache.get(key)
        if found is None:
            cache.put(key, n)
        lookups += n < regular
        hits += n < regular and found is not None
    return round(hits / lookups, 4)


def cache(seed: int) -> dict[str, Any]:
    """Hit rates of the regular shapes, alone and mixed with shapes that occur once or in cyclic order."""
    random = Random(seed)
    regular_trace = [skewed(random, SHAPES) for _ in range(60_000)]
    traces = {
        "skewed": regular_trace,
        "replay": [10**7 + i if random.random() < 0.01 else n for i, n in enumerate(regular_trace)],
        "scan": [n for i, regular in enumerate(regular_trace) for n in (regular, 10**6 + i % 2_000)],
        "flood": _flood(regular_trace[:30_000]),
    }
    return {
        name: {
            "tiny_lfu": rate(Cache(CACHE_CAPACITY), trace, SHAPES),
            "lru": rate(Lru(CACHE_CAPACITY), trace, SHAPES),
        }
        for name, trace in traces.items()
    }


def _flood(regular: list[int]) -> list[int]:
    """A trace in which each regular statement is followed by nine whose shapes occur nowhere else in it."""
    trace = []
    for i, n in enumerate(regular):
        first_unseen = 10**6 + 9 * i
        trace += [n, *range(first_unseen, first_unseen + 9)]
    return trace


# ---- estimates


def costs(seed: int) -> dict[str, Any]:
    """Accuracy of estimates for shapes whose usual times, in milliseconds, are log-normal with sigma 1.5."""
    random = Random(seed)
    usual = {n: random.lognormvariate(5.5, 1.5) for n in range(100)}
    estimates = CostEstimates()
    for _ in range(200):
        for n in usual:
            estimates.observe(fingerprint_of(n), "lookup", n % 5, int(run_time(random, usual[n]) * 1e6))
    expected = {n: (estimates.cost_ns(fingerprint_of(n), "lookup", n % 5) or 0) / 1e6 for n in usual}
    accurate_share = share_within_twice(expected, usual, random)
    run_counts = [_runs_until_followed(estimates, n, usual[n], random) for n in range(20)]
    mean = sum(run_counts) / len(run_counts)
    return {
        "within_twice": round(accurate_share, 4),
        "runs_until_followed": {"mean": mean, "most": max(run_counts)},
    }


def _runs_until_followed(estimates: CostEstimates, n: int, usual_ms: float, random: Random) -> int:
    """The number of slow runs until the estimate is 2.5 (half of SLOWDOWN) times the usual time, or 500."""
    runs = 0
    while (estimates.cost_ns(fingerprint_of(n), "lookup", n % 5) or 0) < 2.5e6 * usual_ms and runs < 500:
        estimates.observe(fingerprint_of(n), "lookup", n % 5, int(slow_run_time(random, usual_ms) * 1e6))
        runs += 1
    return runs


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=8.0)
@click.argument("part", default="all")
def main(seed: int, seconds: float, part: str) -> None:
    """Print a line of JSON for each part, or for the named one."""
    from bench.statements_gateway import front, loopback

    parts: dict[str, Callable[[], dict[str, Any]]] = {
        "micro": lambda: micro(seed),
        "cache": lambda: cache(seed),
        "costs": lambda: costs(seed),
        "loopback": lambda: loopback(seed),
        "front": lambda: front(seed, seconds),
    }
    for name, measure in parts.items():
        if part in ("all", name):
            print(json.dumps({"bench": "statements", "part": name, "seed": seed} | measure()), flush=True)


if __name__ == "__main__":
    main()
