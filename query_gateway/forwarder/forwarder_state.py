"""The state that the modules of a forwarder share: the settings in force and the endpoint list."""

from dataclasses import dataclass, field

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class ForwarderState:
    """The settings and the endpoint list in force; only the forwarder changes them."""

    settings: Settings
    endpoints: dict[str, Endpoint] = field(default_factory=dict)  # by name

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> list[str]:
        """Update the endpoint list: a snapshot replaces it, a delta has only the entries that have changed.

        Returns the names of the engines whose process has ended since the previous update: those that have
        restarted or are no longer listed.
        """
        started_at = {name: endpoint.info.started_at for name, endpoint in self.endpoints.items()}
        if is_snapshot:
            self.endpoints = {}
        for endpoint in endpoints:
            self.endpoints[endpoint.info.name] = endpoint
        # Removed engines are deleted, as the table would otherwise grow with every engine ever listed
        for name in {endpoint.info.name for endpoint in endpoints}:
            if self.endpoints[name].info.state is EndpointState.REMOVED:
                del self.endpoints[name]
        return [
            name
            for name, previous_start in started_at.items()
            if name not in self.endpoints or self.endpoints[name].info.started_at != previous_start
        ]
