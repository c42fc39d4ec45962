"""The client-facing servers (fronts) as a unit: HTTP, and Flight SQL if it is enabled."""

from typing import TYPE_CHECKING

from query_gateway.admin.server import RESERVED_DESCRIPTORS
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import RequestClasses, idempotent_class_names
from query_gateway.http.server import HttpServer
from query_gateway.net.listener import Listener

if TYPE_CHECKING:
    from query_gateway.flight.server import FlightServer
    from query_gateway.parsing.service import StatementService

# At least this many descriptors are reserved for engines, the discovery service and the loop, but never more
# than half of the limit
MIN_RESERVED_DESCRIPTORS = 64


def max_connections_per_front(config: Configuration, operator: OperatorSettings) -> int:
    """The maximum number of client connections of each front.

    Some descriptors are reserved for engines, the discovery service, the loop and the admin server; the
    fronts divide the rest equally.
    """
    descriptors = config.max_descriptors // max(1, operator.forwarder_count)
    reserved = min(descriptors // 2, max(MIN_RESERVED_DESCRIPTORS, descriptors // 4))
    reserved += RESERVED_DESCRIPTORS if config.admin_address else 0
    front_count = 2 if operator.flight_address else 1
    return max(1, (descriptors - reserved) // front_count)


class ClientFronts:
    """The fronts and their statement service; owns their listeners until `close`."""

    def __init__(
        self,
        forwarder: Forwarder,
        http_server: HttpServer,
        flight_server: "FlightServer | None",
        statements: "StatementService | None",
    ) -> None:
        """`flight_server` and `statements` are None if they are disabled."""
        self.forwarder, self.http_server = forwarder, http_server
        self.flight_server, self.statements = flight_server, statements

    @property
    def listeners(self) -> list[Listener]:
        """The listeners of all fronts."""
        flight = [self.flight_server.listener] if self.flight_server else []
        return [self.http_server.listener, *flight]

    @property
    def is_idle(self) -> bool:
        """Whether no client is connected and no listener accepts any more."""
        if not all(listener.closed for listener in self.listeners):
            return False
        return self.http_server.is_idle and (not self.flight_server or self.flight_server.is_idle)

    def set_max_connections(self, max_connections: int) -> None:
        """Set the connection limit of each front; existing connections are kept."""
        self.http_server.max_connections = max_connections
        if self.flight_server:
            self.flight_server.max_connections = max_connections

    def set_classes(self, classes: RequestClasses) -> None:
        """Accept requests of exactly these classes from now on; input that has arrived keeps the old ones."""
        self.http_server.update_classes(classes)
        if self.statements:
            idempotent = idempotent_class_names(classes)
            self.statements.update_rules(self.statements.classifier.rules, idempotent)
        if self.flight_server:
            self.flight_server.update_classes(classes)

    def class_numbers_in_use(self) -> set[int]:
        """The numbers of the classes that a new request, or one that is being read, may address."""
        in_use = self.http_server.classes_in_use()
        if self.flight_server:
            in_use += self.flight_server.classes_in_use()
        return {request_class.index for classes in in_use for request_class in classes.values()}

    def reject_unclassified(self) -> None:
        """Reject the requests whose statements are waiting to be parsed."""
        if self.statements:
            self.statements.give_up_waiting()

    def close(self) -> None:
        """Accept the clients in the accept queue, then stop; connections are closed when they become idle."""
        self.http_server.close()
        self.close_flight()

    def close_flight(self) -> None:
        """Close only the Flight SQL front: its clients receive a GOAWAY, and open streams continue."""
        if self.flight_server:
            self.flight_server.close()
