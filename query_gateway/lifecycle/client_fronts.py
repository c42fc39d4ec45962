"""The servers that clients reach, as one: HTTP, and Flight SQL where it is on."""

from typing import TYPE_CHECKING

from query_gateway.admin.server import RESERVED_DESCRIPTORS
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import RequestClasses
from query_gateway.http.server import HttpServer
from query_gateway.model.settings import Idempotency
from query_gateway.net.listener import Listener

if TYPE_CHECKING:
    from query_gateway.flight.server import FlightServer
    from query_gateway.parsing.service import StatementService

MIN_OTHER_DESCRIPTORS = 64  # kept for engines, the discovery service and the loop, if there are twice as many


def max_connections_per_front(config: Configuration, operator: OperatorSettings) -> int:
    """How many clients each front may serve at once.

    Engines, the discovery service and the loop keep a part of the descriptors, and so does the second
    address; a second front halves the rest.
    """
    descriptors = config.max_descriptors // max(1, operator.forwarder_count)
    reserved = min(descriptors // 2, max(MIN_OTHER_DESCRIPTORS, descriptors // 4))
    reserved += RESERVED_DESCRIPTORS if config.admin_address else 0
    front_count = 2 if operator.flight_address else 1
    return max(1, (descriptors - reserved) // front_count)


class ClientFronts:
    """Joins the fronts and the reader of statements behind them; it owns their listeners until `close`."""

    def __init__(
        self,
        forwarder: Forwarder,
        http_server: HttpServer,
        flight_server: "FlightServer | None",
        statements: "StatementService | None",
    ) -> None:
        """`flight_server` and `statements` are None where they are off."""
        self.forwarder, self.http_server = forwarder, http_server
        self.flight_server, self.statements = flight_server, statements

    @property
    def listeners(self) -> list[Listener]:
        """Every listener that clients connect to."""
        flight = [self.flight_server.listener] if self.flight_server else []
        return [self.http_server.listener, *flight]

    @property
    def is_idle(self) -> bool:
        """Whether no client is connected any more, and none waits to be accepted."""
        if not all(listener.closed for listener in self.listeners):
            return False
        return self.http_server.is_idle and (not self.flight_server or self.flight_server.is_idle)

    def set_max_connections(self, max_connections: int) -> None:
        """Limit the clients of each front from now on; existing connections stay."""
        self.http_server.max_connections = max_connections
        if self.flight_server:
            self.flight_server.max_connections = max_connections

    def set_classes(self, classes: RequestClasses) -> None:
        """Take requests of these classes, and no others, under the settings that the forwarder has now."""
        self.http_server.classes = classes
        settings = self.forwarder.settings
        if self.statements:
            idempotent = {
                name
                for name, request_class in classes.items()
                if settings.classes[request_class.index].idempotency is Idempotency.IDEMPOTENT
            }
            self.statements.update_rules(self.statements.classifier.rules, idempotent)
        if self.flight_server:
            from query_gateway.flight.requests import build_flight_classes

            self.flight_server.classes = build_flight_classes(classes, settings)

    def close(self) -> None:
        """Take what waits to be accepted and no more; connections end as they become idle."""
        self.http_server.close()
        self.close_flight()

    def close_flight(self) -> None:
        """Close the Flight SQL front alone: its clients get a GOAWAY, open streams go on."""
        if self.flight_server:
            self.flight_server.close()
