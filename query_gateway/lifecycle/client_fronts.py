"""The servers that clients reach, taken together: HTTP, and Flight SQL where it is on."""

from typing import TYPE_CHECKING

from query_gateway.admin.server import RESERVED_DESCRIPTORS
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration, idempotent_class_names
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import RequestClasses
from query_gateway.http.server import HttpServer
from query_gateway.net.listener import Listener

if TYPE_CHECKING:
    from query_gateway.flight.server import FlightServer
    from query_gateway.parsing.service import StatementService

# Descriptors for engines, the discovery service and the loop; with fewer than twice as many, half of them are
MIN_OTHER_DESCRIPTORS = 64


def max_connections_per_front(config: Configuration, operator: OperatorSettings) -> int:
    """How many client connections each front may have at once.

    Some descriptors are reserved for engines, the discovery service, the loop and the admin server; two
    fronts divide the rest.
    """
    descriptors = config.max_descriptors // max(1, operator.forwarder_count)
    reserved = min(descriptors // 2, max(MIN_OTHER_DESCRIPTORS, descriptors // 4))
    reserved += RESERVED_DESCRIPTORS if config.admin_address else 0
    front_count = 2 if operator.flight_address else 1
    return max(1, (descriptors - reserved) // front_count)


class ClientFronts:
    """The fronts and the statement service behind them; owns their listeners until `close`."""

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
        """Whether no client is connected, and none can be accepted any more."""
        if not all(listener.closed for listener in self.listeners):
            return False
        return self.http_server.is_idle and (not self.flight_server or self.flight_server.is_idle)

    def set_max_connections(self, max_connections: int) -> None:
        """Limit the clients of each front from now on; existing connections stay."""
        self.http_server.max_connections = max_connections
        if self.flight_server:
            self.flight_server.max_connections = max_connections

    def set_classes(self, classes: RequestClasses) -> None:
        """Accept requests of these classes, and no others, under the settings that the forwarder has now."""
        self.http_server.classes = classes
        settings = self.forwarder.settings
        if self.statements:
            idempotent = idempotent_class_names(classes, settings)
            self.statements.update_rules(self.statements.classifier.rules, idempotent)
        if self.flight_server:
            from query_gateway.flight.requests import build_flight_classes

            self.flight_server.classes = build_flight_classes(classes, settings)

    def give_up_classifying(self) -> None:
        """Reject the requests whose statements wait to be parsed."""
        if self.statements:
            self.statements.give_up_waiting()

    def close(self) -> None:
        """Accept the clients in the accept queue and no more; connections end as they become idle."""
        self.http_server.close()
        self.close_flight()

    def close_flight(self) -> None:
        """Close the Flight SQL front alone: its clients get a GOAWAY, open streams go on."""
        if self.flight_server:
            self.flight_server.close()
