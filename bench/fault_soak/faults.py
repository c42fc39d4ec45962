"""The faults of a run: each is a coroutine that injects a failure for a given time and then removes it."""

import asyncio
import contextlib
import errno
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from bench.fault_soak.clients import Population
from bench.fault_soak.control import CallFault
from bench.fault_soak.deployment import MAX_SIGNAL_INTERVAL_S, Deployment, SignalAfter, UpgradeVariant
from bench.fault_soak.engine_host import FLIGHT_SUFFIX, EngineHost
from bench.fault_soak.engine_mode import EngineMode
from bench.fault_soak.gateway_process import GatewayProcess, Layout
from bench.fault_soak.records import EngineChange, EngineChangeKind, IdleClientSpan, UnreadSpan
from bench.fault_soak.settings import SECOND

ACCEPT_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ECONNABORTED, errno.ENOBUFS, errno.ENOMEM)
SOCKET_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EINTR, errno.EAGAIN)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.ENOMEM)
WRITE_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS, errno.ENOMEM)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)
CONNECTION_ENDING_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
ENGINE_FAULT_MODES = (
    EngineMode.HANG, EngineMode.ERROR, EngineMode.REFUSE, EngineMode.RESET, EngineMode.TORN, EngineMode.DRIP,
)  # fmt: skip
CLOCK_STEPS_S = (3600, -3600, 7, -7, 1.5, -1.5)
CONNECTION_ENDING_RATE = 15  # of a thousand calls, for CONNECTION_ENDING_ERRORS
TOTAL_FAILURE_RATE = 900  # of a thousand calls; at this rate and above nearly every call fails
MAX_TOTAL_FAILURE_S = 0.4
MAX_PAUSE_S = 0.4
IDLE_CLIENT_COUNTS = (120, 400)  # below and above a gateway's DESCRIPTOR_LIMIT
MAX_WORKER_PAUSE_S = 2.0
NOTIFICATION_POLL_S, NOTIFICATION_POLLS = 0.1, 100

InjectFault = Callable[["FaultContext", float], Awaitable[None]]  # the context and the duration in seconds


@dataclass(slots=True)
class FaultContext:
    """The processes and clients that faults act on, with a random source that only faults use."""

    deployment: Deployment
    population: Population
    random: random.Random

    @property
    def gateway_count(self) -> int:
        """The number of gateways that share the engines' capacity."""
        return len(self.deployment.gateways)

    def choose_gateway(self) -> GatewayProcess:
        """A random gateway, preferably one that runs and is in rotation."""
        running = [
            gateway for gateway in self.deployment.gateways if gateway.running and gateway.target.in_rotation
        ]
        return self.random.choice(running or self.deployment.gateways)

    def choose_engine(self) -> EngineHost:
        """A random engine."""
        return self.random.choice(self.deployment.engines)

    def publish(self, engine: EngineHost, kind: EngineChangeKind) -> None:
        """Publish a change in the discovery service and record it for the oracle."""
        discovery = self.deployment.discovery
        changed_at = time.monotonic()
        position = discovery.publish(engine.discovery_entry())
        change = EngineChange(engine.name, kind, changed_at)
        self.deployment.observations.changes.append(change)
        asyncio.create_task(self._record_notifications(change, position))

    async def _record_notifications(self, change: EngineChange, position: int) -> None:
        """For 10 s, copy to `change` when each gateway was sent the event at `position` or a later one."""
        for _ in range(NOTIFICATION_POLLS):
            for gateway in self.deployment.gateways:
                times = self.deployment.discovery.times_notified(gateway.name, position)
                if times:
                    change.notified_at[gateway.name] = times[0]
                    change.notified_again_at[gateway.name] = times[1:]
            await asyncio.sleep(NOTIFICATION_POLL_S)


@contextmanager
def exclusive_use(gateway: GatewayProcess) -> Iterator[None]:
    """Mark a gateway as busy, so that no second kill, stop, pause or upgrade starts on it."""
    gateway.busy = True
    try:
        yield
    finally:
        gateway.busy = False


async def clock_step(context: FaultContext, seconds: float) -> None:
    """Step the wall clock of one gateway or of all, and in half of the cases revert the step."""
    step = int(context.random.choice(CLOCK_STEPS_S) * SECOND)
    gateways = context.deployment.gateways if context.random.random() < 0.5 else [context.choose_gateway()]
    is_reverted = context.random.random() < 0.5
    for gateway in gateways:
        gateway.shim.state.clock_offset_ns += step
        gateway.shim.apply()
    await asyncio.sleep(seconds)
    for gateway in gateways if is_reverted else ():
        gateway.shim.state.clock_offset_ns -= step
        gateway.shim.apply()


