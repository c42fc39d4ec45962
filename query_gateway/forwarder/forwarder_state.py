"""What the parts of a forwarder share: the settings in force and the engines of the endpoint list."""

from dataclasses import dataclass, field

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class ForwarderState:
    """The settings and the endpoint list in force. The forwarder changes them, its parts only read."""

    settings: Settings
    endpoints: dict[str, Endpoint] = field(default_factory=dict)  # by name

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> list[str]:
        """Apply a change of the list: a snapshot replaces it, else these entries have changed.

        Returns the engines whose process has ended since the last change: they have restarted, or they are no
        longer listed.
        """
        started_at = {name: endpoint.info.started_at for name, endpoint in self.endpoints.items()}
        if is_snapshot:
            self.endpoints = {}
        for endpoint in endpoints:
            self.endpoints[endpoint.info.name] = endpoint
        # Without this the table would grow with every engine that was ever listed
        for name in {endpoint.info.name for endpoint in endpoints}:
            if self.endpoints[name].info.state is EndpointState.REMOVED:
                del self.endpoints[name]
        return [
            name
            for name, previous_start in started_at.items()
            if name not in self.endpoints or self.endpoints[name].info.started_at != previous_start
        ]
