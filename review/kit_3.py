"""Stand-ins and process control for the cases 6, 9 and 10; the standard library and one project module.

Everything runs on loopback addresses and the real clock. A case is a `main(case)` passed to `run_case`. It
returns the list of the breaks of its rule; any exception means that the case could not run.
"""

import contextlib
import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from uuid import uuid4

from bench.loopback_ports import free_port

ROOT = Path(__file__).resolve().parent.parent
SEC = 1_000_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0  # of a case, below the 120 s that it may take
KEYED_CONNECTIONS = 6
READY_SECONDS = 30.0  # for a gateway to answer its readiness path with 200

# As the site ridge-elibrary: BRIEF-mothknot.md and the settings line of WIRE-mothknot.md
RIDGE_SETTINGS: dict[str, Any] = {
    "instances": 1, "me": 0, "my-zone": 0, "zones": ["hall-a", "hall-b"], "flavors": ["std-16"],
    "registry-mode": "push", "service-type": "queries", "realms": [], "over-share-worth": 0.1,
    "clients": {"marks-retry": True},
    "family-info": {
        "cpu-of-kind": [16], "memory-by-kind-mb": [32768.0], "parallelism": [1, 2, 2], "takes-grants": True,
        "loads": [False, False, True], "waits-for-loads": [True, False, False], "priorities": True,
        "progress": SEC, "out-of-memory": "shrink", "max-grant-share": 0.4, "cost-in-answers": False,
    },
    "limits": {
        "max-attempts": 3, "cancelling": True, "retry-after": True, "max-retry-after": SEC // 2,
        "streams-per-conn": 32, "dial-timeout": SEC // 4, "conn-idle": 15 * SEC, "most-held": 30_000,
        "may-probe": False, "peers": False, "second-copies": False,
    },
    "rules": {
        "answer-slack": 20_000_000, "cold": 15 * SEC, "drain-grace": SEC // 2, "overload-factor": 2.5,
        "settle-after-doubt": 300_000_000, "start-capacity": 0.31, "tip-after": SEC,
    },
    "fees": {"cross-zone": 0.04},
    "services": [
        {"name": "lookup", "aim": 1_500_000_000, "aim-stretch": 2.0, "give-up": 7_500_000_000, "worth": 1.0,
         "late-value": 0.1, "repeat": "idempotent", "dedup-scope": "all", "memory-span": 5 * SEC,
         "stream": False},
        {"name": "report", "aim": 1_500_000_000, "aim-stretch": 2.5, "give-up": 25 * SEC, "worth": 3.0,
         "late-value": 0.3, "repeat": "idempotent", "dedup-scope": "all", "memory-span": 5 * SEC,
         "stream": False},
        {"name": "load", "aim": 4 * SEC, "aim-stretch": 2.5, "give-up": 25 * SEC, "worth": 2.5,
         "late-value": 0.5, "repeat": "deduplicated", "dedup-scope": "all", "memory-span": 25 * SEC,
         "in-turn": True, "stream": False},
    ],
}  # fmt: skip

# As the site trentvale-main: USER.md and its site file
TRENTVALE_SETTINGS: dict[str, Any] = {
    "instances": 1, "me": 0, "my-zone": 0, "zones": ["room-a", "room-b", "room-c"], "flavors": ["std-8"],
    "registry-mode": "push", "service-type": "queries", "over-share-worth": 0.05,
    "realms": [{"name": "burton-depot", "quota-rps": 60.0, "share": 0.62},
               {"name": "melton-depot", "quota-rps": 40.0, "share": 0.38}],
    "clients": {"marks-retry": False},
    "family-info": {
        "cpu-of-kind": [8], "memory-by-kind-mb": [16384.0], "parallelism": [1, 3, 2], "takes-grants": True,
        "loads": [False, False, True], "waits-for-loads": [True, False, False], "priorities": False,
        "progress": 0, "out-of-memory": "wait", "max-grant-share": 0.4, "cost-in-answers": False,
    },
    "limits": {
        "max-attempts": 3, "cancelling": True, "retry-after": False, "max-retry-after": 2 * SEC,
        "streams-per-conn": 32, "dial-timeout": SEC // 4, "conn-idle": 15 * SEC, "most-held": 30_000,
        "may-probe": True, "peers": False, "second-copies": False,
    },
    "rules": {
        "answer-slack": 20_000_000, "cold": 15 * SEC, "drain-grace": SEC // 4, "overload-factor": 3.0,
        "start-capacity": 0.32, "tip-after": 2 * SEC,
    },
    "fees": {"cross-zone": 0.01},
    "services": [
        {"name": "lookup", "aim": 1_200_000_000, "aim-stretch": 1.5, "give-up": 6 * SEC, "worth": 1.0,
         "late-value": 0.1, "repeat": "idempotent", "dedup-scope": "all", "memory-span": 5 * SEC,
         "stream": False},
        {"name": "report", "aim": 2 * SEC, "aim-stretch": 2.5, "give-up": 15 * SEC, "worth": 2.5,
         "late-value": 0.3, "repeat": "idempotent", "dedup-scope": "all", "memory-span": 5 * SEC,
         "stream": False},
        {"name": "load", "aim": 4 * SEC, "aim-stretch": 2.5, "give-up": 25 * SEC, "worth": 6.0,
         "late-value": 0.5, "repeat": "at_most_once", "dedup-scope": "all", "memory-span": 5 * SEC,
         "stream": False},
    ],
}  # fmt: skip


