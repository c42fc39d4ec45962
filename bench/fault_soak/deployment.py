"""All processes of a run: starts them, and kills, stops and upgrades gateways for the faults."""

import asyncio
import contextlib
import os
import signal
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path

from bench.fault_soak.discovery import Discovery
from bench.fault_soak.engine_host import EngineHost, start_engine_host
from bench.fault_soak.gateway_process import DiscoverySettings, GatewayProcess, Layout, create_gateway_process
from bench.fault_soak.records import Observations, Outage, OutageKind, SuccessorStart
from bench.fault_soak.settings import Deadlines
from bench.loopback_ports import PortReservations

START_TIMEOUT_S = 15.0
READY_POLL_S = 0.05
EXIT_POLL_S = 0.02
ROTATION_REMOVAL_DELAY_S = 0.3  # from SIGTERM or SIGKILL until the platform's front routes no more clients
EARLY_STOP_AFTER_S = 0.1  # from the successor's start to the predecessor's SIGTERM, in EARLY_STOP
LATE_START_AFTER_S = 1.0  # from the predecessor's SIGTERM to the successor's start, in LATE_START
KILL_RACE_S = 0.05  # a successor's kill may lose requests that ended up to this long before its recorded time
MAX_SIGNAL_INTERVAL_S = 0.2  # between two consecutive signals to a gateway that is being stopped


@dataclass(frozen=True, slots=True)
class DeploymentPaths:
    """The folders and files of a deployment."""

    root: Path  # the source tree that is run, with its virtual environment
    folder: Path  # of logs and events
    shim_library: Path


@dataclass(frozen=True, slots=True)
class SignalAfter:
    """A signal of a sequence, sent `seconds` after the previous one."""

    number: int
    seconds: float


class StandInEndedError(Exception):
    """A stand-in engine or its proxy ended during the run, which makes the run's result invalid."""


class UpgradeVariant(Enum):
    """The variants of a hot upgrade."""

    PLAIN = "plain"
    EARLY_STOP = "early stop"  # SIGTERM before the successor is ready
    LOST_SUCCESSOR = "lost successor"  # the successor is killed as soon as it is ready
    LATE_START = "late start"  # the successor starts after its predecessor has closed its listeners


