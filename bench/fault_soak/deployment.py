"""All processes of a run: starts them, and kills, stops and upgrades gateways as the faults require."""

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
from bench.fault_soak.gateway_process import DiscoveryView, GatewayProcess, Layout, create_gateway_process
from bench.fault_soak.records import Observations, Outage, OutageKind, SuccessorStart
from bench.fault_soak.settings import Deadlines
from bench.loopback_ports import PortReservations

START_TIMEOUT_S = 15.0
READY_POLL_S = 0.05
EXIT_POLL_S = 0.02
FRONT_NOTICES_AFTER_S = 0.3  # that a gateway ends
EARLY_STOP_AFTER_S = 0.1  # of the successor's start
LATE_START_AFTER_S = 1.0  # of the predecessor's SIGTERM
KILL_UNCERTAINTY_S = 0.05  # a successor may have accepted a request so long before it was killed
FURTHER_SIGNALS_MAX_S = 0.2  # between two signals of a series


@dataclass(frozen=True, slots=True)
class DeploymentPaths:
    """Where a deployment's program and files are."""

    root: Path  # the tree whose program is run, with its virtual environment
    folder: Path  # for logs
    shim_library: Path


@dataclass(frozen=True, slots=True)
class SignalAfter:
    """A signal of a series, so many seconds after the one before."""

    number: int
    seconds: float


class StandInEndedError(Exception):
    """An engine or a proxy of the run itself has ended."""


class UpgradeWay(Enum):
    """How a hot upgrade goes."""

    PLAIN = "plain"
    EARLY_STOP = "early stop"  # SIGTERM before the successor is ready
    LOST_SUCCESSOR = "lost successor"  # the successor is killed as soon as it is ready
    LATE_START = "late start"  # the successor starts when its predecessor has closed its listeners


