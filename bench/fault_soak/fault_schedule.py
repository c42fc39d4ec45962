"""The fault schedule of a run, drawn from its seed: the start time and duration of each fault."""

import asyncio
import random
import time
from dataclasses import dataclass

from bench.fault_soak.faults import FAULTS, FaultContext

WEIGHTS = {
    "clock": 2,
    "stop": 2,
    "pause": 2,
    "crowd": 2,
    "mood": 2,
    "path": 2,
    "engine-restart": 2,
    "drain": 2,
}  # relative; 1 for a fault that is not listed
FIRST_FAULT_AFTER_S, LAST_FAULT_BEFORE_END_S = 0.5, 3.0
MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S = 0.5, 4.0


@dataclass(frozen=True, slots=True, order=True)
class ScheduledFault:
    """One fault of a schedule; times in seconds."""

    start_delay_s: float  # after the start of the schedule
    name: str  # a key of `FAULTS`
    duration_s: float


def draw_schedule(
    names: list[str], random_source: random.Random, count: int, seconds: float
) -> list[ScheduledFault]:
    """Draw `count` faults within `seconds` seconds, ordered by their start; they may overlap."""
    weights = [WEIGHTS.get(name, 1) for name in names]
    drawn = random_source.choices(names, weights, k=count)
    return sorted(_draw_fault(name, random_source, seconds) for name in drawn)


def _draw_fault(name: str, random_source: random.Random, seconds: float) -> ScheduledFault:
    start_delay_s = random_source.uniform(FIRST_FAULT_AFTER_S, seconds - LAST_FAULT_BEFORE_END_S)
    return ScheduledFault(
        start_delay_s, name, random_source.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)
    )


async def run_schedule(context: FaultContext, schedule: list[ScheduledFault]) -> None:
    """Inject each fault at its scheduled time, and return when the last one has ended."""
    began_at = time.monotonic()

    async def inject(fault: ScheduledFault) -> None:
        """Wait for the start time of the fault, then inject it."""
        await asyncio.sleep(max(0.0, began_at + fault.start_delay_s - time.monotonic()))
        await FAULTS[fault.name](context, fault.duration_s)

    await asyncio.gather(*(inject(fault) for fault in schedule))
