"""Race conditions of Flight: calls abandoned, delayed or cut off while they are sent, and answers cut off."""

import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any
from uuid import uuid4

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated, DataReceived, RequestReceived, StreamEnded
from h2.settings import SettingCodes, Settings
from hyperframe.frame import SettingsFrame, WindowUpdateFrame

from query_gateway.configuration.operator_file import parse_operator_settings
from query_gateway.flight import messages
from query_gateway.flight.engines import FlightConnection
from query_gateway.flight.messages import FlightMethod
from query_gateway.forwarder.exchange import Exchange
from query_gateway.gateway import Gateway
from query_gateway.http.request_decoding import decode_request
from query_gateway.http.request_handler import PendingAnswer
from query_gateway.model.units import MS, SEC
from query_gateway.net.loop import Loop
from query_gateway.net.steady_clock import steady_now_ns
from query_gateway.net.stream import Stream
from query_gateway.rpc.call import Call, CallHandler
from query_gateway.rpc.connection import GrpcConnection
from query_gateway.rpc.framing import encode_message
from tests.flight_client import FlightTestClient, update_headers
from tests.race_helpers import ABANDONED_SQL, CLOSE_WAIT, settings_without_timeouts, tcp_state
from tests.stand_ins import config, endpoint_list_answer
from tests.test_local import until
from tests.test_web import LOAD, SQL

DEADLINE_SLACK_S = 0.15  # a forwarded deadline may exceed the client's own by this

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def turn_until(gateway: Gateway, condition: Callable[[], Any]) -> None:
    """Run loop turns in the test's thread until the condition holds."""

    def turn_and_check() -> Any:
        gateway.loop.turn()
        return condition()

    until(turn_and_check)


def flight_host(listener: socket.socket) -> dict[str, Any]:
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return {"host": "e0", "flight": address, "dial": "127.0.0.1:1", "site": "hall-a", "class": "std-16",
            "share": 1, "health": "up"}  # fmt: skip


def flight_gateway(listener: socket.socket, settings: dict[str, Any] | None = None) -> Gateway:
    """A gateway with a Flight listener and one Flight engine; the test runs the loop turns."""
    operator_settings = parse_operator_settings({"flight": {"listen": "127.0.0.1:0"}}, config([]))
    return Gateway(
        config([flight_host(listener)], settings=settings or settings_without_timeouts()),
        operator_settings,
        signals=False,
    )


def accept_flight_query(gateway: Gateway, statement: str) -> Exchange:
    headers = {"x-txn": uuid4().hex[:16], "x-ttl-ms": "600000"}
    query = decode_request(
        "lookup", gateway.config.classes, headers, statement.encode(), gateway.forwarder.clock()
    )
    exchange = gateway.forwarder.accept(query, PendingAnswer(lambda: None, lambda: False), "flight")
    gateway.planner_links.run_local()
    return exchange


