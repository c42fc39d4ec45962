"""The file of events that engines and proxies observe: a JSON line for each `records.EngineEvent`."""

import json
import time
from typing import TextIO

from bench.fault_soak.records import EngineEventKind


class EventFile:
    """Appends the events of one engine."""

    def __init__(self, engine: str, file: TextIO) -> None:
        """`engine`: its name in each event; `file`: open and buffered by line, closed by the caller."""
        self.engine, self.file = engine, file

    def write(self, kind: EngineEventKind, client_request_id: str, **details: object) -> None:
        """Append an event that is observed now. `details`: further fields of `EngineEvent`."""
        event = {
            "observed_at": time.monotonic(),
            "kind": kind.value,
            "engine": self.engine,
            "client_request_id": client_request_id,
            **details,
        }
        self.file.write(json.dumps(event) + "\n")
