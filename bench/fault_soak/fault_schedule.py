"""The schedule of a run's faults, drawn from its seed: which fault begins when, and how long it lasts."""

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
}  # others: 1
FIRST_FAULT_S, LAST_FAULT_BEFORE_END_S = 0.5, 3.0
MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0


@dataclass(frozen=True, slots=True, order=True)
class ScheduledFault:
    """One fault of a schedule; times are seconds."""

    begins_after_s: float  # since the schedule's begin
    name: str  # in `FAULTS`
    lasts_s: float


def draw_schedule(
    names: list[str], source: random.Random, count: int, seconds: float
) -> list[ScheduledFault]:
    """Draw `count` faults within `seconds` seconds, in the order of their begin; they may overlap."""
    weights = [WEIGHTS.get(name, 1) for name in names]
    drawn = source.choices(names, weights, k=count)
    return sorted(_draw_fault(name, source, seconds) for name in drawn)


def _draw_fault(name: str, source: random.Random, seconds: float) -> ScheduledFault:
    begins_after_s = source.uniform(FIRST_FAULT_S, seconds - LAST_FAULT_BEFORE_END_S)
    return ScheduledFault(begins_after_s, name, source.uniform(MIN_FAULT_S, MAX_FAULT_S))


async def play_schedule(context: FaultContext, schedule: list[ScheduledFault]) -> None:
    """Inject every fault of a schedule at its time, and return when the last one is over."""
    began_at = time.monotonic()

    async def inject(fault: ScheduledFault) -> None:
        """Inject one fault at its time."""
        await asyncio.sleep(max(0.0, began_at + fault.begins_after_s - time.monotonic()))
        await FAULTS[fault.name](context, fault.lasts_s)

    await asyncio.gather(*(inject(fault) for fault in schedule))
