"""What the scripts of the second review share: the gateway's process, stand-ins, clients, the record.

Everything listens on loopback addresses and free ports. Times are seconds since the start of the case, by the
machine's monotonic clock. Needs only the packages of the deploy file's build.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from uuid import uuid4

ROOT = Path(__file__).resolve().parents[1]
SEC = 1_000_000_000
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0
READY_TIMEOUT_S = 30.0


class CannotRunError(Exception):
    """The case could not be run; this says nothing about the rule."""


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.write(f"trouble {'on' if trouble() else 'off'}")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


_used_ports: set[int] = set()


def free_port() -> int:
    """A port that no socket uses now, below the range of the kernel's own choices where that is possible."""
    with contextlib.suppress(OSError, ValueError):
        lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
        start = 10_000 + (os.getpid() * 37) % max(1, lowest - 12_000)
        for port in range(start, lowest):
            if port not in _used_ports and _is_free(port):
                _used_ports.add(port)
                return port
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


# ---- settings


def service(name: str, repeat: str, aim_s: float, give_up_s: float, worth: float, **extra: Any) -> dict[str, Any]:
    return {
        "name": name, "repeat": repeat, "aim": int(aim_s * SEC), "give-up": int(give_up_s * SEC),
        "worth": worth, "late-value": 0.3, "stream": False, "dedup-scope": "all",
    } | extra  # fmt: skip


def ridge(instances: int = 1, me: int = 0, progress_s: float = 1.0) -> dict[str, Any]:
    """Settings like those of a small deployment with keyed loads in order."""
    return {
        "instances": instances, "me": me, "zones": ["hall-a", "hall-b"], "my-zone": 0, "flavors": ["std-16"],
        "registry-mode": "push", "service-type": "queries", "weight-kind": "nominal", "realms": [],
        "family-info": {
            "cpu-of-kind": [16], "memory-by-kind-mb": [32768.0], "parallelism": [1, 2, 2],
            "takes-grants": True, "loads": [False, False, True], "waits-for-loads": [True, False, False],
            "priorities": True, "progress": int(progress_s * SEC), "out-of-memory": "shrink",
            "max-grant-share": 0.4, "cost-in-answers": False,
        },
        "limits": {
            "max-attempts": 3, "cancelling": True, "retry-after": True, "max-retry-after": SEC // 2,
            "streams-per-conn": 32, "dial-timeout": SEC // 4, "conn-idle": 15 * SEC, "most-held": 30000,
            "second-copies": False, "may-probe": False, "peers": False,
        },
        "rules": {
            "answer-slack": SEC // 50, "cold": 15 * SEC, "drain-grace": SEC // 2, "must-ask-in": 10 * SEC,
            "overload-factor": 2.5, "tip-after": SEC, "start-capacity": 0.31,
            "settle-after-doubt": 3 * SEC // 10,
        },
        "services": [
            service("lookup", "idempotent", 1.5, 7.5, 1.0, **{"aim-stretch": 2.0}),
            service("report", "idempotent", 1.5, 25.0, 3.0, **{"aim-stretch": 2.5}),
            service("load", "deduplicated", 4.0, 25.0, 2.5,
                    **{"aim-stretch": 2.5, "in-turn": True, "memory-span": 25 * SEC}),
        ],
    }  # fmt: skip


def trentvale(instances: int = 1, me: int = 0) -> dict[str, Any]:
    """Settings like those of a small deployment whose loads must never run twice."""
    settings = ridge(instances, me, progress_s=0.0)
    settings["zones"], settings["flavors"] = ["room-a", "room-b", "room-c"], ["std-8"]
    settings["family-info"] |= {
        "cpu-of-kind": [8], "memory-by-kind-mb": [16384.0], "parallelism": [1, 3, 2], "priorities": False,
        "out-of-memory": "wait",
    }
    settings["limits"] |= {"retry-after": False, "max-retry-after": 2 * SEC, "may-probe": True}
    settings["rules"] |= {"drain-grace": SEC // 4, "overload-factor": 3.0, "tip-after": 2 * SEC,
                          "start-capacity": 0.32}  # fmt: skip
    del settings["rules"]["settle-after-doubt"]
    settings["services"] = [
        service("lookup", "idempotent", 1.2, 6.0, 1.0, **{"aim-stretch": 1.5}),
        service("report", "idempotent", 2.0, 15.0, 2.5, **{"aim-stretch": 2.5}),
        service("load", "at_most_once", 4.0, 25.0, 6.0, **{"aim-stretch": 2.5}),
    ]
    return settings


