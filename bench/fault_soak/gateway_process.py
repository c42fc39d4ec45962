"""A gateway of a run: its files, its fault shim (see `control`) and its process."""

import contextlib
import json
import os
import resource
import shutil
import signal
import subprocess
import time
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from bench.fault_soak.clients import GatewayTarget
from bench.fault_soak.control import ShimControl
from bench.fault_soak.settings import Deadlines, settings
from bench.loopback_ports import PortReservations

DESCRIPTOR_LIMIT = 256


def _limit_descriptors() -> None:
    """Set the descriptor limit that the configuration names; runs in the child process before exec."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))


class Layout(Enum):
    """The processes and fronts of a gateway."""

    PLAIN = "plain"  # one process, as the platform starts it
    FLIGHT = "flight"  # one process with the Flight SQL front and statement classification
    PROCESSES = "processes"  # a supervisor, two forwarders and two planners


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """The discovery service's port and the initial endpoint list of a configuration."""

    port: int
    endpoint_list: dict[str, Any]


@dataclass(slots=True)
class GatewayProcess:
    """A gateway with its configuration, its shim and, while it runs, its process."""

    name: str
    layout: Layout
    folder: Path
    target: GatewayTarget
    shim: ShimControl
    number: int
    process: subprocess.Popen[bytes] | None = None
    started: list[subprocess.Popen[bytes]] = field(default_factory=list)  # every process, oldest first
    expected_to_end: bool = False
    busy: bool = False  # while it is being stopped, killed, paused or upgraded
    planner_ports: list[int] = field(default_factory=list)
    flight_port: int = 0

    @property
    def log_path(self) -> Path:
        """The file to which all processes of the gateway log."""
        return self.folder / "log.txt"

    @property
    def trace_path(self) -> Path:
        """The file in which all processes of the gateway record the steps of every request."""
        return self.folder / "trace.txt"

    @property
    def last_log_line(self) -> str:
        """The last line of the log, which states the cause of a failed start."""
        lines = self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []
        return lines[-1] if lines else "nothing logged"

    @property
    def running(self) -> bool:
        """Whether its main process runs."""
        return self.process is not None and self.process.poll() is None

    def write_configuration(
        self, discovery: DiscoverySettings, gateway_count: int, deadlines: Deadlines
    ) -> None:
        """Write the configuration that a start or a reload reads, in the platform's format."""
        configuration = {
            "name": self.name, "listen": f"127.0.0.1:{self.target.port}",
            "seed": f"{time.monotonic_ns():x}"[:16],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTOR_LIMIT},
            "journal": f"127.0.0.1:{discovery.port}", "known": discovery.endpoint_list,
            "settings": settings(self.number, gateway_count, deadlines),
        }  # fmt: skip
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(configuration))
        os.replace(path.with_suffix(".new"), path)

    def write_operator_file(self) -> None:
        """Write the operator's file for the layout; it is empty for a plain gateway."""
        text = ""
        if self.layout is Layout.FLIGHT:
            text = (
                f'[flight]\nlisten = "127.0.0.1:{self.flight_port}"\nquery_class = "lookup"\n'
                'update_class = "load"\n[statements]\ndialect = "postgres"\nload = "load"\n'
                'report = "lookup"\n'
                f'snapshot = "{self.folder / "kept" / "costs"}"\nmismatch = "refuse"\nweb = true\n'
            )
        elif self.layout is Layout.PROCESSES:
            planners = ", ".join(f'"127.0.0.1:{port}"' for port in self.planner_ports)
            text = f"[processes]\nplanners = [{planners}]\nforwarders = 2\n"
        (self.folder / "operator.toml").write_text(text)

    def start(self, root: Path, shim_library: Path) -> None:
        """Start the gateway with an empty temporary folder; it appends to the log of earlier processes."""
        shutil.rmtree(self.folder / "tmp", ignore_errors=True)
        (self.folder / "tmp").mkdir(exist_ok=True)
        self.process = self.start_process(root, shim_library)

    def start_process(self, root: Path, shim_library: Path) -> subprocess.Popen[bytes]:
        """Start a main process of the gateway, with the shim; the predecessor may still run in an upgrade."""
        environment = os.environ | self.shim.environment(shim_library)
        environment |= {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
            "QUERY_GATEWAY_TRACE": str(self.trace_path),
        }
        if self.layout is not Layout.PLAIN:
            environment["QUERY_GATEWAY_OPERATOR_FILE"] = str(self.folder / "operator.toml")
        self.expected_to_end = False
        python = root / ".venv" / "bin" / "python"
        with self.log_path.open("ab") as log:
            process = subprocess.Popen(
                [str(python), "-m", "query_gateway"], cwd=root, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
                preexec_fn=_limit_descriptors,
            )  # fmt: skip
        self.started.append(process)
        return process

    def signal_group(self, number: int) -> None:
        """Send a signal to the process group of the gateway's current process."""
        assert self.process
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, number)

    def planner_pids(self) -> list[int]:
        """The process ids of the planners that the gateway's main process has started."""
        return self._child_pids("environ", b"QUERY_GATEWAY_PART=planner")

    def parser_pids(self) -> list[int]:
        """The process ids of the parsers that the gateway's main process has started."""
        return self._child_pids("cmdline", b"query_gateway.parsing.worker")

    def _child_pids(self, file_name: str, content: bytes) -> list[int]:
        """Process ids of the main process's children whose `/proc/PID/file_name` contains `content`."""
        assert self.process
        children = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children")
        pids = []
        with contextlib.suppress(OSError):
            for pid in children.read_text().split():
                if content in Path(f"/proc/{pid}/{file_name}").read_bytes():
                    pids.append(int(pid))
        return pids

    def close(self) -> None:
        """Kill every process of the gateway, including predecessors that still run."""
        for process in self.started:
            if process.returncode is None or process is self.process:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
                process.wait()


def create_gateway_process(
    folder: Path, layout: Layout, number: int, port_reservations: PortReservations
) -> GatewayProcess:
    """Create a gateway's folders and reserve its ports without starting it."""
    name = f"g{number}-{layout.value}"
    gateway_folder = folder / name
    (gateway_folder / "tmp").mkdir(parents=True)
    (gateway_folder / "kept").mkdir()
    return GatewayProcess(
        name,
        layout,
        gateway_folder,
        GatewayTarget(name, port_reservations.reserve(), in_rotation=False),
        ShimControl(gateway_folder / "shim"),
        number,
        planner_ports=[port_reservations.reserve(), port_reservations.reserve()],
        flight_port=port_reservations.reserve(),
    )
