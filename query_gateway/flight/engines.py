"""The client for Flight SQL engines: one HTTP/2 connection per engine, one or two calls per attempt.

The states of an attempt to run a query; an update has the single call DO_PUT in place of the two calls:

    waiting for the connection --> GET_FLIGHT_INFO --plan with one ticket--> DO_GET --end of stream--> ended
            |                            |                                      |
            `----------------------------+-- error, abort, withdrawn, stopped --+--------------------> ended
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

MEASUREMENT_VALUE = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)  # work or memory in an engine's headers


@dataclass(slots=True, frozen=True)
class ResultMessage:
    """One undecoded FlightData of a result, and the flow-control credit that is due for it."""

    data: bytes
    flow_controlled_bytes: int


MAX_DEADLINE_AGE_NS = 20 * MS  # from encoding the deadline in a call's headers to sending its message
FORWARDED_SCHEMA = ResultMessage(b"", 0)  # replaces a schema message that has been forwarded


class FlightAttempt(CallHandler):
    """One attempt at an engine: GetFlightInfo and then DoGet for a query, one DoPut for an update.

    Each call is a separate HTTP/2 stream; this object handles all calls of the attempt.
    """

    def __init__(
        self, pool: "FlightConnectionPool", connection: "FlightConnection", attempt: AttemptHandle
    ) -> None:
        """Prepare the attempt on this connection; `begin` opens its first call."""
        self.pool, self.connection, self.attempt = pool, connection, attempt
        self.call: Call | None = None
        self.opened_at = 0  # clock time when the call's headers were encoded
        self.method = FlightMethod.DO_PUT if attempt.request.is_update else FlightMethod.GET_FLIGHT_INFO
        self.tickets: list[bytes] = []
        # The first message of a result, which has no rows. It is held back until more follows: once any
        # message of a result has been forwarded, no other attempt can serve the request
        self.schema: ResultMessage | None = None
        self.status: str | None = None  # grpc-status of the current call
        self.is_ended = False

    @property
    def is_withdrawable(self) -> bool:
        """Whether the engine cannot have started to execute the attempt.

        An engine executes nothing before it has received the complete message of a call. During DoGet the
        attempt counts as started in any case, as the engine may execute a query while planning it.
        """
        if self.method is FlightMethod.DO_GET:
            return False
        return self.call is None or bool(self.call.queue)

    def begin(self) -> None:
        """Open the first call; if the attempt must no longer be written, end it as not sent."""
        self.pool.postponed.remove(self.attempt)
        if not self.attempt.may_be_written():
            self.end(OutcomeCode.NOT_SENT)
            return
        statement = self.attempt.request.statement
        if self.method is FlightMethod.DO_PUT:
            self._open_call(messages.encode_update(statement))
        else:
            self._open_call(messages.encode_query_descriptor(statement))

    def stop(self) -> None:
        """Cancel the attempt without reporting an outcome."""
        self.is_ended = True
        if self.call:
            self.call.reset()
        self.connection.remove_waiting(self)

    def end(self, code: OutcomeCode) -> None:
        """Report the outcome of the attempt to the forwarder; calls after the first one are ignored."""
        if not self.is_ended:
            self.is_ended = True
            self.pool.attempts.pop(id(self.attempt), None)
            self.pool.postponed.remove(self.attempt)
            self.attempt.on_ended(code)

    def end_after_failed_dial(self) -> None:
        """End the attempt after a failed dial, or postpone it if the failure was local to this host."""
        if self.is_ended or not self.connection.grpc.stream.is_local_failure:
            self.end(OutcomeCode.CONNECT_FAILED)
            return
        self.is_ended = True
        self.pool.attempts.pop(id(self.attempt), None)
        self.pool.postponed.postpone(self.attempt, self.pool.dial_timeout)

    def _open_call(self, message: bytes) -> None:
        self.status = None
        self.opened_at = self.pool.clock()
        self.call = self.connection.grpc.open_call(self._request_headers(), self)
        if self.call is None:
            self.end(self._outcome_of_abort(never_ran=True))
            return
        # A query counts as written once GetFlightInfo has been sent; DoGet must not count it a second time
        is_first = self.method is not FlightMethod.DO_GET
        self.call.send(
            message,
            on_sent=self._on_message_released if is_first else None,
            half_close=True,
            may_send=lambda: self._may_send_message(message),
        )

    def _may_send_message(self, message: bytes) -> bool:
        """Whether the message may be sent; if the deadline in the call's headers is too old, reopen the call.

        Reopening is safe, as the engine executes nothing of a call whose message it has not received.
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
        """Flow control has released the message; report it as written once the socket has accepted it."""
        self.connection.grpc.stream.call_when_sent(self.attempt.on_written)

    def _outcome_of_abort(self, never_ran: bool) -> OutcomeCode:
        if never_ran and self.method is not FlightMethod.DO_GET:
            return OutcomeCode.CONNECT_FAILED
        return OutcomeCode.RESET

    # ---- events from the engine

    def on_headers(self, headers: dict[str, str]) -> None:
        """Record the status of the call, and report the work and memory that the engine measured."""
        self.status = headers.get("grpc-status", self.status)
        if "x-work-ms" in headers or "x-used-mb" in headers:
            work_ms = _parse_measurement(headers.get("x-work-ms", "0"))
            used_mb = _parse_measurement(headers.get("x-used-mb", "0"))
            self.attempt.on_measured(int(work_ms * MS), used_mb)

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        """Decode the tickets of a plan, or forward a message of the result."""
        call = self.call
        if self.is_ended or call is None:
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
            self._forward_schema()
            self._forward_message(ResultMessage(data, flow_controlled_bytes))

    def on_end_stream(self) -> None:
        """Continue from the plan to the result, or end the attempt with the outcome for the status."""
        if self.is_ended:
            return
        if self.status != str(GrpcStatus.OK.value):
            is_full = self.status == str(GrpcStatus.RESOURCE_EXHAUSTED.value)
            self.end(OutcomeCode.FULL if is_full else OutcomeCode.ERROR)
        elif self.method is FlightMethod.GET_FLIGHT_INFO:
            self._fetch_result()
        elif self.tickets:
            # The plan has several endpoints (Arrow Flight, FlightInfo). Each of their results starts with its
            # own schema, so clients could not read the results as one concatenated stream
            self._forward_schema()
            self.end(OutcomeCode.ERROR)
        else:
            self.attempt.on_executed()
            self._forward_schema()
            self.end(OutcomeCode.OK)

    def on_aborted(self, never_ran: bool) -> None:
        """End the attempt; another engine may run it if this one cannot have started to execute it."""
        self.end(self._outcome_of_abort(never_ran))

    def _fetch_result(self) -> None:
        if self.tickets:
            self.method = FlightMethod.DO_GET
            self._open_call(self.tickets.pop(0))
        else:
            self.end(OutcomeCode.ERROR)

    def _forward_schema(self) -> None:
        if self.schema and self.schema.data:
            schema, self.schema = self.schema, FORWARDED_SCHEMA
            self._forward_message(schema)

    def _forward_message(self, message: ResultMessage) -> None:
        """Forward a message; it is acknowledged to the engine only once it was sent to the client."""
        if call := self.call:
            self.attempt.on_page(message.data, lambda: call.acknowledge(message.flow_controlled_bytes))


