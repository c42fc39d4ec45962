"""Spaces requests of one key at one gateway in time, as the platform's clients do."""

import random
from dataclasses import dataclass, field

SPACING_S = 0.06  # between the writes of two requests of one key
NEW_CONNECTION_SPACING_S = 0.25  # the same, if the first was sent on a new connection
KEYS = 12  # per gateway
NEVER = float("inf")


@dataclass(slots=True)
class KeySpacing:
    """When each key of each gateway may be used again, in seconds of the monotonic clock."""

    free_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def reserve(self, gateway: str, random_source: random.Random, now: float) -> str | None:
        """Reserve a key that may be used now until `on_written` is called; return None if there is none."""
        keys = [f"{number:016x}" for number in range(KEYS)]
        free = [key for key in keys if self.free_at.get((gateway, key), 0.0) <= now]
        if not free:
            return None
        key = random_source.choice(free)
        self.free_at[gateway, key] = NEVER
        return key

    def on_written(self, gateway: str, key: str, now: float, on_new_connection: bool) -> None:
        """Start the spacing, as the request was written completely or writing it has failed."""
        spacing = NEW_CONNECTION_SPACING_S if on_new_connection else SPACING_S
        self.free_at[gateway, key] = now + spacing
