"""Race conditions of the graceful shutdown and the hot upgrade: requests, deadlines and lost processes."""

import contextlib
import http.client
import json
import os
import signal
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.shutdown import ANSWER_SECONDS
from query_gateway.lifecycle.upgrade_messages import MAX_DESCRIPTORS, MAX_PACKET_BYTES, PROTOCOL_VERSION
from query_gateway.lifecycle.upgrade_socket import request_inherited_state
from tests.race_helpers import SEC, Deaf, Late, ask, hurried, tuned, unsafe
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_hot_upgrade import Site, site
from tests.test_local import until
from tests.test_web import LOAD, ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("all_lines")


def test_a_plain_stop_gives_up_what_is_open_before_the_kill() -> None:
    """Guards clients of long requests: the kill comes 0.7 s after the longest deadline, or after 3 s."""
    for raw, longest in ((SETTINGS, ANSWER_SECONDS), (hurried(1.0), 1.0)):
        gate = Gateway(config([], settings=raw), OperatorSettings(), signals=False)
        gate.begin_shutdown()
        gate.begin_shutdown()  # a second SIGTERM begins nothing anew
        due = [
            when - gate.loop.now()
            for when, _, timer in gate.loop.timers
            if timer.callback == gate.shutdown.give_up
        ]
        assert len(due) == 1 and longest < due[0] < longest + 0.7
        gate.loop.close()


def test_a_stop_behind_a_reload_goes_by_the_deadlines_that_hold_now() -> None:
    """Guards clients of a class that was dropped: the kill no longer waits for its longer deadline."""
    raw = hurried(1.0)
    raw["services"][1] |= {"name": "audit"}
    sources = ConfigurationSources(read_configuration=lambda: config([], settings=raw))
    gate = Gateway(config([]), OperatorSettings(), signals=False, options=GatewayOptions(sources=sources))
    gate.reload()
    gate.begin_shutdown()
    due = [
        when - gate.loop.now()
        for when, _, timer in gate.loop.timers
        if timer.callback == gate.shutdown.give_up
    ]
    assert len(due) == 1 and 1.0 < due[0] < 1.7
    gate.loop.close()


def test_what_is_given_up_while_its_dial_comes_up_is_refused_in_every_class() -> None:
    """Guards clients of a class unsafe to repeat: told that it failed, they may not ask again."""
    engine = Late()
    with running(engine, settings=unsafe() | {"limits": tuned(dial_timeout=600 * SEC)["limits"]}) as gate:
        with ThreadPoolExecutor() as beside:
            waiting = beside.submit(post, gate, "report", SQL, ttl=600_000)
            until(lambda: gate.engine_pool.connections)
            gate.loop.call_soon(gate.shutdown.give_up)
            assert waiting.result()[0] == 429
        engine.let_up()
    assert engine.statements == []


def test_a_plain_stop_answers_a_long_request_and_ends(tmp_path: Path) -> None:
    with site(tmp_path) as s, ThreadPoolExecutor() as beside:
        raw = hurried(1.0)
        raw["family-info"]["progress"] = 0  # so that nobody waits for notes of what runs long
        _rules(s, raw)
        s.engine.script[LOAD] = ["mute"] * 3
        one = s.start()
        waiting = beside.submit(post, s.gate, "load", LOAD, ttl=600_000)
        assert s.engine.wait("REQ")
        one.process.send_signal(signal.SIGTERM)
        assert waiting.result(10)[0] in (429, 500) and one.process.wait(10) == 0


def _rules(s: Site, settings: dict[str, Any]) -> None:
    file = Path(s.environ["ROUTER_CONFIG"])
    file.write_text(json.dumps(json.loads(file.read_text()) | {"settings": settings}))


def _stopped_before_the_yes(s: Site, successor_says: Callable[[Any], None]) -> int:
    """SIGTERM with a successor that has not said yes; a client comes; then the successor does its worst."""
    elder = s.start()
    s.journal.silent = True
    successor = s.start(ready=False)
    said = b""
    while b"a successor starts" not in said:
        said += os.read(elder.process.stderr.fileno(), 4096)
    successor.process.send_signal(signal.SIGSTOP)
    elder.process.send_signal(signal.SIGTERM)
    while b"shutdown stopping with" not in said:
        said += os.read(elder.process.stderr.fileno(), 4096)
    with ThreadPoolExecutor() as beside:
        crossing = beside.submit(s.served)
        until(lambda: _waits(s.listen[1]))
        successor_says(successor.process)
        status = crossing.result(20)
    assert elder.process.wait(20) == 0
    return status


def _waits(port: int) -> bool:
    """Whether a connection to the port is up."""
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(row[1].endswith(f":{port:04X}") and row[3] == "01" for row in rows)


def test_a_successor_that_dies_after_the_stop_leaves_who_waits_to_its_elder(tmp_path: Path) -> None:
    """Guards who waits to be accepted: both had closed the one listener, so it was reset."""
    with site(tmp_path) as s:
        assert _stopped_before_the_yes(s, lambda process: process.kill()) == 200


def test_a_successor_that_never_says_yes_keeps_nobody_waiting_for_good(tmp_path: Path) -> None:
    with site(tmp_path) as s:
        _rules(s, hurried(1.0))
        assert _stopped_before_the_yes(s, lambda process: None) == 429


