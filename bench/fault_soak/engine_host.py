"""Starts and controls the stand-in engines of a run, each behind one fault proxy per protocol."""

import contextlib
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from bench.fault_soak.engine_mode import EngineMode
from bench.loopback_ports import PortReservations

FLIGHT_SUFFIX = "@flight"  # added to the engine's name in the events of its Flight SQL connections


@dataclass(slots=True)
class EngineHost:
    """An engine that serves two protocols, each by its own process behind a proxy; `close` kills them all."""

    name: str
    port: int  # of the proxy for the platform's line protocol (query_gateway.engine_protocol)
    flight_port: int  # of the proxy for Flight SQL (query_gateway.flight)
    engines: tuple[subprocess.Popen[bytes], ...]  # for the line protocol and for Flight SQL
    proxies: tuple[subprocess.Popen[bytes], ...]
    started_at_ms: int = 0  # wall clock; 0: long before the run
    health: str = "up"

    def discovery_entry(self) -> dict[str, object]:
        """The engine's entry in the endpoint list, with the field names of the discovery protocol."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "hall-a", "class": "std-16",
            "block": 0, "health": self.health, "share": 1, "born_ms": self.started_at_ms,
            "flight": f"127.0.0.1:{self.flight_port}",
        }  # fmt: skip

    @property
    def ended_processes(self) -> list[str]:
        """The command lines of the engine's processes that have ended; none should during a run."""
        processes = (*self.engines, *self.proxies)
        return [str(process.args) for process in processes if process.poll() is not None]

    def set_mode(self, mode: EngineMode) -> None:
        """Set how the engine answers from now on, on both protocols."""
        for engine in self.engines:
            _send_line(engine, mode.value)

    def send_to_proxies(self, command: str) -> None:
        """Send a command to both proxies; proxy.py lists the commands at its head."""
        for proxy in self.proxies:
            _send_line(proxy, command)

    def close(self) -> None:
        """Kill all processes of the engine."""
        for process in (*self.engines, *self.proxies):
            process.kill()
            process.wait()


def start_engine_host(folder: Path, name: str, seed: int, port_reservations: PortReservations) -> EngineHost:
    """Start an engine's processes and proxies, which append events to `NAME.events` in the folder."""
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
