"""One call of a Flight SQL client: decodes its message into a request and streams the result back.

AWAITING_MESSAGE --message--> CLASSIFYING --classified--> FORWARDED --final answer--> DONE
       |     |                    |                         ^  |                       ^
       |     `-- without parsing -+-> SCANNING --scanned----'  `--- call aborted ------+
       `-- message missing or invalid, GetFlightInfo answered, rejected, call aborted -'
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMessageError, FlightMethod
from query_gateway.flight.requests import (
    KEY_DIGITS,
    MAX_NAME_IN_ERROR,
    FlightStatement,
    client_request_id_of,
    deadline_of,
    decode_request,
    parse_grpc_timeout,
)
from query_gateway.forwarder.exchange import Exchange
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import (
    Answer,
    ClientRequest,
    EarlyRejection,
    RequestClasses,
    Verdict,
    idempotent_class_names,
)
from query_gateway.forwarder.table_group import TableGroupScanner
from query_gateway.http.request_decoding import REQUEST_HEADERS, RequestError, hex_header
from query_gateway.net.loop import Loop, LoopCoroutine, Task
from query_gateway.net.steady_clock import clock_time_of, loop_time_of
from query_gateway.rpc.call import Call, CallHandler, Headers
from query_gateway.rpc.connection import SLOW_READER_TIMEOUT_S
from query_gateway.rpc.status import GrpcStatus

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, ClassificationRequest, StatementService

NANOSECONDS_PER_SECOND = 1e9
MEMORY_TIMEOUT_S = 30.0  # for a message to get memory, if the client states no timeout
MESSAGE_TIMEOUT_S = 5.0  # from the start of a call to the arrival of its complete message
# The platform's equivalent of Retry-After, in milliseconds, which is part of every rejection; 0: the client
# may retry at once
RETRY_AFTER_METADATA = "x-throttle-ms"
RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]
# Those that a request is decoded from
CALL_HEADERS = (*REQUEST_HEADERS, "x-class", "grpc-timeout")
MAX_METHOD_NAME = 2 * MAX_NAME_IN_ERROR  # characters; longer than that of any known method
# Each verdict has exactly one status, which the on-call documentation lists
REJECTED_STATUS, FAILED_STATUS = GrpcStatus.RESOURCE_EXHAUSTED, GrpcStatus.INTERNAL


class FlightCallContext(Protocol):
    """The interface of the server to its calls; a reload may replace the classes."""

    loop: Loop
    forwarder: Forwarder
    statements: "StatementService | None"  # None if statement parsing is disabled
    classes: RequestClasses  # those in force
    query_class: str  # the default class of queries
    update_class: str  # the default class of updates


class FlightCallState(Enum):
    """The states of a client's call."""

    AWAITING_MESSAGE = "awaiting message"
    CLASSIFYING = "classifying"  # the statement is being parsed
    SCANNING = "scanning"  # a long statement is being scanned for its table group, without parsing
    FORWARDED = "forwarded"  # the forwarder has accepted the request
    DONE = "done"  # the final status is sent or queued, or the call was aborted


