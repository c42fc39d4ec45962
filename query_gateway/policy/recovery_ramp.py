"""The recovery ramp: when an engine is in slow start, and what share of its capacity it has at an age.

From its start an engine's capacity grows linearly from `slow_start_initial_capacity` to 1 over
`slow_start_window`. Sent more than `slow_start_overload_factor` times its present capacity within
`slow_start_overload_window`, it falls over.

The scheduler spaces its sends by this ramp (`slow_start`), and the forwarder's slow-start budgets bound by it
what really leaves; attempts without an estimate of their work are not bounded there, nor engines whose start
the endpoint list does not name. All functions are pure; times and ages are nanoseconds.
"""

from dataclasses import dataclass
from typing import Final

from query_gateway.model.settings import Settings

# Share of the capacity per nanosecond; divides where a ramp starts at full capacity and does not grow
MIN_GROWTH: Final = 1e-15


def is_in_slow_start(settings: Settings, started_at: int, now: int) -> bool:
    """Whether an engine that started at a clock time is in slow start; 0: its start is not known."""
    if not started_at or settings.slow_start_overload_factor <= 0:
        return False
    return now - started_at < settings.slow_start_window


@dataclass(slots=True, frozen=True)
class RecoveryRamp:
    """The capacity of an engine in slow start by its age, as a share of its full capacity."""

    initial_capacity: float
    growth: float  # per nanosecond

    def capacity_at(self, age: float) -> float:
        """The share that it has at an age."""
        return self.initial_capacity + self.growth * age

    def mean_capacity_until(self, age: float) -> float:
        """The mean share from its start up to an age."""
        return self.initial_capacity + self.growth * age / 2

    def age_at_capacity(self, capacity: float) -> float:
        """The age at which it has a share; negative if it has that from the start."""
        return (capacity - self.initial_capacity) / max(self.growth, MIN_GROWTH)


def recovery_ramp(settings: Settings) -> RecoveryRamp:
    """The ramp that the site's settings give to every engine; defined while there is a slow start."""
    return RecoveryRamp(
        settings.slow_start_initial_capacity,
        (1 - settings.slow_start_initial_capacity) / settings.slow_start_window,
    )
