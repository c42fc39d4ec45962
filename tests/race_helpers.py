"""Settings, stand-in engines and client actions that the race-condition tests share (docs/crossings.md)."""

import contextlib
import copy
import socket
import threading
from collections.abc import Iterator
from typing import Any
from uuid import uuid4

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.planner.process import PlannerProcess
from tests.stand_ins import SETTINGS, Engine, config, host, running_gateway
from tests.test_local import planner, until

ABANDONED_SQL = "SELECT gone FROM lending_7.loans"
UNANSWERED_SQL = "SELECT 1 FROM lending_7.loans"
SEC = 1_000_000_000
CLOSE_WAIT = 8  # TCP state of a socket whose peer has closed its side


def settings_without_timeouts(**limits: Any) -> dict[str, Any]:
    """Settings whose timeouts are long enough that none ends a request during a test on a slow machine."""
    raw = settings_with_timeout(600.0)
    raw["family-info"]["progress"] = 600 * SEC  # so that no missing progress note ends an attempt
    raw["limits"] |= {name.replace("_", "-"): value for name, value in limits.items()}
    return raw


def settings_with_non_idempotent_reports() -> dict[str, Any]:
    """Settings without timeouts under which requests of the class `report` are not idempotent."""
    raw = settings_without_timeouts()
    raw["services"][1] |= {"repeat": "at_most_once"}
    return raw


def settings_with_timeout(seconds: float) -> dict[str, Any]:
    """Settings with this timeout, in seconds, for every request class."""
    raw: dict[str, Any] = copy.deepcopy(SETTINGS)
    for request_class in raw["services"]:
        request_class |= {"give-up": int(seconds * SEC), "aim": int(seconds * SEC / 2)}
    return raw


def fill_backlog(listener: socket.socket) -> list[socket.socket]:
    """Fill the backlog of a listener; return the sockets that fill it, whose close makes room again."""
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return fillers


class SlowToAcceptEngine(Engine):
    """Accepts no connection until `accepting` is set; its backlog is full until then."""

    def __init__(self) -> None:
        self.accepting = threading.Event()
        super().__init__()
        self.backlog_fillers = fill_backlog(self.sock)

    def _accept(self) -> None:
        assert self.accepting.wait(30)
        super()._accept()

    def accept_connections(self) -> None:
        self.accepting.set()
        for sock in self.backlog_fillers:
            sock.close()


class PausedReaderEngine(Engine):
    """Stops reading after each request until `may_read` is set."""

    def __init__(self, **options: Any) -> None:
        self.may_read = threading.Event()
        super().__init__(**options)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)

    def _request(self, sock: socket.socket, words: list[str], statement: str) -> None:
        super()._request(sock, words, statement)
        assert self.may_read.wait(30)


def send_request(
    gateway: Gateway, statement: str, request_class: str = "lookup", row: str = "7f3a9c21e0b4d655"
) -> socket.socket:
    """Send a complete request as a client does; the caller closes the returned connection."""
    client = socket.create_connection(gateway.http_server.listener.address)
    client.settimeout(20)
    head = (
        f"POST /svc/{request_class} HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: 600000\r\n"
    )
    more_headers = f"X-Row: {row}\r\nX-Txn-Key: {uuid4().hex}\r\n"
    client.sendall(f"{head}{more_headers}Content-Length: {len(statement)}\r\n\r\n{statement}".encode())
    return client


def abandon_request(gateway: Gateway, client: socket.socket) -> None:
    """Close the client's connection and wait until the gateway has ended the client's request."""
    open_before = gateway.forwarder.open_request_count
    client.close()
    until(lambda: gateway.forwarder.open_request_count < open_before)


@contextlib.contextmanager
def gateway_with_planner_process(engine: Engine, **limits: Any) -> Iterator[tuple[Gateway, PlannerProcess]]:
    """A gateway whose planner is connected by IPC and runs on its own loop."""
    configuration = config([host(engine)], settings=settings_without_timeouts(**limits))
    with planner() as planner_process:
        operator = OperatorSettings(planner_addresses=(planner_process.listener.address,))
        with running_gateway(configuration, operator) as gateway:
            until(lambda: [planner.connected for planner in gateway.forwarder.planners] == [True])
            yield gateway, planner_process


@contextlib.contextmanager
def stalled_planner(planner_process: PlannerProcess) -> Iterator[None]:
    """Block the planner's loop until the context is left."""
    stalled, resume = threading.Event(), threading.Event()

    def block_loop() -> None:
        stalled.set()
        assert resume.wait(30)

    planner_process.loop.call_soon(block_loop)
    assert stalled.wait(10)
    try:
        yield
    finally:
        resume.set()


def fill_send_buffer(gateway: Gateway, engine: Engine) -> list[socket.socket]:
    """Send requests until the output buffer for engine `e0` is not empty; the caller closes the sockets.

    UNANSWERED_SQL is sent first; the engine's script must leave it without an answer.
    """
    large = "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    open_clients = [send_request(gateway, UNANSWERED_SQL)]
    until(lambda: engine.statements)
    stream = gateway.engine_pool.connections["e0"][0].stream
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    while not stream.outbox:
        open_clients.append(send_request(gateway, large))
        until(lambda: len(gateway.engine_pool.by_client_request_id) == len(open_clients))
    return open_clients


def tcp_state(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
