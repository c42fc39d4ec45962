"""What reading statements costs.

`python -m bench.statements [--seed N] [--seconds S] [PART]` prints a line of JSON for each part:
  micro   microseconds for a hit and a miss (p50, p99), the slowest parse seen, memory at 10,000 shapes
  cache   hit rates of this cache and of a plain LRU on skewed, scanning and hostile traces
  costs   share of estimates within a factor of 2, and how soon a shape that turns 5 times slower is followed
  loopback  the same over real sockets, through a gateway
  front   requests per second of the Flight SQL front: off, on at 100% hits, on under a flood of one-offs
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from typing import Any

import click

from query_gateway.statements.cache import Cache
from query_gateway.statements.classifier import Classifier
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.messages import KeyRule, Rules
from query_gateway.statements.normalizer import normalize
from query_gateway.statements.reader import Reader

ROOT = Path(__file__).parent.parent
KEYS = (KeyRule("lending_*.loans", "member"),)
COLUMNS = ["id", "member", "title", "due", "returned", "branch", "renewed", "copy"]
TABLES = ["loans", "titles", "members", "holds", "copies", "fines"]


def statement(random: Random, shape: int) -> str:
    """One statement of a shape; its literals are drawn."""
    plan = Random(shape)
    columns = ", ".join(plan.sample(COLUMNS, plan.randint(1, 5)))
    table, schema = plan.choice(TABLES), f"lending_{plan.randint(1, 40)}"
    where = " AND ".join(
        f"{c} = {random.randint(1, 10**6)}" if plan.random() < 0.7 else f"{c} IN ('{random.random()}', 'x')"
        for c in plan.sample(COLUMNS, plan.randint(1, 3))
    )
    more = plan.choice(["", " ORDER BY due", " ORDER BY due DESC LIMIT 10", " LIMIT 20"])
    if plan.random() < 0.15:
        counted = f"SELECT branch, count(*) FROM {schema}.{table} WHERE {where}"
        return f"{counted} GROUP BY branch ORDER BY 2 DESC"
    if plan.random() < 0.1:
        member = random.randint(1, 10**6)
        return f"UPDATE {schema}.loans SET due = '{random.random()}' WHERE member = {member}"
    return f"SELECT {columns} FROM {schema}.{table} WHERE {where}{more}"


def skewed(random: Random, shapes: int) -> int:
    return min(shapes - 1, int(random.paretovariate(0.8)) - 1)


def run_time(random: Random, usual: float) -> float:
    """One run: spread log-normally by 0.25, and one in 25 with a bad plan of 14 to 25 times."""
    bad = random.uniform(14, 25) if random.random() < 0.04 else 1.0
    return usual * random.lognormvariate(0, 0.25) * bad


def quantiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {f"p{p}": round(ordered[min(len(ordered) - 1, len(ordered) * p // 100)], 1) for p in (50, 99)}


def micro(seed: int) -> dict[str, Any]:
    random = Random(seed)
    whole, reader = Classifier(Rules(keys=KEYS)), Reader(Rules(keys=KEYS))
    misses, hits, parses = [], [], []
    for n in range(500):
        sql = statement(random, n)
        begun = time.perf_counter()
        shape = whole.normalize(sql)
        if whole.cached(shape) is None:
            middle = time.perf_counter()
            plan = reader.read(shape)
            parses.append((time.perf_counter() - middle) * 1e6)
            whole.decide(whole.learn(shape, plan), shape)
            misses.append((time.perf_counter() - begun) * 1e6)
    lengths = 0
    for _ in range(20_000):
        sql = statement(random, skewed(random, 500))
        lengths += len(sql)
        begun = time.perf_counter()
        shape = whole.normalize(sql)
        known = whole.cached(shape)
        if known is not None:
            whole.decide(known, shape)
            hits.append((time.perf_counter() - begun) * 1e6)
    texts = [statement(random, skewed(random, 500)) for _ in range(2_000)]
    for _ in range(2):  # the second time: a loop that does nothing else, over texts just read
        begun = time.perf_counter()
        for sql in texts:
            shape = whole.normalize(sql)
            if (known := whole.cached(shape)) is not None:
                whole.decide(known, shape)
        again = (time.perf_counter() - begun) / len(texts) * 1e6
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    full: Classifier = Classifier(Rules(keys=KEYS))
    for n in range(14_000):  # more than it holds, each used twice
        shape = full.normalize(f"SELECT c{n} FROM lending_{n % 40}.loans WHERE member = 1")
        known = full.cached(shape) or full.learn(shape, reader.read(shape) if n < 50 else plan)
        full.cached(shape)
        full.costs.observe(shape.fingerprint, "lookup", n % 40, 10_000_000)
    memory = (tracemalloc.get_traced_memory()[0] - before) / 2**20
    tracemalloc.stop()
    return {
        "hit_us": quantiles(hits), "hit_again_us": round(again, 1),
        "miss_us": quantiles(misses), "parse_us": quantiles(parses),
        "mean_length": lengths // 20_000, "shapes": len(full.shapes),
        "memory_mb": round(memory, 2), "slowest_parse_ms": slowest(reader),
    }  # fmt: skip


def slowest(reader: Reader) -> dict[str, float]:
    """StatementService built to be slow, within the lexer's bounds."""
    built = {
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
    told: dict[str, float] = {}
    lexed = {"by": "by " * 1_900, "lists": "in (1, " * 30 + ")" * 30, "strings": "'a' " * 1_900}
    for name, sql in lexed.items():  # what the loop itself does
        begun = time.perf_counter()
        normalize(sql)
        told[f"lexing {name}"] = round((time.perf_counter() - begun) * 1e3, 1)
    for name, sql in built.items():
        shape = normalize(sql)
        begun = time.perf_counter()
        reader.read(shape)
        told[name] = round((time.perf_counter() - begun) * 1e3, 1)
    return told


class Lru:
    """The plain cache that ours is measured against, here and in the tests."""

    def __init__(self, room: int) -> None:
        self.room, self.entries = room, OrderedDict[bytes, int]()

    def get(self, key: bytes) -> int | None:
        if key in self.entries:
            self.entries.move_to_end(key)
        return self.entries.get(key)

    def put(self, key: bytes, value: int) -> None:
        self.entries[key] = value
        if len(self.entries) > self.room:
            self.entries.popitem(last=False)


def rate(cache: Cache[int] | Lru, trace: list[int], regular: int) -> float:
    hits = asked = 0
    for n in trace:
        key = n.to_bytes(8, "little") * 2 if isinstance(cache, Lru) else spread(n)
        found = cache.get(key)
        if found is None:
            cache.put(key, n)
        asked += n < regular
        hits += n < regular and found is not None
    return round(hits / asked, 4)


def spread(n: int) -> bytes:
    return Random(n).randbytes(16)


def cache(seed: int) -> dict[str, Any]:
    random = Random(seed)
    calm = [skewed(random, 500) for _ in range(60_000)]
    traces = {
        "skewed": calm,
        "replay": [10**7 + i if random.random() < 0.01 else n for i, n in enumerate(calm)],
        "scan": [n for i, one in enumerate(calm) for n in (one, 10**6 + i % 2_000)],
        "flood": [
            n for i, one in enumerate(calm[:30_000]) for n in (one, *range(10**6 + 9 * i, 10**6 + 9 * i + 9))
        ],
    }  # fmt: skip
    return {
        name: {"tiny_lfu": rate(Cache(600), trace, 500), "lru": rate(Lru(600), trace, 500)}
        for name, trace in traces.items()
    }


def costs(seed: int) -> dict[str, Any]:
    """Shapes whose usual times are spread log-normally by 1.5."""
    random = Random(seed)
    usual = {n: random.lognormvariate(5.5, 1.5) for n in range(100)}

    learned = CostEstimates()
    for _ in range(200):
        for n in usual:
            learned.observe(spread(n), "lookup", n % 5, int(run_time(random, usual[n]) * 1e6))
    told = {n: (learned.cost_ns(spread(n), "lookup", n % 5) or 0) / 1e6 for n in usual}
    asked = [(told[n], run_time(random, usual[n])) for n in usual for _ in range(50)]
    near = sum(0.5 <= cost / real <= 2 for cost, real in asked) / len(asked)
    followed = []
    for n in range(20):
        runs = 0
        while (learned.cost_ns(spread(n), "lookup", n % 5) or 0) < 2.5e6 * usual[n] and runs < 500:
            learned.observe(spread(n), "lookup", n % 5, int(5e6 * usual[n] * random.lognormvariate(0, 0.25)))
            runs += 1
        followed.append(runs)
    mean = sum(followed) / len(followed)
    return {"within_twice": round(near, 4), "runs_until_followed": {"mean": mean, "most": max(followed)}}


# ---- estimates over real sockets


def played(folder: Path, engine: int, jobs: list[str], clients: int, seed: int) -> tuple[CostEstimates, int]:
    """What a gateway has learned by its end once these have run, with what the one before it left; how many
    were lost.
    """
    import pyarrow.flight as fl

    from query_gateway.parsing.snapshot_store import SnapshotStore
    from tests.test_flight import command, options

    snapshot, lost = folder / "costs", [0] * clients
    before = snapshot.stat().st_mtime_ns if snapshot.exists() else 0
    with started(folder, engine, True, f'snapshot = "{snapshot}"\n') as (pid, address):
        calls("hits", address, seed, 1.5)  # until it is up

        def run(n: int) -> None:
            peer = fl.connect(address)
            while jobs:
                sql = jobs.pop()
                try:
                    info = peer.get_flight_info(command("CommandStatementQuery", sql), options())
                    peer.do_get(info.endpoints[0].ticket, options(x_class="lookup")).read_all()
                except Exception:
                    lost[n] += 1

        threads = [threading.Thread(target=run, args=(n,)) for n in range(clients)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        os.kill(pid, signal.SIGTERM)
        until = time.monotonic() + 10
        while time.monotonic() < until and not (snapshot.exists() and snapshot.stat().st_mtime_ns > before):
            time.sleep(0.05)
    learned = CostEstimates()
    if not learned.restore(SnapshotStore(str(snapshot)).load()):
        raise click.ClickException("the gateway left no snapshot")
    return learned, sum(lost)


def loopback(
    seed: int, shapes: int = 12, each: int = 200, clients: int = 8, slow: int = 10
) -> dict[str, Any]:
    """A mix through the Flight SQL front to an engine that takes each statement's drawn time, `each` runs of
    a shape; what the gateway has learned by its end is compared with 50 further draws of each. Then another
    gateway takes that over, and one shape runs `slow` times, 5 times slower.
    """
    from tests.test_flight import Node

    random = Random(seed)
    usual = {n: 0.03 * random.lognormvariate(0, 0.8) for n in range(shapes)}

    class Slow(Node):
        def get_flight_info(self, context: Any, descriptor: Any) -> Any:
            time.sleep(int(descriptor.command.rpartition(b"= ")[2]) / 1e6)
            return super().get_flight_info(context, descriptor)

    text = "SELECT c{} FROM lending_7.t WHERE id = {}"
    jobs = [text.format(n, int(run_time(random, usual[n]) * 1e6)) for n in usual for _ in range(each)]
    random.shuffle(jobs)
    later = [text.format(0, int(5e6 * usual[0] * random.lognormvariate(0, 0.25))) for _ in range(slow)]
    node = Slow()
    with tempfile.TemporaryDirectory() as folder:
        learned, lost = played(Path(folder), node.port, jobs, clients, seed)
        after, _ = played(Path(folder), node.port, later, 1, seed)
    node.shutdown()
    shape = {n: normalize(text.format(n, 1)).fingerprint for n in usual}
    expected = {n: (learned.cost_ns(shape[n], "lookup", 7) or 0) / 1e9 for n in usual}
    asked = [(expected[n], run_time(random, usual[n])) for n in usual for _ in range(50)]
    near = sum(0.5 <= told / real <= 2 for told, real in asked) / len(asked)
    followed = (after.cost_ns(shape[0], "lookup", 7) or 0) / 1e9 / expected[0]
    return {
        "runs": shapes * each, "lost": lost, "compared": len(asked), "within_twice": round(near, 4),
        "times_as_long_after_slow_runs": round(followed, 2), "slow_runs": slow,
    }  # fmt: skip


# ---- the front: a gateway in a process of its own, engine and clients in another


def front(seed: int, seconds: float) -> dict[str, Any]:
    """Three gateways at once, asked in turn for a quarter of a second each, so that what else the machine
    does falls on all of them alike.
    """
    from tests.test_flight import Node

    node, ways = Node(), ("off", "hits", "flood")
    served, used = dict.fromkeys(ways, 0), dict.fromkeys(ways, 0.0)
    with ExitStack() as stack:
        gates = {}
        for way in ways:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            gates[way] = stack.enter_context(started(Path(folder), node.port, way != "off"))
            calls(way, gates[way][1], seed, 1.5)  # the start, and the first parse
        for turn in range(max(1, int(seconds * 4))):
            for way in ways if turn % 2 else ways[::-1]:
                before = cpu_of(gates[way][0])
                served[way] += calls(way, gates[way][1], seed + 8 * turn, 0.25)
                used[way] += cpu_of(gates[way][0]) - before
    node.shutdown()
    rates = {way: round(served[way] / used[way], 1) for way in ways}
    return {
        "served": served,
        "per_cpu_second": rates,
        "cost_of_hits": round(1 - rates["hits"] / rates["off"], 4),
        "cost_of_flood": round(1 - rates["flood"] / rates["off"], 4),
    }


@contextmanager
def started(folder: Path, engine: int, on: bool, more: str = "") -> Iterator[tuple[int, str]]:
    """A gateway with one engine; its process id and the address of its Flight SQL front."""
    from tests.stand_ins import SETTINGS

    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as two:
        web, flight = (sock.getsockname()[1] for sock in (one, two))
    host = {"host": "e0", "site": "hall-a", "class": "std-16", "health": "up", "share": 1, "born_ms": 0,
            "dial": "127.0.0.1:1", "flight": f"127.0.0.1:{engine}"}  # fmt: skip
    known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [host]}}]}
    raw = {"name": "bench", "listen": f"127.0.0.1:{web}", "journal": "127.0.0.1:1", "known": known,
           "settings": SETTINGS}  # fmt: skip
    (folder / "config.json").write_text(json.dumps(raw))
    keys = '[[statements.keys]]\ntable = "lending_*.loans"\ncolumn = "member"\n'
    table = f"[statements]\n{more}{keys}" if on else ""
    (folder / "operator.toml").write_text(f'[flight]\nlisten = "127.0.0.1:{flight}"\n{table}')
    files = {"ROUTER_CONFIG": str(folder / "config.json"), "MOTHKNOT_OPERATOR": str(folder / "operator.toml")}
    gate = subprocess.Popen(
        [sys.executable, "-m", "query_gateway"],
        env={**os.environ, **files},
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield gate.pid, f"grpc://127.0.0.1:{flight}"
    finally:
        gate.kill()
        gate.wait()


def cpu_of(pid: int) -> float:
    """Seconds of CPU that a process has used; its parser processes have their own."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def calls(way: str, address: str, seed: int, seconds: float) -> int:
    """How many requests of 8 clients are served in that time."""
    import pyarrow.flight as fl

    from tests.test_flight import command, options

    done = [0] * 8
    until = time.monotonic() + seconds

    def ask(n: int) -> None:
        random, peer = Random(seed + n), fl.connect(address)
        while time.monotonic() < until:
            column = f"c{random.randint(0, 10**9)}" if way == "flood" and random.random() < 0.5 else "a"
            sql = f"SELECT {column} FROM lending_7.loans WHERE member = {random.randint(1, 999)}"
            try:
                info = peer.get_flight_info(command("CommandStatementQuery", sql), options())
                peer.do_get(info.endpoints[0].ticket, options(x_class="lookup")).read_all()
                done[n] += 1
            except Exception:  # not up yet, or refused: it does not count
                time.sleep(0.01)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(done)


@click.command()
@click.option("--seed", default=1)
@click.option("--seconds", default=8.0)
@click.argument("part", default="all")
def main(seed: int, seconds: float, part: str) -> None:
    parts: dict[str, Callable[[], dict[str, Any]]] = {
        "micro": lambda: micro(seed), "cache": lambda: cache(seed), "costs": lambda: costs(seed),
        "loopback": lambda: loopback(seed), "front": lambda: front(seed, seconds),
    }  # fmt: skip
    for name, measure in parts.items():
        if part in ("all", name):
            print(json.dumps({"bench": "statements", "part": name, "seed": seed} | measure()), flush=True)


if __name__ == "__main__":
    main()
