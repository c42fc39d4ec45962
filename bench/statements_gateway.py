"""Sends statements through a gateway in a separate process; the engine and the clients run in this one.

Implements the parts `loopback` and `front` of `python -m bench.statements`. Imports modules of `tests`, so
the packages that the tests need must be installed.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import click

from bench.loopback_ports import free_port
from bench.statement_workloads import run_time, share_within_twice, slow_run_time
from query_gateway.parsing.snapshot_store import SnapshotStore
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.normalizer import normalize

ROOT = Path(__file__).parent.parent
CLIENTS = 8
WARM_UP_S = 1.5  # for a gateway to start and parse its first statement
TURN_S = 0.25  # how long one gateway is called before the next one gets its turn
EXIT_TIMEOUT_S = 10  # for a gateway to write its snapshot at shutdown
STATEMENT_TEMPLATE = "SELECT c{} FROM lending_7.t WHERE id = {}"  # shape number, and run time in microseconds
TABLE_GROUP = 7  # of the table lending_7.t
KEY_RULES = '[[statements.keys]]\ntable = "lending_*.loans"\ncolumn = "member"\n'


@dataclass(frozen=True)
class LearnedCosts:
    """The cost estimates of a gateway at its shutdown."""

    estimates: CostEstimates
    failed_statements: int


@dataclass(frozen=True)
class GatewayProcess:
    """A running gateway and the address of its Flight SQL front."""

    pid: int
    address: str


# ---- estimates over real sockets


def loopback(
    seed: int, shapes: int = 12, runs_each: int = 200, clients: int = CLIENTS, slow_runs: int = 10
) -> dict[str, Any]:
    """Run a mix of statements through a gateway to an engine that takes the run time in each text.

    Each shape runs `runs_each` times; the estimates of the gateway at its shutdown are compared with 50
    further run times of each shape. Then another gateway restores these estimates, and one shape runs
    `slow_runs` times, 5 times slower.
    """
    random = Random(seed)
    usual = {n: 0.03 * random.lognormvariate(0, 0.8) for n in range(shapes)}
    mix = [_text(n, run_time(random, usual[n])) for n in usual for _ in range(runs_each)]
    random.shuffle(mix)
    slow_statements = [_text(0, slow_run_time(random, usual[0])) for _ in range(slow_runs)]
    engine = _slow_engine()
    with tempfile.TemporaryDirectory() as folder:
        learned = _run_through_gateway(Path(folder), engine.port, mix, clients, seed)
        learned_later = _run_through_gateway(Path(folder), engine.port, slow_statements, 1, seed)
    engine.shutdown()
    expected = {n: _expected_seconds(learned.estimates, n) for n in usual}
    return {
        "runs": shapes * runs_each,
        "lost": learned.failed_statements,
        "compared": 50 * shapes,
        "within_twice": round(share_within_twice(expected, usual, random), 4),
        "times_as_long_after_slow_runs": round(
            _expected_seconds(learned_later.estimates, 0) / expected[0], 2
        ),
        "slow_runs": slow_runs,
    }


def _text(shape: int, seconds: float) -> str:
    return STATEMENT_TEMPLATE.format(shape, int(seconds * 1e6))


def _expected_seconds(learned: CostEstimates, shape: int) -> float:
    fingerprint = normalize(_text(shape, 1e-6)).fingerprint
    return (learned.cost_ns(fingerprint, "lookup", TABLE_GROUP) or 0) / 1e9


def _slow_engine() -> Any:
    """An engine that takes the run time given in the text of a statement. The caller shuts it down."""
    from tests.test_flight import FlightEngine

    class SlowEngine(FlightEngine):
        """Delays the plan of each statement by the microseconds at the end of its text."""

        def get_flight_info(self, context: Any, descriptor: Any) -> Any:
            """Plan the statement after its delay."""
            time.sleep(int(descriptor.command.rpartition(b"= ")[2]) / 1e6)
            return super().get_flight_info(context, descriptor)

    return SlowEngine()


def _run_through_gateway(
    folder: Path, engine_port: int, statements: list[str], clients: int, seed: int
) -> LearnedCosts:
    """Run the statements through a gateway that starts with the snapshot of the previous one, if any."""
    snapshot = folder / "costs"
    modified_before = _modified_at(snapshot)
    with running_gateway(folder, engine_port, True, f'snapshot = "{snapshot}"\n') as gateway:
        count_served("hits", gateway.address, seed, WARM_UP_S)
        failed = _run_all(gateway.address, statements, clients)
        os.kill(gateway.pid, signal.SIGTERM)
        deadline = time.monotonic() + EXIT_TIMEOUT_S
        while time.monotonic() < deadline and _modified_at(snapshot) <= modified_before:
            time.sleep(0.05)
    learned = CostEstimates()
    if not learned.restore(SnapshotStore(str(snapshot)).load()):
        raise click.ClickException("the gateway wrote no usable snapshot")
    return LearnedCosts(learned, failed)


def _modified_at(path: Path) -> int:
    """The modification time in nanoseconds; 0 if the file does not exist."""
    return path.stat().st_mtime_ns if path.exists() else 0


def _run_all(address: str, statements: list[str], clients: int) -> int:
    """Run the statements from last to first, `clients` at a time; return how many failed."""
    import pyarrow.flight as fl

    failed = [0] * clients

    def run(client: int) -> None:
        """Run statements until the list is empty."""
        flight_client = fl.connect(address)
        while statements:
            try:
                _fetch(flight_client, statements.pop())
            except Exception:
                failed[client] += 1

    _in_threads(run, clients)
    return sum(failed)


# ---- requests per second of CPU


def front(seed: int, seconds: float) -> dict[str, Any]:
    """Compare gateways that do not classify, that classify one shape, and that classify a flood of new ones.

    All run at once and are called in turn for `TURN_S`: with short turns, other load on the machine slows all
    of them alike.
    """
    from tests.test_flight import FlightEngine

    engine, modes = FlightEngine(), ("off", "hits", "flood")
    served, cpu_seconds = dict.fromkeys(modes, 0), dict.fromkeys(modes, 0.0)
    with ExitStack() as stack:
        gateways = {}
        for mode in modes:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            gateways[mode] = stack.enter_context(running_gateway(folder, engine.port, mode != "off"))
            count_served(mode, gateways[mode].address, seed, WARM_UP_S)
        for turn in range(max(1, int(seconds / TURN_S))):
            for mode in modes if turn % 2 else modes[::-1]:
                cpu_before = cpu_seconds_of(gateways[mode].pid)
                served[mode] += count_served(mode, gateways[mode].address, seed + CLIENTS * turn, TURN_S)
                cpu_seconds[mode] += cpu_seconds_of(gateways[mode].pid) - cpu_before
    engine.shutdown()
    rates = {mode: round(served[mode] / cpu_seconds[mode], 1) for mode in modes}
    return {
        "served": served,
        "per_cpu_second": rates,
        "cost_of_hits": round(1 - rates["hits"] / rates["off"], 4),
        "cost_of_flood": round(1 - rates["flood"] / rates["off"], 4),
    }


def cpu_seconds_of(pid: int) -> float:
    """CPU time in seconds that a process has used, without its parser processes."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def count_served(mode: str, address: str, seed: int, seconds: float) -> int:
    """Send statements from CLIENTS clients for `seconds`; return how many were served.

    `mode` is one of those that `front` compares.
    """
    import pyarrow.flight as fl

    served = [0] * CLIENTS
    deadline = time.monotonic() + seconds

    def run(client: int) -> None:
        """Run statements until the time has passed."""
        random, flight_client = Random(seed + client), fl.connect(address)
        while time.monotonic() < deadline:
            try:
                _fetch(flight_client, _random_statement(mode, random))
                served[client] += 1
            except Exception:  # the gateway has not started, or rejected the statement: not counted
                time.sleep(0.01)

    _in_threads(run, CLIENTS)
    return sum(served)


