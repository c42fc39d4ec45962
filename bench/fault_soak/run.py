"""One run of the soak: starts a deployment, runs clients and faults against it and checks the promises."""

import asyncio
import json
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from bench.fault_soak.clients import Population
from bench.fault_soak.deployment import Deployment, DeploymentPaths
from bench.fault_soak.fault_schedule import ScheduledFault, draw_schedule, run_schedule
from bench.fault_soak.faults import FAULTS, FaultContext
from bench.fault_soak.flight_clients import FlightPopulation
from bench.fault_soak.gateway_process import Layout
from bench.fault_soak.oracle import Oracle, Violation
from bench.fault_soak.records import DriverStall, EngineEvent, EngineEventKind, Observations
from bench.fault_soak.settings import ANSWER_SLACK_S, DEADLINES_S

WATCH_INTERVAL_S = 0.02
STALL_S = 0.15  # a wait that overruns by more than this counts as a stall of the soak itself
DELAY_S = 0.01  # a wait that overruns by more than this delays the clients' observations
LOG_TIME = r"\S+Z \S+ "  # the prefix of a log line: wall clock and monotonic clock
FAULT_LINES = re.compile(rf"^({LOG_TIME}fault |{LOG_TIME}planner a planner broke|Traceback|.*Error: )")
INVARIANT_LINES = re.compile(rf"^{LOG_TIME}invariant ")
WARM_UP_S = 1.0