def call_fault(name: str, errors: tuple[int, ...], rates: tuple[int, ...]) -> InjectFault:
    """Return a fault that makes one kind of system call fail in one gateway."""

    async def inject(context: FaultContext, seconds: float) -> None:
        """Set the fault in a random gateway, with a random error and a rate that suits it, then clear it."""
        gateway, error = context.choose_gateway(), context.random.choice(errors)
        ends_connection = error in CONNECTION_ENDING_ERRORS
        rate = CONNECTION_ENDING_RATE if ends_connection else context.random.choice(rates)
        setattr(gateway.shim.state, name, CallFault(rate, error))
        gateway.shim.apply()
        # While nearly every call fails, requests with a deadline of 0.15 s get no answer, so a fault at such
        # a rate is kept short
        await asyncio.sleep(min(seconds, MAX_TOTAL_FAILURE_S) if rate >= TOTAL_FAILURE_RATE else seconds)
        setattr(gateway.shim.state, name, CallFault())
        gateway.shim.apply()

    return inject


async def short_and_interrupted_calls(context: FaultContext, seconds: float) -> None:
    """Inject short reads and writes and interrupted waits and closes in one gateway."""
    gateway = context.choose_gateway()
    state = gateway.shim.state
    state.short_io_rate, state.interrupt_rate, state.close_interrupt_rate = 300, 200, 100
    gateway.shim.apply()
    await asyncio.sleep(seconds)
    state.short_io_rate = state.interrupt_rate = state.close_interrupt_rate = 0
    gateway.shim.apply()


async def engine_fault_mode(context: FaultContext, seconds: float) -> None:
    """Put one or two engines into a fault mode."""
    # The first draw of a pair only makes the key, but without it every seed would give other faults
    engines = {context.choose_engine().name: context.choose_engine() for _ in range(2)}.values()
    for engine in engines:
        engine.set_mode(context.random.choice(ENGINE_FAULT_MODES))
    await asyncio.sleep(seconds)
    for engine in engines:
        engine.set_mode(EngineMode.OK)


async def path_fault(context: FaultContext, seconds: float) -> None:
    """Make the connections to an engine stall, stay unread, get established late or break."""
    engine = context.choose_engine()
    command = context.random.choice(("stall", "unread", "late", "reset", "idle-close"))
    if command == "late":
        engine.send_to_proxies("reset")
    began_at = time.monotonic()
    engine.send_to_proxies(command)
    await asyncio.sleep(seconds)
    engine.send_to_proxies("pass")
    observations = context.deployment.observations
    description = f"{engine.name} {command} {began_at:.3f} to {time.monotonic():.3f}"
    observations.path_faults.append(description)
    if command in ("stall", "unread", "late"):  # the Flight engine records requests after the proxy
        flight_name = f"{engine.name}{FLIGHT_SUFFIX}"
        observations.unread_spans.append(UnreadSpan(flight_name, began_at, time.monotonic()))
    if command in ("unread", "late"):  # requests may wait in kernel buffers until the proxy reads or accepts
        observations.unread_spans.append(UnreadSpan(engine.name, began_at, time.monotonic()))


async def drain(context: FaultContext, seconds: float) -> None:
    """Publish an engine as draining, and as up again afterwards."""
    engine = context.choose_engine()
    if engine.health != "up":
        return
    engine.health = "draining"
    context.publish(engine, EngineChangeKind.DRAINING)
    await asyncio.sleep(seconds)
    engine.health = "up"
    context.publish(engine, EngineChangeKind.UP)


async def engine_restart(context: FaultContext, seconds: float) -> None:
    """Publish an engine as restarted, hence in slow start, and reset its connections."""
    engine = context.choose_engine()
    if engine.health != "up":
        return
    engine.send_to_proxies("reset")
    engine.started_at_ms = int(time.time() * 1000)
    context.publish(engine, EngineChangeKind.RESTARTED)
    await asyncio.sleep(seconds)


async def discovery_outage(context: FaultContext, seconds: float) -> None:
    """Make the discovery service refuse connections, or accept polls without answering them."""
    discovery = context.deployment.discovery
    if context.random.random() < 0.5:
        discovery.silent = True
        await asyncio.sleep(seconds)
        discovery.silent = False
    else:
        await discovery.start_outage()
        await asyncio.sleep(seconds)
        await discovery.end_outage()


async def gateway_kill(context: FaultContext, seconds: float) -> None:
    """Kill a gateway and restart it."""
    gateway = context.choose_gateway()
    if gateway.target.in_rotation and not gateway.busy:
        with exclusive_use(gateway):
            await context.deployment.kill(gateway, context.gateway_count)


def _draw_later_signals(random_source: random.Random) -> list[SignalAfter]:
    """Draw the signals that a gateway gets after its SIGTERM."""
    numbers = random_source.choices((signal.SIGTERM, signal.SIGHUP), k=random_source.randrange(4))
    return [SignalAfter(number, random_source.uniform(0.0, MAX_SIGNAL_INTERVAL_S)) for number in numbers]