# ---- the discovery service


class Discovery:
    """A sound journal service: numbered events from 1, long polls, all from memory."""

    def __init__(self) -> None:
        self.port = free_port()
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def publish(self, *hosts: dict[str, Any]) -> None:
        position = len(self.events) + 1
        entry = {"seq": position, "whole": position == 1, "hosts": list(hosts)}
        self.events.append({"pos": position, "hosts": entry})
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        return {"pos": len(self.events), "entries": list(self.events)}

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(pair.split("=") for pair in head.split(" ")[1].partition("?")[2].split("&"))
                tail, until = int(query["tail"]), time.monotonic() + min(5.0, float(query["max_wait"]) / 1000)
                while tail >= len(self.events) and time.monotonic() < until:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                body = json.dumps({"pos": len(self.events), "entries": self.events[tail:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        writer.close()


def host(name: str, port: int, flight_port: int = 0, zone: str = "hall-a", kind: str = "std-16") -> dict[str, Any]:
    """The entry of an engine that is up and started long ago."""
    entry = {"host": name, "dial": f"127.0.0.1:{port}", "site": zone, "class": kind, "block": 0,
             "health": "up", "share": 1, "born_ms": 0}  # fmt: skip
    return entry | ({"flight": f"127.0.0.1:{flight_port}"} if flight_port else {})


# ---- engines of the line protocol


@dataclass(slots=True)
class Run:
    """One request that reached an engine whole."""

    engine: str
    request_id: str
    fields: dict[str, str]
    statement: bytes
    began_at: float
    end: str = ""  # ok, stopped or broken


class LineEngine:
    """A sound engine: runs all that it gets, sends a note each second, answers with one row."""

    def __init__(self, name: str, record: Record, run_s: Callable[[Run], float], runs: list[Run]) -> None:
        self.name, self.record, self.run_s, self.runs = name, record, run_s, runs
        self.port = free_port()
        self.progress_s = 1.0  # 0: sends no notes
        self.rows: Callable[[Run], bytes] = lambda run: f"{run.request_id}\t{self.name}\tx\n".encode()
        self.verbose = True

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**22)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[str, tuple[Run, asyncio.Task[None]]] = {}
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    statement = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",") if "=" in pair)
                    run = Run(self.name, words[1], fields, statement, self.record.now())
                    self.runs.append(run)
                    if self.verbose:
                        self.record.write(f"{self.name} got {words[1]} {words[2]} {statement[:60]!r}")
                    running[words[1]] = run, asyncio.create_task(self._run(run, writer))
                elif words[0] == "STOP" and words[1] in running:
                    run, task = running.pop(words[1])
                    if not run.end:
                        run.end = "stopped"
                        self.record.write(f"{self.name} stopped {run.request_id}")
                    task.cancel()
        for run, task in running.values():
            if not run.end:
                run.end = "broken"
                self.record.write(f"{self.name} gave up {run.request_id}: its connection ended")
            task.cancel()
        writer.close()

    async def _run(self, run: Run, writer: asyncio.StreamWriter) -> None:
        ends_at = time.monotonic() + self.run_s(run)
        total = max(0.001, ends_at - time.monotonic())
        while (left := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left, self.progress_s) if self.progress_s else left)
            if self.progress_s and ends_at - time.monotonic() > 0:
                share = 1 - (ends_at - time.monotonic()) / total
                writer.write(f"{run.request_id} progress detail=share,val={share:.2f} 0\r\n\r\n".encode())
        body = self.rows(run)
        run.end = "ok"
        if self.verbose:
            self.record.write(f"{self.name} answered {run.request_id} ok")
        writer.write(f"{run.request_id} ok sheets=1 {len(body)}\r\n".encode() + body + b"\r\n")


