"""Flight SQL engines: one HTTP/2 connection to each, and one or two calls for every attempt.

An attempt at a query; at an update DO_PUT stands for both methods:

    waiting for the connection --> GET_FLIGHT_INFO --plan with one ticket--> DO_GET --end of stream--> over
            |                            |                                      |
            `----------------------------+-- error, abort, withdrawn, stopped --+--------------------> over
"""

import re
from collections.abc import Callable
from dataclasses import dataclass

from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMessageError, FlightMethod
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.forwarder.postponed_attempts import PostponedAttempts
from query_gateway.model.endpoints import EndpointState
from query_gateway.model.events import OutcomeCode
from query_gateway.model.units import MS
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream, address_of
from query_gateway.rpc.call import Call, CallHandler, Headers
from query_gateway.rpc.connection import GrpcConnection
from query_gateway.rpc.status import GrpcStatus

MEASUREMENT = re.compile(
    r"\d{1,9}(\.\d{1,6})?", re.ASCII
)  # a query's work or memory, as an engine reports it


@dataclass(slots=True, frozen=True)
class ResultMessage:
    """One FlightData of a result, undecoded, and what passing it on acknowledges to the engine."""

    data: bytes
    flow_controlled_bytes: int


MAX_DEADLINE_AGE_NS = 20 * MS  # of the deadline in a call's headers, as the call's message leaves
PASSED_ON = ResultMessage(b"", 0)  # in the place of a schema that has been passed on


