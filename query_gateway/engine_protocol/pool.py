"""The connections to every engine, and which of them an attempt uses.

An attempt takes the first connection to its engine that can take it; if none can, a new one is dialled. The
modules import downwards only:

    pool > connection > request_writer, response_handler > liveness > attempt_table > open_attempt > frames
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

# Of the engines' idle timeout, after which we close first, so that no request crosses an engine's close
IDLE_TIMEOUT_SHARE: Final = 0.8


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The platform's limits on connections to engines. Durations are in seconds."""

    streams_per_connection: int
    dial_timeout: float
    idle_timeout: float  # after which engines close
    progress_interval: float  # of engines' progress reports; 0: they report none


class ConnectionPool:
    """Every engine's connections. Owns them; the attempts belong to the forwarder."""

    streams_results = False

    def __init__(self, loop: Loop, clock: Callable[[], int], limits: ConnectionLimits) -> None:
        """`clock` gives nanoseconds, as the requests' deadlines are."""
        self.loop, self.clock = loop, clock
        self.update_limits(limits)
        self.endpoints: dict[str, Endpoint] = {}  # by engine
        self.connections: dict[str, list[EngineConnection]] = {}  # by engine
        self.by_client_request_id: dict[str, EngineConnection] = {}  # connections of the attempts in flight
        self.postponed = PostponedAttempts(loop, self.start)  # those for which no socket could be made yet

    def update_limits(self, limits: ConnectionLimits) -> None:
        """Apply new limits, to open connections as well."""
        self.streams_per_connection = limits.streams_per_connection
        self.dial_timeout = limits.dial_timeout
        self.idle_timeout = limits.idle_timeout * IDLE_TIMEOUT_SHARE  # after which we close
        self.progress_interval = limits.progress_interval

    def start(self, attempt: AttemptHandle) -> None:
        """Send an attempt, over a new connection if need be.

        It ends as not sent if the engine is unknown, if its client id is already in flight, or if descriptors
        are out for the time of a dial; as a failed connect if the dial fails.
        """
        engine, client_request_id = attempt.endpoint, attempt.request.client_request_id
        endpoint = self.endpoints.get(engine)
        # Engines know one attempt an id, whatever connection it came on
        is_in_flight = client_request_id in self.by_client_request_id
        if endpoint is None or "web" not in endpoint.addresses or is_in_flight:
            self.postponed.remove(attempt)
            attempt.on_ended(OutcomeCode.NOT_SENT)
            return
        connection = self._free_connection(engine, client_request_id)
        if connection is None:
            try:
                connection = EngineConnection(self, engine, endpoint)
            except OSError:  # out of descriptors or buffers just now
                self.postponed.postpone(attempt, self.dial_timeout)
                return
            self.connections.setdefault(engine, []).append(connection)
        self.postponed.remove(attempt)
        self.by_client_request_id[client_request_id] = connection
        connection.send(attempt)

    def _free_connection(self, engine: str, client_request_id: str) -> EngineConnection | None:
        """The first connection to an engine that can take an attempt."""
        for connection in self.connections.get(engine, ()):
            if connection.can_take(client_request_id):
                return connection
        return None

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Take an attempt back if nothing of it has left; whether that was so."""
        client_request_id = attempt.request.client_request_id
        if self.postponed.remove(attempt):
            return True
        connection = self.by_client_request_id.get(client_request_id)
        if connection is None or not connection.withdraw(client_request_id):
            return False
        del self.by_client_request_id[client_request_id]
        return True

    def cancel(self, attempt: AttemptHandle) -> None:
        """Stop an attempt that is in flight; it will not be ended here."""
        self.postponed.remove(attempt)
        if connection := self.by_client_request_id.pop(attempt.request.client_request_id, None):
            connection.cancel(attempt.request.client_request_id)

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Pass on an attempt's changed priority."""
        if connection := self.by_client_request_id.get(attempt.request.client_request_id):
            connection.set_priority(attempt.request.client_request_id, attempt.priority)

    def retire_idle(self, count: int) -> bool:
        """Close up to so many connections without an attempt, the longest idle first; whether any is."""
        idle = [
            connection
            for connections in self.connections.values()
            for connection in connections
            if connection.is_idle
        ]
        for connection in sorted(idle, key=lambda connection: connection.last_used_at)[:count]:
            connection.retire()
        return bool(idle)

    # ---- reports of the connections, see `ConnectionOwner`

    def on_attempt_ended(self, client_request_id: str) -> None:
        """An attempt is no longer in flight on its connection."""
        self.by_client_request_id.pop(client_request_id, None)

    def on_connection_closed(self, connection: EngineConnection) -> None:
        """Drop a connection that has ended; engines without one leave the table."""
        connections = self.connections.get(connection.engine, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.connections.pop(connection.engine, None)
        ended = [
            client_request_id
            for client_request_id, its_connection in self.by_client_request_id.items()
            if its_connection is connection
        ]
        for client_request_id in ended:
            del self.by_client_request_id[client_request_id]

    # ---- the endpoint list

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Apply a change of the endpoint list; engines that a snapshot lacks are retired."""
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
            # Its connections may lead to a process that has ended, and what waits for a dial must not be sent
            # to an engine that is draining
            self._retire(engine)
        if endpoint.info.state is EndpointState.REMOVED:
            self.endpoints.pop(engine, None)
        else:
            self.endpoints[engine] = endpoint

    def _retire(self, engine: str) -> None:
        """Send nothing more on an engine's connections, and take back what has not left yet."""
        self.endpoints.pop(engine, None)
        for connection in list(self.connections.get(engine, [])):
            connection.retire()
            for entry in list(connection.attempts.open.values()):
                if self.withdraw(entry.attempt):
                    # The scheduler treats it as never run, as it would for `NOT_SENT`, but for this code it
                    # also ejects the engine. A restart, of which it is notified next, ends that ejection
                    entry.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
        if not self.connections.get(engine):
            self.connections.pop(engine, None)
