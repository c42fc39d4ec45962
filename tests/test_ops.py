"""The admin server at its own address: its calls, its connection limit, its figures, and draining."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from query_gateway.admin.server import MAX_CONNECTIONS, AdminServer
from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import OperatorSettings, parse_operator_settings
from query_gateway.configuration.platform import parse_configuration
from query_gateway.forwarder.readiness import Phase, Readiness
from query_gateway.forwarder.trace import TraceStep
from query_gateway.gateway import Gateway
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Stream
from tests.stand_ins import SETTINGS, Engine, config, host, post
from tests.test_local import until
from tests.test_web import LOAD, SQL, running

WITH_ADMIN = {"ops": "127.0.0.1:0"}


def send_call(gateway: Any, line: bytes) -> str:
    with socket.create_connection(gateway.admin_server.listener.address, 10) as sock:
        sock.sendall(line)
        return sock.makefile().read()


def figures(gateway: Any) -> dict[str, int]:
    lines = send_call(gateway, b"STATS\n").splitlines()
    assert lines[0].startswith("200") and lines[-1] == "EOF"
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines[1:-1])}


def admin_server(gateway: Gateway) -> AdminServer:
    assert gateway.admin_server
    return gateway.admin_server


def test_known_calls_are_answered_and_others_rejected() -> None:
    with running(Engine(), **WITH_ADMIN) as gateway:
        assert send_call(gateway, b"READY\r\n") == "200 ready\n"
        for line in (b"ready\n", b"\n", b"READY now\n", b"x" * 300, b"\xff\n"):
            assert send_call(gateway, line).startswith("400 ")
        assert (
            send_call(gateway, b"DRAIN\n") == "200 draining\n"
            and send_call(gateway, b"READY\n") == "400 draining\n"
        )
        assert send_call(gateway, b"UNDRAIN\n") == "200 ready\n"


def test_connections_that_finish_no_call_are_evicted_at_the_limit() -> None:
    with running(Engine(), **WITH_ADMIN) as gateway:
        idle_clients = [
            socket.create_connection(admin_server(gateway).listener.address)
            for _ in range(MAX_CONNECTIONS + 4)
        ]
        assert send_call(gateway, b"READY\n") == "200 ready\n"
        assert len(admin_server(gateway).connections) <= MAX_CONNECTIONS
        for sock in idle_clients:
            sock.close()


def test_the_figures_count_answers_forwards_and_open_requests() -> None:
    refusing, other = "SELECT b FROM lending_7.loans", "SELECT c FROM lending_7.loans"
    engine = Engine(script={refusing: ["error"] * 3, SQL: ["mute"]})
    with running(engine, **WITH_ADMIN) as gateway:
        before = figures(gateway)
        # The figures of the loop's turns are times; all others are counts
        assert before.pop("svc_turn_limit_ms") == 50 and before.pop("svc_longest_turn_ms") >= 0
        assert before.pop("svc_slow_turns_total") >= 0 and before.pop("svc_paused_tasks") == 0
        assert before.pop("svc_endpoint_list_age_limit_ms") == 7_000 > before.pop("svc_endpoint_list_age_ms")
        assert before.pop("svc_received_bytes_limit") > 0 == before.pop("svc_waiting_for_memory")
        assert before.pop("svc_most_received_bytes") >= before.pop("svc_received_bytes") >= 0
        assert set(before.values()) == {0, 1} and before["svc_discovered"] == 1
        assert before['svc_succeeded_total{service="report"}'] == 0
        for _ in range(3):
            assert post(gateway, "lookup", other)[0] == 200
        assert post(gateway, "lookup", refusing)[0] in (429, 500)
        with ThreadPoolExecutor() as executor:
            waiting = executor.submit(post, gateway, "lookup", SQL, ttl=1_000)
            until(lambda: SQL in engine.statements)
            now = figures(gateway)
            assert now["svc_outstanding"] == 1 and now["svc_forwards_total"] == len(engine.statements)
            waiting.result()
        now = figures(gateway)
        ends = ("succeeded", "declined", "aborted")
        assert now['svc_succeeded_total{service="lookup"}'] >= 3 and now["svc_outstanding"] == 0
        assert sum(now[f'svc_{end}_total{{service="lookup"}}'] for end in ends) == 5


def test_the_figures_count_requests_that_are_held_for_the_order_of_their_key() -> None:
    with running(Engine(), **WITH_ADMIN) as gateway, ThreadPoolExecutor() as executor:
        order: Any = gateway.forwarder.arrival_order
        release, order.release, order.must_wait = order.release, lambda: None, lambda arrived_at: True
        waiting = executor.submit(post, gateway, "load", LOAD)
        until(lambda: figures(gateway)["svc_held_for_order"] == 1)
        order.release = release
        assert waiting.result()[0] == 200 and figures(gateway)["svc_held_for_order"] == 0


def test_a_rejection_before_the_forwarder_is_counted_and_traced_with_its_reason() -> None:
    """Guards against early rejections whose cause is not reported.

    Operators could not tell a lagging loop from a connection over the limit.
    """
    steps = list[tuple[TraceStep, str]]()

    class RecordingTrace:
        def record(self, _: int, __: int, ___: str, step: TraceStep, details: str) -> None:
            steps.append((step, details))

    with running(Engine(), **WITH_ADMIN) as gateway:
        gateway.forwarder.context.request_trace = RecordingTrace()
        gateway.loop.lag = lambda: 1.0  # type: ignore[method-assign]
        assert post(gateway, "lookup", SQL)[0] == 429
        assert figures(gateway)['svc_early_rejections_total{reason="loop-lag"}'] == 1
    assert steps == [(TraceStep.REJECTED_EARLY, "loop-lag")]


def test_bytes_count_as_sent_once_the_last_has_left() -> None:
    """Guards against forwards that are counted although their bytes are only queued and may never be sent."""
    loop, calls = Loop(), list[int]()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        stream = Stream(loop, listener.accept()[0], "test")
    stream.start()
    stream.write(b"x" * 20_000_000)
    stream.call_when_sent(lambda: calls.append(1))
    assert not calls and stream.outbox
    with ThreadPoolExecutor() as executor, far, far.makefile("rb") as reader:
        received = executor.submit(reader.read, 20_000_000)
        while stream.outbox:
            loop.turn()
        assert calls == [1] and len(received.result()) == 20_000_000
    loop.close()


def test_a_stopping_process_never_becomes_ready_again() -> None:
    readiness, phases = Readiness(), list[Phase]()
    readiness.watchers.append(lambda: phases.append(readiness.phase))
    readiness.start()
    assert readiness.drain() and readiness.undrain()
    readiness.set_planner_available(False)
    readiness.set_planner_available(True)
    readiness.stop()
    assert not readiness.undrain() and not readiness.ready
    assert phases == [Phase.READY, Phase.DRAINING, Phase.READY, Phase.STARTING, Phase.READY, Phase.STOPPING]


def test_a_call_is_answered_within_a_second_under_load() -> None:
    with running(Engine(), **WITH_ADMIN) as gateway, ThreadPoolExecutor(9) as executor:
        load = [
            executor.submit(lambda: [post(gateway, "lookup", SQL)[0] for _ in range(20)]) for _ in range(8)
        ]
        while not all(future.done() for future in load):
            began_at = time.monotonic()
            assert send_call(gateway, b"READY\n") == "200 ready\n" and time.monotonic() - began_at < 1.0


def test_the_admin_address_must_be_distinct_and_needs_one_forwarder() -> None:
    raw = {"listen": "127.0.0.1:9", "journal": "127.0.0.1:1", "known": {"pos": 0, "entries": []}}
    with pytest.raises(ConfigurationError):
        parse_configuration(raw | {"settings": SETTINGS, "ops": "127.0.0.1:9"}, {})
    configuration = parse_configuration(raw | {"settings": SETTINGS}, {"ROUTER_OPS": "127.0.0.1:8"})
    assert (
        configuration.admin_address == ("127.0.0.1", 8)
        and parse_configuration(raw | {"settings": SETTINGS}, {}).admin_address is None
    )
    planners = {"planners": ["127.0.0.1:1", "127.0.0.1:2"], "forwarders": 2}
    with pytest.raises(ConfigurationError):
        parse_operator_settings({"processes": planners}, configuration)


def test_without_an_admin_address_there_is_no_admin_server() -> None:
    gateway = Gateway(config([host(Engine())]), OperatorSettings(), signals=False)
    assert gateway.admin_server is None
    gateway.loop.close()


def liveness(sock: socket.socket) -> bytes:
    sock.settimeout(10)
    sock.sendall(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
    return sock.recv(65_536)


def test_draining_closes_client_connections_and_undrain_serves_again() -> None:
    """Guards against requests lost while the gateway drains.

    Idle connections are half-closed only `DRAIN_CLOSE_IDLE_AFTER_S` after the start of draining, when clients
    have noticed it and send no more requests on them.
    """
    engine = Engine(script={SQL: ["mute"]})
    with running(engine, **WITH_ADMIN) as gateway, ThreadPoolExecutor() as executor:
        address = gateway.http_server.listener.address
        idle, silent, used = (socket.create_connection(address) for _ in range(3))
        assert liveness(idle).startswith(b"HTTP/1.1 200") and liveness(used).startswith(b"HTTP/1.1 200")
        waiting = executor.submit(post, gateway, "lookup", SQL, ttl=3_000)
        assert engine.wait("REQ")
        send_call(gateway, b"DRAIN\n")
        began_at = time.monotonic()
        response = liveness(used)
        assert (
            response.startswith(b"HTTP/1.1 503") and b"Connection: close" in response and used.recv(1) == b""
        )
        with socket.create_connection(address) as fresh:  # the load balancer's new connections are served
            assert liveness(fresh).startswith(b"HTTP/1.1 503")
        assert post(gateway, "lookup", "SELECT 2")[0] == 200
        assert not waiting.done()
        for sock in (idle, silent):
            sock.settimeout(10)
            assert sock.recv(1) == b""
            sock.close()
        assert 0.4 < time.monotonic() - began_at < 2.0
        until(lambda: gateway.http_server.draining_for(1.5))
        status, _, headers = post(gateway, "lookup", "SELECT 3")
        assert status == 429 and headers["connection"] == "close"
        assert waiting.result()[2]["connection"] == "close"
        send_call(gateway, b"UNDRAIN\n")
        with socket.create_connection(address) as fresh:
            assert liveness(fresh).startswith(b"HTTP/1.1 200") and liveness(fresh).startswith(b"HTTP/1.1 200")
        assert post(gateway, "lookup", "SELECT 4")[0] == 200
