"""Hot upgrades: the shared accept queue, transferred connections and state, the death of either process."""

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

from bench.loopback_ports import free_port
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.inherited_state import request_inherited_state
from query_gateway.lifecycle.upgrade_connection import ConnectionHandler, UpgradeConnection
from query_gateway.lifecycle.upgrade_messages import (
    ClientTransfer,
    Draining,
    Hello,
    Ready,
    UnknownMessage,
    decode_from_predecessor,
    decode_from_successor,
)
from query_gateway.lifecycle.upgrade_socket import upgrade_socket_path
from query_gateway.model.actions import Forward
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request
from query_gateway.net.loop import Loop
from query_gateway.planner.learned_state import export_state, restore_state
from query_gateway.policy.scheduler import Scheduler
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_local import until
from tests.test_ops import figures, send_call
from tests.test_web import SQL, derandomized


class DiscoveryService:
    """A stand-in for the discovery service that answers only the short polls of a successor.

    A successor polls with `max_wait=1` until its first answer. With `silent` set, no poll is answered.
    """

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
        while (poll := sock.recv(4096)) and b"max_wait=1 " in poll and not self.silent:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        sock.recv(1)


class Deployment:
    """The files and addresses of one gateway; `start` starts another process of it."""

    def __init__(self, folder: Path) -> None:
        self.engine, self.discovery = Engine(), DiscoveryService()
        known = {"pos": 1, "entries": [
            {"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [host(self.engine)]}}]}  # fmt: skip
        self.listen = "127.0.0.1", free_port()
        raw = {"listen": f"127.0.0.1:{self.listen[1]}", "journal": self.discovery.address, "known": known,
               "settings": SETTINGS}  # fmt: skip
        (folder / "config.json").write_text(json.dumps(raw))
        self.environ = os.environ | {"ROUTER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        self.gateway = SimpleNamespace(
            http_server=SimpleNamespace(listener=SimpleNamespace(address=self.listen))
        )
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self, ready: bool = True, **environment: str) -> Any:
        ops = "127.0.0.1", free_port()
        environ = self.environ | {"ROUTER_OPS": f"{ops[0]}:{ops[1]}"} | environment
        run = [sys.executable, "-m", "query_gateway"]
        process = subprocess.Popen(run, env=environ, stderr=subprocess.PIPE)
        self.processes.append(process)
        gateway = SimpleNamespace(
            process=process, admin_server=SimpleNamespace(listener=SimpleNamespace(address=ops))
        )

        def is_ready() -> bool:
            try:
                return send_call(gateway, b"READY\n") == "200 ready\n"
            except OSError:
                return False

        if ready:
            until(is_ready)
        return gateway

    def served(self, statement: str = SQL, **options: Any) -> int:
        return post(self.gateway, "lookup", statement, **options)[0]


@contextmanager
def deployed_gateway(folder: Path) -> Iterator[Deployment]:
    deployment = Deployment(folder)
    try:
        yield deployment
    finally:
        for process in deployment.processes:
            process.kill()
            process.wait()
            assert process.stderr
            process.stderr.close()
        deployment.engine.close()


def send_lookup(connection: http.client.HTTPConnection, digit: str) -> int:
    """Send a lookup on a connection that must stay open after it, and return the status."""
    headers = {"X-Txn": digit * 16, "X-Ttl-Ms": "5000"}
    connection.request("POST", "/svc/lookup", SQL, headers)
    answer = connection.getresponse()
    answer.read()
    assert answer.getheader("Connection") != "close"
    return answer.status


def served_lookups(gateway: Any) -> int:
    return figures(gateway)['svc_succeeded_total{service="lookup"}']


def test_an_upgrade_closes_no_connection_and_loses_no_request(tmp_path: Path) -> None:
    """A gateway is upgraded twice while clients hold connections and a request is open.

    Without a shared accept queue, or with idle connections closed at SIGTERM, clients would see closed
    connections. The successor inherits the queue and the idle connections, and the predecessor answers its
    own open request.
    """
    slow = "SELECT slow FROM lending_7.loans"
    with deployed_gateway(tmp_path) as deployment, ThreadPoolExecutor() as executor:
        deployment.engine.script[slow] = ["mute"] * 3
        predecessor = deployment.start()
        idle_client = http.client.HTTPConnection(*deployment.listen, timeout=10)
        silent_client = socket.create_connection(deployment.listen)
        assert send_lookup(idle_client, "1") == 200
        waiting = executor.submit(deployment.served, slow, ttl=1_500)
        assert deployment.engine.wait("REQ", 2)
        successor = deployment.start()
        assert served_lookups(successor) == 0
        predecessor.process.send_signal(signal.SIGTERM)
        assert deployment.served() == 200  # accepted from the shared queue by either process
        assert send_lookup(idle_client, "2") == 200 and send_lookup(idle_client, "3") == 200
        assert waiting.result() in (429, 500)  # answered by the predecessor
        assert predecessor.process.wait(10) == 0
        before = served_lookups(successor)
        assert (
            before >= 1 and send_lookup(idle_client, "4") == 200 and served_lookups(successor) == before + 1
        )
        silent_client.settimeout(10)
        silent_client.sendall(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
        assert silent_client.recv(4096).startswith(b"HTTP/1.1 200")
        idle_client.close()
        silent_client.close()
        third = deployment.start()  # its predecessor is the second process, not the first
        successor.process.send_signal(signal.SIGTERM)
        assert successor.process.wait(10) == 0 and deployment.served() == 200 and served_lookups(third) == 1


def test_a_successor_that_dies_leaves_its_predecessor_serving_and_found(tmp_path: Path) -> None:
    """A successor is killed after it was ready.

    Successors find their predecessor at a socket file in $TMPDIR. The dead process has replaced that file
    with its own, so the next successor would find no process there. The predecessor detects the end of its
    connection to the dead process, serves alone and restores its own socket file.
    """
    with deployed_gateway(tmp_path) as deployment:
        predecessor = deployment.start()
        first = deployment.start()
        first.process.kill()
        first.process.wait()
        until(lambda: served_lookups(predecessor) or deployment.served() == 200)
        assert [deployment.served() for _ in range(4)] == [200] * 4
        second = deployment.start()
        predecessor.process.send_signal(signal.SIGTERM)
        assert (
            predecessor.process.wait(10) == 0 and deployment.served() == 200 and served_lookups(second) == 1
        )


def test_a_predecessor_that_dies_leaves_all_to_its_successor_and_its_file_is_no_fault(tmp_path: Path) -> None:
    """A predecessor is killed while its successor serves, then the successor as well.

    The successor serves all clients alone. A killed process leaves its socket file behind, and a process that
    took the file for a running predecessor would not start; a file without a listener is ignored.
    """
    with deployed_gateway(tmp_path) as deployment:
        predecessor, successor = deployment.start(), deployment.start()
        predecessor.process.kill()
        predecessor.process.wait()
        assert [deployment.served() for _ in range(4)] == [200] * 4 and served_lookups(successor) == 4
        successor.process.kill()
        successor.process.wait()
        assert any(name.startswith("mothknot-") for name in os.listdir(tmp_path))
        assert deployment.start() and deployment.served() == 200


def test_a_predecessor_stopped_before_its_successor_is_ready_transfers_once_it_is(
    tmp_path: Path,
) -> None:
    """A predecessor gets SIGTERM before its successor is ready, as the discovery service does not answer.

    With closed listeners, clients that connect meanwhile would be reset. The predecessor keeps its listeners
    until the successor is ready, and then transfers its idle connections. Until it has read the ready message
    it may still answer on them, so only a lookup after its exit shows that the successor has the connection.
    """
    with deployed_gateway(tmp_path) as deployment, ThreadPoolExecutor() as executor:
        predecessor = deployment.start()
        idle_client = http.client.HTTPConnection(*deployment.listen, timeout=10)
        assert send_lookup(idle_client, "1") == 200
        idle_socket = idle_client.sock
        deployment.discovery.silent = True
        starting = executor.submit(deployment.start)
        until(lambda: b"a successor starts" in os.read(predecessor.process.stderr.fileno(), 4096))
        predecessor.process.send_signal(signal.SIGTERM)
        waiting_client = executor.submit(deployment.served)
        successor = starting.result()
        assert waiting_client.result() == 200
        assert send_lookup(idle_client, "2") == 200 and predecessor.process.wait(10) == 0
        before = served_lookups(successor)
        assert send_lookup(idle_client, "3") == 200 and idle_client.sock is idle_socket
        assert served_lookups(successor) == before + 1
        idle_client.close()


def test_several_processes_cannot_be_followed(tmp_path: Path) -> None:
    """A gateway that consists of several processes starts at the address of a running gateway.

    It cannot inherit that gateway's listening sockets, so it would lose clients if it replaced the gateway.
    It exits with one line in the log, and the running gateway continues to serve.
    """
    (tmp_path / "operator.toml").write_text(f'[processes]\nplanners = ["127.0.0.1:{free_port()}"]\n')
    with deployed_gateway(tmp_path) as deployment:
        deployment.start()
        second = deployment.start(False, QUERY_GATEWAY_OPERATOR_FILE=str(tmp_path / "operator.toml"))
        assert second.process.wait(10) == 2 and b"cannot follow" in second.process.stderr.read()
        assert deployment.served() == 200


def test_where_no_socket_can_be_made_no_upgrade_is_possible(tmp_path: Path) -> None:
    """$TMPDIR is not set, or names a directory that does not exist.

    A start that required the upgrade socket would fail. Instead `upgrade_socket_path` returns None, which
    disables hot upgrades. Where a socket can be created, the check of that leaves no file behind.
    """
    listen = "127.0.0.1", 9
    assert upgrade_socket_path({}, listen) is None
    assert upgrade_socket_path({"TMPDIR": str(tmp_path / "none")}, listen) is None
    path = upgrade_socket_path({"TMPDIR": str(tmp_path)}, listen)
    assert path and not os.listdir(tmp_path) and request_inherited_state(path) is None


def test_the_slow_start_budget_goes_over_in_steps() -> None:
    """Each step of a hot upgrade changes the share of the slow-start budget that a process uses.

    If both processes used the full budget, they would overload engines in slow start. If the successor still
    used half of it once its predecessor drains, it would reject requests that the engines could take. The
    test runs the steps of both roles on one gateway.
    """
    gateway = Gateway(config([host(Engine())]), OperatorSettings(), signals=False)
    shares = [gateway.planner.settings.slow_start_share]
    steps: list[Callable[[], None]] = [
        gateway.overlap.on_successor_ready,
        gateway.overlap.on_predecessor_draining,
        gateway.overlap.end_overlap,
    ]
    for step in (gateway.overlap.begin_overlap, *steps):
        step()
        gateway.loop.call_at(gateway.loop.now(), lambda: None)
        gateway.loop.turn()
        shares.append(gateway.planner.settings.slow_start_share)
    assert (
        shares == [1.0, 1.0, 0.5, 0.9, 1.0] and gateway.http_server.max_connections == gateway.max_connections
    )
    gateway.loop.close()


Received = Hello | Ready | Draining | ClientTransfer | UnknownMessage


@pytest.mark.parametrize("decode", [decode_from_successor, decode_from_predecessor])
@derandomized
@given(noise=st.binary(min_size=1, max_size=60))
def test_garbage_on_the_connection_ends_it_or_changes_nothing(decode: Any, noise: bytes) -> None:
    """The other process sends a packet of random bytes.

    An exception in the handler would be logged as a fault, and the connection would stay open. A packet that
    cannot be decoded ends the connection; a JSON object without a known key becomes an UnknownMessage.
    """
    loop, endings, received = Loop(), list[int](), list[Any]()
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    near.setblocking(False)
    handler = ConnectionHandler(
        decode, lambda message, fds: received.append(message), lambda: endings.append(1)
    )
    connection = UpgradeConnection(loop, near, handler)
    far.send(noise)
    loop.turn()
    assert bool(endings) is connection.closed and all(isinstance(message, Received) for message in received)
    far.close()
    loop.close()


def scheduler_with_one_outcome() -> Scheduler:
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


CLASS_NUMBERS = {"lookup": 0, "report": 1, "load": 2}


def test_learned_state_is_restored_under_the_names_of_classes() -> None:
    """Predecessor and successor number their classes differently.

    Restored by number, the learned state of one class would be used for another. Classes are transferred by
    name.
    """
    old, new = scheduler_with_one_outcome(), Scheduler(config([]).settings, 2)
    new.state.fleet.engines = dict(scheduler_with_one_outcome().state.fleet.engines)
    new.state.fleet.engines["e0"].warm_table_groups = []
    exported = json.loads(json.dumps(export_state(old, CLASS_NUMBERS)))
    assert restore_state(new, {"lookup": 1, "report": 2, "load": 0}, exported)
    assert new.state.classes[2].work == old.state.classes[1].work and new.state.classes[2].work.count == 1
    assert (
        new.state.fleet.engines["e0"].warm_table_groups == [7.0]
        and new.state.fleet.engines["e0"].log_slowdown == old.state.fleet.engines["e0"].log_slowdown
    )


@pytest.mark.parametrize(
    "changes", [None, [], {"version": 0}, {"lag": "1"}, {"costs": []}, {"usual": float("nan")},
            {"engines": {"e0": [1]}}, {"classes": {"lookup": {}}}]
)  # fmt: skip
def test_learned_state_that_cannot_be_used_is_not_restored_in_part(changes: Any) -> None:
    """The transferred state is no object, or one of its values is missing, of a wrong type or out of range.

    If values were restored until the first bad one, the scheduler would use a partly restored state. All
    values are checked first, and none is restored.
    """
    new = Scheduler(config([]).settings, 2)
    exported = export_state(scheduler_with_one_outcome(), CLASS_NUMBERS)
    exported["lag"] = 2.0
    assert (
        not restore_state(new, CLASS_NUMBERS, exported | changes if isinstance(changes, dict) else changes)
        and new.state.controller.lag_ratio == 1.0
    )