def test_flight_call_abandoned_before_its_connection_is_accepted_is_not_forwarded() -> None:
    """A Flight client sends an update and closes its connection before the gateway has accepted it.

    If the gateway forwarded the call before it read the end of the connection, an engine would run an update
    with no client left. So the send guard reads the client's socket before the call is written to an engine.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener)
    assert gateway.flight_server
    pool: Any = gateway.forwarder.engine_clients["flight"]
    connection = pool.connections["e0"] = FlightConnection(pool, "e0", pool.addresses["e0"])
    engine_socket = listener.accept()[0]
    turn_until(gateway, lambda: connection.grpc.stream.connected)
    next_id_before = gateway.forwarder.next_request_id
    with contextlib.closing(FlightTestClient(gateway.flight_server.listener.address)) as client:
        client.send_call(update_headers(), messages.encode_update(LOAD))
    turn_until(
        gateway,
        lambda: gateway.flight_server and gateway.flight_server.connections and gateway.flight_server.is_idle,
    )
    assert (
        gateway.forwarder.next_request_id == next_id_before + 1 and not gateway.forwarder.exchanges
    )  # the call was read and its exchange has ended
    assert pool.connections == {"e0": connection} and connection.grpc.h2.get_next_available_stream_id() == 1
    gateway.loop.close()
    for sock in (engine_socket, listener):
        sock.close()


@pytest.mark.parametrize("event", ["leaves", "drains", "breaks"])
def test_flight_call_whose_message_is_unsent_is_withdrawn(event: str) -> None:
    """The client leaves, the engine drains, or the engine's connection breaks while a message is held back.

    The engine's flow-control window is too small, so the message of a call waits in the gateway and could
    still be sent later. Without the complete message an engine runs nothing, so the attempt is withdrawn as
    never run.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener, settings_without_timeouts(cancelling=False))
    large = "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    exchanges = [accept_flight_query(gateway, statement) for statement in (large, ABANDONED_SQL)]
    engine_socket = listener.accept()[0]
    engine_socket.settimeout(0.01)
    grpc = gateway.forwarder.engine_clients["flight"].connections["e0"].grpc  # type: ignore[attr-defined]
    while len(grpc.calls) < 2 or grpc.h2.outbound_flow_control_window:
        gateway.loop.turn()
    if event == "leaves":
        exchanges[1].abandon()
    elif event == "drains":
        draining_host = flight_host(listener) | {"health": "draining"}
        gateway.endpoint_feed.apply_answer(
            {"pos": 2, "entries": [{"pos": 2, "hosts": {"whole": False, "hosts": [draining_host]}}]}
        )
    else:
        engine_socket.shutdown(socket.SHUT_RDWR)
        turn_until(gateway, lambda: grpc.stream.closed)
        assert not any(exchange.engine_side.may_have_run for exchange in exchanges)
        exchanges = []
    # The first call's message is sent in part. If only the second client leaves, the first attempt goes on.
    # If the engine drains, that attempt is withdrawn as well, as an engine does not run an incomplete message
    if exchanges:
        assert exchanges[1].engine_side.current_attempt is None
        assert bool(exchanges[0].engine_side.current_attempt) is (event == "leaves")
        connection_window = WindowUpdateFrame(0, window_increment=1_000_000).serialize()
        stream_window = WindowUpdateFrame(1, window_increment=1_000_000).serialize()
        engine_socket.sendall(SettingsFrame(0).serialize() + connection_window + stream_window)
    received = b""
    while received.count(b"x") < 200_000 and not grpc.stream.closed:
        gateway.loop.turn()
        with contextlib.suppress(TimeoutError):
            received += engine_socket.recv(65_536)
    assert ABANDONED_SQL.encode() not in received
    gateway.loop.close()
    for sock in (engine_socket, listener):
        sock.close()


class ReceivedCalls:
    """Records what an engine receives on a connection: headers of calls, and when each call was complete."""

    def __init__(self, engine_socket: socket.socket) -> None:
        self.socket = engine_socket
        self.socket.settimeout(0.01)
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.headers: dict[int, dict[str, str]] = {}
        self.completed_at: dict[int, int] = {}  # steady clock, nanoseconds

    def read(self) -> None:
        """Read once, and return flow-control credit to the gateway for the bytes read."""
        with contextlib.suppress(TimeoutError):
            for event in self.h2.receive_data(self.socket.recv(65_536)):
                if isinstance(event, RequestReceived) and event.stream_id and event.headers:
                    self.headers[event.stream_id] = {str(name): str(value) for name, value in event.headers}
                elif isinstance(event, DataReceived) and event.stream_id and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif isinstance(event, StreamEnded) and event.stream_id:
                    self.completed_at[event.stream_id] = steady_now_ns()
        self.socket.sendall(self.h2.data_to_send())