class CaseError(Exception):
    """The case cannot run on this machine, or its stand-ins did not do what they should."""


@dataclass
class Case:
    """The temporary folder, the processes and the record of one run."""

    folder: Path
    trouble: bool
    temporary: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="mothknot-review-")))
    started_at: float = field(default_factory=time.monotonic)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    cleanups: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._lock = threading.Lock()
        self._record = (self.folder / "record.txt").open("w", buffering=1)

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def record(self, text: str) -> None:
        """Write one line of the record, with the seconds since the start of the case."""
        with self._lock:
            if not self._record.closed:
                self._record.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """End every process that the case started, and remove its temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
        for cleanup in self.cleanups:
            cleanup()
        shutil.rmtree(self.temporary, ignore_errors=True)
        with self._lock:
            self._record.close()


def run_case(main: Callable[[Case], list[str]]) -> None:
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    folder = Path(sys.argv[0]).resolve().parent
    case = Case(folder, os.environ.get("TROUBLE", "1") != "0")
    case.record(f"TROUBLE={int(case.trouble)}")

    def give_up() -> None:
        case.record("the case took too long or was told to end: could not run")
        case.close()
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, lambda *_: give_up())
    watchdog = threading.Timer(MAX_SECONDS, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        breaks = main(case)
        for line in breaks:
            case.record(f"BREAK {line}")
            print(f"BREAK {line}")
        code = BROKEN if breaks else HELD
        case.record(f"exit {code}")
    except Exception as error:
        case.record(f"could not run: {error!r}")
        traceback.print_exc()
        code = COULD_NOT_RUN
    watchdog.cancel()
    case.close()
    os._exit(code)  # the stand-ins' threads end with the process


# ---- the gateway


@dataclass
class Gateway:
    """One gateway, started with the command of the deploy file in a process group of its own."""

    case: Case
    name: str
    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    log_path: Path

    def log(self) -> str:
        """What it has written to standard output and error."""
        return self.log_path.read_text(errors="replace")

    def wait_for_log(self, text: str, seconds: float = READY_SECONDS) -> None:
        """Wait for a text in the log; raises CaseError."""
        wait_until(lambda: text in self.log(), seconds, f"{self.name} never logged {text!r}")

    def wait_until_live(self) -> None:
        """Wait until the readiness path answers 200, as the front does; raises CaseError."""
        wait_until(lambda: is_live(self.address), READY_SECONDS, f"{self.name} is not ready")
        self.case.record(f"{self.name} is ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program started by `run`."""
        self.case.record(f"{number.name} to {self.name}")
        self.process.send_signal(number)


