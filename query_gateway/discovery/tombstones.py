"""What is remembered of endpoints that drained or were removed, after the list has dropped them."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState

MAX_TOMBSTONES = 4_096


@dataclass(slots=True, frozen=True)
class Tombstone:
    """The state that was reported of an endpoint, and of which start of it."""

    state: EndpointState  # DRAINING or REMOVED
    started_at: int  # clock time in nanoseconds


class EndpointTombstones:
    """Endpoints that were reported as draining or removed, and have not been reported as up since.

    Guards draining against a service that restarted its numbering and knows less than we do: what it reports
    as up is not, unless it has started since.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._tombstones: dict[str, Tombstone] = {}  # by name, the oldest first

    def record(self, endpoints: list[Endpoint], is_snapshot: bool, listed: dict[str, Endpoint]) -> None:
        """Record a change of the list `listed`; what a snapshot leaves out counts as removed."""
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
        """Return the endpoints as they are: those that drain as draining, without those that were removed."""
        applied = []
        for endpoint in endpoints:
            tombstone = self._tombstones.get(endpoint.info.name)
            is_same_start = tombstone is not None and tombstone.started_at == endpoint.info.started_at
            if tombstone is None or endpoint.info.state is not EndpointState.UP or not is_same_start:
                applied.append(endpoint)
            elif tombstone.state is EndpointState.DRAINING:
                applied.append(replace(endpoint, info=replace(endpoint.info, state=tombstone.state)))
        return applied
