"""What classifying statements costs.

`python -m bench.statements [--seed N] [--seconds S] [PART]` prints a line of JSON for each part:
  micro   microseconds for a hit and a miss (p50, p99), the slowest parse seen, memory at 10,000 shapes
  cache   hit rates of this cache and of a plain LRU on skewed, scanning and hostile traces
  costs   share of estimates within a factor of 2, and how soon a shape that turns 5 times slower is followed
  loopback  the same over real sockets, through a gateway
  front   requests per second of the Flight SQL front: off, on at 100% hits, on under a flood of one-offs
"""

import json
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any

import click

from query_gateway.statements.cache import Cache
from query_gateway.statements.classifier import Classifier
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.messages import KeyRule, ParseResult, Rules
from query_gateway.statements.normalizer import normalize
from query_gateway.statements.reader import Reader

KEYS = (KeyRule("lending_*.loans", "member"),)
COLUMNS = ["id", "member", "title", "due", "returned", "branch", "renewed", "copy"]
TABLES = ["loans", "titles", "members", "holds", "copies", "fines"]
SHAPES = 500  # that the traces of regular statements have
HITS = 20_000  # statements of the trace of hits
CACHE_CAPACITY = 600  # of the caches that are compared
MICROSECONDS, MILLISECONDS = 1e6, 1e3  # in a second
MEBIBYTE = 2**20
SLOWDOWN = 5  # times slower, what a shape turns


# ---- what the parts and the tests draw from


def statement(random: Random, shape: int) -> str:
    """One statement of a shape; its literals are drawn."""
    form = Random(shape)
    columns = ", ".join(form.sample(COLUMNS, form.randint(1, 5)))
    table, schema = form.choice(TABLES), f"lending_{form.randint(1, 40)}"
    where = " AND ".join(
        _predicate(random, form, column) for column in form.sample(COLUMNS, form.randint(1, 3))
    )
    tail = form.choice(["", " ORDER BY due", " ORDER BY due DESC LIMIT 10", " LIMIT 20"])
    if form.random() < 0.15:
        counted = f"SELECT branch, count(*) FROM {schema}.{table} WHERE {where}"
        return f"{counted} GROUP BY branch ORDER BY 2 DESC"
    if form.random() < 0.1:
        member = random.randint(1, 10**6)
        return f"UPDATE {schema}.loans SET due = '{random.random()}' WHERE member = {member}"
    return f"SELECT {columns} FROM {schema}.{table} WHERE {where}{tail}"


def _predicate(random: Random, form: Random, column: str) -> str:
    if form.random() < 0.7:
        return f"{column} = {random.randint(1, 10**6)}"
    return f"{column} IN ('{random.random()}', 'x')"


def skewed(random: Random, shapes: int) -> int:
    """The number of a shape, few of which come often."""
    return min(shapes - 1, int(random.paretovariate(0.8)) - 1)


def run_time(random: Random, usual: float) -> float:
    """One run: spread log-normally by 0.25, and one in 25 with a bad plan of 14 to 25 times."""
    bad = random.uniform(14, 25) if random.random() < 0.04 else 1.0
    return usual * random.lognormvariate(0, 0.25) * bad


def slow_run_time(random: Random, usual: float) -> float:
    """One run of a shape that has turned slower."""
    return SLOWDOWN * usual * random.lognormvariate(0, 0.25)


def share_within_twice(expected: dict[int, float], usual: dict[int, float], random: Random) -> float:
    """The share of 50 further runs of each shape that its expected time meets within a factor of 2."""
    pairs = [(expected[n], run_time(random, usual[n])) for n in usual for _ in range(50)]
    return sum(0.5 <= cost / real <= 2 for cost, real in pairs) / len(pairs)


