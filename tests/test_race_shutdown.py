"""Race conditions of the graceful shutdown and the hot upgrade: open requests, deadlines, dying processes."""

import contextlib
import http.client
import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.forwarder.predecessor_fence import PredecessorState
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.inherited_state import request_inherited_state
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.shutdown import ACCEPT_GRACE_SECONDS, ANSWER_SECONDS
from query_gateway.lifecycle.upgrade_messages import MAX_DESCRIPTORS, MAX_PACKET_BYTES, PROTOCOL_VERSION
from tests.race_helpers import (
    SEC,
    UNANSWERED_SQL,
    PausedReaderEngine,
    SlowToAcceptEngine,
    send_request,
    settings_with_non_idempotent_reports,
    settings_with_timeout,
    settings_without_timeouts,
)
from tests.stand_ins import SETTINGS, Engine, config, host, post, running_gateway
from tests.test_hot_upgrade import Deployment, deployed_gateway
from tests.test_local import until
from tests.test_request_arrival import encoded_request
from tests.test_web import LOAD, ROWS, SQL, running

KEY_QUARANTINE_S = 0.3  # `settle-after-doubt` in SETTINGS
START_DELAY_S = 0.2  # from the end of the predecessor's grace period to the start of the successor
# SIGKILL comes no earlier than this after `ANSWER_SECONDS`, or after the longest timeout if that is shorter
KILL_MARGIN_S = 0.7

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def abort_delays(gateway: Gateway) -> list[float]:
    """The seconds until each timer that aborts open requests is due."""
    return [
        due_at - gateway.loop.now()
        for due_at, _, timer in gateway.loop.timers
        if timer.callback == gateway.shutdown.abort_open_requests
    ]


def test_shutdown_aborts_open_requests_before_the_process_is_killed() -> None:
    """A request is still open when the platform is about to send SIGKILL.

    SIGKILL would reset the client's connection without an answer. The abort answers the request before that:
    after `ANSWER_SECONDS`, or after the longest timeout of a class if that is shorter.
    """
    for settings, longest_deadline in ((SETTINGS, ANSWER_SECONDS), (settings_with_timeout(1.0), 1.0)):
        gateway = Gateway(config([], settings=settings), OperatorSettings(), signals=False)
        gateway.begin_shutdown()
        gateway.begin_shutdown()  # a second SIGTERM starts no second shutdown
        [abort_delay] = abort_delays(gateway)
        assert longest_deadline < abort_delay < longest_deadline + 0.7
        gateway.loop.close()


def test_open_requests_are_aborted_before_the_kill_also_where_a_successor_follows(tmp_path: Path) -> None:
    """A predecessor with a ready successor gets SIGTERM.

    SIGKILL follows as early as without a successor. If no abort were scheduled, requests that are open until
    then would be lost.
    """
    with gateway_with_successor(tmp_path, Engine(), "ready") as (gateway, _):
        until(lambda: gateway.hot_upgrade and gateway.hot_upgrade.successor_ready)
        gateway.loop.call_soon(gateway.begin_shutdown)
        until(lambda: abort_delays(gateway))
        assert abort_delays(gateway)[0] < ANSWER_SECONDS + KILL_MARGIN_S


def test_time_until_the_abort_counts_from_the_signal_and_not_from_when_the_loop_turned_to_it(
    tmp_path: Path,
) -> None:
    """The loop handles SIGTERM only 2 s after the signal.

    The time until SIGKILL counts from the signal. If the time until the abort counted from the late loop
    turn, the abort would come after SIGKILL.
    """
    gateway = Gateway(config([]), OperatorSettings(), signals=False)
    gateway.shutdown.begin(gateway.loop.now() - 2.0)
    assert abort_delays(gateway)[0] < ANSWER_SECONDS + KILL_MARGIN_S - 2.0
    gateway.loop.close()


