"""Stand-ins for a gateway's surroundings: engines, clients, a configuration, answers of discovery."""

import contextlib
import http.client
import json
import socket
import subprocess
import threading
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, AnyStr
from uuid import uuid4

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration, parse_configuration
from query_gateway.configuration.settings_flattening import flatten_settings
from query_gateway.gateway import Gateway

__all__ = [
    "SETTINGS", "Engine", "apply_endpoint_list", "config", "ended_on_exit", "endpoint_list_answer",
    "flatten_settings", "host", "log_text", "post", "running_gateway",
]  # fmt: skip

SEC = 1_000_000_000
SETTINGS = {
    "instances": 1,
    "me": 0,
    "zones": ["hall-a", "hall-b"],
    "flavors": ["std-16"],
    "registry-mode": "push",
    "family-info": {
        "cpu-of-kind": [16], "memory-by-kind-mb": [32768.0], "parallelism": [1, 2, 2], "takes-grants": True,
        "loads": [False, False, True], "waits-for-loads": [True, False, False], "priorities": True,
        "progress": 1_000_000_000, "out-of-memory": "shrink", "max-grant-share": 0.4,
    },
    "limits": {
        "max-attempts": 3, "cancelling": True, "retry-after": True, "max-retry-after": 500_000_000,
        "streams-per-conn": 32, "dial-timeout": 250_000_000, "conn-idle": 15 * SEC, "most-held": 1000,
    },
    "rules": {"cold": 15 * SEC, "start-capacity": 0.31, "settle-after-doubt": 300_000_000},
    "services": [
        {"name": "lookup", "aim": 5 * SEC, "give-up": 7 * SEC, "repeat": "idempotent", "worth": 1.0},
        {"name": "report", "aim": 20 * SEC, "give-up": 25 * SEC, "repeat": "idempotent", "worth": 3.0},
        {"name": "load", "aim": 20 * SEC, "give-up": 25 * SEC, "repeat": "deduplicated", "worth": 2.5,
         "in-turn": True, "memory-span": 25 * SEC},
    ],
}  # fmt: skip


def endpoint_list_answer(
    position: int, hosts: list[dict[str, Any]], snapshot: bool = False
) -> dict[str, Any]:
    """An answer of the discovery service with one event: a delta, or a snapshot."""
    event = {"pos": position, "hosts": {"seq": position, "whole": snapshot, "hosts": hosts}}
    return {"pos": position, "entries": [event]}


def config(hosts: list[dict[str, Any]], journal: str = "127.0.0.1:1", **overrides: Any) -> Configuration:
    raw = {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": journal, "settings": SETTINGS,
        "known": endpoint_list_answer(1, hosts, snapshot=True),
    }  # fmt: skip
    return parse_configuration(raw | overrides, {})


def host(engine: "Engine", name: str = "e0", health: str = "up", started_at_ms: int = 0) -> dict[str, Any]:
    return {"host": name, "dial": engine.address, "site": "hall-a", "class": "std-16", "health": health,
            "share": 1, "born_ms": started_at_ms}  # fmt: skip


@contextlib.contextmanager
def running_gateway(
    configuration: Configuration,
    operator: OperatorSettings | None = None,
    options: GatewayOptions | None = None,
) -> Iterator[Gateway]:
    """Run a gateway on its own thread; on exit, stop it and assert that it ended and counted no fault."""
    gateway = Gateway(configuration, operator or OperatorSettings(), signals=False, options=options)
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    try:
        yield gateway
    finally:
        gateway.loop.stop()
        thread.join(10)
        faults = gateway.loop.faults
        gateway.loop.close()
    assert faults == 0 and not thread.is_alive()


def apply_endpoint_list(gateway: Gateway, answer: dict[str, Any]) -> None:
    """Apply an answer of the discovery service on a running gateway's loop; wait until it is applied."""
    applied = threading.Event()

    def apply_and_signal() -> None:
        gateway.endpoint_feed.apply_answer(answer)
        applied.set()

    gateway.loop.call_soon(apply_and_signal)
    assert applied.wait(10)


