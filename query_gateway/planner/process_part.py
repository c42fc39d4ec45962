"""The part of a multi-process gateway that this process runs, and the environment variables that name it.

The supervisor sets the part and its own process id in environment variables, which the process entry reads.
This module imports the standard library only, because a start as a single process imports it too.
"""

from dataclasses import dataclass
from enum import Enum

PROCESS_PART_VARIABLE = "QUERY_GATEWAY_PART"  # such as "planner 0" or "forwarder 1"; unset in other processes
SUPERVISOR_PID_VARIABLE = "QUERY_GATEWAY_SUPERVISOR_PID"  # set together with the part


class ProcessKind(Enum):
    """The kinds of worker processes; the values appear in the environment variable and in the log."""

    PLANNER = "planner"
    FORWARDER = "forwarder"


@dataclass(slots=True, frozen=True)
class ProcessPart:
    """One worker process; `index` counts from 0 for each kind."""

    kind: ProcessKind
    index: int

    def __str__(self) -> str:
        """The part as the value of the environment variable."""
        return f"{self.kind.value} {self.index}"


def parse_process_part(text: str) -> ProcessPart | None:
    """Parse the environment variable; None if empty, as in a process not started by a supervisor."""
    if not text:
        return None
    kind, _, index = text.partition(" ")
    if kind == ProcessKind.PLANNER.value:
        return ProcessPart(ProcessKind.PLANNER, int(index))
    return ProcessPart(ProcessKind.FORWARDER, int(index or 0))
