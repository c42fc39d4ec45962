"""Errors in one Flight call: they end that call, and leave the others on its connection as they are."""

import contextlib
import time
from collections.abc import Iterator
from typing import Any

import pytest

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMethod
from query_gateway.gateway import Gateway
from query_gateway.rpc.framing import encode_message
from tests.flight_client import FlightTestClient, call_headers, encode_ticket
from tests.stand_ins import config
from tests.test_flight import FlightEngine
from tests.test_flight import gateway as flight_gateway
from tests.test_local import until
from tests.test_race_flight import turn_until
from tests.test_web import SQL

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")

SECOND_STREAM_ID = 3  # of the call beside the one of `FlightTestClient`


def open_second_call(client: FlightTestClient, headers: list[tuple[str, str]], message: bytes) -> None:
    """Open a call beside the client's own one and cancel it at once; all of it is read together."""
    client.h2.send_headers(SECOND_STREAM_ID, headers)
    client.h2.send_data(SECOND_STREAM_ID, message, end_stream=True)
    client.h2.reset_stream(SECOND_STREAM_ID)
    client.socket.sendall(client.h2.data_to_send())


QUERY = messages.encode_query_descriptor("SELECT title FROM lending_7.books")
UNKNOWN_METHOD = [
    (name, "/unknown/Method" if name == ":path" else value)
    for name, value in call_headers(FlightMethod.DO_GET)
]
IMMEDIATE_ANSWERS = {
    "plan": (call_headers(FlightMethod.GET_FLIGHT_INFO), encode_message(QUERY)),
    "malformed plan": (call_headers(FlightMethod.GET_FLIGHT_INFO), encode_message(b"\xff")),
    "unknown class": (
        call_headers(FlightMethod.DO_GET, x_class="none"),
        encode_message(encode_ticket("SELECT 1")),
    ),
    "unknown method": (UNKNOWN_METHOD, encode_message(b"")),
    "no message": (call_headers(FlightMethod.DO_GET), b""),
    "compressed message": (call_headers(FlightMethod.DO_GET), b"\x01\x00\x00\x00\x00"),
}


@contextlib.contextmanager
def client_with_open_query() -> Iterator[tuple[FlightTestClient, FlightEngine]]:
    """A client with an open query, and the engine, which completes it once `may_continue` is set."""
    engine = FlightEngine()
    engine.may_continue.clear()
    with flight_gateway(engine) as gate:
        assert gate.flight_server
        with contextlib.closing(FlightTestClient(gate.flight_server.listener.address)) as client:
            client.send_call(call_headers(FlightMethod.DO_GET), encode_ticket(SQL))
            until(lambda: gate.forwarder.exchanges)
            yield client, engine
    engine.shutdown()


@pytest.mark.parametrize("kind", IMMEDIATE_ANSWERS)
def test_call_that_is_answered_at_once_and_cancelled_in_the_same_read_ends_alone(kind: str) -> None:
    """Guards against taking h2's refusal of our own answer for a violation by the client."""
    with client_with_open_query() as (client, engine):
        open_second_call(client, *IMMEDIATE_ANSWERS[kind])
        engine.may_continue.set()
        assert status_of(client) == "0"


def status_of(client: FlightTestClient) -> str:
    deadline = time.monotonic() + 10
    while not (status := client.read()) and time.monotonic() < deadline:
        pass
    return status


def test_call_with_a_header_outside_utf_8_is_refused_alone() -> None:
    """Guards against a connection that ends because one call has a header that cannot be decoded."""
    with client_with_open_query() as (client, engine):
        headers: list[Any] = [*call_headers(FlightMethod.DO_GET), (b"x-class", b"\xff\xfe")]
        client.h2.send_headers(SECOND_STREAM_ID, headers)
        client.h2.send_data(SECOND_STREAM_ID, encode_message(encode_ticket("SELECT 1")), end_stream=True)
        client.socket.sendall(client.h2.data_to_send())
        assert status_of(client) == "3"  # of the second call
        client.response_headers.clear()
        engine.may_continue.set()
        assert status_of(client) == "0"


def test_error_of_ours_in_one_call_fails_it_and_leaves_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an unexpected exception in the work for one call that ends its client's connection."""
    engine = FlightEngine()
    engine.may_continue.clear()
    host = {"host": "e0", "site": "hall-a", "class": "std-16", "health": "up", "dial": "127.0.0.1:1"}
    operator = OperatorSettings(flight_address=("127.0.0.1", 0))
    gate = Gateway(config([host | {"flight": f"127.0.0.1:{engine.port}"}]), operator, signals=False)
    assert gate.flight_server
    with contextlib.closing(FlightTestClient(gate.flight_server.listener.address)) as client:
        client.send_call(call_headers(FlightMethod.DO_GET), encode_ticket(SQL))
        turn_until(gate, lambda: gate.forwarder.exchanges)

        def fail(data: bytes) -> bytes:
            raise KeyError("a fault")

        monkeypatch.setattr(messages, "read_ticket", fail)
        client.h2.send_headers(SECOND_STREAM_ID, call_headers(FlightMethod.DO_GET))
        client.h2.send_data(SECOND_STREAM_ID, encode_message(encode_ticket("SELECT 1")), end_stream=True)
        client.socket.sendall(client.h2.data_to_send())
        turn_until(gate, lambda: gate.loop.faults)
        [connection] = gate.flight_server.connections
        assert not connection.stream.is_over and len(connection.calls) == 1
        assert status_of(client) == "13"  # of the second call
        client.response_headers.clear()
        engine.may_continue.set()
        turn_until(gate, lambda: not gate.forwarder.exchanges)
        for _ in range(5):
            gate.loop.call_at(gate.loop.now(), lambda: None)
            gate.loop.turn()
        assert status_of(client) == "0"
    gate.loop.close()
    engine.shutdown()