@dataclass(slots=True, frozen=True)
class Plan:
    """The parameters of a run; all random choices derive from the seed."""

    seed: int
    seconds: float = 14.0
    layouts: tuple[Layout, ...] = (Layout.PLAIN, Layout.PLAIN, Layout.FLIGHT, Layout.PROCESSES)
    engine_count: int = 4
    client_count: int = 40
    key_pair_client_count: int = 8
    flight_client_count: int = 8  # for each gateway with the Flight SQL front
    fault_count: int = 10
    only: tuple[str, ...] = ()  # names of the faults to draw from; all if empty
    deadline_s: float | None = None  # the longest of the deployment; drawn from DEADLINES_S if None

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of the deployment."""
        drawn = random.Random(f"deadline {self.seed}").choice(DEADLINES_S)
        return self.deadline_s or drawn


@dataclass(slots=True)
class Result:
    """The schedule, the observations and the violations of a run."""

    plan: Plan
    schedule: list[ScheduledFault]
    observations: Observations
    violations: list[Violation] = field(default_factory=list)

    def summary(self) -> str:
        """One line with the number of requests by ending and of violations by promise."""
        endings: dict[str, int] = {}
        for record in self.observations.clients:
            endings[record.ending.value] = endings.get(record.ending.value, 0) + 1
        promises: dict[str, int] = {}
        for violation in self.violations:
            promises[violation.promise] = promises.get(violation.promise, 0) + 1
        verdict = "broken " + json.dumps(promises) if promises else "kept"
        stalls = sum(stall.ended_at - stall.began_at for stall in self.observations.driver_stalls)
        stall_note = f" blind {stalls:.1f} s" if stalls else ""
        plan = f"seed {self.plan.seed} deadline {self.plan.longest_deadline_s} s"
        return f"{plan} {json.dumps(endings)}{stall_note}: {verdict}"


async def run(
    plan: Plan,
    root: Path,
    folder: Path,
    shim_library: Path,
    on_start: Callable[[Deployment], None] = lambda deployment: None,
) -> Result:
    """Execute a plan with the source tree in `root`; logs and events are written to `folder`.

    `on_start` is called with the deployment before its first process starts.
    """
    random_source = random.Random(plan.seed)
    observations = Observations()
    paths = DeploymentPaths(root, folder, shim_library)
    deployment = Deployment(paths, observations, plan.longest_deadline_s)
    on_start(deployment)
    try:
        deployment.start_engines(plan.engine_count, plan.seed)
        count = len(plan.layouts)
        for number, layout in enumerate(plan.layouts):
            await deployment.add_gateway(layout, number, count)
        for gateway in deployment.gateways:
            if not await deployment.wait_until_ready(gateway):
                observations.crashes.append(
                    f"{gateway.name}: not ready at the start: {gateway.last_log_line}"
                )
        deployment.check_stand_ins()
        schedule = draw_schedule(list(plan.only or FAULTS), random_source, plan.fault_count, plan.seconds)
        await _run_clients_and_faults(plan, deployment, random_source, schedule)
        deployment.check_stand_ins()
    finally:
        deployment.close()
    _collect_observations(deployment)
    return Result(plan, schedule, observations, Oracle(observations).violations())


async def _run_clients_and_faults(
    plan: Plan, deployment: Deployment, random_source: random.Random, schedule: list[ScheduledFault]
) -> None:
    observations = deployment.observations
    targets = [gateway.target for gateway in deployment.gateways]
    population = Population(targets, random.Random(random_source.random()), plan.longest_deadline_s)
    clients = [asyncio.create_task(population.run_client()) for _ in range(plan.client_count)]
    for number in range(plan.key_pair_client_count):
        clients.append(asyncio.create_task(population.run_key_pair_client(number)))
    flight_populations = [
        FlightPopulation(
            gateway.target,
            gateway.flight_port,
            random.Random(random_source.random()),
            population.records,
            population.spacing,
            plan.longest_deadline_s,
        )  # fmt: skip
        for gateway in deployment.gateways
        if gateway.layout is Layout.FLIGHT
    ]
    for flight_population in flight_populations:
        for _ in range(plan.flight_client_count):
            clients.append(asyncio.create_task(flight_population.run_client()))
    watch_task = asyncio.create_task(_watch_processes(deployment))
    context = FaultContext(deployment, population, random.Random(random_source.random()))
    await asyncio.sleep(WARM_UP_S)
    schedule_ends_at = time.monotonic() + plan.seconds
    await run_schedule(context, schedule)
    await asyncio.sleep(max(0.0, schedule_ends_at - time.monotonic()))
    population.stopped = True
    for flight_population in flight_populations:
        flight_population.stopped = True
    await asyncio.wait(clients, timeout=3 * (plan.longest_deadline_s + ANSWER_SLACK_S))
    watch_task.cancel()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    observations.clients = population.records


async def _watch_processes(deployment: Deployment) -> None:
    """Record crashes, and spans in which this process was not scheduled."""
    last_run_at = time.monotonic()
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        now = time.monotonic()
        observations = deployment.observations
        if now - last_run_at > WATCH_INTERVAL_S + STALL_S:
            observations.driver_stalls.append(DriverStall(last_run_at, now))
        if now - last_run_at > WATCH_INTERVAL_S + DELAY_S:
            observations.driver_delays.append(DriverStall(last_run_at + WATCH_INTERVAL_S, now))
        last_run_at = now
        deployment.check_crashes()


def _collect_observations(deployment: Deployment) -> None:
    """Read the event files, traces and logs of the run."""
    observations = deployment.observations
    for path in sorted(deployment.folder.glob("*.events")):
        for line in path.read_text().splitlines():
            raw = json.loads(line)
            observations.engine_events.append(EngineEvent(kind=EngineEventKind(raw.pop("kind")), **raw))
    for gateway in deployment.gateways:
        if gateway.trace_path.exists():
            lines = gateway.trace_path.read_text().splitlines()
            observations.read_requests.update(line.split(" ", 4)[3] for line in lines if line.count(" ") >= 4)
        for line in gateway.log_path.read_text(errors="replace").splitlines():
            if FAULT_LINES.match(line):
                observations.log_faults.append(f"{gateway.name}: {line[:300]}")
            elif INVARIANT_LINES.match(line):
                observations.invariant_lines.append(f"{gateway.name}: {line[:300]}")


def request_timeline(result: Result, folder: Path, client_request_id: str) -> list[str]:
    """All observations of one request: its client's record, the engine events and the gateways' traces."""
    records = [
        record for record in result.observations.clients if record.client_request_id == client_request_id
    ]
    began_at = records[0].sent_at if records else 0.0
    events = [
        event
        for event in sorted(result.observations.engine_events, key=lambda event: event.observed_at)
        if event.client_request_id == client_request_id
    ]
    traced = [
        f"{float(line.split(' ', 1)[0]) - began_at:+.3f} {path.parent.name} {line.split(' ', 1)[1]}"
        for path in sorted(folder.glob("*/trace.txt"))
        for line in path.read_text().splitlines()
        if client_request_id in line
    ]
    return [f"{record}" for record in records] + [_event_line(event, began_at) for event in events] + traced


def _event_line(event: EngineEvent, began_at: float) -> str:
    after_s = event.observed_at - began_at
    return f"{after_s:+.3f} {event.engine} {event.kind.value} {event.outcome} {event.budget}"
