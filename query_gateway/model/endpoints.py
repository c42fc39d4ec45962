"""Entries and update kinds of the endpoint list. Times are clock times in nanoseconds."""

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint accepts queries.

    The values are part of the messages between forwarders and planners in separate processes.
    """

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """The kind of an update of the endpoint list; a snapshot replaces the list, a delta lists the changes.

    The values are part of the messages between forwarders and planners in separate processes.
    """

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"  # applied like a snapshot
    FAILED = "failed"  # the watch of the list has failed; the update has no entries


@dataclass(slots=True, frozen=True)
class EndpointInfo:
    """One entry of the endpoint list."""

    name: str
    state: EndpointState
    zone: int
    kind: int  # index into `Settings.cores_by_kind` and `memory_mb_by_kind`
    group: int  # the cell in which idempotency keys are deduplicated
    started_at: int  # start of the engine process; 0: unknown
    size: float  # relative to others of its kind; no decision uses it
