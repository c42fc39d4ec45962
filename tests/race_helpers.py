"""Settings, stand-in engines and client steps shared by the tests of race conditions (docs/crossings.md)."""

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
from tests.stand_ins import SETTINGS, Engine, config, host
from tests.test_local import planner, until

GONE = "SELECT gone FROM lending_7.loans"
SEC = 1_000_000_000
CLOSE_WAIT = 8  # the state of a socket whose other side has closed


def tuned(**limits: Any) -> dict[str, Any]:
    """Settings under which nothing ends by itself while a test holds a crossing, however slow the machine."""
    raw = hurried(600.0)
    raw["family-info"]["progress"] = 600 * SEC  # nobody waits for notes
    raw["limits"] |= {name.replace("_", "-"): value for name, value in limits.items()}
    return raw


def unsafe() -> dict[str, Any]:
    """Reports may not be repeated."""
    raw = tuned()
    raw["services"][1] |= {"repeat": "at_most_once"}
    return raw


def hurried(seconds: float) -> dict[str, Any]:
    """Every class has so long."""
    raw: dict[str, Any] = copy.deepcopy(SETTINGS)
    for c in raw["services"]:
        c |= {"give-up": int(seconds * SEC), "aim": int(seconds * SEC / 2)}
    return raw


class Late(Engine):
    """Its connections come up only when `up` is set: until then the queue of those that dial is full."""

    def __init__(self) -> None:
        self.up = threading.Event()
        super().__init__()
        self.sock.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for sock in self.fillers:
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())

    def _accept(self) -> None:
        assert self.up.wait(30)
        super()._accept()

    def let_up(self) -> None:
        self.up.set()
        for sock in self.fillers:
            sock.close()


class Deaf(Engine):
    """Reads no further behind each request until `reads` is set."""

    def __init__(self, **more: Any) -> None:
        self.reads = threading.Event()
        super().__init__(**more)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)

    def _request(self, sock: socket.socket, words: list[str], statement: str) -> None:
        super()._request(sock, words, statement)
        assert self.reads.wait(30)


def ask(gate: Gateway, statement: str, cls: str = "lookup", row: str = "7f3a9c21e0b4d655") -> socket.socket:
    """A client's whole request on a connection that the test can close when it likes."""
    sock = socket.create_connection(gate.http_server.listener.address)
    sock.settimeout(20)
    head = f"POST /svc/{cls} HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: 600000\r\n"
    more = f"X-Row: {row}\r\nX-Txn-Key: {uuid4().hex}\r\n"
    sock.sendall(f"{head}{more}Content-Length: {len(statement)}\r\n\r\n{statement}".encode())
    return sock


def leave(gate: Gateway, sock: socket.socket) -> None:
    """The client leaves, and the gateway knows it."""
    owed = gate.forwarder.open_request_count
    sock.close()
    until(lambda: gate.forwarder.open_request_count < owed)


@contextlib.contextmanager
def elsewhere(engine: Engine, **limits: Any) -> Iterator[tuple[Gateway, PlannerProcess]]:
    """A gateway, and its planner with a loop of its own."""
    with planner() as process:
        told = config([host(engine)], settings=tuned(**limits))
        gate = Gateway(told, OperatorSettings(planner_addresses=(process.listener.address,)), signals=False)
        thread = threading.Thread(target=gate.loop.run, daemon=True)
        thread.start()
        until(lambda: [planner.connected for planner in gate.forwarder.planners] == [True])
        yield gate, process
        gate.loop.stop()
        thread.join(10)
        assert gate.loop.faults == 0 and not thread.is_alive()
        gate.loop.close()


def _state(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