def test_shutdown_after_a_reload_uses_the_current_deadlines() -> None:
    """A reload retires a class and shortens all deadlines, and then a shutdown begins.

    If the abort were scheduled by the deadlines from before the reload, it would come later than the current
    ones require.
    """
    settings = settings_with_timeout(1.0)
    settings["services"][1] |= {"name": "audit"}
    sources = ConfigurationSources(read_configuration=lambda: config([], settings=settings))
    gateway = Gateway(config([]), OperatorSettings(), signals=False, options=GatewayOptions(sources=sources))
    gateway.reload()
    gateway.begin_shutdown()
    [abort_delay] = abort_delays(gateway)
    assert 1.0 < abort_delay < 1.7
    gateway.loop.close()


def test_request_aborted_while_its_connection_is_being_opened_is_rejected_in_every_class() -> None:
    """A shutdown aborts a non-idempotent request while its engine connection is being dialled.

    The request was not sent, so it is rejected and the client may retry it. Answered as failed, it would
    count as possibly run.
    """
    engine = SlowToAcceptEngine()
    with running(
        engine,
        settings=settings_with_non_idempotent_reports()
        | {"limits": settings_without_timeouts(dial_timeout=600 * SEC)["limits"]},
    ) as gateway:
        with ThreadPoolExecutor() as executor:
            waiting = executor.submit(post, gateway, "report", SQL, ttl=600_000)
            until(lambda: gateway.engine_pool.connections)
            gateway.loop.call_soon(gateway.shutdown.abort_open_requests)
            assert waiting.result()[0] == 429
        engine.accept_connections()
    assert engine.statements == []


def test_shutdown_answers_a_long_request_and_exits(tmp_path: Path) -> None:
    """SIGTERM arrives while a request runs for longer than the shutdown may take.

    A shutdown that waited for it would end with SIGKILL, and the client would get no answer.
    """
    with deployed_gateway(tmp_path) as deployment, ThreadPoolExecutor() as executor:
        settings = settings_with_timeout(1.0)
        settings["family-info"]["progress"] = 0  # no progress note is expected of a long request
        write_settings(deployment, settings)
        deployment.engine.script[LOAD] = ["mute"] * 3
        instance = deployment.start()
        waiting = executor.submit(post, deployment.gateway, "load", LOAD, ttl=600_000)
        assert deployment.engine.wait("REQ")
        instance.process.send_signal(signal.SIGTERM)
        assert waiting.result(10)[0] in (429, 500) and instance.process.wait(10) == 0


def write_settings(deployment: Deployment, settings: dict[str, Any]) -> None:
    file = Path(deployment.environ["ROUTER_CONFIG"])
    file.write_text(json.dumps(json.loads(file.read_text()) | {"settings": settings}))


def stop_before_successor_is_ready(deployment: Deployment) -> tuple[Any, Any]:
    """Start two processes, SIGSTOP the successor before it is ready, and send SIGTERM to the predecessor."""
    predecessor = deployment.start()
    deployment.discovery.silent = True
    successor = deployment.start(ready=False)
    log_output = b""
    while b"a successor starts" not in log_output:
        log_output += os.read(predecessor.process.stderr.fileno(), 4096)
    successor.process.send_signal(signal.SIGSTOP)
    predecessor.process.send_signal(signal.SIGTERM)
    while b"shutdown stopping with" not in log_output:
        log_output += os.read(predecessor.process.stderr.fileno(), 4096)
    return predecessor, successor


def test_clients_are_served_after_sigterm_until_the_successor_is_ready(tmp_path: Path) -> None:
    """A predecessor gets SIGTERM while its successor is not ready.

    If the predecessor stopped accepting, neither process would accept, and new clients would wait in the
    accept queue until the abort or their own deadline. The predecessor accepts until the successor is ready,
    also after the grace period (`ACCEPT_GRACE_SECONDS`).
    """
    with deployed_gateway(tmp_path) as deployment:
        predecessor, _ = stop_before_successor_is_ready(deployment)
        assert deployment.served(ttl=1_000) == 200
        time.sleep(ACCEPT_GRACE_SECONDS)
        assert deployment.served(ttl=1_000) == 200
        assert predecessor.process.wait(20) == 0


