"""The steady clock of `model`, `policy` and `forwarder`, in nanoseconds; wall-clock steps do not affect it.

It is based on the host's monotonic clock, so all processes on one host read the same values, and a planner
process can use the times of a forwarder. Wall-clock times occur only in data from outside: the start of an
engine, and the learned state that a successor inherits.
"""

import time

# Added to the monotonic clock, which is near 0 after a boot of the host, so that no time is 0, which means
# "never"
EPOCH_NS = 10**18
NANOSECONDS_PER_SECOND = 1e9


def steady_now_ns() -> int:
    """The current time of the steady clock, in nanoseconds."""
    return EPOCH_NS + time.monotonic_ns()


def loop_time_of(clock_time_ns: int) -> float:
    """Convert a time of the steady clock (nanoseconds) to loop time (seconds)."""
    return (clock_time_ns - EPOCH_NS) / NANOSECONDS_PER_SECOND


def clock_time_of(loop_time: float) -> int:
    """Convert a loop time (seconds) to a time of the steady clock (nanoseconds)."""
    return EPOCH_NS + int(loop_time * NANOSECONDS_PER_SECOND)


def wall_clock_offset_ns() -> int:
    """Nanoseconds by which the wall clock, as it is set now, is ahead of the steady clock."""
    return time.time_ns() - steady_now_ns()
