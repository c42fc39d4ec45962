"""Race conditions on Flight connections: calls that are abandoned, drained or cut off as they go out."""

import contextlib
import socket
from collections.abc import Callable
from typing import Any
from uuid import uuid4

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated, DataReceived, StreamEnded
from h2.settings import SettingCodes, Settings
from hyperframe.frame import SettingsFrame, WindowUpdateFrame

from query_gateway.configuration.operator_file import parse_operator_settings
from query_gateway.flight import messages
from query_gateway.flight.engines import FlightConnection
from query_gateway.forwarder.exchange import Exchange
from query_gateway.gateway import Gateway
from query_gateway.http.request_decoding import decode_request
from query_gateway.http.request_handler import PendingAnswer
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Stream
from query_gateway.rpc.call import Call, CallHandler
from query_gateway.rpc.connection import GrpcConnection
from query_gateway.rpc.framing import encode_message
from tests.race_helpers import CLOSE_WAIT, GONE, _state, tuned
from tests.stand_ins import config
from tests.test_local import until
from tests.test_web import LOAD, SQL

pytestmark = pytest.mark.usefixtures("all_lines")


def _turns(gate: Gateway, what: Callable[[], Any]) -> None:
    """The test turns the loop itself until something holds."""

    def turned() -> Any:
        gate.loop.turn()
        return what()

    until(turned)


def host_of(engine: socket.socket) -> dict[str, Any]:
    address = f"127.0.0.1:{engine.getsockname()[1]}"
    return {"host": "e0", "flight": address, "dial": "127.0.0.1:1", "site": "hall-a", "class": "std-16",
            "share": 1, "health": "up"}  # fmt: skip


def _flight_gate(engine: socket.socket, settings: dict[str, Any] | None = None) -> Gateway:
    """A gateway with the Flight front, whose loop the test turns, and one engine on that wire."""
    flight = parse_operator_settings({"flight": {"listen": "127.0.0.1:0"}}, config([]))
    return Gateway(config([host_of(engine)], settings=settings or tuned()), flight, signals=False)


def _take_flight(gate: Gateway, statement: str) -> Exchange:
    headers = {"x-txn": uuid4().hex[:16], "x-ttl-ms": "600000"}
    query = decode_request("lookup", gate.config.classes, headers, statement.encode(), gate.forwarder.clock())
    exchange = gate.forwarder.accept(query, PendingAnswer(lambda: None), "flight")
    gate.planner_links.run_local()
    return exchange


def test_who_leaves_while_its_flight_call_waits_to_be_accepted_is_not_sent_on() -> None:
    engine = socket.create_server(("127.0.0.1", 0))
    gate = _flight_gate(engine)
    assert gate.flight_server
    pool: Any = gate.forwarder.engine_clients["flight"]
    connection = pool.connections["e0"] = FlightConnection(pool, "e0", pool.addresses["e0"])
    peer = engine.accept()[0]
    _turns(gate, lambda: connection.grpc.stream.connected)
    wire = H2Connection(H2Configuration(client_side=True))
    wire.initiate_connection()
    told = {":method": "POST", ":scheme": "http", ":path": messages.SERVICE_PATH + "DoPut", ":authority": "x",
            "x-class": "load", "x-row": "7f3a9c21e0b4d655", "x-txn-key": uuid4().hex}  # fmt: skip
    wire.send_headers(1, list(told.items()))
    wire.send_data(1, encode_message(messages.encode_update(LOAD)), end_stream=True)
    first = gate.forwarder.next_request_id
    with socket.create_connection(gate.flight_server.listener.address) as client:
        client.sendall(wire.data_to_send())
    _turns(gate, lambda: gate.flight_server and gate.flight_server.connections and gate.flight_server.is_idle)
    assert gate.forwarder.next_request_id == first + 1 and not gate.forwarder.exchanges  # it was taken
    assert pool.connections == {"e0": connection} and connection.grpc.h2.get_next_available_stream_id() == 1
    gate.loop.close()
    for sock in (peer, engine):
        sock.close()


