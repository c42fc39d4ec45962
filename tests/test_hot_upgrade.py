"""Hot upgrades with real processes: one accept queue, idle connections that go on, deaths on either side."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.upgrade_messages import (
    ClientTransfer,
    Draining,
    Hello,
    Ready,
    UnknownMessage,
    decode_from_predecessor,
    decode_from_successor,
)
from query_gateway.lifecycle.upgrade_socket import (
    ConnectionHandler,
    UpgradeConnection,
    request_inherited_state,
    upgrade_socket_path,
)
from query_gateway.model.actions import Forward
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request
from query_gateway.net.loop import Loop
from query_gateway.planner.learned_state import export_state, restore_state
from query_gateway.policy.scheduler import Scheduler
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_local import free_port, until
from tests.test_ops import ask, figures
from tests.test_web import SQL, steady


class Journal:
    """Answers at once what is not to be held, and anything else never."""

    def __init__(self) -> None:
        self.silent = False
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            threading.Thread(target=self._serve, args=(self.sock.accept()[0],), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        body = b'{"pos":1,"entries":[]}'
        while (call := sock.recv(4096)) and b"max_wait=1 " in call and not self.silent:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        sock.recv(1)


class Site:
    """A gateway's files and addresses; `start` runs one more process of it."""

    def __init__(self, folder: Path) -> None:
        self.engine, self.journal = Engine(), Journal()
        known = {"pos": 1, "entries": [
            {"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [host(self.engine)]}}]}  # fmt: skip
        self.listen = "127.0.0.1", free_port()
        raw = {"listen": f"127.0.0.1:{self.listen[1]}", "journal": self.journal.address, "known": known,
               "settings": SETTINGS}  # fmt: skip
        (folder / "config.json").write_text(json.dumps(raw))
        self.environ = os.environ | {"ROUTER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        self.gate = SimpleNamespace(
            http_server=SimpleNamespace(listener=SimpleNamespace(address=self.listen))
        )
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self, ready: bool = True, **more: str) -> Any:
        ops = "127.0.0.1", free_port()
        environ = self.environ | {"ROUTER_OPS": f"{ops[0]}:{ops[1]}"} | more
        run = [sys.executable, "-m", "query_gateway"]
        process = subprocess.Popen(run, env=environ, stderr=subprocess.PIPE)
        self.processes.append(process)
        gateway = SimpleNamespace(
            process=process, admin_server=SimpleNamespace(listener=SimpleNamespace(address=ops))
        )

        def is_ready() -> bool:
            try:
                return ask(gateway, b"READY\n") == "200 ready\n"
            except OSError:
                return False

        if ready:
            until(is_ready)
        return gateway

    def served(self, statement: str = SQL, **more: Any) -> int:
        return post(self.gate, "lookup", statement, **more)[0]


@contextmanager
def site(folder: Path) -> Iterator[Site]:
    made = Site(folder)
    try:
        yield made
    finally:
        for process in made.processes:
            process.kill()
            process.wait()
            assert process.stderr
            process.stderr.close()
        made.engine.close()


def call(connection: http.client.HTTPConnection, name: str) -> int:
    headers = {"X-Txn": name * 16, "X-Ttl-Ms": "5000"}
    connection.request("POST", "/svc/lookup", SQL, headers)
    answer = connection.getresponse()
    answer.read()
    assert answer.getheader("Connection") != "close"
    return answer.status


def total(gateway: Any) -> int:
    return figures(gateway)['svc_succeeded_total{service="lookup"}']


def test_an_upgrade_closes_no_connection_and_loses_no_request(tmp_path: Path) -> None:
    slow = "SELECT slow FROM lending_7.loans"
    with site(tmp_path) as running_site, ThreadPoolExecutor() as beside:
        running_site.engine.script[slow] = ["mute"] * 3
        predecessor = running_site.start()
        kept = http.client.HTTPConnection(*running_site.listen, timeout=10)
        silent = socket.create_connection(running_site.listen)
        assert call(kept, "1") == 200
        waiting = beside.submit(running_site.served, slow, ttl=1_500)
        assert running_site.engine.wait("REQ", 2)
        successor = running_site.start()
        assert total(successor) == 0
        predecessor.process.send_signal(signal.SIGTERM)
        assert running_site.served() == 200  # one queue: whoever accepts it
        assert call(kept, "2") == 200 and call(kept, "3") == 200
        assert waiting.result() in (429, 500)  # its predecessor answers it
        assert predecessor.process.wait(10) == 0
        before = total(successor)
        assert before >= 1 and call(kept, "4") == 200 and total(successor) == before + 1
        silent.settimeout(10)
        silent.sendall(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
        assert silent.recv(4096).startswith(b"HTTP/1.1 200")
        kept.close()
        silent.close()
        third = running_site.start()  # it finds the second, not the first
        successor.process.send_signal(signal.SIGTERM)
        assert successor.process.wait(10) == 0 and running_site.served() == 200 and total(third) == 1


def test_a_successor_that_dies_leaves_its_predecessor_serving_and_found(tmp_path: Path) -> None:
    with site(tmp_path) as running_site:
        predecessor = running_site.start()
        first = running_site.start()
        first.process.kill()
        first.process.wait()
        until(lambda: total(predecessor) or running_site.served() == 200)
        assert [running_site.served() for _ in range(4)] == [200] * 4
        second = running_site.start()
        predecessor.process.send_signal(signal.SIGTERM)
        assert predecessor.process.wait(10) == 0 and running_site.served() == 200 and total(second) == 1


def test_a_predecessor_that_dies_leaves_all_to_its_successor_and_its_file_is_no_fault(tmp_path: Path) -> None:
    with site(tmp_path) as running_site:
        predecessor, successor = running_site.start(), running_site.start()
        predecessor.process.kill()
        predecessor.process.wait()
        assert [running_site.served() for _ in range(4)] == [200] * 4 and total(successor) == 4
        successor.process.kill()
        successor.process.wait()
        assert any(name.startswith("mothknot-") for name in os.listdir(tmp_path))
        assert running_site.start() and running_site.served() == 200


def test_a_predecessor_told_to_stop_before_its_successor_is_ready_transfers_once_it_is(
    tmp_path: Path,
) -> None:
    """The journal is silent, so the successor is ready late; what comes meanwhile waits in the one queue."""
    with site(tmp_path) as running_site, ThreadPoolExecutor() as beside:
        predecessor = running_site.start()
        kept = http.client.HTTPConnection(*running_site.listen, timeout=10)
        assert call(kept, "1") == 200
        running_site.journal.silent = True
        starting = beside.submit(running_site.start)
        until(lambda: b"a successor starts" in os.read(predecessor.process.stderr.fileno(), 4096))
        predecessor.process.send_signal(signal.SIGTERM)
        crossing = beside.submit(running_site.served)
        successor = starting.result()
        assert crossing.result() == 200
        assert call(kept, "2") == 200 and predecessor.process.wait(10) == 0 and total(successor) >= 1
        kept.close()


def test_several_processes_cannot_be_followed(tmp_path: Path) -> None:
    (tmp_path / "operator.toml").write_text(f'[processes]\nplanners = ["127.0.0.1:{free_port()}"]\n')
    with site(tmp_path) as running_site:
        running_site.start()
        late = running_site.start(False, QUERY_GATEWAY_OPERATOR_FILE=str(tmp_path / "operator.toml"))
        assert late.process.wait(10) == 2 and b"cannot follow" in late.process.stderr.read()
        assert running_site.served() == 200


def test_where_no_socket_can_be_made_no_upgrade_is_possible(tmp_path: Path) -> None:
    listen = "127.0.0.1", 9
    assert upgrade_socket_path({}, listen) is None
    assert upgrade_socket_path({"TMPDIR": str(tmp_path / "none")}, listen) is None
    path = upgrade_socket_path({"TMPDIR": str(tmp_path)}, listen)
    assert path and not os.listdir(tmp_path) and request_inherited_state(path) is None


def test_the_slow_start_budget_goes_over_in_steps() -> None:
    """Guards engines and traffic: a successor kept to half while its predecessor forwarded no more."""
    gate = Gateway(config([host(Engine())]), OperatorSettings(), signals=False)
    shares = [gate.planner.settings.slow_start_share]
    steps: list[Callable[[], None]] = [
        gate.overlap.on_successor_ready,
        gate.overlap.on_predecessor_draining,
        gate.overlap.end_overlap,
    ]
    for step in (gate.overlap.begin_overlap, *steps):
        step()
        gate.loop.call_at(gate.loop.now(), lambda: None)
        gate.loop.turn()
        shares.append(gate.planner.settings.slow_start_share)
    assert shares == [1.0, 1.0, 0.5, 0.9, 1.0] and gate.http_server.max_connections == gate.max_connections
    gate.loop.close()


Received = Hello | Ready | Draining | ClientTransfer | UnknownMessage


@pytest.mark.parametrize("decode", [decode_from_successor, decode_from_predecessor])
@steady
@given(noise=st.binary(min_size=1, max_size=60))
def test_garbage_on_the_connection_ends_it_or_changes_nothing(decode: Any, noise: bytes) -> None:
    loop, ends, said = Loop(), list[int](), list[Any]()
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    near.setblocking(False)
    handler = ConnectionHandler(decode, lambda message, fds: said.append(message), lambda: ends.append(1))
    link = UpgradeConnection(loop, near, handler)
    far.send(noise)
    loop.turn()
    assert bool(ends) is link.closed and all(isinstance(message, Received) for message in said)
    far.close()
    loop.close()


def taught() -> Scheduler:
    scheduler = Scheduler(config([]).settings, 1)
    sec, events = 10**9, list[Event]()
    from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
    from query_gateway.model.events import EndpointUpdate

    events = [
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, (EndpointInfo("e0", EndpointState.UP, 0, 0, 0, 0, 1.0),))
    ]
    scheduler.handle(sec, events)
    sent = scheduler.handle(2 * sec, [Request(1, 1, 60 * sec, 0, 7.0, None, 10**9, 0.0, False)])
    assert any(isinstance(action, Forward) for action in sent)
    scheduler.handle(3 * sec, [AttemptOutcome(1, True, OutcomeCode.OK, sec, 0, "e0", None, None, ())])
    return scheduler


NUMBERS = {"lookup": 0, "report": 1, "load": 2}


def test_learned_state_is_restored_under_the_names_of_classes() -> None:
    old, new = taught(), Scheduler(config([]).settings, 2)
    new.state.fleet.engines = {name: engine for name, engine in taught().state.fleet.engines.items()}
    new.state.fleet.engines["e0"].warm_table_groups = []
    told = json.loads(json.dumps(export_state(old, NUMBERS)))
    assert restore_state(new, {"lookup": 1, "report": 2, "load": 0}, told)
    assert new.state.classes[2].work == old.state.classes[1].work and new.state.classes[2].work.count == 1
    assert (
        new.state.fleet.engines["e0"].warm_table_groups == [7.0]
        and new.state.fleet.engines["e0"].log_slowdown == old.state.fleet.engines["e0"].log_slowdown
    )


@pytest.mark.parametrize(
    "bad", [None, [], {"version": 0}, {"lag": "1"}, {"costs": []}, {"usual": float("nan")},
            {"engines": {"e0": [1]}}, {"classes": {"lookup": {}}}]
)  # fmt: skip
def test_learned_state_that_cannot_be_used_is_not_restored_in_part(bad: Any) -> None:
    new = Scheduler(config([]).settings, 2)
    told = export_state(taught(), NUMBERS)
    told["lag"] = 2.0
    assert (
        not restore_state(new, NUMBERS, told | bad if isinstance(bad, dict) else bad)
        and new.state.controller.lag_ratio == 1.0
    )
