"""The HTTP server: the table of client connections, eviction at its limit, draining, and hot upgrades."""

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

MAX_OVERFLOW_CONNECTIONS = 16  # beyond the limit; their requests are rejected
MAX_EVICTION_CANDIDATES = 8  # connections of a table that are examined to find one to evict


@dataclass(slots=True, frozen=True)
class HttpServerOptions:
    """What the composition root decides about the server."""

    address: tuple[str, int]
    classes: RequestClasses  # those that requests may name at the start
    max_connections: int
    readiness: Readiness
    shared: bool = False  # other processes may listen at the same address
    inherited_socket: socket.socket | None = None  # the predecessor's listening socket
    statements: "StatementService | None" = None  # rejects writes under classes whose requests may run twice


class HttpServer:
    """Accepts client connections; owns them and their listener. Later settings may replace `classes`."""

    def __init__(self, loop: Loop, forwarder: Forwarder, options: HttpServerOptions) -> None:
        """Listen; raises OSError if the address cannot be used."""
        self.loop, self.forwarder, self.classes = loop, forwarder, options.classes
        self.statements = options.statements
        self.max_connections = options.max_connections
        self.readiness = options.readiness
        self.transfer: IdleTransfer | None = None  # set while idle connections are transferred
        self.connections: dict[HttpConnection, None] = {}
        self.without_request: dict[HttpConnection, None] = {}  # no complete request came yet, oldest first
        self.idle: dict[HttpConnection, None] = {}  # between two requests, longest idle first
        self.closing = False
        self.draining_since: float | None = None  # loop time
        self.readiness.watchers.append(self._on_readiness_changed)
        self.listener = Listener(
            loop, options.address, self.add_connection, options.shared, options.inherited_socket
        )

    def draining_for(self, seconds: float = 0.0) -> bool:
        """Whether draining began, and at least so many seconds ago."""
        return self.draining_since is not None and self.loop.now() >= self.draining_since + seconds

    def _on_readiness_changed(self) -> None:
        if self.readiness.phase is not Phase.DRAINING:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = self.loop.now()
            self.loop.call_at(self.draining_since + DRAIN_CLOSE_IDLE_AFTER_S, self._wake_connections)

    def _wake_connections(self) -> None:
        for connection in list(self.connections):
            connection.task.wake()

    def add_connection(self, sock: socket.socket, peer: str, has_sent_request: bool = False) -> None:
        """Serve a connection that was accepted here, or by the predecessor (`has_sent_request` of it).

        The limit keeps descriptors for connections to engines. At the limit the connection that has been
        without a request or idle for longest is evicted, so that many clients that send nothing cannot keep
        others out. Where all have open requests a few more are accepted, whose requests are rejected; those
        beyond them are closed unread.
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
        """End the connection that is needed least, if any may be ended; whether one was."""
        candidate = self._eviction_candidate()
        if candidate is None:
            return False
        candidate.drop(Reason.TOO_MANY)
        return True

    def _eviction_candidate(self) -> HttpConnection | None:
        """The oldest without a byte, else the longest idle, else the oldest with an incomplete first request.

        For the first two, what has arrived is read first: a connection on which a request has come is not
        evicted as a silent one.
        """
        for connection in islice(self.without_request, MAX_EVICTION_CANDIDATES):
            connection.stream.read_available()
            if not connection.stream.arrivals.received:
                return connection
        for connection in islice(self.idle, MAX_EVICTION_CANDIDATES):
            connection.stream.read_available()
            if not connection.stream.inbox:
                return connection
        begun = (connection for connection in self.without_request if not connection.stream.inbox)
        return next(begun, None)

    def start_transfer(self, transfer: IdleTransfer | None) -> None:
        """Transfer connections that are or become idle; with None close them, as in a plain shutdown."""
        self.transfer = transfer
        if transfer is None:
            self.closing = True
        self._wake_connections()

    def close(self) -> None:
        """Accept what waits and then no more, and close connections without an open request."""
        self.closing = True
        self.listener.close()
        self._wake_connections()

    @property
    def is_idle(self) -> bool:
        """Whether no connection is left."""
        return not self.connections
