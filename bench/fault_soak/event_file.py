"""The file of events that engines and proxies observe: one JSON line per `records.EngineEvent`."""

import json
import time
from typing import TextIO

from bench.fault_soak.records import EngineEventKind


class EventFile:
    """Appends the events of one engine to an event file."""

    def __init__(self, engine: str, file: TextIO) -> None:
        """`engine` is the engine's name in each event; `file` is line-buffered and closed by the caller."""
        self.engine, self.file = engine, file

    def write(self, kind: EngineEventKind, client_request_id: str, **details: object) -> None:
        """Append an event with the current time; `details` are further fields of `EngineEvent`."""
        event = {
            "observed_at": time.monotonic(),
            "kind": kind.value,
            "engine": self.engine,
            "client_request_id": client_request_id,
            **details,
        }
        self.file.write(json.dumps(event) + "\n")
