"""Unresponsive engines: those that have been silent for so long that some attempt should have been answered.

Input: the attempts in flight at an engine with their expected run times, and when something was last
received from it (nanoseconds).
Rationale: divide the time for which the engine has sent nothing during each attempt (its idle time) by the
attempt's expected run time, and let n be the sum over the attempts. If run times are distributed
exponentially, a healthy engine reaches n with the probability e^-n.
"""

import math
from dataclasses import dataclass
from typing import Final

from query_gateway.model.records import EngineState
from query_gateway.model.units import MS

MAX_IDLE_RUNS: Final = 6.0  # an engine with more `IdleHazard.runs` is unresponsive; e^-6 is about 1 in 400
MIN_IDLE_NS: Final = 700 * MS  # shorter idle times are no fault, as engines pause briefly


@dataclass(slots=True)
class IdleHazard:
    """How long an engine with attempts in flight has sent nothing."""

    runs: float  # idle time in expected run times, summed over the attempts
    longest_ns: int  # longest idle time of an attempt


def idle_hazard(engine: EngineState, now: int) -> IdleHazard:
    """The idle time of an engine with attempts in flight. Raises ValueError if there are none."""
    runs, longest_ns = [], []
    for attempt in engine.in_flight.values():
        idle_ns = now - max(engine.last_received_at, attempt.sent_at)
        # A run that had exceeded its expected run time when the engine fell silent is expected to take as
        # long again as it had run by then
        runs.append(idle_ns / max(attempt.query.run_time, now - attempt.sent_at - idle_ns))
        longest_ns.append(idle_ns)
    return IdleHazard(math.fsum(runs), max(longest_ns))


def is_unresponsive(engine: EngineState, now: int) -> bool:
    """Whether an engine has been idle for too long, given its attempts in flight."""
    if not engine.in_flight:
        return False
    hazard = idle_hazard(engine, now)
    return hazard.runs > MAX_IDLE_RUNS and hazard.longest_ns > MIN_IDLE_NS


def is_idle(engine: EngineState, now: int) -> bool:
    """Whether an engine has been silent for longer than a brief pause."""
    return now - engine.last_received_at > MIN_IDLE_NS
