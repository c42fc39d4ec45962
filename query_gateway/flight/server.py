"""The Flight SQL server: accepts client connections, and sends GOAWAY when the gateway drains."""

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from query_gateway.flight.client_call import FlightCall
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.kept_classes import KeptClasses
from query_gateway.forwarder.messages import RequestClasses
from query_gateway.forwarder.readiness import DRAIN_CLOSE_IDLE_AFTER_S, Phase, Readiness
from query_gateway.net.listener import Listener
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream
from query_gateway.rpc.connection import MAX_BYTES_PER_STEP, GrpcConnection

if TYPE_CHECKING:
    from query_gateway.parsing.service import StatementService


@dataclass(slots=True, frozen=True)
class FlightServerSettings:
    """The initial settings; a reload may replace the classes and the connection limit on the server."""

    address: tuple[str, int]
    classes: RequestClasses  # the classes that clients may request
    query_class: str  # the default class of queries
    update_class: str  # the default class of updates
    max_connections: int
    shares_port: bool = False  # with other forwarder processes, through SO_REUSEPORT
    inherited_socket: socket.socket | None = None  # a listening socket that a predecessor has handed over


class FlightServer:
    """Listens for Flight SQL clients and owns their connections."""

    def __init__(
        self,
        loop: Loop,
        forwarder: Forwarder,
        readiness: Readiness,
        settings: FlightServerSettings,
        statements: "StatementService | None" = None,
    ) -> None:
        """Listen at once, except that an inherited socket accepts nothing until the listener is resumed.

        `statements` parses and classifies statements; None if this is disabled. Raises OSError if the address
        cannot be bound.
        """
        self.statements = statements
        self.loop, self.forwarder, self.classes = loop, forwarder, settings.classes
        self.max_connections = settings.max_connections
        self.query_class, self.update_class = settings.query_class, settings.update_class
        self.connections: list[GrpcConnection] = []
        # Of the connections with input from before a reload that is not decoded yet
        self._kept_classes: dict[GrpcConnection, KeptClasses] = {}
        self.readiness, self.draining_since = readiness, 0.0
        readiness.watchers.append(self._on_phase_change)
        self.listener = Listener(
            loop, settings.address, self._on_accept, settings.shares_port, settings.inherited_socket
        )

    @property
    def is_idle(self) -> bool:
        """Whether all client connections are closed."""
        return all(connection.stream.closed for connection in self.connections)

    def close(self) -> None:
        """Stop accepting connections and calls; open calls continue to their end."""
        self.listener.close()
        for connection in self.connections:
            connection.send_goaway()

    def update_classes(self, classes: RequestClasses) -> None:
        """Accept these classes from now on; calls whose first byte has arrived keep the old ones."""
        self._kept_classes = {
            connection: kept
            for connection, kept in self._kept_classes.items()
            if not connection.stream.closed and connection.stream.inbox
        }
        for connection in self.connections:
            stream = connection.stream
            stream.read_available()
            if stream.inbox:
                kept = self._kept_classes.setdefault(connection, KeptClasses())
                kept.keep(stream.arrivals.received, self.classes)
        self.classes = classes

    def _classes_of_new_call(self, connection: GrpcConnection) -> RequestClasses:
        """The classes of a call whose headers are in the input that the connection has just taken."""
        kept = self._kept_classes.get(connection)
        if kept is None:
            return self.classes
        first_byte = max(1, connection.stream.bytes_consumed - MAX_BYTES_PER_STEP + 1)
        return kept.at(first_byte, self.classes)

    def classes_in_use(self) -> list[RequestClasses]:
        """The classes that new calls, and those that are not accepted yet, may address."""
        kept = [classes for kept in self._kept_classes.values() for classes in kept.all]
        calls = [call.handler for connection in self.connections for call in connection.calls.values()]
        return [self.classes, *kept, *(call.classes for call in calls if isinstance(call, FlightCall))]

    def _on_phase_change(self) -> None:
        if self.readiness.phase is Phase.DRAINING:
            self.draining_since = self.loop.now()
            self.loop.call_at(self.draining_since + DRAIN_CLOSE_IDLE_AFTER_S, self._drain_connections)

    def _drain_connections(self) -> None:
        """Send GOAWAY to all clients once the platform has had time to stop routing new clients here."""
        is_due = self.loop.now() >= self.draining_since + DRAIN_CLOSE_IDLE_AFTER_S
        if self.readiness.phase is Phase.DRAINING and is_due:
            for connection in self.connections:
                connection.send_goaway()

    def _on_accept(self, sock: socket.socket, peer: str) -> None:
        self.connections = [connection for connection in self.connections if not connection.stream.closed]
        stream = Stream(self.loop, sock, f"flight-client {peer}", waiting_since=self.listener.waiting_since)
        if len(self.connections) >= self.max_connections and not self._close_idle_connection():
            stream.close(Reason.TOO_MANY)
            return
        # Read before the preface is sent: the arrival time of the data already received would otherwise be
        # taken from the client's reply to the preface
        stream.start()
        stream.read_available()
        connection = GrpcConnection(self.loop, stream, is_client=False)
        connection.on_call = lambda headers, call: FlightCall(
            self, headers, call, self._classes_of_new_call(connection)
        )
        self.connections.append(connection)
        self._drain_connections()

    def _close_idle_connection(self) -> bool:
        """Close the longest idle connection, first those that never sent anything; False if none is idle.

        At the connection limit, idle clients would otherwise lock out new ones; exceeding the limit would use
        up the file descriptors that connections to engines need.
        """
        idle = [connection for connection in self.connections if connection.is_idle]
        if not idle:
            return False
        longest_idle = min(
            idle, key=lambda connection: (connection.has_received, connection.last_received_at)
        )
        longest_idle.close(Reason.TOO_MANY)
        self.connections.remove(longest_idle)
        return True