def wait_until(condition: Callable[[], bool], seconds: float, failure: str) -> None:
    """Poll a condition; raises CaseError after `seconds`."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise CaseError(failure)
        time.sleep(0.01)


def is_live(address: tuple[str, int]) -> bool:
    """Whether the gateway answers its readiness path with 200."""
    connection = http.client.HTTPConnection(*address, timeout=1.0)
    try:
        connection.request("GET", "/status/live", headers={"Connection": "close"})
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def start_gateway(
    case: Case, name: str, config_path: Path, address: tuple[str, int], operator_file: Path | None = None
) -> Gateway:
    """Start a gateway with `run` of the deploy file; all gateways of a case share one `$TMPDIR`."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    tmpdir = case.temporary / "tmp"
    tmpdir.mkdir(exist_ok=True)
    environ = {
        key: value for key, value in os.environ.items()
        if not key.startswith(("QUERY_GATEWAY_", "ROUTER_", "MOTHKNOT_")) and key != "PYTHONPATH"
    }  # fmt: skip
    environ |= {
        "TMPDIR": str(tmpdir), "ROUTER_NAME": "n1", "ROUTER_LISTEN": f"{address[0]}:{address[1]}",
        "ROUTER_CONFIG": str(config_path),
    }  # fmt: skip
    if operator_file:
        environ["QUERY_GATEWAY_OPERATOR_FILE"] = str(operator_file)
    log_path = case.temporary / f"{name}.log"
    with log_path.open("wb") as log:
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, start_new_session=True,
        )  # fmt: skip
    case.processes.append(process)
    case.record(f"{name} started, pid {process.pid}")
    return Gateway(case, name, process, address, log_path)


def write_config(
    case: Case, address: tuple[str, int], journal: "Journal", settings: dict[str, Any], name: str = "config.json"
) -> Path:
    """Write a gateway's configuration as DEPLOY-mothknot.md describes it."""
    config = {
        "name": "n1", "listen": f"{address[0]}:{address[1]}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "journal": journal.address, "known": journal.answer_after(0), "settings": settings,
    }  # fmt: skip
    path = case.temporary / name
    replacement = path.with_suffix(".new")
    replacement.write_text(json.dumps(config))
    replacement.replace(path)
    return path


# ---- the journal service


class Journal:
    """A stand-in of the journal service: numbered events, held polls."""

    def __init__(self, case: Case, hosts: list[dict[str, Any]]) -> None:
        self.case = case
        self._changed = threading.Condition()
        self._events: list[dict[str, Any]] = []
        self.add(hosts, whole=True)
        journal = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                query = dict(part.split("=") for part in self.path.partition("?")[2].split("&"))
                body = json.dumps(journal.poll(int(query["tail"]), int(query["max_wait"]))).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: Any) -> None:
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def add(self, hosts: list[dict[str, Any]], whole: bool = False) -> None:
        """Add an event: the whole list, or the hosts that have changed."""
        with self._changed:
            position = len(self._events) + 1
            event = {"pos": position, "hosts": {"seq": position, "whole": whole, "hosts": hosts}}
            self._events.append(event)
            self._changed.notify_all()
        self.case.record(f"journal event {position}: " + ", ".join(f"{h['host']} {h['health']}" for h in hosts))

    def answer_after(self, position: int) -> dict[str, Any]:
        """The events after a position."""
        with self._changed:
            return {"pos": len(self._events), "entries": self._events[position:]}

    def poll(self, position: int, max_wait_ms: int) -> dict[str, Any]:
        """Answer once there are later events, or after the time that the poll allows."""
        with self._changed:
            self._changed.wait_for(lambda: len(self._events) > position, min(max_wait_ms, 5_000) / 1_000)
        return self.answer_after(position)


def host(name: str, address: str, health: str = "up", **more: Any) -> dict[str, Any]:
    """An entry of the engine list."""
    return {"host": name, "dial": address, "site": "hall-a", "class": "std-16", "block": 0, "health": health,
            "share": 1, "born_ms": 0} | more  # fmt: skip


# ---- an engine on the line protocol


@dataclass
class Run:
    """One attempt, as its engine saw it. Times are seconds since the start of the case."""

    engine: str
    connection: int
    request_id: str
    fields: dict[str, str]
    statement: str
    began_at: float
    ended_at: float | None = None
    end: str = ""

    def overlaps(self, other: "Run") -> bool:
        """Whether both were out at the same time."""
        return self.began_at < (other.ended_at or 1e9) and other.began_at < (self.ended_at or 1e9)