# ---- a proxy that resets


RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


# ---- the gateway


@dataclass
class Gateway:
    """One gateway, started as the platform starts it."""

    record: Record
    name: str
    settings: dict[str, Any]
    discovery: Discovery
    operator: str = ""
    memory_mb: int = 192
    descriptors: int = 1024
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="mothknot-review-")))
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        self.port = free_port()

    def start(self) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        (self.folder / "tmp").mkdir(exist_ok=True)
        configuration = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "journal": f"127.0.0.1:{self.discovery.port}", "known": self.discovery.known(),
            "settings": self.settings,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(configuration))
        environment = {key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "QUERY_GATEWAY"))}
        environment |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_NAME": self.name,
                        "ROUTER_LISTEN": f"127.0.0.1:{self.port}", "TMPDIR": str(self.folder / "tmp")}  # fmt: skip
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)
            environment["QUERY_GATEWAY_OPERATOR_FILE"] = str(self.folder / "operator.toml")
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip

    async def ready(self) -> None:
        """Wait until the gateway says that it is live; raises CannotRunError."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in status:
                    self.record.write(f"gateway {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"gateway {self.name} did not become ready: {self.log()[-300:]}")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def send_signal(self, number: int) -> None:
        if self.process and self.running:
            self.process.send_signal(number)

    def close(self) -> None:
        if self.process:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGCONT)
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
        for line in self.log().splitlines()[-60:]:
            self.record.write(f"log of {self.name}: {line.replace(str(self.folder), 'FOLDER')}")
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- HTTP clients


@dataclass(slots=True)
class Answer:
    """What a client saw of one request."""

    request_id: str
    verdict: str  # served, refused, failed, or lost: the connection ended with no whole answer
    at: float
    status: int = 0
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


def http_request(
    class_name: str, statement: bytes, ttl_ms: int, request_id: str = "", **headers: str
) -> tuple[str, bytes]:
    request_id = request_id or uuid4().hex[:16]
    lines = [f"POST /svc/{class_name} HTTP/1.1", "Host: api.internal", f"X-Txn: {request_id}",
             f"X-Ttl-Ms: {ttl_ms}", f"Content-Length: {len(statement)}"]  # fmt: skip
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + statement


async def read_answer(record: Record, reader: asyncio.StreamReader, request_id: str) -> Answer:
    """Read one answer; a connection that ends before is the answer `lost`."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
        body = json.loads(await reader.readexactly(int(headers.get("content-length", "0"))) or b"null")
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        return Answer(request_id, "lost", record.now(), body=repr(error))
    status = int(head[0].split(" ")[1])
    failure = body.get("failure") if isinstance(body, dict) else "unreadable"
    if status == 200 and failure is None:
        verdict = "served"
    else:
        verdict = "refused" if status in (429, 503) or failure == "Overloaded" else "failed"
    return Answer(request_id, verdict, record.now(), status, body, headers)


# ---- running a case


def run_case(folder: Path, main: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case within the time limit and exit with its code."""
    record = Record(folder)

    async def limited() -> int:
        return await asyncio.wait_for(main(record), TIME_LIMIT_S)

    try:
        code = asyncio.run(limited())
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        code = CANNOT_RUN
    except (TimeoutError, asyncio.TimeoutError):
        record.write("cannot run: the time limit of the case has passed")
        code = CANNOT_RUN
    except Exception as error:  # a fault of the case itself
        record.write(f"cannot run: {error!r}")
        code = CANNOT_RUN
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", CANNOT_RUN: "the case could not run"}[code]
    record.write(f"verdict: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(code)


def spawn(coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
    """Start a task and keep a reference to it."""
    task = asyncio.get_running_loop().create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


_tasks: "set[asyncio.Task[Any]]" = set()
