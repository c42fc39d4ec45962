"""Measures how many small lookups per second one gateway process serves on one core.

    python -m bench.lookups_per_second --root DIR --seconds 8 --connections 40 --cpu 4

The gateway is started from the source tree at DIR with its public command and that tree's virtual
environment, on a dedicated core. Engines and clients are processes of this bench on the other cores. Each
connection is kept alive and sends its next lookup as soon as the previous one is answered. An answer other
than 200 aborts the measurement with an error.

Nothing is imported from the measured tree, so that different versions can be compared.
"""

import contextlib
import itertools
import json
import multiprocessing
import os
import selectors
import socket
import subprocess
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import click

from bench.loopback_ports import free_port

ROOT = Path(__file__).parent.parent
CONTEXT = multiprocessing.get_context("spawn")
ENGINES = 4
CLIENT_PROCESSES = 2
WARM_UP_S = 1.0
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
POLL_ANSWER_S = 1.0  # delay before the discovery service answers a poll with no changes
SOCKET_TIMEOUT_S = 10.0
READ_BYTES = 65_536
PAGE = b"9\tThe Stone Raft\t2\n"


@dataclass(frozen=True)
class LoadPlan:
    """The load of one client process; lookups are counted from `counted_from` to `counted_until`."""

    process_number: int
    gateway_port: int
    connections: int
    counted_from: float  # seconds of the monotonic clock, like all times in this module
    counted_until: float


@dataclass(frozen=True)
class LoadResult:
    """The counts of one client process."""

    served: int  # between `counted_from` and `counted_until`
    served_before: int  # before `counted_from`
    error: str = ""


class FailedLookupError(Exception):
    """A lookup was not answered with 200; the message shows what was received."""


# ---- engines and the discovery service


def serve_engines(ports: list[int]) -> None:
    """Answer each engine-protocol request immediately with one page, until the process is terminated."""
    selector = selectors.DefaultSelector()
    for port in ports:
        listener = socket.create_server(("127.0.0.1", port))
        selector.register(listener, selectors.EVENT_READ, None)
    while True:
        for key, _ in selector.select():
            sock: socket.socket = key.fileobj  # type: ignore[assignment]
            if key.data is None:
                connection, _ = sock.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(connection, selectors.EVENT_READ, bytearray())
            elif not _serve_engine_connection(sock, key.data):
                selector.unregister(sock)
                sock.close()


def _serve_engine_connection(sock: socket.socket, buffer: bytearray) -> bool:
    """Answer the received requests; return whether the connection is still open."""
    with contextlib.suppress(OSError):
        data = sock.recv(READ_BYTES)
        if not data:
            return False
        buffer += data
        answers = _take_answers(buffer)
        if answers:
            sock.sendall(answers)
        return True
    return False


def _take_answers(buffer: bytearray) -> bytes:
    """Remove the complete requests from the buffer and return their answers."""
    answers = []
    while (line_end := buffer.find(b"\r\n")) >= 0:
        words = buffer[:line_end].split()
        request_end = line_end + 2
        if words[0] == b"REQ":
            request_end += int(words[3]) + 2
            if len(buffer) < request_end:
                break
            answers.append(b"%b ok sheets=1 %d\r\n%b\r\n" % (bytes(words[1]), len(PAGE), PAGE))
        del buffer[:request_end]
    return b"".join(answers)


def serve_discovery(port: int) -> None:
    """Answer each poll after POLL_ANSWER_S with no changes, until the process is terminated."""
    body = b'{"pos":1,"entries":[]}'
    with socket.create_server(("127.0.0.1", port)) as listener:
        while True:
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                while connection.recv(READ_BYTES):
                    time.sleep(POLL_ANSWER_S)
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


# ---- clients