def _parse_measurement(text: str) -> float:
    """Return the value of an engine's measurement header; 0, like a missing header, if it is malformed."""
    return float(text) if MEASUREMENT_VALUE.fullmatch(text) else 0.0


class FlightConnection:
    """The connection to one engine, with the attempts that wait for it to be established."""

    def __init__(self, pool: "FlightConnectionPool", engine: str, address: str) -> None:
        """Dial `address`, given as ADDRESS:PORT; raises OSError if the file descriptors are exhausted."""
        self.pool, self.address = pool, address
        self.waiting: list[FlightAttempt] = []
        loop = pool.loop
        stream = Stream.dial(loop, address_of(address), f"flight-engine {engine} {address}", lambda: None)
        self.grpc = GrpcConnection(loop, stream, is_client=True)
        stream.on_activity = self._on_activity
        loop.call_at(loop.now() + pool.dial_timeout, self._on_dial_timeout)

    @property
    def is_usable(self) -> bool:
        """Whether the connection accepts further calls.

        Received data is read first, to notice a close by the engine. A call written after the close would
        count as possibly executed when the connection ends, so that an update could not be repeated.
        """
        self.grpc.stream.read_available()
        return not self.grpc.draining and not self.grpc.stream.is_over

    def start(self, attempt: FlightAttempt) -> None:
        """Begin the attempt once the connection is established, which may be at once."""
        if self.grpc.stream.connected:
            attempt.begin()
        elif self.grpc.stream.is_over:  # the dial failed immediately, so no activity callback will follow
            self.pool.loop.call_at(self.pool.loop.now(), attempt.end_after_failed_dial)
        else:
            self.waiting.append(attempt)

    def remove_waiting(self, attempt: FlightAttempt) -> None:
        """Remove the attempt from those that wait for the connection, if it is among them."""
        self.waiting = [other for other in self.waiting if other is not attempt]

    def _on_activity(self) -> None:
        self.grpc.wake()
        if self.waiting:
            # Deferred until all events of this poll are handled, as cancellations by clients must take effect
            # first
            self.pool.loop.call_at(self.pool.loop.now(), self._start_waiting)

    def _start_waiting(self) -> None:
        """Begin the waiting attempts, or end them if the connection could not be established."""
        stream = self.grpc.stream
        if not stream.connected and not stream.is_over:
            return
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            if stream.is_over:
                attempt.end_after_failed_dial()
            else:
                attempt.begin()

    def _on_dial_timeout(self) -> None:
        if not self.grpc.stream.connected and not self.grpc.stream.closed:
            self.grpc.draining = True
            self.grpc.stream.close(Reason.DIAL_TIMEOUT)
            self._start_waiting()