def quantiles(values: list[float]) -> dict[str, float]:
    """The median and the 99th percentile, rounded."""
    ordered = sorted(values)
    return {f"p{p}": round(ordered[min(len(ordered) - 1, len(ordered) * p // 100)], 1) for p in (50, 99)}


# ---- microseconds and memory


class MissTimes:
    """Times of statements that had to be parsed, in microseconds; what the last parse found."""

    def __init__(self) -> None:
        """Nothing is measured yet."""
        self.misses: list[float] = []
        self.parses: list[float] = []
        self.last_result = ParseResult(True)

    def measure(self, classifier: Classifier, reader: Reader, sql: str) -> None:
        """Classify a statement, and note the times if it was not cached."""
        started_at = time.perf_counter()
        normalized = classifier.normalize(sql)
        if classifier.cached(normalized) is not None:
            return
        parse_started_at = time.perf_counter()
        self.last_result = reader.read(normalized)
        self.parses.append((time.perf_counter() - parse_started_at) * MICROSECONDS)
        classifier.decide(classifier.learn(normalized, self.last_result), normalized)
        self.misses.append((time.perf_counter() - started_at) * MICROSECONDS)


def micro(seed: int) -> dict[str, Any]:
    """Times of hits and misses, of the slowest parses, and the memory of a full classifier."""
    random = Random(seed)
    classifier, reader, miss_times = Classifier(Rules(keys=KEYS)), Reader(Rules(keys=KEYS)), MissTimes()
    for n in range(SHAPES):
        miss_times.measure(classifier, reader, statement(random, n))
    hits, length = _hit_times(classifier, random)
    hit_again = _hit_again(classifier, random)
    shapes, memory_mb = _memory(reader, miss_times.last_result)
    return {
        "hit_us": quantiles(hits),
        "hit_again_us": round(hit_again, 1),
        "miss_us": quantiles(miss_times.misses),
        "parse_us": quantiles(miss_times.parses),
        "mean_length": length,
        "shapes": shapes,
        "memory_mb": round(memory_mb, 2),
        "slowest_parse_ms": slowest(reader),
    }


def _hit_times(classifier: Classifier, random: Random) -> tuple[list[float], int]:
    """Microseconds of each hit on a skewed trace, and the mean length of its statements."""
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
    return hits, lengths // HITS


def _hit_again(classifier: Classifier, random: Random) -> float:
    """Mean microseconds of a hit in a loop that does nothing else, over texts just classified."""
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


def _memory(reader: Reader, parse_result: ParseResult) -> tuple[int, float]:
    """The shapes that a full classifier has cached, and its memory in MB."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    classifier = Classifier(Rules(keys=KEYS))
    for n in range(14_000):  # more than it caches, each used twice
        normalized = classifier.normalize(f"SELECT c{n} FROM lending_{n % 40}.loans WHERE member = 1")
        if classifier.cached(normalized) is None:
            classifier.learn(normalized, reader.read(normalized) if n < 50 else parse_result)
        classifier.cached(normalized)
        classifier.costs.observe(normalized.fingerprint, "lookup", n % 40, 10_000_000)
    memory_mb = (tracemalloc.get_traced_memory()[0] - before) / MEBIBYTE
    tracemalloc.stop()
    return len(classifier.shapes), memory_mb


# Statements that take long to normalize and to parse, within the lexer's bounds
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
    """Milliseconds of statements built to be slow; only normalizing runs on the loop itself."""
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
    """The plain cache that ours is compared with, here and in the tests."""

    def __init__(self, capacity: int) -> None:
        """Empty, for so many entries."""
        self.capacity, self.entries = capacity, OrderedDict[bytes, int]()

    def get(self, key: bytes) -> int | None:
        """The entry, which counts as a use; None if there is none."""
        if key in self.entries:
            self.entries.move_to_end(key)
        return self.entries.get(key)

    def put(self, key: bytes, value: int) -> None:
        """Add an entry in place of the one used longest ago."""
        self.entries[key] = value
        if len(self.entries) > self.capacity:
            self.entries.popitem(last=False)


def rate(cache: Cache[int] | Lru, trace: list[int], regular: int) -> float:
    """The share of hits among the regular shapes, those below `regular`."""
    hits = lookups = 0
    for n in trace:
        key = n.to_bytes(8, "little") * 2 if isinstance(cache, Lru) else spread(n)
        found = cache.get(key)
        if found is None:
            cache.put(key, n)
        lookups += n < regular
        hits += n < regular and found is not None
    return round(hits / lookups, 4)


def spread(n: int) -> bytes:
    """A fingerprint for a number."""
    return Random(n).randbytes(16)


def cache(seed: int) -> dict[str, Any]:
    """Hit rates of the regular shapes, calm and beside shapes that come once or in turn."""
    random = Random(seed)
    calm = [skewed(random, SHAPES) for _ in range(60_000)]
    traces = {
        "skewed": calm,
        "replay": [10**7 + i if random.random() < 0.01 else n for i, n in enumerate(calm)],
        "scan": [n for i, regular in enumerate(calm) for n in (regular, 10**6 + i % 2_000)],
        "flood": _flood(calm[:30_000]),
    }
    return {
        name: {
            "tiny_lfu": rate(Cache(CACHE_CAPACITY), trace, SHAPES),
            "lru": rate(Lru(CACHE_CAPACITY), trace, SHAPES),
        }
        for name, trace in traces.items()
    }


def _flood(regular: list[int]) -> list[int]:
    """Nine shapes that are never seen again for each regular statement."""
    trace = []
    for i, n in enumerate(regular):
        first = 10**6 + 9 * i
        trace += [n, *range(first, first + 9)]
    return trace


# ---- estimates


def costs(seed: int) -> dict[str, Any]:
    """Estimates of shapes whose usual times, in milliseconds, are spread log-normally by 1.5."""
    random = Random(seed)
    usual = {n: random.lognormvariate(5.5, 1.5) for n in range(100)}
    learned = CostEstimates()
    for _ in range(200):
        for n in usual:
            learned.observe(spread(n), "lookup", n % 5, int(run_time(random, usual[n]) * 1e6))
    expected = {n: (learned.cost_ns(spread(n), "lookup", n % 5) or 0) / 1e6 for n in usual}
    near = share_within_twice(expected, usual, random)
    followed = [_runs_until_followed(learned, n, usual[n], random) for n in range(20)]
    mean = sum(followed) / len(followed)
    return {"within_twice": round(near, 4), "runs_until_followed": {"mean": mean, "most": max(followed)}}


def _runs_until_followed(learned: CostEstimates, n: int, usual_ms: float, random: Random) -> int:
    """Slow runs of a shape until its estimate is half way there; 500 at most."""
    runs = 0
    while (learned.cost_ns(spread(n), "lookup", n % 5) or 0) < 2.5e6 * usual_ms and runs < 500:
        learned.observe(spread(n), "lookup", n % 5, int(slow_run_time(random, usual_ms) * 1e6))
        runs += 1
    return runs


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=8.0)
@click.argument("part", default="all")
def main(seed: int, seconds: float, part: str) -> None:
    """Print a line of JSON for each part, or for the one that is named."""
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
