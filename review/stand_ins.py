"""Stand-ins for what surrounds a gateway, and the gateway's process; used by the scripts of all cases.

Everything listens on 127.0.0.1, on ports that the kernel chose. All times in the record are seconds of the
monotonic clock since the start of the script.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any
from uuid import uuid4

ROOT = Path(__file__).resolve().parents[1]
SECOND = 1_000_000_000
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
MEMORY_POLL_S = 0.01
SCRIPT_LIMIT_S = 115.0  # of the 120 s that a script may take
STARTED_AT = time.monotonic()


class CouldNotRun(Exception):
    """The case could not be played, so nothing is known about the rule."""


def now() -> float:
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED_AT


def has_trouble() -> bool:
    """Whether the script plays its disruption; TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.write("script", "start", f"trouble={int(has_trouble())}")

    def write(self, who: str, what: str, details: str = "") -> float:
        """Write a line and return its time."""
        at = now()
        self.file.write(f"{at:9.4f} {who:<12} {what:<14} {details}".rstrip() + "\n")
        return at


def free_port() -> int:
    """A port on which nothing listens now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# ---- the platform


def service(name: str, give_up_s: float, aim_s: float, repeat: str, worth: float, **more: Any) -> dict[str, Any]:
    """A request class of the settings."""
    return {
        "name": name, "aim": int(aim_s * SECOND), "aim-stretch": 2.0, "give-up": int(give_up_s * SECOND),
        "repeat": repeat, "dedup-scope": "all", "memory-span": 25 * SECOND, "worth": worth,
        "late-value": 0.3, "stream": False,
    } | more  # fmt: skip


def ridge_settings() -> dict[str, Any]:
    """Settings like those of ridge-elibrary, for a single gateway."""
    return {
        "instances": 1, "me": 0, "my-zone": 0, "zones": ["hall-a", "hall-b"], "flavors": ["std-16"],
        "registry-mode": "push", "weight-kind": "nominal", "realms": [],
        "family-info": {
            "cpu-of-kind": [16], "memory-by-kind-mb": [32768.0], "parallelism": [1, 2, 2],
            "takes-grants": True, "loads": [False, False, True], "waits-for-loads": [True, False, False],
            "priorities": True, "progress": SECOND, "out-of-memory": "shrink", "max-grant-share": 0.4,
            "cost-in-answers": False,
        },
        "limits": {
            "max-attempts": 3, "cancelling": True, "retry-after": True, "max-retry-after": SECOND // 2,
            "streams-per-conn": 32, "dial-timeout": SECOND // 4, "conn-idle": 15 * SECOND,
            "most-held": 30000, "second-copies": False, "may-probe": False, "peers": False,
        },
        "rules": {
            "cold": 15 * SECOND, "start-capacity": 0.31, "overload-factor": 2.5, "tip-after": SECOND,
            "drain-grace": SECOND // 2, "settle-after-doubt": 3 * SECOND // 10, "answer-slack": SECOND // 50,
        },
        "services": [
            service("lookup", 7.5, 1.5, "idempotent", 1.0),
            service("report", 25.0, 1.5, "idempotent", 3.0),
            service("load", 25.0, 4.0, "deduplicated", 2.5, **{"in-turn": True}),
        ],
    }  # fmt: skip


class JournalService:
    """The journal service: numbered events over long polling; each answer can be made late."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = free_port()
        self.hosts: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.answer_delay_s = 0.0  # from the moment at which an answer is due to its first byte
        self.answered: list[tuple[float, int]] = []  # when an answer had been written, and up to which event
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def publish(self, *hosts: dict[str, Any]) -> float:
        """Add an event with these engines; return its time."""
        position, is_first = len(self.events) + 1, not self.events
        for host in hosts:
            self.hosts[host["host"]] = host
        self.events.append(
            {"pos": position, "hosts": {"seq": position, "whole": is_first, "hosts": list(hosts)}}
        )
        at = self.record.write(
            "journal", "event", f"{position} " + " ".join(f"{host['host']}={host['health']}" for host in hosts)
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return at

    def known(self) -> dict[str, Any]:
        """The events up to now, for a configuration."""
        return {"pos": len(self.events), "entries": self.events}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                tail, max_wait_s = int(query["tail"]), min(5.0, float(query["max_wait"]) / 1000)
                self.record.write("journal", "call", f"tail={tail} max_wait={max_wait_s:g}")
                until = time.monotonic() + max_wait_s
                while len(self.events) <= tail and time.monotonic() < until:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                await asyncio.sleep(self.answer_delay_s)
                position = len(self.events)
                body = json.dumps({"pos": position, "entries": self.events[tail:]}).encode()
                if writer.is_closing() or reader.at_eof():
                    self.record.write("journal", "caller-gone", f"tail={tail}")
                    break
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
                self.answered.append((self.record.write("journal", "answer", f"pos={position}"), position))
        self._writers.discard(writer)
        writer.close()


def host(name: str, address: str = "", health: str = "up", born_ms: int = 0, flight: str = "") -> dict[str, Any]:
    """An engine in an event of the journal service."""
    entry: dict[str, Any] = {
        "host": name, "dial": address or "127.0.0.1:1", "site": "hall-a", "class": "std-16", "block": 0,
        "health": health, "share": 1, "born_ms": born_ms,
    }  # fmt: skip
    if flight:
        entry["flight"] = flight
    return entry


class GatewayProcess:
    """One gateway, started with the command `run` of the deploy file."""

    def __init__(self, record: Record, settings: dict[str, Any], journal: JournalService, operator: str = "") -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        self.environment |= {
            "ROUTER_NAME": "n1", "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder / "tmp"),
        }  # fmt: skip
        configuration = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": uuid4().hex[:16],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": f"127.0.0.1:{journal.port}", "known": journal.known(), "settings": settings,
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(configuration))
        if operator:
            (self.folder / "operator.toml").write_text(operator)
            self.environment["QUERY_GATEWAY_OPERATOR_FILE"] = str(self.folder / "operator.toml")

    async def start(self) -> None:
        """Start the process and wait until it is live."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "log.txt").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=self.environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                status, _, _ = await http_call(self.port, "GET", "/status/live", {}, b"", 1.0)
                if status == 200:
                    self.record.write("gateway", "live")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun("the gateway did not start: " + self.log_text()[-400:])

    def log_text(self) -> str:
        """What the gateway has logged."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the gateway's main process."""
        assert self.process
        self.record.write("gateway", "signal", number.name)
        self.process.send_signal(number)

    def close(self) -> None:
        """End all processes of the gateway, and keep their log at the end of the record."""
        if self.process:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
        for line in self.log_text().splitlines()[-400:]:
            self.record.write("gateway", "log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def most_resident_mb(pid: int) -> float:
    """The most memory that a process has had resident, as the kernel counts it; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:")), 0.0)


class MemoryLimit:
    """The platform's limit: over `memory_mb` the gateway is killed."""

    def __init__(self, record: Record, gateway: GatewayProcess, memory_mb: int) -> None:
        self.record, self.gateway, self.memory_mb = record, gateway, memory_mb
        self.highest_mb = 0.0
        self.was_exceeded = False

    async def enforce(self) -> None:
        """Watch the gateway until cancelled."""
        assert self.gateway.process
        while not self.was_exceeded:
            resident = most_resident_mb(self.gateway.process.pid)
            self.highest_mb = max(self.highest_mb, resident)
            if resident > self.memory_mb:
                self.was_exceeded = True
                self.record.write("platform", "over-limit", f"{resident:.0f} MB of {self.memory_mb}")
                self.gateway.signal(signal.SIGKILL)
            await asyncio.sleep(MEMORY_POLL_S)


# ---- clients of the HTTP front


async def http_call(
    port: int, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> tuple[int, dict[str, str], bytes]:
    """Make one call on a new connection; return the status, the headers and the body of the answer."""

    async def call() -> tuple[int, dict[str, str], bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Host: api.internal", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
            answer = await reader.readexactly(int(fields.get("content-length", "0")))
            return status, fields, answer
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout_s)


async def post(
    record: Record, port: int, class_name: str, statement: str, ttl_ms: int, row: str = "", cpu_ms: float = 100.0
) -> tuple[int, Any]:
    """Send one request as a client does; status 0: no whole answer within the client's time and 0.5 s."""
    txn = uuid4().hex[:16]
    headers = {"X-Txn": txn, "X-Ttl-Ms": str(ttl_ms), "X-Cpu-Hint": f"{cpu_ms}", "X-Memory": "64"}
    if class_name == "load":
        headers |= {"X-Txn-Key": uuid4().hex, "X-Row": row or uuid4().hex[:16]}
    record.write("client", "sent", f"{txn} {class_name} {statement}")
    try:
        status, _, body = await http_call(
            port, "POST", f"/svc/{class_name}", headers, statement.encode(), ttl_ms / 1000 + 0.5
        )
        answer = json.loads(body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        record.write("client", "no-answer", f"{txn} {error!r}")
        return 0, None
    record.write("client", "answer", f"{txn} {status} {str(answer)[:80]}")
    return status, answer


# ---- engines of the line protocol


class LineEngine:
    """An engine on the platform's wire: runs each request for a time set by class, notes progress, answers one page."""

    def __init__(self, record: Record, name: str, work_s: float = 0.1, load_work_s: float = 0.1) -> None:
        self.record, self.name, self.work_s, self.load_work_s = record, name, work_s, load_work_s
        self.port = free_port()
        self.requests: list[tuple[float, str]] = []  # time of the first byte, id
        self.cut: list[str] = []  # ids of what ran when its connection ended
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def end(self) -> None:
        """End as a process does: close the port and reset all connections."""
        self.record.write(self.name, "ends")
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[str, asyncio.Task[None]] = {}
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    at = self.record.write(self.name, "request", f"{words[1]} {words[2]}")
                    self.requests.append((at, words[1]))
                    await reader.readexactly(int(words[3]) + 2)
                    work_s = self.load_work_s if "queue=load" in words[2] else self.work_s
                    running[words[1]] = asyncio.create_task(self._run(words[1], work_s, writer))
                elif words[0] == "STOP":
                    self.record.write(self.name, "stop", words[1])
                    if task := running.pop(words[1], None):
                        task.cancel()
        for identifier, task in running.items():
            if not task.done():
                task.cancel()
                self.cut.append(identifier)
                self.record.write(self.name, "cut", identifier)
        self._writers.discard(writer)
        writer.close()

    async def _run(self, identifier: str, work_s: float, writer: asyncio.StreamWriter) -> None:
        remaining = work_s
        while remaining > 0:
            await asyncio.sleep(min(1.0, remaining))
            remaining -= 1.0
            if remaining > 0:
                writer.write(f"{identifier} progress detail=share,val=0.5 0\r\n".encode())
        page = f"{identifier}\t{self.name}\tx\n".encode()
        writer.write(f"{identifier} ok sheets=1 {len(page)}\r\n".encode() + page + b"\r\n")
        self.record.write(self.name, "served", identifier)


# ---- running a case


class LoopWatch:
    """Measures how late the script's own loop runs: its times are worth nothing if it stood still."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.longest_s = max(self.longest_s, time.monotonic() - due)


async def _limited(playing: Coroutine[None, None, str]) -> str:
    # Connections that are still served when the loop ends are of no interest
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    return await asyncio.wait_for(playing, SCRIPT_LIMIT_S)


def run_case(folder: Path, play: Callable[[Record], Coroutine[None, None, str]]) -> int:
    """Play a case. `play` returns what broke the rule, or an empty text if it held; returns the exit code."""
    record = Record(folder)
    try:
        broken = asyncio.run(_limited(play(record)))
    except (CouldNotRun, TimeoutError, OSError) as error:
        record.write("script", "could not run", repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.write("script", "verdict", broken or "the rule held")
    print(f"rule broken: {broken}" if broken else "the rule held")
    return RULE_BROKEN if broken else RULE_HELD