@pytest.mark.parametrize("held_back_by", ["the engine's window", "our machine"])
def test_flight_call_that_was_held_back_does_not_pass_on_a_deadline_that_is_out_of_date(
    held_back_by: str,
) -> None:
    """A Flight call waits in the gateway for flow control or for a full send buffer.

    Headers encoded before the wait would give the engine a timeout that is too long, and it would run the
    call after its client's deadline. So a call whose headers are too old (`MAX_DEADLINE_AGE_NS`) is reset and
    opened again with the time that is left.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener, settings_without_timeouts(cancelling=False))
    pool: Any = gateway.forwarder.engine_clients["flight"]
    connection = pool.connections["e0"] = FlightConnection(pool, "e0", pool.addresses["e0"])
    stream: Any = connection.grpc.stream
    engine = ReceivedCalls(listener.accept()[0])
    turn_until(gateway, lambda: stream.connected and not stream.outbox)
    if held_back_by == "our machine":
        stream._send = lambda data: 0
        exchange = accept_flight_query(gateway, SQL)
    else:
        accept_flight_query(gateway, "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans")
        exchange = accept_flight_query(gateway, SQL)
        turn_until(gateway, lambda: not connection.grpc.h2.outbound_flow_control_window)
    time.sleep(2 * DEADLINE_SLACK_S)
    if held_back_by == "our machine":
        del stream._send
    client_request_id = exchange.request.client_request_id

    def completed_stream_id() -> int | None:
        engine.read()
        own = [number for number, headers in engine.headers.items() if headers["x-txn"] == client_request_id]
        return next((stream_id for stream_id in own if stream_id in engine.completed_at), None)

    turn_until(gateway, completed_stream_id)
    stream_id = completed_stream_id()
    assert stream_id
    timeout_ms = int(engine.headers[stream_id]["grpc-timeout"].removesuffix("m"))
    left_ns = exchange.request.deadline - engine.completed_at[stream_id]
    assert timeout_ms * MS <= left_ns + DEADLINE_SLACK_S * SEC
    assert gateway.forwarder.counters.forwards == len(engine.completed_at)
    gateway.loop.close()
    for sock in (engine.socket, listener):
        sock.close()


def test_close_by_the_engine_is_found_before_a_flight_call_is_written() -> None:
    """An engine closes its connection just before a Flight call is written to it.

    A call written after the close would count as possibly run, and an update could not be repeated. The
    gateway reads from a connection before it opens a call there, so it finds the close and dials another one.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener)
    pool: Any = gateway.forwarder.engine_clients["flight"]
    closed_connection = pool.connections["e0"] = FlightConnection(pool, "e0", pool.addresses["e0"])
    engine_socket = listener.accept()[0]
    turn_until(gateway, lambda: closed_connection.grpc.stream.connected)
    engine_socket.shutdown(socket.SHUT_WR)
    until(lambda: tcp_state(closed_connection.grpc.stream.sock) == CLOSE_WAIT)
    exchange = accept_flight_query(gateway, SQL)
    assert (
        exchange.engine_side.current_attempt
        and pool.connections["e0"] is not closed_connection
        and not closed_connection.grpc.calls
    )
    gateway.loop.close()
    for sock in (engine_socket, listener):
        sock.close()


