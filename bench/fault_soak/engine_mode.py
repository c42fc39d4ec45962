"""How the stand-in engines of both protocols answer: correctly or in a fault mode."""

import asyncio
from enum import Enum


class EngineMode(Enum):
    """How an engine answers; each value is the line on standard input that selects it."""

    OK = "ok"
    HANG = "hang"  # no progress and no answer until the mode changes
    ERROR = "error"
    REFUSE = "refuse"
    RESET = "reset"  # the connection is closed without an answer
    TORN = "torn"  # an answer that stops before its stated length; line protocol only
    DRIP = "drip"  # the first line of an answer, byte by byte and without its body; line protocol only


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
