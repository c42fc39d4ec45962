"""The connection pool of all engines, and the choice of the connection for each attempt.

An attempt uses the first connection to its engine that can take it; if there is none, a new one is dialled.
Each module imports only modules further to the right:

    pool > connection > request_writer, response_handler > liveness > attempt_table > open_attempt
         > frames, results
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from query_gateway.engine_protocol.connection import EngineConnection
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.forwarder.postponed_attempts import PostponedAttempts
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.events import OutcomeCode
from query_gateway.net.loop import Loop

# The part of the engines' idle timeout after which the gateway closes a connection itself, so that no request
# is sent while the engine closes it
IDLE_TIMEOUT_SHARE: Final = 0.8


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The platform's limits on connections to engines. Durations are in seconds."""

    streams_per_connection: int
    dial_timeout: float
    idle_timeout: float  # after which engines close a connection
    progress_interval: float  # between progress notes of an engine; 0: engines send none


class ConnectionPool:
    """Owns the connections to all engines; the attempts belong to the forwarder."""

    streams_results = False

    def __init__(self, loop: Loop, clock: Callable[[], int], limits: ConnectionLimits) -> None:
        """`clock` returns nanoseconds, like the deadlines of requests."""
        self.loop, self.clock = loop, clock
        self.update_limits(limits)
        self.endpoints: dict[str, Endpoint] = {}  # by engine
        self.connections: dict[str, list[EngineConnection]] = {}  # by engine
        self.by_client_request_id: dict[str, EngineConnection] = {}  # the connection of each attempt
        self.postponed = PostponedAttempts(loop, self.start)  # attempts that wait for a socket

    def update_limits(self, limits: ConnectionLimits) -> None:
        """Apply new limits, to open connections as well."""
        self.streams_per_connection = limits.streams_per_connection
        self.dial_timeout = limits.dial_timeout
        self.idle_timeout = limits.idle_timeout * IDLE_TIMEOUT_SHARE  # after which the gateway closes
        self.progress_interval = limits.progress_interval

    def start(self, attempt: AttemptHandle) -> None:
        """Send an attempt, on a new connection if necessary.

        The attempt ends as not sent if the engine is unknown or has no `web` address, if an attempt with the
        same client request id is in flight, or if this host lacks a resource for the connection (such as a
        descriptor, port or buffer) until the dial timeout. If the dial fails for another reason, the attempt
        ends as a failed connect.
        """
        engine, client_request_id = attempt.endpoint, attempt.request.client_request_id
        endpoint = self.endpoints.get(engine)
        # Engines allow one attempt per id, even across connections
        is_in_flight = client_request_id in self.by_client_request_id
        if endpoint is None or "web" not in endpoint.addresses or is_in_flight:
            self.postponed.remove(attempt)
            attempt.on_ended(OutcomeCode.NOT_SENT)
            return
        connection = self._available_connection(engine, client_request_id)
        if connection is None:
            try:
                connection = EngineConnection(self, engine, endpoint)
            except OSError:  # no descriptor or buffer is available at the moment
                self.postponed.postpone(attempt, self.dial_timeout)
                return
            self.connections.setdefault(engine, []).append(connection)
        self.postponed.remove(attempt)
        self.by_client_request_id[client_request_id] = connection
        connection.send(attempt)

    def _available_connection(self, engine: str, client_request_id: str) -> EngineConnection | None:
        """The first connection to an engine that can take an attempt with this id, None if there is none."""
        for connection in self.connections.get(engine, ()):
            if connection.can_take(client_request_id):
                return connection
        return None

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Withdraw an attempt if no byte of it was sent; return whether this was the case."""
        client_request_id = attempt.request.client_request_id
        if self.postponed.remove(attempt):
            return True
        connection = self.by_client_request_id.get(client_request_id)
        if connection is None or not connection.withdraw(client_request_id):
            return False
        del self.by_client_request_id[client_request_id]
        return True

    def cancel(self, attempt: AttemptHandle) -> None:
        """Stop an attempt that is in flight, without calling its `on_ended`."""
        self.postponed.remove(attempt)
        if connection := self.by_client_request_id.pop(attempt.request.client_request_id, None):
            connection.cancel(attempt.request.client_request_id)

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Send an attempt's changed priority to its engine."""
        if connection := self.by_client_request_id.get(attempt.request.client_request_id):
            connection.set_priority(attempt.request.client_request_id, attempt.priority)

    def retire_idle(self, count: int) -> bool:
        """Close up to `count` idle connections, longest idle first; return whether any was idle."""
        idle = [
            connection
            for connections in self.connections.values()
            for connection in connections
            if connection.is_idle
        ]
        for connection in sorted(idle, key=lambda connection: connection.last_used_at)[:count]:
            connection.retire()
        return bool(idle)

    # ---- events of the connections (`ConnectionOwner`)

    def on_attempt_ended(self, client_request_id: str) -> None:
        """Forget the connection of an attempt that has ended; its client request id may now be sent again."""
        self.by_client_request_id.pop(client_request_id, None)

    def on_connection_closed(self, connection: EngineConnection) -> None:
        """Forget a connection that has ended, and the connection of each attempt on it."""
        connections = self.connections.get(connection.engine, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.connections.pop(connection.engine, None)
        ended = [
            client_request_id
            for client_request_id, used_connection in self.by_client_request_id.items()
            if used_connection is connection
        ]
        for client_request_id in ended:
            del self.by_client_request_id[client_request_id]

    # ---- the endpoint list

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Apply a change of the endpoint list; retires connections to engines that a snapshot omits."""
        if is_snapshot:
            listed = {endpoint.info.name for endpoint in endpoints}
            for engine in [engine for engine in self.endpoints if engine not in listed]:
                self._retire(engine)
        for endpoint in endpoints:
            self._update_endpoint(endpoint)

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        engine = endpoint.info.name
        previous = self.endpoints.get(engine)
        restarted_or_moved = (
            previous is None
            or previous.info.started_at != endpoint.info.started_at
            or previous.addresses != endpoint.addresses
        )
        if endpoint.info.state is not EndpointState.UP or restarted_or_moved:
            # The connections may lead to a process that has ended, and attempts that wait for a dial must not
            # be sent to an engine that is draining
            self._retire(engine)
        if endpoint.info.state is EndpointState.REMOVED:
            self.endpoints.pop(engine, None)
        else:
            self.endpoints[engine] = endpoint

    def _retire(self, engine: str) -> None:
        """Retire the connections of an engine, and withdraw the attempts of which no byte was sent."""
        self.endpoints.pop(engine, None)
        for connection in list(self.connections.get(engine, [])):
            connection.retire()
            for entry in list(connection.attempts.open.values()):
                if self.withdraw(entry.attempt):
                    # As for `NOT_SENT`, the scheduler treats the attempt as never run, but for this code it
                    # also ejects the engine. If the engine has restarted, the scheduler is notified of that
                    # next, which ends the ejection
                    entry.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
        if not self.connections.get(engine):
            self.connections.pop(engine, None)