class LineEngine:
    """A stand-in engine: runs every request for `run_seconds(statement)`, then answers with one row.

    Progress notes come every second where `notes` is set. STOP and the end of a connection end its attempts.
    """

    def __init__(
        self, case: Case, name: str, run_seconds: Callable[[str], float], notes: bool = True
    ) -> None:
        self.case, self.name, self.run_seconds, self.notes = case, name, run_seconds, notes
        self.runs: list[Run] = []
        self._lock = threading.Lock()
        self._connections = 0
        self.before_answer: Callable[[Run, socket.socket], bool] = lambda run, sock: True
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._connections += 1
                threading.Thread(target=self._serve, args=(sock, self._connections), daemon=True).start()

    def _serve(self, sock: socket.socket, number: int) -> None:
        lines, open_runs, write_lock = sock.makefile("rb"), dict[str, Run](), threading.Lock()
        with contextlib.suppress(OSError, ValueError):
            while line := lines.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    body = lines.read(int(words[3]) + 2)
                    if len(body) < int(words[3]) + 2:
                        break  # not whole, so it never ran
                    fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                    run = Run(self.name, number, words[1], fields, body[:-2].decode(), self.case.now())
                    with self._lock:
                        self.runs.append(run)
                    open_runs[words[1]] = run
                    self.case.record(f"engine {self.name} got {run.request_id} on connection {number}: {run.statement[:70]}")
                    threading.Thread(
                        target=self._run, args=(run, sock, write_lock, open_runs), daemon=True
                    ).start()
                elif words[0] == "STOP" and (stopped := open_runs.pop(words[1], None)):
                    self._end(stopped, "stopped")
        for run in list(open_runs.values()):
            self._end(run, "connection ended")
        open_runs.clear()
        with contextlib.suppress(OSError):
            lines.close()
        sock.close()

    def _end(self, run: Run, how: str) -> None:
        with self._lock:
            if run.ended_at is not None:
                return
            run.ended_at, run.end = self.case.now(), how
        self.case.record(f"engine {self.name} ended {run.request_id}: {how}")

    def _run(
        self, run: Run, sock: socket.socket, write_lock: threading.Lock, open_runs: dict[str, Run]
    ) -> None:
        length = self.run_seconds(run.statement)
        ends_at = time.monotonic() + length
        while run.ended_at is None and (left := ends_at - time.monotonic()) > 0:
            time.sleep(min(left, 1.0))
            if left > 1.0 and self.notes and run.ended_at is None:
                share = 1 - (ends_at - time.monotonic()) / length
                with contextlib.suppress(OSError), write_lock:
                    sock.sendall(f"{run.request_id} progress detail=share,val={share:.3f} 0\r\n".encode())
        if run.ended_at is not None or not self.before_answer(run, sock):
            return
        row = f"{run.request_id}\t{self.name}\tx\n"
        with contextlib.suppress(OSError), write_lock:
            sock.sendall(f"{run.request_id} ok sheets=1 {len(row)}\r\n{row}\r\n".encode())
        open_runs.pop(run.request_id, None)
        self._end(run, "ok")


def reset_connection(sock: socket.socket) -> None:
    """Have the connection reset: its thread sees the end and closes it, which sends a reset (SO_LINGER of 0)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)


def overlapping_runs(engines: list[LineEngine], key_of: Callable[[Run], str]) -> list[tuple[Run, Run]]:
    """Pairs of attempts of different requests with one key that were out at the same time."""
    runs = sorted((run for engine in engines for run in engine.runs), key=lambda run: run.began_at)
    pairs = []
    for index, first in enumerate(runs):
        for second in runs[index + 1 :]:
            is_same_key = key_of(first) and key_of(first) == key_of(second)
            if is_same_key and first.request_id != second.request_id and first.overlaps(second):
                pairs.append((first, second))
    return pairs


# ---- a client over HTTP


class HttpClient:
    """One connection of a client, with one call at a time."""

    def __init__(self, case: Case, address: tuple[str, int], name: str) -> None:
        self.case, self.name = case, name
        self.sent = threading.Event()  # the first request has been written
        self.began_at = self.sent_at = 0.0  # the newest request: before its first and after its last byte
        self.connection = http.client.HTTPConnection(*address, timeout=40.0)
        self.connection.connect()
        assert self.connection.sock
        self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def post(
        self, class_name: str, statement: str, ttl_ms: int, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Send one request; return the status and the decoded body, or 0 if the connection ended."""
        request_id = uuid4().hex[:16]
        fields = {"X-Txn": request_id, "X-Ttl-Ms": str(ttl_ms)} | (headers or {})
        self.case.record(f"client {self.name} sends {class_name} {request_id}: {statement[:70]}")
        self.began_at = self.case.now()
        try:
            self.connection.request("POST", f"/svc/{class_name}", statement.encode(), fields)
            self.sent_at = self.case.now()
            self.sent.set()
            response = self.connection.getresponse()
            status, body = response.status, json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.case.record(f"client {self.name} got no answer to {request_id}: {error!r}")
            return 0, None
        self.case.record(f"client {self.name} got {status} to {request_id}: {json.dumps(body)[:90]}")
        return status, body

    def close(self) -> None:
        """Close the connection, as a client does once it has rested."""
        self.connection.close()