class FlightAttempt(CallHandler):
    """One attempt at an engine: for a query its plan and then its result, for an update one DoPut.

    Each call in turn is an HTTP/2 stream of its own; this is the handler of them all.
    """

    def __init__(
        self, pool: "FlightConnectionPool", connection: "FlightConnection", attempt: AttemptHandle
    ) -> None:
        """Prepare an attempt on this connection; nothing is sent before `begin`."""
        self.pool, self.connection, self.attempt = pool, connection, attempt
        self.call: Call | None = None
        self.opened_at = 0  # when the call's headers were encoded, in clock time
        self.method = FlightMethod.DO_PUT if attempt.request.is_update else FlightMethod.GET_FLIGHT_INFO
        self.tickets: list[bytes] = []
        self.schema: ResultMessage | None = None  # kept back until more comes: a schema is no row
        self.status: str | None = None  # of the call under way, as the engine sent it
        self.is_over = False

    @property
    def is_withdrawable(self) -> bool:
        """Whether the engine has surely begun nothing of it.

        An engine runs nothing before it has the complete message of the call. A DoGet counts as run all the
        same: the engine may have begun the query when it planned it.
        """
        if self.method is FlightMethod.DO_GET:
            return False
        return self.call is None or bool(self.call.queue)

    def begin(self) -> None:
        """Open the attempt's first call."""
        self.pool.postponed.remove(self.attempt)
        if not self.attempt.may_be_written():
            self.end(OutcomeCode.NOT_SENT)
            return
        statement = self.attempt.request.statement.decode()
        if self.method is FlightMethod.DO_PUT:
            self._open_call(messages.encode_update(statement))
        else:
            self._open_call(messages.encode_query_descriptor(statement))

    def stop(self) -> None:
        """Cancel the attempt without notifying anybody."""
        self.is_over = True
        if self.call:
            self.call.reset()
        self.connection.remove_waiting(self)

    def end(self, code: OutcomeCode) -> None:
        """Notify the forwarder of the attempt's one outcome; later ones are dropped."""
        if not self.is_over:
            self.is_over = True
            self.pool.attempts.pop(id(self.attempt), None)
            self.pool.postponed.remove(self.attempt)
            self.attempt.on_ended(code)

    def end_undialled(self) -> None:
        """End the attempt as its dial failed, or postpone it if our own machine could not dial."""
        if self.is_over or not self.connection.grpc.stream.is_local_failure:
            self.end(OutcomeCode.CONNECT_FAILED)
            return
        self.is_over = True
        self.pool.attempts.pop(id(self.attempt), None)
        self.pool.postponed.postpone(self.attempt, self.pool.dial_timeout)

    def _open_call(self, message: bytes) -> None:
        self.status = None
        self.opened_at = self.pool.clock()
        self.call = self.connection.grpc.open_call(self._request_headers(), self)
        if self.call is None:
            self.end(self._outcome_of_abort(never_ran=True))
            return
        # A query counts as written with its plan's request; its result's is no second one
        is_first = self.method is not FlightMethod.DO_GET
        self.call.send(
            message,
            on_sent=self._on_message_released if is_first else None,
            half_close=True,
            may_leave=lambda: self._may_leave(message),
        )

    def _may_leave(self, message: bytes) -> bool:
        """Whether a call's message may follow its headers; if they are out of date, the call is opened again.

        The engine runs nothing of a call whose message it has not received.
        """
        if self.pool.clock() - self.opened_at <= MAX_DEADLINE_AGE_NS:
            return True
        if self.call:
            self.call.reset()
        if self.method is FlightMethod.DO_GET:
            self._open_call(message)
        else:
            self.begin()
        return False

    def _request_headers(self) -> Headers:
        request, attempt = self.attempt.request, self.attempt
        timeout_ms = max(1, (request.deadline - self.pool.clock()) // MS)
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", messages.SERVICE_PATH + self.method.value),
            (":authority", self.connection.address),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-timeout", f"{timeout_ms}m"),
            ("x-class", request.class_name),
            ("x-txn", request.client_request_id),
            ("x-priority", str(attempt.priority)),
        ]
        if request.idempotency_key:
            headers.append(("x-txn-key", request.idempotency_key))
        if attempt.memory_mb > 0:
            headers.append(("x-grant-mb", f"{attempt.memory_mb:g}"))
        return headers

    def _on_message_released(self) -> None:
        """Flow control has let the message go; it counts as written once the socket has taken it."""
        self.connection.grpc.stream.call_when_sent(self.attempt.on_written)

    def _outcome_of_abort(self, never_ran: bool) -> OutcomeCode:
        if never_ran and self.method is not FlightMethod.DO_GET:
            return OutcomeCode.CONNECT_FAILED
        return OutcomeCode.RESET

    # ---- what the engine sends

    def on_headers(self, headers: dict[str, str]) -> None:
        """Note the call's status and what the engine measured of the query."""
        self.status = headers.get("grpc-status", self.status)
        if "x-work-ms" in headers or "x-used-mb" in headers:
            work_ms = _parse_measurement(headers.get("x-work-ms", "0"))
            used_mb = _parse_measurement(headers.get("x-used-mb", "0"))
            self.attempt.on_measured(int(work_ms * MS), used_mb)

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        """Take the tickets of a plan, or pass a message of the result on."""
        call = self.call
        if self.is_over or call is None:
            return
        if self.method is FlightMethod.GET_FLIGHT_INFO:
            call.acknowledge(flow_controlled_bytes)
            try:
                self.tickets = messages.decode_flight_info_tickets(data)
            except FlightMessageError:
                call.reset()
                self.end(OutcomeCode.ERROR)
        elif self.method is FlightMethod.DO_GET and self.schema is None:
            self.schema = ResultMessage(data, flow_controlled_bytes)
        else:
            self._pass_schema_on()
            self._pass_on(ResultMessage(data, flow_controlled_bytes))

    def on_end_stream(self) -> None:
        """Go on from a plan to its result, or end with the outcome of the call's status."""
        if self.is_over:
            return
        if self.status != str(GrpcStatus.OK.value):
            is_full = self.status == str(GrpcStatus.RESOURCE_EXHAUSTED.value)
            self.end(OutcomeCode.FULL if is_full else OutcomeCode.ERROR)
        elif self.method is FlightMethod.GET_FLIGHT_INFO:
            self._fetch_result()
        elif self.tickets:
            # The engine's plan has several endpoints (Arrow Flight, FlightInfo), each of whose results begins
            # with a schema of its own: as one stream they could not be read
            self._pass_schema_on()
            self.end(OutcomeCode.ERROR)
        else:
            self.attempt.on_executed()
            self._pass_schema_on()
            self.end(OutcomeCode.OK)

    def on_aborted(self, never_ran: bool) -> None:
        """End the attempt; it may be sent elsewhere if the engine surely began nothing."""
        self.end(self._outcome_of_abort(never_ran))

    def _fetch_result(self) -> None:
        if self.tickets:
            self.method = FlightMethod.DO_GET
            self._open_call(self.tickets.pop(0))
        else:
            self.end(OutcomeCode.ERROR)

    def _pass_schema_on(self) -> None:
        if self.schema and self.schema.data:
            schema, self.schema = self.schema, PASSED_ON
            self._pass_on(schema)

    def _pass_on(self, message: ResultMessage) -> None:
        """Pass a message on; it is acknowledged to the engine only once it has left for the client."""
        if call := self.call:
            self.attempt.on_page(message.data, lambda: call.acknowledge(message.flow_controlled_bytes))


def _parse_measurement(text: str) -> float:
    """Return a figure that an engine reports of a query; 0, for not reported, if it cannot be read."""
    return float(text) if MEASUREMENT.fullmatch(text) else 0.0