def test_flight_query_planned_by_an_engine_that_starts_to_drain_is_fetched_from_it() -> None:
    """An engine starts to drain between the GetFlightInfo call of a query and its answer.

    If the drained connection refuses the DoGet of this attempt, the attempt ends as reset while the engine
    may still run the query, and an idempotent query is sent to a second engine at the same time.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener)
    exchange = accept_flight_query(gateway, SQL)
    engine = ReceivedCalls(listener.accept()[0])
    grpc = gateway.forwarder.engine_clients["flight"].connections["e0"].grpc  # type: ignore[attr-defined]

    def received_paths() -> list[str]:
        engine.read()
        return [engine.headers[stream_id][":path"] for stream_id in engine.completed_at]

    plan_path, result_path = (
        messages.SERVICE_PATH + method.value for method in (FlightMethod.GET_FLIGHT_INFO, FlightMethod.DO_GET)
    )
    until(lambda: turn_once(gateway.loop) and received_paths())
    attempt = exchange.engine_side.current_attempt
    assert attempt and received_paths() == [plan_path]
    draining_host = flight_host(listener) | {"health": "draining"}
    gateway.endpoint_feed.apply_answer(endpoint_list_answer(2, [draining_host]))
    assert grpc.draining and exchange.engine_side.current_attempt is attempt
    [stream_id] = engine.completed_at
    plan = messages.encode_flight_info(messages.encode_query_descriptor(SQL), SQL)
    engine.h2.send_headers(stream_id, [(":status", "200"), ("content-type", "application/grpc")])
    engine.h2.send_data(stream_id, encode_message(plan))
    engine.h2.send_headers(stream_id, [("grpc-status", "0")], end_stream=True)
    engine.socket.sendall(engine.h2.data_to_send())

    def is_decided() -> bool:
        return exchange.engine_side.current_attempt is not attempt or received_paths() != [plan_path]

    until(lambda: turn_once(gateway.loop) and is_decided())
    assert exchange.engine_side.current_attempt is attempt
    assert received_paths() == [plan_path, result_path]
    gateway.loop.close()
    for sock in (engine.socket, listener):
        sock.close()


class LargeAnswerHandler(CallHandler):
    """Answers its call at once with a large message."""

    def __init__(self, call: Call) -> None:
        self.call = call

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        self.call.send_headers([(":status", "200")])
        self.call.send(b"x" * 600_000)
        self.call.finish([("grpc-status", "0")])


@pytest.mark.parametrize("reason", ["stopping", "idle"])
def test_flight_answer_still_being_read_is_completed_before_its_connection_closes(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shutdown or the idle timeout ends a Flight connection while its client still reads the last answer.

    If the gateway closed the connection at once, the end of the answer would be lost. Instead it sends
    GOAWAY, writes the rest of the answer, half-closes, and closes after the client.
    """
    loop, listener = Loop(), socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(listener.getsockname())
    peer = H2Connection(H2Configuration(client_side=True))
    windows = {SettingCodes.INITIAL_WINDOW_SIZE: 1_000_000}
    peer.local_settings = Settings(client=True, initial_values=windows)
    peer.initiate_connection()
    peer.increment_flow_control_window(1_000_000)
    headers = [(":method", "POST"), (":scheme", "http"), (":path", "/x"), (":authority", "x")]
    peer.send_headers(1, headers)
    peer.send_data(1, encode_message(b"?"), end_stream=True)
    client.sendall(peer.data_to_send())
    stream = Stream(loop, listener.accept()[0], "client")
    connection = GrpcConnection(loop, stream, is_client=False)
    connection.on_call = lambda _, call: LargeAnswerHandler(call)
    stream.start()
    until(lambda: turn_once(loop) and stream.outbox and not connection.calls)
    if reason == "stopping":
        connection.send_goaway()
    else:
        monkeypatch.setattr("query_gateway.rpc.connection.IDLE_TIMEOUT_S", 0.0)
        connection.wake()
    received_bytes, event_types = 0, set[Any]()
    client.settimeout(0.01)
    while ConnectionTerminated not in event_types or StreamEnded not in event_types:
        assert turn_once(loop)
        with contextlib.suppress(TimeoutError):
            data = client.recv(65_536)
            assert data, "connection closed before the end of the answer"
            for event in peer.receive_data(data):
                event_types.add(type(event))
                if isinstance(event, DataReceived) and event.data and event.flow_controlled_length:
                    received_bytes += len(event.data)
    assert received_bytes == 600_005
    client.close()
    until(lambda: turn_once(loop) and stream.closed)
    listener.close()
    loop.close()


def turn_once(loop: Loop) -> bool:
    """Run one loop turn that waits 10 ms at most."""
    loop.call_at(loop.now() + 0.01, lambda: None)
    loop.turn()
    return True