@pytest.mark.parametrize("how", ["leaves", "drains", "breaks"])
def test_a_flight_call_whose_message_waits_is_taken_back(how: str) -> None:
    """The client leaves, or the engine drains, or its connection breaks, while an engine's window keeps the
    call's message here.
    """
    engine = socket.create_server(("127.0.0.1", 0))
    gate = _flight_gate(engine, tuned(cancelling=False))
    big = "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    exchanges = [_take_flight(gate, statement) for statement in (big, GONE)]
    peer = engine.accept()[0]
    peer.settimeout(0.01)
    grpc = gate.forwarder.engine_clients["flight"].connections["e0"].grpc  # type: ignore[attr-defined]
    while len(grpc.calls) < 2 or grpc.h2.outbound_flow_control_window:
        gate.loop.turn()
    if how == "leaves":
        exchanges[1].abandon()
    elif how == "drains":
        news = host_of(engine) | {"health": "draining"}
        gate.endpoint_feed.take_answer(
            {"pos": 2, "entries": [{"pos": 2, "hosts": {"whole": False, "hosts": [news]}}]}
        )
    else:
        peer.shutdown(socket.SHUT_RDWR)
        _turns(gate, lambda: grpc.stream.closed)
        assert not any(e.may_have_run for e in exchanges)
        exchanges = []
    # What has gone in part is not whole either, so it never ran; its client still waits for it
    if exchanges:
        assert exchanges[1].current_attempt is None and bool(exchanges[0].current_attempt) is (
            how == "leaves"
        )
        window = WindowUpdateFrame(0, window_increment=1_000_000).serialize()
        own = WindowUpdateFrame(1, window_increment=1_000_000).serialize()
        peer.sendall(SettingsFrame(0).serialize() + window + own)
    got = b""
    while got.count(b"x") < 200_000 and not grpc.stream.closed:
        gate.loop.turn()
        with contextlib.suppress(TimeoutError):
            got += peer.recv(65_536)
    assert GONE.encode() not in got
    gate.loop.close()
    for sock in (peer, engine):
        sock.close()


def test_a_close_that_crosses_a_flight_call_is_found_before_it_is_written() -> None:
    """Guards an update that may not be repeated: written behind the engine's close it counts as run."""
    engine = socket.create_server(("127.0.0.1", 0))
    gate = _flight_gate(engine)
    pool: Any = gate.forwarder.engine_clients["flight"]
    old = pool.connections["e0"] = FlightConnection(pool, "e0", pool.addresses["e0"])
    peer = engine.accept()[0]
    _turns(gate, lambda: old.grpc.stream.connected)
    peer.shutdown(socket.SHUT_WR)
    until(lambda: _state(old.grpc.stream.sock) == CLOSE_WAIT)
    exchange = _take_flight(gate, SQL)
    assert exchange.current_attempt and pool.connections["e0"] is not old and not old.grpc.calls
    gate.loop.close()
    for sock in (peer, engine):
        sock.close()


class Answers(CallHandler):
    """Answers its call at once, with much."""

    def __init__(self, call: Call) -> None:
        self.call = call

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        self.call.send_headers([(":status", "200")])
        self.call.send(b"x" * 600_000)
        self.call.finish([("grpc-status", "0")])


@pytest.mark.parametrize("why", ["stopping", "idle"])
def test_a_flight_answer_that_is_still_read_outlasts_the_end_of_its_connection(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the last answer: the connection was closed over what its client had not read yet. A call that
    crosses the end hears that it never ran.
    """
    loop, server = Loop(), socket.create_server(("127.0.0.1", 0))
    server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(server.getsockname())
    peer = H2Connection(H2Configuration(client_side=True))
    windows = {SettingCodes.INITIAL_WINDOW_SIZE: 1_000_000}
    peer.local_settings = Settings(client=True, initial_values=windows)
    peer.initiate_connection()
    peer.increment_flow_control_window(1_000_000)
    told = [(":method", "POST"), (":scheme", "http"), (":path", "/x"), (":authority", "x")]
    peer.send_headers(1, told)
    peer.send_data(1, encode_message(b"?"), end_stream=True)
    client.sendall(peer.data_to_send())
    stream = Stream(loop, server.accept()[0], "client")
    connection = GrpcConnection(loop, stream, is_client=False)
    connection.on_call = lambda _, call: Answers(call)
    stream.start()
    until(lambda: _turned(loop) and stream.outbox and not connection.calls)
    if why == "stopping":
        connection.send_goaway()
    else:
        monkeypatch.setattr("query_gateway.rpc.connection.IDLE_TIMEOUT_S", 0.0)
        connection.wake()
    got, ended = 0, set[Any]()
    client.settimeout(0.01)
    while ConnectionTerminated not in ended or StreamEnded not in ended:
        assert _turned(loop)
        with contextlib.suppress(TimeoutError):
            data = client.recv(65_536)
            assert data, "the end came before the answer's"
            for event in peer.receive_data(data):
                ended.add(type(event))
                if isinstance(event, DataReceived) and event.data and event.flow_controlled_length:
                    got += len(event.data)
    assert got == 600_005
    client.close()
    until(lambda: _turned(loop) and stream.closed)
    server.close()
    loop.close()


def _turned(loop: Loop) -> bool:
    """One turn, which waits for nothing long."""
    loop.call_at(loop.now() + 0.01, lambda: None)
    loop.turn()
    return True