class FlightCall(CallHandler):
    """One call of a client, which is also the client's side of the exchange."""

    def __init__(
        self, server: FlightCallContext, headers: dict[str, str], call: Call, classes: RequestClasses
    ) -> None:
        """Handle a new call with these request headers; start the timeout for its message.

        `classes`: those that clients might request when the call began; a reload does not change them.
        """
        self.server, self.call, self.classes = server, call, classes
        # A call may have thousands of others, and a connection a thousand calls
        self.request_headers = {name: headers[name] for name in CALL_HEADERS if name in headers}
        self.method_name = headers.get(":path", "").removeprefix(messages.SERVICE_PATH)[:MAX_METHOD_NAME]
        self.client_request_id = ""  # set when classification or scanning starts
        self.exchange: Exchange | None = None
        self.task: Task | None = None  # classifies or scans the statement, if that cannot be done at once
        self.state = FlightCallState.AWAITING_MESSAGE
        self.headers_sent = False
        self.started_at = server.loop.now()
        # Without a timeout, a call whose client never sends its message would stay in the connection's table
        # of open calls, and the connection would never count as idle
        server.loop.call_at(server.loop.now() + MESSAGE_TIMEOUT_S, self._on_message_timeout)

    @property
    def is_done(self) -> bool:
        """Whether the final status is sent or queued, or the call was aborted."""
        return self.state is FlightCallState.DONE

    def _on_message_timeout(self) -> None:
        """End the call if its message is late: MESSAGE_TIMEOUT_S after its start, or after it got memory.

        While a long message waits for memory, the call may wait as long as its client does.
        """
        if self.state is not FlightCallState.AWAITING_MESSAGE:
            return
        loop, call = self.server.loop, self.call
        due_at = self.started_at + MESSAGE_TIMEOUT_S
        if call.reservation:  # its client may have had to wait
            due_at = max(due_at, self.started_at + self._client_timeout_s())
        if call.memory_granted_at:
            due_at = min(due_at, call.memory_granted_at + MESSAGE_TIMEOUT_S)
        if loop.now() < due_at:
            loop.call_at(min(due_at, loop.now() + MESSAGE_TIMEOUT_S), self._on_message_timeout)
        elif call.awaits_memory:
            self._reject_for_memory()
        else:
            self._finish(GrpcStatus.DEADLINE_EXCEEDED, "the call's message did not come in time")

    def _client_timeout_s(self) -> float:
        """The client's timeout in seconds; MEMORY_TIMEOUT_S if it states none that can be read."""
        default_ns = int(MEMORY_TIMEOUT_S * NANOSECONDS_PER_SECOND)
        try:
            timeout_ns = parse_grpc_timeout(self.request_headers.get("grpc-timeout"), default_ns)
        except RequestError:
            timeout_ns = default_ns
        return timeout_ns / NANOSECONDS_PER_SECOND

    # ---- the client's call

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        """Handle the first message of the call; later messages are acknowledged and discarded."""
        self.call.acknowledge(flow_controlled_bytes)
        if self.state is not FlightCallState.AWAITING_MESSAGE:
            return
        try:
            self._handle_message(data)
        except (FlightMessageError, RequestError) as error:
            self._finish(GrpcStatus.INVALID_ARGUMENT, str(error))

    def _handle_message(self, data: bytes) -> None:
        if self.method_name == FlightMethod.GET_FLIGHT_INFO.value:
            info = messages.encode_flight_info(data, messages.decode_query_descriptor(data))
            self._send_headers()
            self.call.send(info)
            self._finish(GrpcStatus.OK)
        elif self.method_name == FlightMethod.DO_GET.value:
            self._classify(messages.read_ticket(data), is_update=False)
        elif self.method_name == FlightMethod.DO_PUT.value:
            self._classify(messages.read_update(data), is_update=True)
        else:
            name = self.method_name[:MAX_NAME_IN_ERROR]
            self._finish(GrpcStatus.UNIMPLEMENTED, f"{name} is not supported here")

    def on_end_stream(self) -> None:
        """Fail the call if the client has half-closed it without a message."""
        if self.state is FlightCallState.AWAITING_MESSAGE:
            is_known = any(self.method_name == method.value for method in FlightMethod)
            status = GrpcStatus.INVALID_ARGUMENT if is_known else GrpcStatus.UNIMPLEMENTED
            self._finish(status, "the call holds no message")

    def on_memory_exhausted(self) -> None:
        """Reject the call, whose message is not whole, so that nothing of it can have run."""
        if self.state is FlightCallState.AWAITING_MESSAGE:
            self._reject_for_memory()

    def _reject_for_memory(self) -> None:
        class_name = self.request_headers.get("x-class", self.server.update_class)
        if class_name not in self.classes:
            class_name = self.server.update_class
        self._reject_unforwarded(class_name, EarlyRejection.MEMORY_LIMIT, "Overloaded")

    def on_fault(self) -> None:
        """Fail the call, and abandon its request."""
        self.server.loop.watermark.release(self)
        self._finish(FAILED_STATUS, "Internal")
        if self.exchange:
            self.exchange.abandon()

    def on_aborted(self, never_ran: bool) -> None:
        """Abandon the request: the client has cancelled the call, or its connection has ended."""
        self.state = FlightCallState.DONE
        self.server.loop.watermark.release(self)
        if self.exchange:
            self.exchange.abandon()

    # ---- from the message to the forwarder

    def _classify(self, text: bytes, is_update: bool) -> None:
        """Forward a statement: after classification if statement parsing is enabled, otherwise at once."""
        server = self.server
        stream = self.call.connection.stream
        arrival = stream.arrivals.time_of(stream.bytes_consumed, server.loop.now())
        received_at, order_at = clock_time_of(arrival.earliest), clock_time_of(arrival.latest)
        statement = FlightStatement(text, is_update, received_at, order_at)
        class_name = self.request_headers.get("x-class")
        if server.statements is None:
            self._scan(statement, arrival.latest)
            return
        if class_name is not None and class_name not in self.classes:
            raise _unknown_class(class_name)
        if class_name is None and is_update:
            class_name = server.update_class  # the client sends only updates through DoPut
        self.client_request_id = client_request_id_of(self.request_headers)
        self.state = FlightCallState.CLASSIFYING
        request = self._classification_request(statement, class_name)
        watermark = server.loop.watermark

        def on_classified(classification: "Classification") -> None:
            """Let the loop's arrival watermark advance past the statement, and handle the classification."""
            watermark.release(self)
            self._on_classified(statement, classification)

        watermark.hold(self, arrival.latest)
        statements = server.statements
        if server.loop.paused_tasks.is_pause_due():
            self.task = server.loop.spawn(
                self._run_after_pause(lambda: statements.classify(request, on_classified))
            )
        else:
            statements.classify(request, on_classified)

    def _run_after_pause(self, classify: Callable[[], None]) -> LoopCoroutine:
        """Call `classify` in a later turn of the loop, unless the call has ended by then."""
        if self.task:
            yield from self.server.loop.paused_tasks.pause(self.task)
        if not self.is_done:
            classify()

    def _scan(self, statement: FlightStatement, arrived_at: float) -> None:
        """Forward a statement once it is scanned for its table group; raises RequestError as `_decode` does.

        A long statement is scanned in several turns of the loop. Meanwhile the watermark stays at
        `arrived_at` (loop time), so that no later request of the same key overtakes it.
        """
        request = self._decode(statement, self._default_class(statement))
        scanner = TableGroupScanner(request.statement)
        scanner.step()
        if scanner.is_done:
            self._accept(request, scanner)
            return
        self.client_request_id, self.state = request.client_request_id, FlightCallState.SCANNING
        self.server.loop.watermark.hold(self, arrived_at)
        self.task = self.server.loop.spawn(self._run_scan(request, scanner))

    def _run_scan(self, request: ClientRequest, scanner: TableGroupScanner) -> LoopCoroutine:
        """Scan the rest of a statement and forward it, unless the call ends or its deadline comes before."""
        while not scanner.is_done and not self.is_done:
            scanner.step()
            if self.task is None or not (yield from self.task.pause_if_due()) or self.is_done:
                continue
            if reason := self.server.forwarder.rejection_before_accept(request):
                self._reject_unforwarded(request.class_name, reason, "Overloaded")
        self.server.loop.watermark.release(self)
        if not self.is_done:
            self._accept(request, scanner)

    def _default_class(self, statement: FlightStatement) -> str:
        """Return the class that the client requests, or the default for queries or updates."""
        default = self.server.update_class if statement.is_update else self.server.query_class
        return self.request_headers.get("x-class") or default

    def _classification_request(
        self, statement: FlightStatement, class_name: str | None
    ) -> "ClassificationRequest":
        """Build the request to the statement service, without a deadline if there is no grpc-timeout.

        The default timeout depends on the class, which is only known after the parse.
        """
        from query_gateway.parsing.service import ClassificationRequest

        key = hex_header(self.request_headers, "x-row", KEY_DIGITS, False)
        timeout_ns = parse_grpc_timeout(self.request_headers.get("grpc-timeout"), default_ns=0)
        deadline = loop_time_of(deadline_of(statement, timeout_ns)) if timeout_ns else None
        return ClassificationRequest(
            statement.statement.decode(),
            class_name,
            key,
            deadline=deadline,
            idempotent_classes=idempotent_class_names(self.classes),
        )

    def _on_classified(self, statement: FlightStatement, classification: "Classification") -> None:
        if self.state is FlightCallState.DONE:
            return
        decision = classification.decision
        if decision is None:
            self._reject_unforwarded(self._default_class(statement), EarlyRejection.NO_PARSER, "Overloaded")
        elif not decision.is_accepted or decision.class_name is None:
            self._finish(GrpcStatus.INVALID_ARGUMENT, decision.reason)
        elif quarantine := self._shape_quarantine(statement, classification):
            self._reject_unforwarded(decision.class_name, EarlyRejection.STATEMENT_LIMIT, quarantine)
        else:
            try:
                self._accept(self._decode(statement, decision.class_name, classification))
            except RequestError as error:
                self._finish(GrpcStatus.INVALID_ARGUMENT, str(error))

    def _shape_quarantine(self, statement: FlightStatement, classification: "Classification") -> str | None:
        """Return the reason for which statements of this shape are rejected at present, or None."""
        statements = self.server.statements
        if statements is None:
            return None
        return statements.rejection_reason(classification.fingerprint, statement.received_at_ns)

    def _decode(
        self, statement: FlightStatement, class_name: str, classification: "Classification | None" = None
    ) -> ClientRequest:
        """Build the request; raises RequestError if its class or a header is invalid."""
        # Statement rules that a reload has changed meanwhile may name a class that is new
        request_class = self.classes.get(class_name) or self.server.classes.get(class_name)
        if request_class is None:
            raise _unknown_class(class_name)
        return decode_request(statement, class_name, request_class, self.request_headers, classification)

    def _accept(self, request: ClientRequest, scanner: TableGroupScanner | None = None) -> None:
        """Pass the request to the forwarder, with the table group that the scanner has found, if any."""
        if scanner and scanner.group is not None:
            request = replace(request, table_group=float(scanner.group))
        self.exchange = self.server.forwarder.accept(request, self, "flight")
        if self.state is not FlightCallState.DONE:  # the forwarder may have answered it in `accept`
            self.state = FlightCallState.FORWARDED

    # ---- the answer

    def _reject_unforwarded(self, class_name: str, reason: EarlyRejection, message: str) -> None:
        """Reject a request that was not passed to the forwarder, with the maximum Retry-After time."""
        rejection = self.server.forwarder.reject_unaccepted(self.client_request_id, class_name, reason)
        self._reject(message, rejection)

    def _reject(self, reason: str, rejection: Answer) -> None:
        self._finish(REJECTED_STATUS, reason, [(RETRY_AFTER_METADATA, str(rejection.retry_after_ms))])

    def _send_headers(self) -> None:
        if not self.headers_sent:
            self.headers_sent = True
            self.call.send_headers(RESPONSE_HEADERS)

    def _finish(self, status: GrpcStatus, message: str = "", metadata: Headers | None = None) -> None:
        """Send the final status; if no headers were sent yet, as a Trailers-Only response in one frame."""
        if self.state is FlightCallState.DONE:
            return
        self.state = FlightCallState.DONE
        trailers = [("grpc-status", str(status.value)), *(metadata or [])]
        if message:
            trailers.append(("grpc-message", _to_grpc_message(message)))
        if not self.headers_sent:
            self.call.send_headers(RESPONSE_HEADERS + trailers, end_stream=True)
            return
        self.call.finish(trailers)
        if not self.call.is_closed:
            # Without a timeout, a client that does not read its answer would keep the call in the
            # connection's table of open calls for ever
            loop = self.server.loop
            loop.call_at(loop.now() + SLOW_READER_TIMEOUT_S, self.call.reset)

    # ---- the client's side of an exchange

    def has_left(self) -> bool:
        """Whether the client has cancelled its call or closed its connection."""
        stream = self.call.connection.stream
        stream.read_available()
        return self.state is FlightCallState.DONE or self.call.is_closed or stream.is_over

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None:
        """Send one FlightData; `on_sent` is called when flow control has released all of it."""
        if self.state is not FlightCallState.DONE:
            self._send_headers()
            self.call.send(page, on_sent)

    def send_answer(self, answer: Answer) -> None:
        """Finish the call with the status that corresponds to the answer's verdict."""
        if answer.verdict is Verdict.SERVED:
            self._send_headers()
            self._finish(GrpcStatus.OK)
        elif answer.verdict is Verdict.REJECTED:
            self._reject("Overloaded", answer)
        else:
            self._finish(FAILED_STATUS, "Internal")


def _unknown_class(class_name: str) -> RequestError:
    return RequestError(404, f"class {class_name[:MAX_NAME_IN_ERROR]!r} is unknown")


def _to_grpc_message(text: str) -> str:
    """Return the text with question marks for the characters that `grpc-message` would percent-encode."""
    return "".join(char if " " <= char <= "~" and char != "%" else "?" for char in text)
