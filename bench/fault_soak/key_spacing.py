"""Spaces the requests of one key at one gateway as the platform's clients do."""

import random
from dataclasses import dataclass, field

SPACING_S = 0.06  # between requests of one key, when they are written
NEW_CONNECTION_SPACING_S = 0.25  # the same after one that came on a new connection
KEYS = 12  # of each gateway
NEVER = float("inf")


@dataclass(slots=True)
class KeySpacing:
    """From when on each key of each gateway may be used again, in seconds of the monotonic clock."""

    free_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def reserve(self, gateway: str, source: random.Random, now: float) -> str | None:
        """A key that may be used now, and by nobody else until `on_written`; None if there is none."""
        keys = [f"{number:016x}" for number in range(KEYS)]
        free = [key for key in keys if self.free_at.get((gateway, key), 0.0) <= now]
        if not free:
            return None
        key = source.choice(free)
        self.free_at[gateway, key] = NEVER
        return key

    def on_written(self, gateway: str, key: str, now: float, on_new_connection: bool) -> None:
        """The request was written to its last byte, or will not be."""
        spacing = NEW_CONNECTION_SPACING_S if on_new_connection else SPACING_S
        self.free_at[gateway, key] = now + spacing
