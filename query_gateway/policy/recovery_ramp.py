"""Recovery ramp: when an engine is in slow start, and the share of its capacity that it has at a given age.

From its start, an engine's capacity grows linearly from `slow_start_initial_capacity` to 1 over
`slow_start_window`. An engine fails under overload if sent more than `slow_start_overload_factor` times its
present capacity within `slow_start_overload_window`.

The scheduler spaces its sends by this ramp (`slow_start`), and the forwarder's slow-start budgets use it to
bound what is actually sent. The budgets exempt attempts without a work estimate and engines whose start the
endpoint list does not report. All functions are pure; times and ages are nanoseconds.
"""

from dataclasses import dataclass
from typing import Final

from query_gateway.model.settings import Settings

# Share of the capacity per nanosecond; avoids a division by zero for a ramp that starts at full capacity
MIN_GROWTH: Final = 1e-15


def is_in_slow_start(settings: Settings, started_at: int, now: int) -> bool:
    """Whether an engine that started at a clock time is in slow start; a start of 0 is unknown."""
    if not started_at or settings.slow_start_overload_factor <= 0:
        return False
    return now - started_at < settings.slow_start_window


@dataclass(slots=True, frozen=True)
class RecoveryRamp:
    """Capacity of an engine in slow start as a function of its age, as a share of its full capacity."""

    initial_capacity: float
    growth: float  # per nanosecond

    def capacity_at(self, age: float) -> float:
        """Share of the capacity at an age."""
        return self.initial_capacity + self.growth * age

    def mean_capacity_until(self, age: float) -> float:
        """Mean share of the capacity from the start up to an age."""
        return self.initial_capacity + self.growth * age / 2

    def age_at_capacity(self, capacity: float) -> float:
        """Age at which a share is reached; negative if the initial capacity exceeds it."""
        return (capacity - self.initial_capacity) / max(self.growth, MIN_GROWTH)


def recovery_ramp(settings: Settings) -> RecoveryRamp:
    """Ramp of all engines by the site's settings; valid only where slow start is enabled."""
    return RecoveryRamp(
        settings.slow_start_initial_capacity,
        (1 - settings.slow_start_initial_capacity) / settings.slow_start_window,
    )
