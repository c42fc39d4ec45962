"""Units of time in nanoseconds, the default unit of times and durations without a unit in their name."""

from typing import Final

MS: Final = 1_000_000
SEC: Final = 1_000_000_000
