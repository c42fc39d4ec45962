"""The second address: its calls, its bounds, and figures that are true."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from query_gateway.admin.server import MAX_CONNECTIONS, AdminServer
from query_gateway.configuration.platform import ConfigurationError, OperatorSettings, config_of, operator_of
from query_gateway.forwarder.readiness import Phase, Readiness
from query_gateway.gateway import Gateway
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Stream
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_local import until
from tests.test_web import SQL, running

OPS = {"ops": "127.0.0.1:0"}


def ask(gate: Any, line: bytes) -> str:
    with socket.create_connection(gate.admin_server.listener.address, 10) as sock:
        sock.sendall(line)
        return sock.makefile().read()


def figures(gate: Any) -> dict[str, int]:
    lines = ask(gate, b"STATS\n").splitlines()
    assert lines[0].startswith("200") and lines[-1] == "EOF"
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines[1:-1])}


def ops(gate: Gateway) -> AdminServer:
    assert gate.admin_server
    return gate.admin_server


def test_calls_are_known_or_refused() -> None:
    with running(Engine(), **OPS) as gate:
        assert ask(gate, b"READY\r\n") == "200 ready\n"
        for line in (b"ready\n", b"\n", b"READY now\n", b"x" * 300, b"\xff\n"):
            assert ask(gate, line).startswith("400 ")
        assert ask(gate, b"DRAIN\n") == "200 draining\n" and ask(gate, b"READY\n") == "400 draining\n"
        assert ask(gate, b"UNDRAIN\n") == "200 ready\n"


def test_callers_who_finish_no_call_keep_nobody_out() -> None:
    with running(Engine(), **OPS) as gate:
        crowd = [socket.create_connection(ops(gate).listener.address) for _ in range(MAX_CONNECTIONS + 4)]
        assert ask(gate, b"READY\n") == "200 ready\n"
        assert len(ops(gate).connections) <= MAX_CONNECTIONS
        for sock in crowd:
            sock.close()


def test_the_figures_tell_what_was_answered_sent_and_is_open() -> None:
    refusing, other = "SELECT b FROM lending_7.loans", "SELECT c FROM lending_7.loans"
    engine = Engine(script={refusing: ["error"] * 3, SQL: ["mute"]})
    with running(engine, **OPS) as gate:
        before = figures(gate)
        assert set(before.values()) == {0, 1} and before["svc_discovered"] == 1
        assert before['svc_succeeded_total{service="report"}'] == 0
        for _ in range(3):
            assert post(gate, "lookup", other)[0] == 200
        assert post(gate, "lookup", refusing)[0] in (429, 500)
        with ThreadPoolExecutor() as beside:
            waiting = beside.submit(post, gate, "lookup", SQL, ttl=1_000)
            until(lambda: SQL in engine.statements)
            now = figures(gate)
            assert now["svc_outstanding"] == 1 and now["svc_forwards_total"] == len(engine.statements)
            waiting.result()
        now = figures(gate)
        ends = ("succeeded", "declined", "aborted")
        assert now['svc_succeeded_total{service="lookup"}'] >= 3 and now["svc_outstanding"] == 0
        assert sum(now[f'svc_{end}_total{{service="lookup"}}'] for end in ends) == 5


def test_an_attempt_counts_once_its_last_byte_has_left() -> None:
    """Guards the figure of attempts: what is only queued is not written, and may never be."""
    loop, said = Loop(), list[int]()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        stream = Stream(loop, listener.accept()[0], "test")
    stream.start()
    stream.write(b"x" * 20_000_000)
    stream.call_when_sent(lambda: said.append(1))
    assert not said and stream.outbox
    with ThreadPoolExecutor() as beside, far, far.makefile("rb") as read:
        got = beside.submit(read.read, 20_000_000)
        while stream.outbox:
            loop.turn()
        assert said == [1] and len(got.result()) == 20_000_000
    loop.close()


def test_a_stopping_process_is_not_revived() -> None:
    state, seen = Readiness(), list[Phase]()
    state.watchers.append(lambda: seen.append(state.phase))
    state.start()
    assert state.drain() and state.undrain()
    state.set_planner_available(False)
    state.set_planner_available(True)
    state.stop()
    assert not state.undrain() and not state.ready
    assert seen == [Phase.READY, Phase.DRAINING, Phase.READY, Phase.STARTING, Phase.READY, Phase.STOPPING]


def test_a_call_is_answered_in_time_while_clients_keep_the_loop_busy() -> None:
    with running(Engine(), **OPS) as gate, ThreadPoolExecutor(9) as beside:
        busy = [beside.submit(lambda: [post(gate, "lookup", SQL)[0] for _ in range(20)]) for _ in range(8)]
        while not all(f.done() for f in busy):
            began = time.monotonic()
            assert ask(gate, b"READY\n") == "200 ready\n" and time.monotonic() - began < 1.0


def test_the_second_address_is_its_own_and_needs_one_forwarder() -> None:
    raw = {"listen": "127.0.0.1:9", "journal": "127.0.0.1:1", "known": {"pos": 0, "entries": []}}
    with pytest.raises(ConfigurationError):
        config_of(raw | {"settings": SETTINGS, "ops": "127.0.0.1:9"}, {})
    told = config_of(raw | {"settings": SETTINGS}, {"ROUTER_OPS": "127.0.0.1:8"})
    assert (
        told.admin_address == ("127.0.0.1", 8)
        and config_of(raw | {"settings": SETTINGS}, {}).admin_address is None
    )
    planners = {"planners": ["127.0.0.1:1", "127.0.0.1:2"], "forwarders": 2}
    with pytest.raises(ConfigurationError):
        operator_of({"processes": planners}, told)


def test_without_a_second_address_nothing_listens_there() -> None:
    gate = Gateway(config([host(Engine())]), OperatorSettings(), signals=False)
    assert gate.admin_server is None
    gate.loop.close()


def live(sock: socket.socket) -> bytes:
    sock.settimeout(10)
    sock.sendall(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
    return sock.recv(65_536)


def test_a_drain_sends_clients_away_and_its_end_takes_them_again() -> None:
    """Guards requests that cross: idle connections end in a half-close only once the front sends no more."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine, **OPS) as gate, ThreadPoolExecutor() as beside:
        address = gate.http_server.listener.address
        idle, silent, used = (socket.create_connection(address) for _ in range(3))
        assert live(idle).startswith(b"HTTP/1.1 200") and live(used).startswith(b"HTTP/1.1 200")
        waiting = beside.submit(post, gate, "lookup", SQL, ttl=3_000)
        assert engine.wait("REQ")
        ask(gate, b"DRAIN\n")
        began = time.monotonic()
        told = live(used)
        assert told.startswith(b"HTTP/1.1 503") and b"Connection: close" in told and used.recv(1) == b""
        with socket.create_connection(address) as fresh:  # what the front still sends is served
            assert live(fresh).startswith(b"HTTP/1.1 503")
        assert post(gate, "lookup", "SELECT 2")[0] == 200
        assert not waiting.done()
        for sock in (idle, silent):
            sock.settimeout(10)
            assert sock.recv(1) == b""
            sock.close()
        assert 0.4 < time.monotonic() - began < 2.0
        until(lambda: gate.http_server.draining_for(1.5))
        status, _, headers = post(gate, "lookup", "SELECT 3")
        assert status == 429 and headers["connection"] == "close"
        assert waiting.result()[2]["connection"] == "close"
        ask(gate, b"UNDRAIN\n")
        with socket.create_connection(address) as fresh:
            assert live(fresh).startswith(b"HTTP/1.1 200") and live(fresh).startswith(b"HTTP/1.1 200")
        assert post(gate, "lookup", "SELECT 4")[0] == 200
