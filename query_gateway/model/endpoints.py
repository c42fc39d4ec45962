"""Entries and updates of the endpoint list. Times are clock times in nanoseconds."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint takes queries. The values stand in the messages to planner processes."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """What an update of the list holds. The values stand in the messages to planner processes."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """One endpoint of the list."""

    name: str
    state: EndpointState
    zone: int
    kind: int  # index into the sizes of `Settings`
    group: int  # deduplication cell
    started_at: int  # clock time, nanoseconds; 0: not known
    size: float  # relative to others of its kind