class FlightConnectionPool:
    """The forwarder's engine client for Flight SQL; owns the connections and the attempts on them."""

    streams_results = True

    def __init__(self, loop: Loop, clock: Callable[[], int], dial_timeout: float) -> None:
        """Start without engines; `clock` returns clock time in nanoseconds, `dial_timeout` is in seconds."""
        self.loop, self.clock, self.dial_timeout = loop, clock, dial_timeout
        self.addresses: dict[str, str] = {}  # by engine, for those that accept new attempts
        self.connections: dict[str, FlightConnection] = {}  # by engine
        self.attempts: dict[int, FlightAttempt] = {}  # by id() of the AttemptHandle
        self.postponed = PostponedAttempts(loop, self.start)

    def start(self, attempt: AttemptHandle) -> None:
        """Send an attempt to its engine; if the engine accepts no new attempts, end it with NOT_SENT.

        NOT_SENT does not count as a fault of the engine.
        """
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
        """Return the engine's connection, or a new one if it is unusable.

        Returns None if the file descriptors are exhausted.
        """
        connection = self.connections.get(engine)
        if connection and connection.is_usable and connection.address == address:
            return connection
        if connection:
            connection.grpc.drain()
        try:
            connection = self.connections[engine] = FlightConnection(self, engine, address)
        except OSError:  # the file descriptors are exhausted
            return None
        return connection

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Cancel the attempt if the engine cannot have started to execute it.

        Returns whether the attempt was cancelled.
        """
        flight_attempt = self.attempts.get(id(attempt))
        if flight_attempt is None:
            return self.postponed.remove(attempt)
        if not flight_attempt.is_withdrawable:
            return False
        self.cancel(attempt)
        return True

    def cancel(self, attempt: AttemptHandle) -> None:
        """Cancel the attempt at its engine without reporting an outcome."""
        self.postponed.remove(attempt)
        if flight_attempt := self.attempts.pop(id(attempt), None):
            flight_attempt.stop()

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Do nothing: Flight SQL has no means to change the priority of a call that has been sent."""

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Update the engines' addresses and states; a snapshot also removes the engines that it omits.

        A draining engine eventually closes its connections, and calls opened shortly before would be lost. So
        its connection accepts no further calls, while result transfers in progress continue.
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
        """Open no more calls; end the attempts not started by the engine, so that other engines run them."""
        connection.grpc.drain()
        for flight_attempt in list(self.attempts.values()):
            if flight_attempt.connection is connection and self.withdraw(flight_attempt.attempt):
                # The scheduler treats an attempt that ends with CONNECT_FAILED or NOT_SENT as never run, but
                # only CONNECT_FAILED makes it eject the engine
                flight_attempt.attempt.on_ended(OutcomeCode.CONNECT_FAILED)