class LookupConnection:
    """A persistent connection with one lookup in flight at a time."""

    def __init__(self, port: int, request_ids: Iterator[bytes]) -> None:
        """Connect to the gateway."""
        self.sock = socket.create_connection(("127.0.0.1", port), SOCKET_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request_ids = request_ids
        self.received = b""

    def send(self) -> None:
        """Send the next lookup."""
        request_id = next(self.request_ids)
        statement = b"SELECT title FROM lending_17.books WHERE tag = '%b'" % request_id
        self.sock.sendall(
            b"POST /svc/lookup HTTP/1.1\r\nHost: gateway\r\nX-Txn: %b\r\nX-Ttl-Ms: 5000\r\n"
            b"X-Cpu-Hint: 0.1\r\nX-Memory: 4\r\nContent-Length: %d\r\n\r\n%b"
            % (request_id, len(statement), statement)
        )

    def receive(self) -> bool:
        """Read the available data; return whether the answer is complete.

        Raises FailedLookupError if the answer is not 200 or the gateway closes the connection.
        """
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise FailedLookupError(f"connection closed after {self.received[:200]!r}")
        self.received += data
        head_end = self.received.find(b"\r\n\r\n")
        if head_end < 0:
            return False
        head = self.received[:head_end].lower()
        if not head.startswith(b"http/1.1 200"):
            raise FailedLookupError(f"unexpected answer {self.received[:300]!r}")
        length_at = head.index(b"content-length:") + len(b"content-length:")
        if len(self.received) < head_end + 4 + int(head[length_at:].split(b"\r\n", 1)[0]):
            return False
        self.received = b""
        return True


def send_lookups(plan: LoadPlan, results: Connection) -> None:
    """Send lookups over all connections until the end of the window, then report the counts."""
    served = served_before = 0
    error = ""
    try:
        with selectors.DefaultSelector() as selector:
            for connection in _dial_all(plan):
                selector.register(connection.sock, selectors.EVENT_READ, connection)
                connection.send()
            while (now := time.monotonic()) < plan.counted_until:
                answered = 0
                for key, _ in selector.select(plan.counted_until - now):
                    if key.data.receive():
                        answered += 1
                        key.data.send()
                if now < plan.counted_from:
                    served_before += answered
                else:
                    served += answered
    except (OSError, FailedLookupError) as exception:
        error = f"{type(exception).__name__}: {exception}"
    results.send(LoadResult(served, served_before, error))


def _dial_all(plan: LoadPlan) -> list[LookupConnection]:
    request_ids = (b"%08x%08x" % (plan.process_number, number) for number in itertools.count(1))
    return [LookupConnection(plan.gateway_port, request_ids) for _ in range(plan.connections)]


# ---- the gateway process


@dataclass(frozen=True)
class GatewayProcess:
    """The process id and the HTTP port of the measured gateway."""

    pid: int
    port: int


def cpu_seconds(pid: int) -> float:
    """Processor time in seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextmanager
def running_gateway(
    tree: Path, cpu: int, engine_ports: list[int], discovery_port: int
) -> Iterator[GatewayProcess]:
    """Start a gateway from the tree on core `cpu`, stopped at exit; yield it once it accepts connections."""
    port = free_port()
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        config_file, log_file = folder / "config.json", folder / "log.txt"
        config_file.write_text(json.dumps(_configuration(port, engine_ports, discovery_port)))
        environment = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        process = subprocess.Popen(
            ["taskset", "-c", str(cpu), str(tree / ".venv/bin/python"), "-m", "query_gateway"],
            cwd=tree,
            env=environment | {"ROUTER_CONFIG": str(config_file)},
            stdout=subprocess.DEVNULL,
            stderr=stack.enter_context(log_file.open("wb")),
        )
        try:
            _await_listening(process, port, log_file)
            yield GatewayProcess(process.pid, port)
        finally:
            _stop(process)


def _await_listening(process: subprocess.Popen[bytes], port: int, log_file: Path) -> None:
    """Wait until the gateway accepts connections; raises ClickException if it exits or times out."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while process.poll() is None and time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0):
            return
        time.sleep(0.05)
    raise click.ClickException(
        f"the gateway accepts no connections; end of its log: {log_file.read_text()[-1000:]}"
    )


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _configuration(port: int, engine_ports: list[int], discovery_port: int) -> dict[str, Any]:
    """The configuration in example/config.json, with the ports and engines of this run."""
    configuration: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
    hosts = [
        {
            "host": f"e{number}", "dial": f"127.0.0.1:{engine_port}", "site": "hall-a", "class": "std-16",
            "block": 0, "health": "up", "share": 1, "born_ms": 0,
        }
        for number, engine_port in enumerate(engine_ports)
    ]  # fmt: skip
    del configuration["ops"]
    return configuration | {
        "listen": f"127.0.0.1:{port}",
        "journal": f"127.0.0.1:{discovery_port}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]},
    }


# ---- the measurement


@contextmanager
def child_process(target: Any, *arguments: object) -> Iterator[int]:
    """Run a function of this module in a separate process, terminated at exit; yield the process id."""
    process = CONTEXT.Process(target=target, args=arguments, daemon=True)
    process.start()
    assert process.pid
    try:
        yield process.pid
    finally:
        process.terminate()
        process.join()


def measure(tree: Path, seconds: float, connections: int, cpu: int) -> dict[str, Any]:
    """Measure one gateway for `seconds` after the warm-up; raises ClickException for a failed lookup."""
    engine_ports, discovery_port = [free_port() for _ in range(ENGINES)], free_port()
    with ExitStack() as stack:
        load_pids = [stack.enter_context(child_process(serve_engines, engine_ports))]
        stack.enter_context(child_process(serve_discovery, discovery_port))
        for port in [*engine_ports, discovery_port]:
            _await_port(port)
        gateway = stack.enter_context(running_gateway(tree, cpu, engine_ports, discovery_port))
        # The window begins after the client processes have started, which takes a fraction of a second each
        counted_from = time.monotonic() + 1.0 + WARM_UP_S
        pipes = []
        for number in range(CLIENT_PROCESSES):
            share = connections // CLIENT_PROCESSES + (number < connections % CLIENT_PROCESSES)
            plan = LoadPlan(number, gateway.port, share, counted_from, counted_from + seconds)
            receiver, sender = CONTEXT.Pipe(duplex=False)
            load_pids.append(stack.enter_context(child_process(send_lookups, plan, sender)))
            pipes.append(receiver)
        time.sleep(max(0.0, counted_from - time.monotonic()))
        pids = [gateway.pid, *load_pids]
        cpu_before = [cpu_seconds(pid) for pid in pids]
        time.sleep(max(0.0, counted_from + seconds - time.monotonic()))
        used = [cpu_seconds(pid) - earlier for pid, earlier in zip(pids, cpu_before, strict=True)]
        results = [_receive_result(pipe) for pipe in pipes]
    served = sum(result.served for result in results)
    return {
        "lookups_per_second": round(served / seconds),
        "served": served,
        "served_in_warm_up": sum(result.served_before for result in results),
        "gateway_cpu_share": round(used[0] / seconds, 3),
        "gateway_cpu_us_per_lookup": round(used[0] / served * 1e6, 1),
        "busiest_load_process_cpu_share": round(max(used[1:]) / seconds, 3),
        "compiled": any((tree / "query_gateway/policy").glob("*.so")),
    }


def _await_port(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0):
            return
        time.sleep(0.02)
    raise click.ClickException(f"nothing listens on port {port} after {START_TIMEOUT_S:g} s")


def _receive_result(pipe: Connection) -> LoadResult:
    """Return the result of a client process; raises ClickException if it failed or sent none."""
    if not pipe.poll(SOCKET_TIMEOUT_S):
        raise click.ClickException(f"a client process sent no result within {SOCKET_TIMEOUT_S:g} s")
    result: LoadResult = pipe.recv()
    if result.error:
        raise click.ClickException(f"a lookup failed: {result.error}")
    return result


@click.command()
@click.option("--root", default=ROOT, type=click.Path(exists=True, path_type=Path), help="Tree to measure.")
@click.option("--seconds", default=8.0, help="Length of the window, after a warm-up of 1 s.")
@click.option("--connections", default=40, help="Client connections, each with one lookup at a time.")
@click.option("--cpu", default=4, help="Core of the gateway process.")
def main(root: Path, seconds: float, connections: int, cpu: int) -> None:
    """Print one line of JSON with the lookups per second."""
    # Engines and clients do not run on the gateway's core
    os.sched_setaffinity(0, os.sched_getaffinity(0) - {cpu} or os.sched_getaffinity(0))
    tree = root.resolve()
    result = measure(tree, seconds, connections, cpu)
    print(json.dumps({"bench": "lookups_per_second", "root": str(tree), "cpu": cpu} | result), flush=True)


if __name__ == "__main__":
    main()