class Deployment:
    """All processes of one run; `close` ends those that are left."""

    def __init__(self, paths: DeploymentPaths, observations: Observations, longest_deadline_s: float) -> None:
        """Nothing is started yet."""
        self.root, self.folder, self.shim_library = paths.root, paths.folder, paths.shim_library
        self.deadlines = Deadlines(longest_deadline_s)
        self.observations = observations
        self.port_reservations = PortReservations()
        self.discovery = Discovery(self.port_reservations)
        self.engines: list[EngineHost] = []
        self.gateways: list[GatewayProcess] = []

    def start_engines(self, count: int, seed: int) -> None:
        """Start engines and their proxies, and list them."""
        for number in range(count):
            engine = start_engine_host(self.folder, f"e{number}", seed + number, self.port_reservations)
            self.engines.append(engine)
        self.discovery.publish(*(engine.listed() for engine in self.engines))

    async def add_gateway(self, layout: Layout, number: int, count: int) -> None:
        """Make a gateway's files and start it."""
        gateway = create_gateway_process(self.folder, layout, number, self.port_reservations)
        await self.discovery.listen(gateway.name)
        gateway.write_operator_file()
        self.gateways.append(gateway)
        self.write_configuration(gateway, count)
        gateway.spawn(self.root, self.shim_library)

    def write_configuration(
        self, gateway: GatewayProcess, gateway_count: int, latency_objective_share: float = 0.5
    ) -> None:
        """Write the file that a start or a reload reads, with the present endpoint list."""
        endpoint_list = self.discovery.initial_list(gateway.name)
        view = DiscoveryView(self.discovery.ports[gateway.name], endpoint_list)
        deadlines = replace(self.deadlines, latency_objective_share=latency_objective_share)
        gateway.write_configuration(view, gateway_count, deadlines)

    async def wait_until_ready(self, gateway: GatewayProcess) -> bool:
        """Wait until the gateway answers that it is live; False if it does not in time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and gateway.running:
            if await self._is_live(gateway.gate.port):
                gateway.gate.admitted = True
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
        """SIGKILL to all processes of the gateway, and a new start soon after."""
        began_at = time.monotonic()
        gateway.expected_to_end = True
        gateway.signal_group(signal.SIGKILL)
        await asyncio.sleep(FRONT_NOTICES_AFTER_S)
        gateway.gate.admitted = False  # clients keep connecting until the front has noticed
        await self._restart(gateway, gateway_count, OutageKind.KILLED, began_at, began_at)

    async def stop(
        self, gateway: GatewayProcess, gateway_count: int, further_signals: Sequence[SignalAfter] = ()
    ) -> None:
        """SIGTERM, new connections for up to 0.4 s more, SIGKILL as early as it may come, and a new start.

        `further_signals` follow the SIGTERM one after the other.
        """
        began_at = time.monotonic()
        assert gateway.process
        gateway.expected_to_end = True
        gateway.process.send_signal(signal.SIGTERM)
        sending = asyncio.create_task(self._send_signals(gateway.process, further_signals))
        await asyncio.sleep(FRONT_NOTICES_AFTER_S)
        gateway.gate.admitted = False
        kill_at = began_at + self.deadlines.kill_after_s
        while gateway.running and time.monotonic() < kill_at:
            await asyncio.sleep(EXIT_POLL_S)
        # A supervisor exits with the code of a process of its own that was killed
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
        for following in signals:
            await asyncio.sleep(following.seconds)
            if process.poll() is None:
                process.send_signal(following.number)

    async def _restart(
        self, gateway: GatewayProcess, gateway_count: int, kind: OutageKind, began_at: float, killed_at: float
    ) -> None:
        assert gateway.process
        gateway.process.wait()
        self.write_configuration(gateway, gateway_count)
        gateway.spawn(self.root, self.shim_library)
        ready = await self.wait_until_ready(gateway)
        if not ready:
            self.observations.crashes.append(f"{gateway.name}: not ready after it was {kind.value}")
        outage = Outage(gateway.name, kind, began_at, killed_at, time.monotonic())
        self.observations.outages.append(outage)

    async def upgrade(self, gateway: GatewayProcess, way: UpgradeWay, gateway_count: int) -> None:
        """A hot upgrade: a second process beside the first, which then gets SIGTERM."""
        if way is UpgradeWay.LATE_START:
            await self._start_late(gateway)
            return
        predecessor = gateway.process
        assert predecessor
        log_before = gateway.log_path.stat().st_size
        self.observations.successor_starts.append(SuccessorStart(gateway.name, time.monotonic()))
        successor = gateway.start_process(self.root, self.shim_library)
        if way is UpgradeWay.EARLY_STOP:
            await asyncio.sleep(EARLY_STOP_AFTER_S)
        else:
            await self._wait_for_successor(gateway, log_before)
        if way is UpgradeWay.LOST_SUCCESSOR:
            killed_at = time.monotonic()
            successor.kill()  # requests that it had accepted are lost
            successor.wait()
            outage = Outage(
                gateway.name, OutageKind.KILLED, killed_at - KILL_UNCERTAINTY_S, killed_at, killed_at
            )
            self.observations.outages.append(outage)
            return
        gateway.expected_to_end = True
        predecessor.send_signal(signal.SIGTERM)
        await self._end_predecessor(gateway.name, predecessor, time.monotonic() + self.deadlines.kill_after_s)
        gateway.process, gateway.expected_to_end = successor, False

    async def _start_late(self, gateway: GatewayProcess) -> None:
        """SIGTERM, and a new process while the old one finishes what it has open."""
        predecessor, began_at = gateway.process, time.monotonic()
        assert predecessor
        gateway.expected_to_end = True
        predecessor.send_signal(signal.SIGTERM)
        await asyncio.sleep(FRONT_NOTICES_AFTER_S)
        gateway.gate.admitted = False
        await asyncio.sleep(LATE_START_AFTER_S - FRONT_NOTICES_AFTER_S)
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
        """Note gateways that have ended and were not stopped, killed or upgraded."""
        for gateway in self.gateways:
            if not gateway.running and not gateway.expected_to_end and gateway.process:
                gateway.expected_to_end = True
                self.observations.crashes.append(
                    f"{gateway.name}: ended with {gateway.process.returncode}: {gateway.last_log_line}"
                )

    def check_stand_ins(self) -> None:
        """Raise StandInEndedError for a stand-in that has ended: the run would test less than it says."""
        for engine in self.engines:
            if ended := engine.ended_processes:
                raise StandInEndedError(f"{engine.name}: {', '.join(ended)}")

    def close(self) -> None:
        """End every process that this deployment has started."""
        for gateway in self.gateways:
            gateway.close()
        for engine in self.engines:
            engine.close()
        self.port_reservations.close()
