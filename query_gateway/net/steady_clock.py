"""The clock of the core: nanoseconds of real time, which no step of the machine's wall clock moves.

It is the machine's monotonic clock, so all processes on one machine read the same values, and a planner
process understands the times of a forwarder. Only what comes from outside is given as a time of the wall
clock: the start of an engine, and times in a state that another version of the program has written.
"""

import time

# Keeps the values far from 0, which stands for "never", however short ago the machine was started
EPOCH_NS = 10**18
NANOSECONDS_PER_SECOND = 1e9


def steady_now_ns() -> int:
    """The time now."""
    return EPOCH_NS + time.monotonic_ns()


def loop_time_of(clock_time_ns: int) -> float:
    """The loop time (seconds) of a time of this clock."""
    return (clock_time_ns - EPOCH_NS) / NANOSECONDS_PER_SECOND


def clock_time_of(loop_time: float) -> int:
    """The time of this clock (nanoseconds) of a loop time (seconds)."""
    return EPOCH_NS + int(loop_time * NANOSECONDS_PER_SECOND)


def wall_clock_offset_ns() -> int:
    """What must be added to a time of this clock to get that of the wall clock, as it is set just now."""
    return time.time_ns() - steady_now_ns()
