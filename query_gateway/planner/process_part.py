"""Which part of a gateway in several processes this process is, and whose.

The supervisor names the part and itself in environment variables; the process entry reads them. The module
loads nothing, as a plain start imports it too.
"""

from dataclasses import dataclass
from enum import Enum

PROCESS_PART_VARIABLE = "QUERY_GATEWAY_PART"  # "planner 0", "forwarder 1"; unset in any other process
SUPERVISOR_PID_VARIABLE = "QUERY_GATEWAY_SUPERVISOR_PID"  # set together with the part


class ProcessKind(Enum):
    """What a worker process runs; the value is the word in the environment variable and in the log."""

    PLANNER = "planner"
    FORWARDER = "forwarder"


@dataclass(slots=True, frozen=True)
class ProcessPart:
    """One worker process; each kind is counted from 0."""

    kind: ProcessKind
    index: int

    def __str__(self) -> str:
        """The value of the environment variable."""
        return f"{self.kind.value} {self.index}"


def parse_process_part(text: str) -> ProcessPart | None:
    """Decode the environment variable; None where it is empty, in a process that no supervisor started."""
    if not text:
        return None
    word, _, index = text.partition(" ")
    if word == ProcessKind.PLANNER.value:
        return ProcessPart(ProcessKind.PLANNER, int(index))
    return ProcessPart(ProcessKind.FORWARDER, int(index or 0))
