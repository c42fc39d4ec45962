"""The tombstones: endpoints that drained or were removed, kept after the list has dropped them.

    none --reported as draining or removed, or left out by a snapshot--> tombstone
    tombstone --reported as up--> none

They are lost with the process.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState

MAX_TOMBSTONES = 4_096


@dataclass(slots=True, frozen=True)
class Tombstone:
    """The state that an endpoint was reported in, and the start of the engine that it was reported of."""

    state: EndpointState  # DRAINING or REMOVED
    started_at: int  # clock time in nanoseconds


class EndpointTombstones:
    """Endpoints that were reported as draining or removed, and have not been reported as up since.

    A discovery service that has restarted may know an older list than we do, and report an engine as up that
    drains or was removed. Requests would be sent to it again and be lost when it exits. With the tombstone,
    an engine that is reported as up stays out, unless it has started again since.
    """

    def __init__(self) -> None:
        """There are none at the start."""
        self._tombstones: dict[str, Tombstone] = {}  # by endpoint name, the oldest first

    def record(self, endpoints: list[Endpoint], is_snapshot: bool, listed: dict[str, Endpoint]) -> None:
        """Record a change of the list `listed`; an endpoint that a snapshot leaves out is removed."""
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
        """The endpoints in their true states: draining ones as such, and without the removed ones."""
        applied = []
        for endpoint in endpoints:
            tombstone = self._tombstones.get(endpoint.info.name)
            is_same_start = tombstone is not None and tombstone.started_at == endpoint.info.started_at
            if tombstone is None or endpoint.info.state is not EndpointState.UP or not is_same_start:
                applied.append(endpoint)
            elif tombstone.state is EndpointState.DRAINING:
                applied.append(replace(endpoint, info=replace(endpoint.info, state=tombstone.state)))
        return applied
