"""How stand-in engines answer: correctly or in a fault mode; the modes are shared by both wires."""

import asyncio
from enum import Enum


class EngineMode(Enum):
    """How an engine answers; each value is the line on standard input that selects it."""

    OK = "ok"
    HANG = "hang"  # no progress and no answer until the mode changes
    ERROR = "error"
    REFUSE = "refuse"
    RESET = "reset"  # the connection is reset
    TORN = "torn"  # a truncated answer
    DRIP = "drip"  # an answer that is written byte by byte


class ModeSwitch:
    """An engine's current mode; requests that hang wait for the `recovered` event."""

    def __init__(self) -> None:
        """Start in `EngineMode.OK`."""
        self.mode = EngineMode.OK
        self.recovered = asyncio.Event()
        self.recovered.set()

    def change(self, mode: EngineMode) -> None:
        """Set the mode of later requests; requests that hang resume unless the new mode is HANG as well."""
        self.mode = mode
        if mode is EngineMode.HANG:
            self.recovered.clear()
        else:
            self.recovered.set()
