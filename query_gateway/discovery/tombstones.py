"""Tombstones of draining and removed endpoints, kept after the endpoint list has dropped them.

    none --reported as draining or removed, or left out by a snapshot--> tombstone
    tombstone --reported as up, unless `apply` corrects the report--> none

Tombstones are not persistent: a new process starts with none.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState

MAX_TOMBSTONES = 4_096


@dataclass(slots=True, frozen=True)
class Tombstone:
    """The reported state of an endpoint, and the start time of the engine that was in that state."""

    state: EndpointState  # DRAINING or REMOVED
    started_at: int  # clock time in nanoseconds


class EndpointTombstones:
    """Endpoints that were reported as draining or removed and have not been reported as up since.

    A restarted discovery service may have an older list than this process, and report a draining or removed
    engine as up. Requests would be sent to that engine again and be lost when it exits. From a restart of the
    service to its next snapshot, `EndpointFeed` therefore passes each report through `apply`, which keeps the
    engine out of use unless it is reported with another start time, that is, after it has restarted.
    """

    def __init__(self) -> None:
        """Start with no tombstones."""
        self._tombstones: dict[str, Tombstone] = {}  # by endpoint name, oldest first

    def record(self, endpoints: list[Endpoint], is_snapshot: bool, listed: dict[str, Endpoint]) -> None:
        """Record a change of the endpoint list; endpoints that a snapshot omits are treated as removed.

        `listed` is the list before the change.
        """
        reported = {endpoint.info.name for endpoint in endpoints}
        removed = [
            replace(endpoint.info, state=EndpointState.REMOVED)
            for name, endpoint in listed.items()
            if is_snapshot and name not in reported
        ]
        for info in (*removed, *(endpoint.info for endpoint in endpoints)):
            self._tombstones.pop(info.name, None)
            if info.state is not EndpointState.UP:
                previous = listed.get(info.name)
                started_at = previous.info.started_at if previous else info.started_at
                self._tombstones[info.name] = Tombstone(info.state, started_at)
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def apply(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Correct endpoints that are reported as up but have a tombstone with the same start time.

        Returns all endpoints, without those whose tombstone says removed, and with those whose tombstone says
        draining marked as draining.
        """
        applied = []
        for endpoint in endpoints:
            tombstone = self._tombstones.get(endpoint.info.name)
            is_same_start = tombstone is not None and tombstone.started_at == endpoint.info.started_at
            if tombstone is None or endpoint.info.state is not EndpointState.UP or not is_same_start:
                applied.append(endpoint)
            elif tombstone.state is EndpointState.DRAINING:
                applied.append(replace(endpoint, info=replace(endpoint.info, state=tombstone.state)))
        return applied