@contextlib.contextmanager
def _followed(folder: Path, engine: Engine, *says: str) -> Iterator[tuple[Gateway, socket.socket]]:
    """A gateway, and a successor of which the test holds the link."""
    told = config([host(engine)], settings=tuned())
    options = GatewayOptions(upgrade_path=str(folder / "door"))
    gate = Gateway(told, OperatorSettings(), signals=False, options=options)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
        link.settimeout(10)
        link.connect(str(folder / "door"))
        link.send(json.dumps({"hello": PROTOCOL_VERSION}).encode())
        _, fds, _, _ = socket.recv_fds(link, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        for word in says:
            link.send(json.dumps({word: True}).encode())
        yield gate, link
        gate.loop.stop()
        thread.join(10)
        assert gate.loop.faults == 0
        gate.loop.close()
    for fd in fds:
        os.close(fd)
    engine.close()


def test_who_comes_after_the_successor_died_is_served_to_the_end_of_the_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards who still comes after SIGTERM: the elder closed its listener, and what rested, at that death."""
    monkeypatch.setattr("query_gateway.lifecycle.shutdown.LAST_CALL_SECONDS", 600.0)
    with _followed(tmp_path, Engine()) as (gate, link):
        assert gate.hot_upgrade
        kept = http.client.HTTPConnection(*gate.http_server.listener.address, timeout=10)
        told = {"X-Txn": "1" * 16, "X-Ttl-Ms": "600000"}
        kept.request("POST", "/svc/lookup", SQL, told)
        assert kept.getresponse().read()
        gate.loop.call_soon(gate.begin_shutdown)
        until(lambda: gate.http_server.listener.paused)
        link.close()
        until(lambda: gate.hot_upgrade and not gate.hot_upgrade.successor)
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200
        kept.request("POST", "/svc/lookup", SQL, told | {"X-Txn": "2" * 16})
        assert kept.getresponse().status == 200
        kept.close()


@pytest.mark.parametrize("step", ["met", "hello", "ready"])
def test_a_successor_that_dies_at_any_step_leaves_its_elder_serving(step: str, tmp_path: Path) -> None:
    with _followed(tmp_path, Engine(), *(["ready"] if step == "ready" else [])) as (gate, first):
        assert gate.hot_upgrade
        link = first
        if step == "met":  # another, that comes when the first has gone and says nothing
            first.close()
            until(lambda: gate.hot_upgrade and not gate.hot_upgrade.successor)
            link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            link.connect(str(tmp_path / "door"))
            until(lambda: gate.hot_upgrade and gate.hot_upgrade.successor)
        elif step != "hello":
            until(lambda: gate.hot_upgrade and gate.hot_upgrade.successor_ready)
        link.close()
        until(lambda: gate.hot_upgrade and not gate.hot_upgrade.successor)
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as second:
            second.connect(str(tmp_path / "door"))
            second.send(json.dumps({"hello": PROTOCOL_VERSION}).encode())
            second.settimeout(10)
            data, fds, _, _ = socket.recv_fds(second, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            assert json.loads(data)["fronts"] == ["web"] and len(fds) == 1
            os.close(fds[0])


@pytest.mark.parametrize("step", ["met", "offered", "heard the yes", "leaving"])
def test_an_elder_that_dies_at_any_step_leaves_its_successor_serving(step: str, tmp_path: Path) -> None:
    """The successor is a gateway, the elder a link of the test's."""
    path, engine = str(tmp_path / "door"), Engine()
    front = socket.create_server(("127.0.0.1", 0))
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as door, ThreadPoolExecutor() as beside:
        door.bind(path)
        door.listen()
        met = beside.submit(request_inherited_state, path)
        link = door.accept()[0]
        assert json.loads(link.recv(MAX_PACKET_BYTES)) == {"hello": PROTOCOL_VERSION}
        if step != "met":
            told = {"fronts": ["web"], "learned": None}
            socket.send_fds(link, [json.dumps(told).encode()], [front.fileno()])
        else:
            link.close()
        inherited = met.result(10)
        assert (inherited is None) is (step == "met")
    options = GatewayOptions(upgrade_path=path, inherited=inherited)
    gate = Gateway(config([host(engine)]), OperatorSettings(), signals=False, options=options)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    if step in ("heard the yes", "leaving"):
        assert json.loads(link.recv(MAX_PACKET_BYTES)) == {"ready": True}
    if step == "leaving":
        link.send(json.dumps({"leaving": True}).encode())
    link.close()
    until(lambda: gate.hot_upgrade and not gate.hot_upgrade.predecessor and gate.readiness.ready)
    assert post(gate, "lookup", SQL, ttl=5_000)[0] == 200
    gate.loop.stop()
    thread.join(10)
    assert gate.loop.faults == 0
    gate.loop.close()
    front.close()
    engine.close()


def test_a_connection_on_its_way_to_a_successor_that_dies_ends_with_nothing_open(tmp_path: Path) -> None:
    """Its client asks anew; what is open stays with the elder and is answered there."""
    engine = Deaf(script={LOAD: ["mute"]})
    engine.reads.set()
    with _followed(tmp_path, engine, "ready") as (gate, link), ThreadPoolExecutor() as beside:
        until(lambda: gate.hot_upgrade and gate.hot_upgrade.successor_ready)
        resting = ask(gate, SQL)
        assert resting.recv(65_536).startswith(b"HTTP/1.1 200")
        waiting = beside.submit(post, gate, "load", LOAD, ttl=600_000)
        assert engine.wait("REQ", 2)
        gate.loop.call_soon(gate.begin_shutdown)
        until(lambda: not gate.http_server.idle and len(gate.http_server.connections) == 1)
        link.close()  # with the connection in it, unread
        with contextlib.suppress(ConnectionResetError):
            assert resting.recv(65_536) == b""
        resting.close()
        until(lambda: gate.hot_upgrade and not gate.hot_upgrade.successor)
        engine._say(engine.socks[0], f"{next(iter(gate.engine_pool.by_client_id))} ok sheets=1", "0\tx\ty\n")
        assert waiting.result()[1] == {"rows": ROWS[:1]}
