"""The moods in which stand-in engines misbehave, the same on both wires."""

import asyncio


class Mood:
    """How an engine answers just now; who hangs waits for `recovered`."""

    def __init__(self) -> None:
        """Begin in the mood `ok`."""
        self.name = "ok"
        self.recovered = asyncio.Event()
        self.recovered.set()

    def change(self, name: str) -> None:
        """Change the mood for what comes, and let go on what hangs."""
        self.name = name
        (self.recovered.clear if name == "hang" else self.recovered.set)()