class Deployment:
    """All processes of one run; `close` ends those that still run."""

    def __init__(self, paths: DeploymentPaths, observations: Observations, longest_deadline_s: float) -> None:
        """Create the deployment without starting a process."""
        self.root, self.folder, self.shim_library = paths.root, paths.folder, paths.shim_library
        self.deadlines = Deadlines(longest_deadline_s)
        self.observations = observations
        self.port_reservations = PortReservations()
        self.discovery = Discovery(self.port_reservations)
        self.engines: list[EngineHost] = []
        self.gateways: list[GatewayProcess] = []

    def start_engines(self, count: int, seed: int) -> None:
        """Start the engines and their proxies, and publish them to the discovery service."""
        for number in range(count):
            engine = start_engine_host(self.folder, f"e{number}", seed + number, self.port_reservations)
            self.engines.append(engine)
        self.discovery.publish(*(engine.discovery_entry() for engine in self.engines))

    async def add_gateway(self, layout: Layout, number: int, count: int) -> None:
        """Create a gateway's files and start it."""
        gateway = create_gateway_process(self.folder, layout, number, self.port_reservations)
        await self.discovery.listen(gateway.name)
        gateway.write_operator_file()
        self.gateways.append(gateway)
        self.write_configuration(gateway, count)
        gateway.start(self.root, self.shim_library)

    def write_configuration(
        self, gateway: GatewayProcess, gateway_count: int, latency_objective_share: float = 0.5
    ) -> None:
        """Write the configuration that a start or a reload reads, with the current endpoint list."""
        endpoint_list = self.discovery.initial_list(gateway.name)
        discovery_settings = DiscoverySettings(self.discovery.ports[gateway.name], endpoint_list)
        deadlines = replace(self.deadlines, latency_objective_share=latency_objective_share)
        gateway.write_configuration(discovery_settings, gateway_count, deadlines)

    async def wait_until_ready(self, gateway: GatewayProcess) -> bool:
        """Put the gateway into rotation once it reports that it is live; False on a timeout or if it ends."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and gateway.running:
            if await self._is_live(gateway.target.port):
                gateway.target.in_rotation = True
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    @staticmethod
    async def _is_live(port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return b" 200 " in status

    async def kill(self, gateway: GatewayProcess, gateway_count: int) -> None:
        """Send SIGKILL to all processes of the gateway and restart it."""
        began_at = time.monotonic()
        gateway.expected_to_end = True
        gateway.signal_group(signal.SIGKILL)
        await asyncio.sleep(ROTATION_REMOVAL_DELAY_S)
        gateway.target.in_rotation = False  # the platform's front would have detected the end by now
        await self._restart(gateway, gateway_count, OutageKind.KILLED, began_at, began_at)

    async def stop(
        self, gateway: GatewayProcess, gateway_count: int, later_signals: Sequence[SignalAfter] = ()
    ) -> None:
        """Send SIGTERM, then SIGKILL after `Deadlines.kill_after_s`, and restart the gateway.

        Clients open new connections until `ROTATION_REMOVAL_DELAY_S` after SIGTERM. `later_signals` are
        sent after the SIGTERM, in sequence.
        """
        began_at = time.monotonic()
        assert gateway.process
        gateway.expected_to_end = True
        gateway.process.send_signal(signal.SIGTERM)
        sending = asyncio.create_task(self._send_signals(gateway.process, later_signals))
        await asyncio.sleep(ROTATION_REMOVAL_DELAY_S)
        gateway.target.in_rotation = False
        kill_at = began_at + self.deadlines.kill_after_s
        while gateway.running and time.monotonic() < kill_at:
            await asyncio.sleep(EXIT_POLL_S)
        # A supervisor exits with SIGKILL's number if a child process was killed, as by the fault `worker`
        if not gateway.running and gateway.process.returncode not in (0, signal.SIGKILL):
            self.observations.crashes.append(
                f"{gateway.name}: code {gateway.process.returncode} after SIGTERM"
            )
        killed_at = time.monotonic()
        sending.cancel()
        gateway.signal_group(signal.SIGKILL)
        await self._restart(gateway, gateway_count, OutageKind.STOPPED, began_at, killed_at)

    @staticmethod
    async def _send_signals(process: subprocess.Popen[bytes], signals: Sequence[SignalAfter]) -> None:
        for later_signal in signals:
            await asyncio.sleep(later_signal.seconds)
            if process.poll() is None:
                process.send_signal(later_signal.number)

    async def _restart(
        self, gateway: GatewayProcess, gateway_count: int, kind: OutageKind, began_at: float, killed_at: float
    ) -> None:
        assert gateway.process
        gateway.process.wait()
        self.write_configuration(gateway, gateway_count)
        gateway.start(self.root, self.shim_library)
        ready = await self.wait_until_ready(gateway)
        if not ready:
            self.observations.crashes.append(f"{gateway.name}: not ready after it was {kind.value}")
        outage = Outage(gateway.name, kind, began_at, killed_at, time.monotonic())
        self.observations.outages.append(outage)

    async def upgrade(self, gateway: GatewayProcess, variant: UpgradeVariant, gateway_count: int) -> None:
        """Run a hot upgrade; in variant PLAIN the predecessor gets SIGTERM when its successor is ready."""
        if variant is UpgradeVariant.LATE_START:
            await self._start_late(gateway)
            return
        predecessor = gateway.process
        assert predecessor
        log_before = gateway.log_path.stat().st_size
        self.observations.successor_starts.append(SuccessorStart(gateway.name, time.monotonic()))
        successor = gateway.start_process(self.root, self.shim_library)
        if variant is UpgradeVariant.EARLY_STOP:
            await asyncio.sleep(EARLY_STOP_AFTER_S)
        else:
            await self._wait_for_successor(gateway, log_before)
        if variant is UpgradeVariant.LOST_SUCCESSOR:
            killed_at = time.monotonic()
            successor.kill()  # the requests that it has accepted are lost
            successor.wait()
            outage = Outage(gateway.name, OutageKind.KILLED, killed_at - KILL_RACE_S, killed_at, killed_at)
            self.observations.outages.append(outage)
            return
        gateway.expected_to_end = True
        predecessor.send_signal(signal.SIGTERM)
        await self._end_predecessor(gateway.name, predecessor, time.monotonic() + self.deadlines.kill_after_s)
        gateway.process, gateway.expected_to_end = successor, False

    async def _start_late(self, gateway: GatewayProcess) -> None:
        """Send SIGTERM, and start the successor while the predecessor completes its open requests."""
        predecessor, began_at = gateway.process, time.monotonic()
        assert predecessor
        gateway.expected_to_end = True
        predecessor.send_signal(signal.SIGTERM)
        await asyncio.sleep(ROTATION_REMOVAL_DELAY_S)
        gateway.target.in_rotation = False
        await asyncio.sleep(LATE_START_AFTER_S - ROTATION_REMOVAL_DELAY_S)
        self.observations.successor_starts.append(SuccessorStart(gateway.name, time.monotonic()))
        gateway.process = gateway.start_process(self.root, self.shim_library)
        ready, _ = await asyncio.gather(
            self.wait_until_ready(gateway),
            self._end_predecessor(gateway.name, predecessor, began_at + self.deadlines.kill_after_s),
        )
        if not ready:
            self.observations.crashes.append(f"{gateway.name}: a late start was not ready")

    async def _end_predecessor(
        self, gateway_name: str, predecessor: subprocess.Popen[bytes], kill_at: float
    ) -> None:
        while predecessor.poll() is None and time.monotonic() < kill_at:
            await asyncio.sleep(EXIT_POLL_S)
        if predecessor.poll() not in (None, 0):
            self.observations.crashes.append(f"{gateway_name}: code {predecessor.poll()} after an upgrade")
        with contextlib.suppress(ProcessLookupError):
            os.killpg(predecessor.pid, signal.SIGKILL)
        predecessor.wait()

    @staticmethod
    async def _wait_for_successor(gateway: GatewayProcess, log_before: int) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if b"successor is ready" in gateway.log_path.read_bytes()[log_before:]:
                return
            await asyncio.sleep(EXIT_POLL_S)

    def check_crashes(self) -> None:
        """Record gateways that have ended though the run did not stop, kill or upgrade them."""
        for gateway in self.gateways:
            if not gateway.running and not gateway.expected_to_end and gateway.process:
                gateway.expected_to_end = True
                self.observations.crashes.append(
                    f"{gateway.name}: ended with {gateway.process.returncode}: {gateway.last_log_line}"
                )

    def check_stand_ins(self) -> None:
        """Raise StandInEndedError if an engine or a proxy has ended: the run tests less than it reports."""
        for engine in self.engines:
            if ended := engine.ended_processes:
                raise StandInEndedError(f"{engine.name}: {', '.join(ended)}")

    def close(self) -> None:
        """Kill every process that the deployment has started."""
        for gateway in self.gateways:
            gateway.close()
        for engine in self.engines:
            engine.close()
        self.port_reservations.close()