class Engine:
    """An engine that implements the line protocol and answers each REQ (request) by a script.

    `script` lists the steps for each statement; every REQ with the statement takes the next step. Steps: ok
    (a result of `pages` pages), error, refused, reset (closes the connection), mute (no response), torn (a
    truncated response), spoilt (a malformed row), pageless (no page after the first) and twice (one response
    with an unknown request id, then the ok response twice). A statement without steps left is answered with
    ok.
    """

    def __init__(self, pages: int = 3, script: dict[str, list[str]] | None = None) -> None:
        self.pages, self.script = pages, script or {}
        self.statements: list[str] = []
        self.fields: list[str] = []
        self.received_commands: list[str] = []
        self.pageless: set[str] = set()
        self.connections = 0
        self.socks: list[socket.socket] = []
        self.received = threading.Condition()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.connections += 1
                self.socks.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        lines = sock.makefile("rb")
        with contextlib.suppress(OSError, ValueError):
            while line := lines.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    statement = lines.read(int(words[3]) + 2)[:-2].decode()
                    self._request(sock, words, statement)
                elif words[0] == "FETCH" and words[1] not in self.pageless:
                    self._send_frame(sock, f"{words[1]} batch sheet={words[2]}", f"{words[2]}\tx\ty\n")
                self._record_command(words[0])
        sock.close()

    def _record_command(self, command: str) -> None:
        with self.received:
            self.received_commands.append(command)
            self.received.notify_all()

    def _request(self, sock: socket.socket, words: list[str], statement: str) -> None:
        self.statements.append(statement)
        self.fields.append(words[2])
        steps = self.script.get(statement, [])
        step = steps.pop(0) if steps else "ok"
        if step in ("ok", "twice", "pageless"):
            if step == "twice":
                self._send_frame(sock, f"{'f' * 16} ok sheets=1", "9\tx\ty\n")
                self._send_frame(sock, f"{words[1]} ok sheets={self.pages}", "0\tx\ty\n")
            if step == "pageless":
                self.pageless.add(words[1])
            self._send_frame(sock, f"{words[1]} ok sheets={self.pages}", "0\tx\ty\n")
        elif step == "torn":
            sock.sendall(f"{words[1]} ok sheets=1 50\r\n0\tx".encode())
        elif step == "spoilt":
            self._send_frame(sock, f"{words[1]} ok sheets=1", "0\tx\n")
        elif step == "reset":
            sock.shutdown(socket.SHUT_RDWR)
        elif step != "mute":
            self._send_frame(sock, f"{words[1]} {step} -", "")

    def _send_frame(self, sock: socket.socket, head: str, body: str) -> None:
        sock.sendall(f"{head} {len(body)}\r\n{body}\r\n".encode())

    def wait(self, command: str, times: int = 1) -> bool:
        with self.received:
            return self.received.wait_for(lambda: self.received_commands.count(command) >= times, 10)

    def hang_up(self) -> None:
        """Shut down every connection at once, as the kernel does when a process ends."""
        for sock in self.socks:
            sock.shutdown(socket.SHUT_RDWR)
        self.socks.clear()

    def close(self) -> None:
        self.sock.close()


def post(
    gateway: Any,
    class_name: str,
    statement: str,
    row: str = "7f3a9c21e0b4d655",
    ttl: int = 5_000,
    **headers: str,
) -> tuple[int, Any, dict[str, str]]:
    """Send one request as a client does; return the status, the decoded body and the headers."""
    host, port = gateway.http_server.listener.address
    connection = http.client.HTTPConnection(host, port, timeout=20)
    request_headers = {
        "X-Txn": uuid4().hex[:16],
        "X-Ttl-Ms": str(ttl),
        "X-Txn-Key": uuid4().hex,
        "X-Row": row,
    } | headers
    encoded_headers = {name.replace("_", "-"): value for name, value in request_headers.items()}
    connection.request("POST", f"/svc/{class_name}", statement, encoded_headers)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    return answer.status, json.loads(body), {k.lower(): v for k, v in answer.getheaders()}


def log_text(line: str) -> str:
    """Return a log line without its two timestamps, which must be well-formed."""
    wall_clock, monotonic_clock, text = line.split(" ", 2)
    assert datetime.fromisoformat(wall_clock).tzinfo is UTC and float(monotonic_clock) > 0
    return text


@contextlib.contextmanager
def ended_on_exit(process: "subprocess.Popen[AnyStr]") -> Iterator["subprocess.Popen[AnyStr]"]:
    """Terminate a gateway process that still runs on exit, such as after a failed assertion.

    The context manager of `Popen` itself waits for the process without a timeout. SIGTERM is sent before
    SIGKILL, so that a supervisor can end its workers.
    """
    with process:
        try:
            yield process
        finally:
            process.terminate()  # no effect on a process that has ended and was waited for
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
