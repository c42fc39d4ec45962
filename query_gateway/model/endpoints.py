"""Entries and update kinds of the endpoint list. Times are clock times in nanoseconds."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint accepts queries. The values are written on the IPC."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """The kind of an update of the endpoint list. The values are written on the IPC."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """One entry of the endpoint list."""

    name: str
    state: EndpointState
    zone: int
    kind: int  # index into the lists by kind of `Settings`
    group: int  # the cell in which idempotency keys are deduplicated
    started_at: int  # clock time, nanoseconds; 0: unknown
    size: float  # relative to others of its kind
