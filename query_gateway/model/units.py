"""Units of time in nanoseconds, the unit of every time and duration that carries no other in its name."""

from typing import Final

MS: Final = 1_000_000
SEC: Final = 1_000_000_000
