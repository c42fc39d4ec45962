"""What the endpoint list says of a query engine. Times are clock times in nanoseconds."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    name: str
    state: EndpointState
    zone: int
    kind: int
    group: int
    started_at: int
    size: float