def load_headers(key: str, work_ms: float = 2000.0) -> dict[str, str]:
    """The headers of a load with this ordering key."""
    return {"X-Txn-Key": uuid4().hex, "X-Row": key, "X-Cpu-Hint": f"{work_ms:.1f}", "X-Memory": "64"}


def free_address() -> tuple[str, int]:
    """A loopback address at which nothing listens."""
    return "127.0.0.1", free_port()

# ---- loads with a key

KEY_SPACING_SECONDS = 0.15  # at least 0.06 between two requests of a key (users/PROTOCOL.md)


def warm_connections(
    case: Case, address: tuple[str, int], count: int, name: str = "c"
) -> list[HttpClient]:
    """Open connections, one after another, and have a lookup answered on each."""
    clients = []
    for number in range(count):
        client = HttpClient(case, address, f"{name}{number}")
        client.post("lookup", "SELECT a FROM lending_17.books WHERE tag = '1'", 7_000, {"X-Cpu-Hint": "10.0"})
        clients.append(client)
        time.sleep(0.02)
    return clients


class LoadSender:
    """Sends loads, each on a thread of its own, and keeps their statuses."""

    def __init__(self, case: Case, run_seconds: float) -> None:
        self.case, self.run_seconds = case, run_seconds
        self.statuses: list[int] = []
        self.threads: list[threading.Thread] = []
        self.count = 0

    def send(self, client: HttpClient, key: str) -> None:
        """Send a load of the key on a connection, then wait as long as clients do before the next one."""
        self.count += 1
        statement = f"UPDATE lending_17.loans SET n = {self.count} WHERE member = '{key}'"

        def post() -> None:
            headers = load_headers(key, 2_000 * self.run_seconds)  # on two threads
            self.statuses.append(client.post("load", statement, 20_000, headers)[0])

        self.threads.append(threading.Thread(target=post, daemon=True))
        self.threads[-1].start()
        time.sleep(KEY_SPACING_SECONDS)

    def wait(self) -> None:
        """Wait for all answers; raises CaseError if a connection ended without one."""
        for thread in self.threads:
            thread.join(30)
        if 0 in self.statuses or len(self.statuses) < self.count:
            raise CaseError("a client lost its connection")


def send_loads_of_keys(case: Case, address: tuple[str, int], keys: list[str], run_seconds: float) -> None:
    """For each key, send a load on each of some connections, in turn."""
    for key in keys:
        clients = warm_connections(case, address, KEYED_CONNECTIONS)
        sender = LoadSender(case, run_seconds)
        for client in clients:
            sender.send(client, key)
        sender.wait()
        for client in clients:
            client.close()


def breaks_of_key_order(case: Case, engines: list[LineEngine]) -> list[str]:
    """One line for each pair of loads of one key that were out at the same time, the first ten of them.

    Under trouble all loads may be refused. Raises CaseError if without it none was served.
    """
    loads = [run for engine in engines for run in engine.runs if "loans" in run.statement]
    case.record(f"{sum(run.end == 'ok' for run in loads)} loads were served")
    if not case.trouble and not any(run.end == "ok" for run in loads):
        raise CaseError("no load was served")
    pairs = overlapping_runs(engines, lambda run: run.statement.partition("member = ")[2])
    return [
        f"loads {a.request_id} ({a.began_at:.3f} to {a.ended_at or 0:.3f} s at {a.engine}) and {b.request_id} "
        f"({b.began_at:.3f} to {b.ended_at or 0:.3f} s at {b.engine}) of key {b.statement[-18:]} ran at once"
        for a, b in pairs[:10]
    ]
