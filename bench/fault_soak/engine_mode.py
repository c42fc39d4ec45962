"""How stand-in engines answer: correctly, or in one of their fault modes; the same on both wires."""

import asyncio
from enum import Enum


class EngineMode(Enum):
    """How an engine answers; the value is the line on standard input that sets it."""

    OK = "ok"
    HANG = "hang"  # no progress and no answer until the mode changes
    ERROR = "error"
    REFUSE = "refuse"
    RESET = "reset"  # the connection is reset
    TORN = "torn"  # an answer that is not finished
    DRIP = "drip"  # an answer that comes byte by byte


class ModeSwitch:
    """The mode that an engine is in; requests that hang wait for `recovered`."""

    def __init__(self) -> None:
        """Begin with `EngineMode.OK`."""
        self.mode = EngineMode.OK
        self.recovered = asyncio.Event()
        self.recovered.set()

    def change(self, mode: EngineMode) -> None:
        """Set the mode for what comes; requests that hang go on unless the new mode hangs too."""
        self.mode = mode
        if mode is EngineMode.HANG:
            self.recovered.clear()
        else:
            self.recovered.set()
