"""Spaces requests of one key at one gateway in time, as the platform's clients do."""

import random
from dataclasses import dataclass, field

SPACING_S = 0.06  # between the writes of two requests of one key
NEW_CONNECTION_SPACING_S = 0.25  # between these two writes, if the first request opened its connection
KEYS = 12  # per gateway
NEVER = float("inf")


@dataclass(slots=True)
class KeySpacing:
    """When each key of each gateway may be used again, in seconds of the monotonic clock."""

    free_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def reserve(self, gateway: str, random_source: random.Random, now: float) -> str | None:
        """Draw a key that may be used now, and block it until `on_written`; return None if there is none."""
        keys = [f"{number:016x}" for number in range(KEYS)]
        free = [key for key in keys if self.free_at.get((gateway, key), 0.0) <= now]
        if not free:
            return None
        key = random_source.choice(free)
        self.free_at[gateway, key] = NEVER
        return key

    def on_written(self, gateway: str, key: str, now: float, on_new_connection: bool) -> None:
        """Allow the key again after its spacing, once its request is written or writing it has failed."""
        spacing = NEW_CONNECTION_SPACING_S if on_new_connection else SPACING_S
        self.free_at[gateway, key] = now + spacing
