"""Starts and steers the stand-in engines of a run, each behind a fault proxy for either wire."""

import contextlib
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from bench.fault_soak.engine_mode import EngineMode
from bench.loopback_ports import PortReservations

FLIGHT_SUFFIX = "@flight"  # of an engine's name where it is observed on the Flight wire


@dataclass(slots=True)
class EngineHost:
    """One engine with its proxies; `close` ends their processes."""

    name: str
    port: int  # of the proxy
    flight_port: int
    engines: tuple[subprocess.Popen[bytes], ...]  # of the platform's wire and of Flight SQL
    proxies: tuple[subprocess.Popen[bytes], ...]
    started_at_ms: int = 0  # of the wall clock; 0: long ago
    health: str = "up"

    def listed(self) -> dict[str, object]:
        """The engine as the discovery service lists it, in the words of its wire."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall-a", "class": "std-16",
            "block": 0, "health": self.health, "share": 1, "born_ms": self.started_at_ms,
            "flight": f"127.0.0.1:{self.flight_port}",
        }  # fmt: skip

    @property
    def ended_processes(self) -> list[str]:
        """The commands of its processes that have ended by themselves."""
        processes = (*self.engines, *self.proxies)
        return [str(process.args) for process in processes if process.poll() is not None]

    def set_mode(self, mode: EngineMode) -> None:
        """How the engine answers from now on."""
        for engine in self.engines:
            _send_line(engine, mode.value)

    def order(self, order: str) -> None:
        """What the proxies do from now on."""
        for proxy in self.proxies:
            _send_line(proxy, order)

    def close(self) -> None:
        """End all processes."""
        for process in (*self.engines, *self.proxies):
            process.kill()
            process.wait()


def start_engine_host(folder: Path, name: str, seed: int, port_reservations: PortReservations) -> EngineHost:
    """Start one engine on both wires with its proxies; their events go to a file in the folder."""
    ports = [port_reservations.reserve() for _ in range(4)]
    event_file = str(folder / f"{name}.events")
    engines = (
        _start_module("engine", ports[0], seed),
        _start_module("flight_engine", ports[1], seed, f"{name}{FLIGHT_SUFFIX}", event_file),
    )
    proxies = (
        _start_module("proxy", ports[2], ports[0], name, event_file),
        _start_module("proxy", ports[3], ports[1], name, event_file, "opaque"),
    )
    return EngineHost(name, ports[2], ports[3], engines, proxies)


def _start_module(module: str, *arguments: object) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", f"bench.fault_soak.{module}", *map(str, arguments)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, cwd=Path(__file__).parents[2])


def _send_line(process: subprocess.Popen[bytes], line: str) -> None:
    assert process.stdin
    with contextlib.suppress(OSError):
        process.stdin.write(line.encode() + b"\n")
        process.stdin.flush()
