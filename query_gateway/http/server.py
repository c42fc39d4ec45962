"""The HTTP server: client connections and their limit, eviction, draining and transfer in a hot upgrade."""

import socket
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import RequestClasses
from query_gateway.forwarder.readiness import DRAIN_CLOSE_IDLE_AFTER_S, Phase, Readiness
from query_gateway.http.connection import HttpConnection, IdleTransfer
from query_gateway.net.listener import Listener
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

if TYPE_CHECKING:
    from query_gateway.parsing.service import StatementService

MAX_OVERFLOW_CONNECTIONS = 16  # accepted beyond the limit; their requests are rejected
MAX_EVICTION_CANDIDATES = 8  # connections examined per table to find one to evict


@dataclass(slots=True, frozen=True)
class HttpServerOptions:
    """The options of the server, which the composition root sets."""

    address: tuple[str, int]
    classes: RequestClasses  # the initial value of `HttpServer.classes`
    max_connections: int
    readiness: Readiness
    shared: bool = False  # other processes may listen on the same address
    inherited_socket: socket.socket | None = None  # the predecessor's listening socket
    statements: "StatementService | None" = None  # rejects writes under classes whose requests may run twice


class HttpServer:
    """Accepts client connections; owns them and their listener. `update_classes` replaces `classes`."""

    def __init__(self, loop: Loop, forwarder: Forwarder, options: HttpServerOptions) -> None:
        """Start to listen; raises OSError if the address cannot be used."""
        self.loop, self.forwarder, self.classes = loop, forwarder, options.classes
        self.statements = options.statements
        self.max_connections = options.max_connections
        self.readiness = options.readiness
        self.transfer: IdleTransfer | None = None  # set while idle connections are transferred
        self.connections: dict[HttpConnection, None] = {}
        self.awaiting_first_request: dict[HttpConnection, None] = {}  # no complete request yet; oldest first
        self.idle: dict[HttpConnection, None] = {}  # between two requests; longest idle first
        self.closing = False
        self.draining_since: float | None = None  # loop time
        self.readiness.watchers.append(self._on_readiness_changed)
        self.listener = Listener(
            loop, options.address, self.add_connection, options.shared, options.inherited_socket
        )

    def draining_for(self, seconds: float = 0.0) -> bool:
        """Whether the server has been draining for at least `seconds`."""
        return self.draining_since is not None and self.loop.now() >= self.draining_since + seconds

    def _on_readiness_changed(self) -> None:
        if self.readiness.phase is not Phase.DRAINING:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = self.loop.now()
            self.loop.call_at(self.draining_since + DRAIN_CLOSE_IDLE_AFTER_S, self._wake_connections)

    def update_classes(self, classes: RequestClasses) -> None:
        """Accept these classes from now on; requests whose first byte has arrived keep the old ones."""
        for connection in self.connections:
            connection.keep_classes_of_input(self.classes)
        self.classes = classes

    def classes_in_use(self) -> list[RequestClasses]:
        """The classes that new requests, and those that are not accepted yet, may address."""
        kept = [classes for connection in self.connections for classes in connection.classes_in_use()]
        return [self.classes, *kept]

    def _wake_connections(self) -> None:
        for connection in list(self.connections):
            connection.task.wake()

    def add_connection(self, sock: socket.socket, peer: str, has_sent_request: bool = False) -> None:
        """Serve a connection that was accepted here or transferred by the predecessor.

        `has_sent_request` is set for a transferred connection that has had a complete request. The limit
        reserves descriptors for connections to engines. At the limit the connection that has waited longest
        for its first or next request is evicted, so that clients that send nothing cannot lock out others. If
        no connection can be evicted, `MAX_OVERFLOW_CONNECTIONS` more are accepted, whose requests are
        rejected; any further ones are closed unread.
        """
        if len(self.connections) >= self.max_connections:
            self.evict()
        if len(self.connections) >= self.max_connections + MAX_OVERFLOW_CONNECTIONS:
            Stream(self.loop, sock, f"client {peer}").close(Reason.TOO_MANY)
            return
        stream = Stream(self.loop, sock, f"client {peer}", waiting_since=self.listener.waiting_since)
        connection = HttpConnection(self, stream, peer, has_sent_request)
        connection.handler.is_over_connection_limit = len(self.connections) >= self.max_connections
        self.connections[connection] = None

    def evict(self) -> bool:
        """Close the connection that `_eviction_candidate` chooses, if any; return whether one was closed."""
        candidate = self._eviction_candidate()
        if candidate is None:
            return False
        candidate.drop(Reason.TOO_MANY)
        return True

    def _eviction_candidate(self) -> HttpConnection | None:
        """The connection to evict, or None.

        Chosen is the oldest connection from which no byte has arrived, else the one that has been idle
        longest, else the oldest with an incomplete first request. A connection with bytes in its inbox is not
        evicted, as they may complete a request. The first two cases therefore read what has arrived before
        they judge a connection.
        """
        for connection in islice(self.awaiting_first_request, MAX_EVICTION_CANDIDATES):
            connection.stream.read_available()
            if not connection.stream.arrivals.received:
                return connection
        for connection in islice(self.idle, MAX_EVICTION_CANDIDATES):
            connection.stream.read_available()
            if not connection.stream.inbox:
                return connection
        incomplete = (connection for connection in self.awaiting_first_request if not connection.stream.inbox)
        return next(incomplete, None)

    def start_transfer(self, transfer: IdleTransfer | None) -> None:
        """Transfer connections to the successor once they are idle; None: close them instead."""
        self.transfer = transfer
        if transfer is None:
            self.closing = True
        self._wake_connections()

    def close(self) -> None:
        """Accept the pending connections, stop listening, and close connections without an open request."""
        self.closing = True
        self.listener.close()
        self._wake_connections()

    @property
    def is_idle(self) -> bool:
        """Whether no connection is open."""
        return not self.connections