def _random_statement(mode: str, random: Random) -> str:
    has_unique_shape = mode == "flood" and random.random() < 0.5
    column = f"c{random.randint(0, 10**9)}" if has_unique_shape else "a"
    return f"SELECT {column} FROM lending_7.loans WHERE member = {random.randint(1, 999)}"


def _fetch(flight_client: Any, sql: str) -> None:
    """Run one statement and read its result."""
    from tests.test_flight import command, options

    info = flight_client.get_flight_info(command("CommandStatementQuery", sql), options())
    flight_client.do_get(info.endpoints[0].ticket, options(x_class="lookup")).read_all()


def _in_threads(run: Callable[[int], None], count: int) -> None:
    threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


# ---- a gateway in a separate process


@contextmanager
def running_gateway(
    folder: Path, engine_port: int, classifies: bool, statement_settings: str = ""
) -> Iterator[GatewayProcess]:
    """Start a gateway with one engine, killed at exit; `classifies`: whether it classifies statements.

    `statement_settings`: further lines of the table `statements`.
    """
    http_port, flight_port = free_port(), free_port()
    config, operator = folder / "config.json", folder / "operator.toml"
    config.write_text(json.dumps(_configuration(http_port, engine_port)))
    table = f"[statements]\n{statement_settings}{KEY_RULES}" if classifies else ""
    operator.write_text(f'[flight]\nlisten = "127.0.0.1:{flight_port}"\n{table}')
    process = subprocess.Popen(
        [sys.executable, "-m", "query_gateway"],
        env={**os.environ, "ROUTER_CONFIG": str(config), "QUERY_GATEWAY_OPERATOR_FILE": str(operator)},
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield GatewayProcess(process.pid, f"grpc://127.0.0.1:{flight_port}")
    finally:
        process.kill()
        process.wait()


def _configuration(http_port: int, engine_port: int) -> dict[str, Any]:
    """The gateway's configuration, in the platform's format."""
    from tests.stand_ins import SETTINGS

    host = {
        "host": "e0", "site": "hall-a", "class": "std-16", "health": "up", "share": 1, "born_ms": 0,
        "dial": "127.0.0.1:1", "flight": f"127.0.0.1:{engine_port}",
    }  # fmt: skip
    hosts = {"seq": 1, "whole": True, "hosts": [host]}
    return {
        "name": "bench",
        "listen": f"127.0.0.1:{http_port}",
        "journal": "127.0.0.1:1",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]},
        "settings": SETTINGS,
    }