def test_clients_are_served_when_a_successor_dies_after_sigterm_before_it_is_ready(tmp_path: Path) -> None:
    """A successor dies before it is ready, after its predecessor got SIGTERM.

    If the predecessor had released the shared listeners, no process would accept new clients.
    """
    with deployed_gateway(tmp_path) as deployment:
        predecessor, successor = stop_before_successor_is_ready(deployment)
        successor.process.kill()
        successor.process.wait()
        assert deployment.served(ttl=1_000) == 200
        assert predecessor.process.wait(20) == 0


@contextlib.contextmanager
def gateway_with_successor(
    folder: Path, engine: Engine, *messages: str
) -> Iterator[tuple[Gateway, socket.socket]]:
    """A gateway, and a connection on which the test acts as the gateway's successor.

    The hello and then `messages` are sent on the connection before it is returned.
    """
    configuration = config([host(engine)], settings=settings_without_timeouts())
    options = GatewayOptions(upgrade_path=str(folder / "upgrade.sock"))
    with (
        running_gateway(configuration, options=options) as gateway,
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link,
    ):
        link.settimeout(10)
        link.connect(str(folder / "upgrade.sock"))
        link.send(json.dumps({"hello": PROTOCOL_VERSION}).encode())
        _, descriptors, _, _ = socket.recv_fds(link, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        for message in messages:
            link.send(json.dumps({message: True}).encode())
        yield gateway, link
    for descriptor in descriptors:
        os.close(descriptor)
    engine.close()


def test_requests_after_the_death_of_the_successor_are_served_until_the_shutdown_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A successor dies before it is ready, while its predecessor shuts down.

    The predecessor must go on serving new connections, and the idle one that is already open, until its grace
    period ends. Otherwise requests after the death of the successor would get no answer.
    """
    monkeypatch.setattr("query_gateway.lifecycle.shutdown.ACCEPT_GRACE_SECONDS", 600.0)
    with gateway_with_successor(tmp_path, Engine()) as (gateway, link):
        assert gateway.hot_upgrade
        connection = http.client.HTTPConnection(*gateway.http_server.listener.address, timeout=10)
        headers = {"X-Txn": "1" * 16, "X-Ttl-Ms": "600000"}
        connection.request("POST", "/svc/lookup", SQL, headers)
        assert connection.getresponse().read()
        gateway.loop.call_soon(gateway.begin_shutdown)
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
        link.close()
        until(lambda: gateway.hot_upgrade and not gateway.hot_upgrade.successor)
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
        connection.request("POST", "/svc/lookup", SQL, headers | {"X-Txn": "2" * 16})
        assert connection.getresponse().status == 200
        connection.close()


def test_clients_are_served_when_a_ready_successor_dies_after_sigterm(tmp_path: Path) -> None:
    """A ready successor dies after its predecessor has released the listeners, that is, stopped accepting.

    If the predecessor had also closed the listening socket, clients in the accept queue would be reset when
    the successor dies. The predecessor keeps the socket open and accepts these clients.
    """
    engine = Engine(script={UNANSWERED_SQL: ["mute"]})
    with gateway_with_successor(tmp_path, engine, "ready") as (gateway, link):
        until(lambda: gateway.hot_upgrade and gateway.hot_upgrade.successor_ready)
        open_request = send_request(gateway, UNANSWERED_SQL)  # keeps the predecessor from exiting
        assert engine.wait("REQ")
        gateway.loop.call_soon(gateway.begin_shutdown)
        until(lambda: gateway.http_server.listener.closed)
        waiting = socket.create_connection(gateway.http_server.listener.address)
        waiting.settimeout(10)
        link.close()
        waiting.sendall(encoded_request(600_000))
        assert waiting.recv(65_536).startswith(b"HTTP/1.1 200")
        for client in (open_request, waiting):
            client.close()


@pytest.mark.parametrize("step", ["connected", "hello", "ready"])
def test_predecessor_keeps_serving_when_its_successor_dies_at_any_step(step: str, tmp_path: Path) -> None:
    """A successor dies at one of the steps of a hot upgrade.

    A predecessor that still counted on it would stop serving, or refuse the next successor.
    """
    with gateway_with_successor(tmp_path, Engine(), *(["ready"] if step == "ready" else [])) as (
        gateway,
        first_link,
    ):
        assert gateway.hot_upgrade
        link = first_link
        if step == "connected":  # a second successor connects after the first has ended, and sends nothing
            first_link.close()
            until(lambda: gateway.hot_upgrade and not gateway.hot_upgrade.successor)
            link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            link.connect(str(tmp_path / "upgrade.sock"))
            until(lambda: gateway.hot_upgrade and gateway.hot_upgrade.successor)
        elif step != "hello":
            until(lambda: gateway.hot_upgrade and gateway.hot_upgrade.successor_ready)
        link.close()
        until(lambda: gateway.hot_upgrade and not gateway.hot_upgrade.successor)
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as second_link:
            second_link.connect(str(tmp_path / "upgrade.sock"))
            second_link.send(json.dumps({"hello": PROTOCOL_VERSION}).encode())
            second_link.settimeout(10)
            data, descriptors, _, _ = socket.recv_fds(second_link, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            assert json.loads(data)["fronts"] == ["web"] and len(descriptors) == 1
            os.close(descriptors[0])


class PredecessorStandIn:
    """The predecessor of a hot upgrade, whose messages the test sends."""

    def __init__(self, upgrade_path: str) -> None:
        self.upgrade_path = upgrade_path
        self.http_listener = socket.create_server(("127.0.0.1", 0))
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.listener.bind(upgrade_path)
        self.listener.listen()

    def start_successor(self, makes_offer: bool = True) -> GatewayOptions:
        """Answer a successor's hello with an offer, or disconnect if `makes_offer` is false.

        Returns the options with which the test starts the successor.
        """
        with ThreadPoolExecutor() as executor:
            inheriting = executor.submit(request_inherited_state, self.upgrade_path)
            self.link = self.listener.accept()[0]
            assert self.receive() == {"hello": PROTOCOL_VERSION}
            if makes_offer:
                offer = json.dumps({"fronts": ["web"], "learned": None}).encode()
                socket.send_fds(self.link, [offer], [self.http_listener.fileno()])
            else:
                self.link.close()
            return GatewayOptions(upgrade_path=self.upgrade_path, inherited=inheriting.result(10))

    def receive(self) -> Any:
        return json.loads(self.link.recv(MAX_PACKET_BYTES))

    def send_leaving(self) -> None:
        self.link.send(json.dumps({"leaving": True}).encode())

    def close(self) -> None:
        for sock in (self.link, self.listener, self.http_listener):
            sock.close()


@pytest.mark.parametrize("step", ["connected", "offered", "ready", "leaving"])
def test_successor_keeps_serving_when_its_predecessor_dies_at_any_step(step: str, tmp_path: Path) -> None:
    """A predecessor dies at one of the steps of a hot upgrade; the test acts as the predecessor.

    A successor that went on waiting for the predecessor's next message would never accept clients.
    """
    engine, predecessor = Engine(), PredecessorStandIn(str(tmp_path / "upgrade.sock"))
    options = predecessor.start_successor(makes_offer=step != "connected")
    assert (options.inherited is None) is (step == "connected")
    predecessor.listener.close()
    with running_gateway(config([host(engine)]), options=options) as gateway:
        if step in ("ready", "leaving"):
            assert predecessor.receive() == {"ready": True}
        if step == "leaving":
            predecessor.send_leaving()
        predecessor.link.close()
        until(lambda: gateway.hot_upgrade and not gateway.hot_upgrade.predecessor and gateway.readiness.ready)
        assert post(gateway, "lookup", SQL, ttl=5_000)[0] == 200
    predecessor.close()
    engine.close()


def test_connection_in_transfer_to_a_successor_that_dies_ends_with_no_open_request(tmp_path: Path) -> None:
    """A successor dies before it has read a connection that was transferred to it.

    The connection ends with the successor. Only idle connections are transferred, as an open request would be
    lost with the successor; the predecessor itself answers the requests that are open there.
    """
    engine = PausedReaderEngine(script={LOAD: ["mute"]})
    engine.may_read.set()
    with (
        gateway_with_successor(tmp_path, engine, "ready") as (gateway, link),
        ThreadPoolExecutor() as executor,
    ):
        until(lambda: gateway.hot_upgrade and gateway.hot_upgrade.successor_ready)
        idle_client = send_request(gateway, SQL)
        assert idle_client.recv(65_536).startswith(b"HTTP/1.1 200")
        waiting = executor.submit(post, gateway, "load", LOAD, ttl=600_000)
        assert engine.wait("REQ", 2)
        gateway.loop.call_soon(gateway.begin_shutdown)
        until(lambda: not gateway.http_server.idle and len(gateway.http_server.connections) == 1)
        link.close()  # with the transferred connection unread
        with contextlib.suppress(ConnectionResetError):
            assert idle_client.recv(65_536) == b""
        idle_client.close()
        until(lambda: gateway.hot_upgrade and not gateway.hot_upgrade.successor)
        engine._send_frame(
            engine.socks[0],
            f"{next(iter(gateway.engine_pool.by_client_request_id))} ok sheets=1",
            "0\tx\ty\n",
        )
        assert waiting.result()[1] == {"rows": ROWS[:1]}


def test_load_at_a_successor_that_starts_late_does_not_run_beside_one_of_its_predecessor(
    tmp_path: Path,
) -> None:
    """A successor starts after its predecessor has closed its listeners but still has an open load.

    The successor inherits no listeners. If it took that for the end of the predecessor, loads of one key
    would run in both processes at once.
    """
    with deployed_gateway(tmp_path) as deployment, ThreadPoolExecutor() as executor:
        write_settings(deployment, settings_without_timeouts())
        engine = deployment.engine
        engine.script[LOAD] = ["mute"]
        predecessor = deployment.start()
        executor.submit(post, deployment.gateway, "load", LOAD, ttl=600_000)
        assert engine.wait("REQ")
        predecessor.process.send_signal(signal.SIGTERM)
        time.sleep(ACCEPT_GRACE_SECONDS + START_DELAY_S)
        deployment.start()
        assert predecessor.process.poll() is None
        later = executor.submit(post, deployment.gateway, "load", LOAD, ttl=600_000)
        until(lambda: predecessor.process.poll() is not None or len(engine.statements) > 1)
        assert predecessor.process.poll() is not None and engine.statements == [LOAD]
        assert later.result(10)[0] in (200, 429)


@pytest.mark.parametrize("ends", ["drains first", "dies"])
def test_load_at_a_successor_does_not_run_beside_one_of_its_predecessor(ends: str, tmp_path: Path) -> None:
    """A load arrives at a successor while its predecessor serves, drains or has just died.

    Neither process knows the other's requests of a key, so the two could run loads of one key at once. The
    successor rejects loads while the predecessor serves. Once the predecessor drains or has died, the
    successor holds loads until one key quarantine after the predecessor's end.
    """
    engine, predecessor = Engine(), PredecessorStandIn(str(tmp_path / "upgrade.sock"))
    options = predecessor.start_successor()
    with (
        ThreadPoolExecutor() as executor,
        running_gateway(config([host(engine)]), options=options) as gateway,
    ):
        fence = gateway.forwarder.predecessor_fence
        assert predecessor.receive() == {"ready": True}
        assert post(gateway, "load", LOAD)[0] == 429 and post(gateway, "lookup", SQL)[0] == 200
        if ends == "drains first":
            predecessor.send_leaving()
            until(lambda: fence.state is PredecessorState.DRAINING)
            waiting = executor.submit(post, gateway, "load", LOAD)
            time.sleep(KEY_QUARANTINE_S)
            assert not waiting.done() and engine.statements == [SQL]
        ended_at = time.monotonic()
        predecessor.link.close()
        until(lambda: fence.state is PredecessorState.NONE)
        if ends == "dies":
            waiting = executor.submit(post, gateway, "load", LOAD)
        assert waiting.result()[0] == 200 and time.monotonic() >= ended_at + KEY_QUARANTINE_S
    predecessor.close()
    engine.close()