class FlightConnection:
    """The connection to one engine, with the attempts that wait for it to come up."""

    def __init__(self, pool: "FlightConnectionPool", engine: str, address: str) -> None:
        """Dial `address`, given as ADDRESS:PORT; raises OSError when no file descriptor is left."""
        self.pool, self.address = pool, address
        self.waiting: list[FlightAttempt] = []
        loop = pool.loop
        stream = Stream.dial(loop, address_of(address), f"flight-engine {engine} {address}", lambda: None)
        self.grpc = GrpcConnection(loop, stream, is_client=True)
        stream.on_activity = self._on_activity
        loop.call_at(loop.now() + pool.dial_timeout, self._on_dial_timeout)

    @property
    def is_usable(self) -> bool:
        """Whether a further call may be begun.

        Reads what has arrived first. A call written after the engine has closed the connection, unnoticed so
        far, would count as possibly run when the connection ends, and an update could not be repeated.
        """
        self.grpc.stream.read_available()
        return not self.grpc.draining and not self.grpc.stream.is_over

    def start(self, attempt: FlightAttempt) -> None:
        """Begin the attempt, at once or when the connection has come up."""
        if self.grpc.stream.connected:
            attempt.begin()
        elif self.grpc.stream.is_over:  # the dial failed at once, and no activity follows
            self.pool.loop.call_at(self.pool.loop.now(), attempt.end_undialled)
        else:
            self.waiting.append(attempt)

    def remove_waiting(self, attempt: FlightAttempt) -> None:
        """Begin this attempt no more, if it still waits."""
        self.waiting = [other for other in self.waiting if other is not attempt]

    def _on_activity(self) -> None:
        self.grpc.wake()
        if self.waiting:
            # Not in the midst of the events of a poll: those of clients may be cancels, and come first
            self.pool.loop.call_at(self.pool.loop.now(), self._start_waiting)

    def _start_waiting(self) -> None:
        """Begin what waits, or end it if the connection never came up."""
        stream = self.grpc.stream
        if not stream.connected and not stream.is_over:
            return
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            if stream.is_over:
                attempt.end_undialled()
            else:
                attempt.begin()

    def _on_dial_timeout(self) -> None:
        if not self.grpc.stream.connected and not self.grpc.stream.closed:
            self.grpc.draining = True
            self.grpc.stream.close(Reason.DIAL_TIMEOUT)
            self._start_waiting()


class FlightConnectionPool:
    """The forwarder's engine client for Flight SQL; owns the connections and the attempts there."""

    streams_results = True

    def __init__(self, loop: Loop, clock: Callable[[], int], dial_timeout: float) -> None:
        """Begin without engines. `clock` gives clock time in nanoseconds; `dial_timeout` is in seconds."""
        self.loop, self.clock, self.dial_timeout = loop, clock, dial_timeout
        self.addresses: dict[str, str] = {}  # of the engines that may get new attempts, by engine
        self.connections: dict[str, FlightConnection] = {}  # by engine
        self.attempts: dict[int, FlightAttempt] = {}  # by the id() of the forwarder's attempt
        self.postponed = PostponedAttempts(loop, self.start)

    def start(self, attempt: AttemptHandle) -> None:
        """Send an attempt to its engine; NOT_SENT if that is impossible without an engine fault."""
        address = self.addresses.get(attempt.endpoint)
        if address is None:
            self.postponed.remove(attempt)
            attempt.on_ended(OutcomeCode.NOT_SENT)
            return
        connection = self._connection_to(attempt.endpoint, address)
        if connection is None:
            self.postponed.postpone(attempt, self.dial_timeout)
            return
        flight_attempt = self.attempts[id(attempt)] = FlightAttempt(self, connection, attempt)
        connection.start(flight_attempt)

    def _connection_to(self, engine: str, address: str) -> FlightConnection | None:
        """Return the engine's connection, or a new one if it takes no further call; None: out of sockets."""
        connection = self.connections.get(engine)
        if connection and connection.is_usable and connection.address == address:
            return connection
        if connection:
            connection.grpc.drain()
        try:
            connection = self.connections[engine] = FlightConnection(self, engine, address)
        except OSError:  # no file descriptor is left
            return None
        return connection

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Cancel the attempt if the engine has surely begun nothing of it; False if it may have."""
        flight_attempt = self.attempts.get(id(attempt))
        if flight_attempt is None:
            return self.postponed.remove(attempt)
        if not flight_attempt.is_withdrawable:
            return False
        self.cancel(attempt)
        return True

    def cancel(self, attempt: AttemptHandle) -> None:
        """Stop the attempt at its engine; it gets no outcome."""
        self.postponed.remove(attempt)
        if flight_attempt := self.attempts.pop(id(attempt), None):
            flight_attempt.stop()

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Do nothing: a priority cannot be changed on this wire once the call is out."""

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Take over the engines' addresses and states; `is_snapshot`: those not named are removed.

        An engine that drains closes its connections in the end, and a call begun then would be lost. So its
        connection takes no further call, while results under way go on.
        """
        if is_snapshot:
            self.addresses = {}
        for endpoint in endpoints:
            engine = endpoint.info.name
            if endpoint.info.state is EndpointState.UP and "flight" in endpoint.addresses:
                self.addresses[engine] = endpoint.addresses["flight"]
            else:
                self.addresses.pop(engine, None)
        for engine in [engine for engine in self.connections if engine not in self.addresses]:
            self._drain_connection(self.connections.pop(engine))

    def _drain_connection(self, connection: FlightConnection) -> None:
        """Begin nothing more there; end what the engine has not begun, so that it is sent elsewhere."""
        connection.grpc.drain()
        for flight_attempt in list(self.attempts.values()):
            if flight_attempt.connection is connection and self.withdraw(flight_attempt.attempt):
                # The scheduler treats it as never run, as it would for `NOT_SENT`, but for this code it also
                # ejects the engine
                flight_attempt.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
