"""Loads of one key run in the order in which they came, whatever keeps the gateway from reading them."""

import contextlib
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from uuid import uuid4

from bench.fault_soak.control import CallFault, ShimControl, build_shim
from tests.stand_ins import SETTINGS, Engine, ended_on_exit, endpoint_list_answer, host, log_text
from tests.test_web import running

# Shorter than the clients' own, so that the loop's lag stays below that which rejects all requests
KEY_SPACING_S = 0.03
ALWAYS = 1_000  # of a thousand calls fail
KEY = "7f3a9c21e0b4d655"


@dataclass(slots=True)
class RealGateway:
    """A gateway process with the soak's shim loaded into it."""

    process: subprocess.Popen[str]
    shim: ShimControl
    address: tuple[str, int]

    def connect(self) -> socket.socket:
        client = socket.create_connection(self.address)
        client.settimeout(20)
        return client

    def set_accept_fault(self, rate: int) -> None:
        self.shim.state.accept = CallFault(rate, errno.EMFILE)
        self.shim.apply()


@contextlib.contextmanager
def real_gateway(engine: Engine, folder: Path) -> Iterator[RealGateway]:
    configuration = {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": "127.0.0.1:1", "settings": SETTINGS,
        "known": endpoint_list_answer(1, [host(engine)], snapshot=True),
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(configuration))
    shim = ShimControl(folder / "shim")
    environment = os.environ | shim.environment(build_shim(folder))
    environment |= {"ROUTER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
    command = [sys.executable, "-m", "query_gateway"]
    with ended_on_exit(
        subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)
    ) as process:
        assert process.stderr
        started = log_text(process.stderr.readline())
        assert started.startswith("start n1 listens on ")
        yield RealGateway(process, shim, ("127.0.0.1", int(started.rpartition(":")[2])))
        engine.close()


def send_load(client: socket.socket, statement: str, ttl_ms: int = 10_000) -> None:
    head = (
        f"POST /svc/load HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: {ttl_ms}\r\n"
        f"X-Row: {KEY}\r\nX-Txn-Key: {uuid4().hex}\r\nContent-Length: {len(statement)}\r\n\r\n"
    )
    client.sendall(head.encode() + statement.encode())


def status_of(client: socket.socket) -> int:
    return int(client.recv(65_536).split(b" ", 2)[1])


def load_statement(name: str) -> str:
    return f"INSERT INTO lending_7.loans VALUES ('{name}')"


def open_client(gateway: RealGateway) -> socket.socket:
    """A connection on which one load was served, so that the gateway reads it."""
    client = gateway.connect()
    send_load(client, load_statement("opening"))
    assert status_of(client) == 200
    return client


def test_load_on_a_new_connection_is_not_overtaken_while_accept_fails(tmp_path: Path) -> None:
    """A later load on an open connection waits until the accept queue was seen empty."""
    engine = Engine()
    with real_gateway(engine, tmp_path) as gateway:
        later = open_client(gateway)
        gateway.set_accept_fault(ALWAYS)
        first = gateway.connect()
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        time.sleep(KEY_SPACING_S)
        gateway.set_accept_fault(0)
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements == [load_statement(name) for name in ("opening", "first", "later")]


def test_load_on_a_new_connection_is_not_overtaken_while_the_process_is_stopped(tmp_path: Path) -> None:
    """Both wait in the machine's buffers, and the open connection is read first."""
    engine = Engine()
    with real_gateway(engine, tmp_path) as gateway:
        later = open_client(gateway)
        gateway.process.send_signal(signal.SIGSTOP)
        first = gateway.connect()
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        gateway.process.send_signal(signal.SIGCONT)
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements == [load_statement(name) for name in ("opening", "first", "later")]


class ReversingPoll:
    """An epoll object that reports what is ready in the reverse of its order."""

    def __init__(self, epoll: Any) -> None:
        self.epoll = epoll

    def poll(self, *arguments: Any) -> Any:
        return list(reversed(self.epoll.poll(*arguments)))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


def stall(begun: threading.Event, seconds: float) -> None:
    """Keep the loop from turning, as a slow turn does."""
    begun.set()
    time.sleep(seconds)


def test_loads_on_open_connections_are_not_reordered_by_the_poll() -> None:
    """After a slow turn several requests are there at once, in whatever order the machine reports them."""
    engine, names = Engine(), [str(number) for number in range(5)]
    with running(engine) as gateway:
        clients = [socket.create_connection(gateway.http_server.listener.address) for _ in names]
        for client in clients:
            send_load(client, load_statement("opening"))
            assert status_of(client) == 200
        gateway.loop.epoll = ReversingPoll(gateway.loop.epoll)  # type: ignore[assignment]
        slow_turn = threading.Event()
        gateway.loop.call_soon(lambda: stall(slow_turn, (len(names) + 1) * KEY_SPACING_S))
        assert slow_turn.wait(10)
        for client, name in zip(clients, names, strict=True):
            send_load(client, load_statement(name))
            time.sleep(KEY_SPACING_S)
        assert [status_of(client) for client in clients] == [200] * len(clients)
        for client in clients:
            client.close()
    assert engine.statements[len(names) :] == [load_statement(name) for name in names]