async def gateway_stop(context: FaultContext, seconds: float) -> None:
    """Stop a gateway with SIGTERM and later signals, and restart it; in a third of the cases twice."""
    gateway = context.choose_gateway()
    for _ in range(context.random.choice((1, 1, 2))):
        if gateway.target.in_rotation and not gateway.busy:
            with exclusive_use(gateway):
                later_signals = _draw_later_signals(context.random)
                await context.deployment.stop(gateway, context.gateway_count, later_signals)


async def gateway_pause(context: FaultContext, seconds: float) -> None:
    """Pause and resume all processes of a gateway, up to four times, sometimes with SIGHUP in between."""
    gateway = context.choose_gateway()
    for _ in range(context.random.choice((1, 2, 4))):
        if gateway.busy or not gateway.running or not gateway.target.in_rotation:
            return
        with exclusive_use(gateway):
            gateway.signal_group(signal.SIGSTOP)
            await asyncio.sleep(context.random.uniform(0.02, MAX_PAUSE_S))
            gateway.signal_group(signal.SIGCONT)
        if gateway.process and context.random.random() < 0.3:
            gateway.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(context.random.uniform(MAX_PAUSE_S, 2 * MAX_PAUSE_S))


async def gateway_upgrade(context: FaultContext, seconds: float) -> None:
    """Run a random variant of a hot upgrade on one gateway."""
    candidates = [
        gateway
        for gateway in context.deployment.gateways
        if gateway.layout is not Layout.PROCESSES
        and gateway.running
        and gateway.target.in_rotation
        and not gateway.expected_to_end
        and not gateway.busy
    ]
    if not candidates:
        return
    gateway = context.random.choice(candidates)
    with exclusive_use(gateway):
        variant = context.random.choice(list(UpgradeVariant))
        await context.deployment.upgrade(gateway, variant, context.gateway_count)


async def gateway_reload(context: FaultContext, seconds: float) -> None:
    """Reload a gateway with up to three new configurations in quick succession."""
    gateway = context.choose_gateway()
    for _ in range(context.random.choice((1, 2, 3))):
        if gateway.process and gateway.running and gateway.target.in_rotation:
            latency_objective_share = context.random.choice((0.4, 0.5, 0.6))
            context.deployment.write_configuration(gateway, context.gateway_count, latency_objective_share)
            gateway.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(context.random.uniform(0, 0.2))


async def worker_fault(context: FaultContext, seconds: float) -> None:
    """Kill or pause one planner of a gateway or, if it has none, all its parsers."""
    gateways = [
        gateway
        for gateway in context.deployment.gateways
        if gateway.layout is not Layout.PLAIN and gateway.target.in_rotation
    ]
    if not gateways:
        return
    gateway = context.random.choice(gateways)
    pids = gateway.parser_pids()
    if planners := gateway.planner_pids():
        pids = [context.random.choice(planners)]
    if context.random.random() < 0.5:
        _signal_all(pids, signal.SIGKILL)
    else:
        _signal_all(pids, signal.SIGSTOP)
        await asyncio.sleep(min(seconds, MAX_WORKER_PAUSE_S))
        _signal_all(pids, signal.SIGCONT)


def _signal_all(pids: list[int], number: int) -> None:
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)


async def idle_clients(context: FaultContext, seconds: float) -> None:
    """Occupy a gateway's descriptors with idle connections."""
    gateway = context.choose_gateway()
    count, began_at = context.random.choice(IDLE_CLIENT_COUNTS), time.monotonic()
    sockets = context.population.open_idle_connections(gateway.target, count)
    await asyncio.sleep(seconds)
    for sock in sockets:
        sock.close()
    span = IdleClientSpan(gateway.name, began_at, time.monotonic())
    context.deployment.observations.idle_client_spans.append(span)


FAULTS: dict[str, InjectFault] = {
    "clock": clock_step,
    "accept": call_fault("accept", ACCEPT_ERRORS, (300, 1000)),
    "socket": call_fault("socket", SOCKET_ERRORS, (300, 1000)),
    "connect": call_fault("connect", CONNECT_ERRORS, (300, 1000)),
    "read": call_fault("read", READ_ERRORS, (50, 300)),
    "write": call_fault("write", WRITE_ERRORS, (50, 300)),
    "disk": call_fault("disk", DISK_ERRORS, (500, 1000)),
    "rough-calls": short_and_interrupted_calls,
    "mood": engine_fault_mode,
    "path": path_fault,
    "drain": drain,
    "engine-restart": engine_restart,
    "discovery": discovery_outage,
    "kill": gateway_kill,
    "stop": gateway_stop,
    "pause": gateway_pause,
    "upgrade": gateway_upgrade,
    "reload": gateway_reload,
    "worker": worker_fault,
    "crowd": idle_clients,
}
