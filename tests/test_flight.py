"""Flight SQL with independent implementations: pyarrow servers as engines, pyarrow and ADBC as clients."""

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import h2.connection
import h2.events
import pyarrow as pa
import pyarrow.flight as fl
import pytest
from google.protobuf import any_pb2

from query_gateway.configuration.operator_file import OperatorSettings, StatementSettings
from query_gateway.forwarder.messages import Verdict
from query_gateway.gateway import Gateway
from query_gateway.parsing.parsers import SlotState
from query_gateway.parsing.service import StatementService
from tests.stand_ins import Engine, apply_endpoint_list, config, endpoint_list_answer, post
from tests.test_local import until

SCHEMA = pa.schema([("a", pa.string())])
SQL = "SELECT a FROM lending_7.loans"
TXN_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class FlightEngine(fl.FlightServerBase):  # type: ignore[misc]
    """A stand-in for a Flight SQL engine; counts the queries in `ran` and the updates in `loads`.

    `cancelled` is set when a result ends before its last batch.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__("grpc://127.0.0.1:0", **options)
        self.ran: Counter[str] = Counter()
        self.loads: Counter[str] = Counter()
        self.cancelled = threading.Event()
        self.sent = 0
        self.unavailable_count = 0
        self.may_continue = threading.Event()
        self.may_continue.set()

    def get_flight_info(self, context: Any, descriptor: Any) -> Any:
        statement = _decode_statement(descriptor.command)
        self.ran[statement] += 1
        if self.unavailable_count:
            self.unavailable_count -= 1
            raise fl.FlightUnavailableError("not now")
        if "broken" in statement:
            raise fl.FlightServerError("cannot plan this")
        endpoint = fl.FlightEndpoint(statement.encode(), [])
        return fl.FlightInfo(SCHEMA, descriptor, [endpoint], -1, -1)

    def do_get(self, context: Any, ticket: Any) -> Any:
        statement = ticket.ticket.decode()
        batches = 2_000 if "long" in statement else 3

        def rows() -> Iterator[Any]:
            number = 0
            try:
                while number < batches and not context.is_cancelled():
                    if number == 2:
                        self.may_continue.wait(20)
                        if "torn" in statement:
                            raise fl.FlightServerError("torn")
                    self.sent += 1
                    yield pa.record_batch(
                        [[f"{number:04}" * 2_500 if batches > 3 else f"{number}"]], schema=SCHEMA
                    )
                    number += 1
            finally:
                if number < batches:
                    self.cancelled.set()

        return fl.GeneratorStream(SCHEMA, rows())

    def do_put(self, context: Any, descriptor: Any, reader: Any, writer: Any) -> None:
        self.loads[_decode_statement(descriptor.command)] += 1
        writer.write(pa.py_buffer(b"\x08\x05"))  # DoPutUpdateResult with record_count 5


def _decode_statement(command: bytes) -> str:
    envelope = any_pb2.Any.FromString(command)
    assert envelope.type_url.rpartition(".")[2] in ("CommandStatementQuery", "CommandStatementUpdate")
    return envelope.value[2:].decode()  # the tag of field 1, a length below 128, then the text


@contextmanager
def gateway(
    *flight_engines: FlightEngine,
    web: tuple[Engine, ...] = (),
    statements: StatementSettings | None = None,
    **overrides: Any,
) -> Iterator[Gateway]:
    """Runs a complete gateway, with HTTP and Flight SQL, on a separate thread.

    `web` are the engines of the HTTP front, which use the line protocol.
    """
    hosts = []
    for number in range(max(len(flight_engines), len(web))):
        host: dict[str, Any] = {"host": f"e{number}", "site": "hall-a", "class": "std-16", "health": "up"}
        if number < len(flight_engines):
            host["flight"] = f"127.0.0.1:{flight_engines[number].port}"
        host["dial"] = web[number].address if number < len(web) else "127.0.0.1:1"
        hosts.append(host)
    operator = OperatorSettings(flight_address=("127.0.0.1", 0), statements=statements)
    gate = Gateway(config(hosts, **overrides), operator, signals=False)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    try:
        if gate.statements:
            wait_for_parser(gate.statements)
        yield gate
    finally:
        gate.loop.stop()
        thread.join(10)
        if gate.statements:
            gate.statements.stop()
        gate.loop.close()
        assert not thread.is_alive() and gate.loop.faults == 0


def wait_for_parser(statements: StatementService) -> None:
    """Waits until a parser process is ready.

    A statement that arrives earlier is rejected if it waits for longer than `MAX_WAIT_S` of the parser pool.
    On busy cores, a process can take longer than that to start.
    """
    until(lambda: any(slot.state is SlotState.IDLE for slot in statements.supervisor.pool.slots))


def client(gate: Gateway) -> Any:
    assert gate.flight_server
    return fl.connect(f"grpc://127.0.0.1:{gate.flight_server.listener.address[1]}")


def options(seconds: float = 10.0, **metadata: Any) -> Any:
    headers = [(name.replace("_", "-").encode(), value.encode()) for name, value in metadata.items()]
    return fl.FlightCallOptions(timeout=seconds, headers=headers)


def command(name: str, statement: str) -> Any:
    query = bytes([0x0A, len(statement)]) + statement.encode()
    type_url = f"type.googleapis.com/arrow.flight.protocol.sql.{name}"
    return fl.FlightDescriptor.for_command(any_pb2.Any(type_url=type_url, value=query).SerializeToString())


def run_query(gate: Gateway, statement: str = SQL, seconds: float = 10.0, **metadata: str) -> Any:
    flight_client = client(gate)
    info = flight_client.get_flight_info(command("CommandStatementQuery", statement), options())
    return flight_client.do_get(info.endpoints[0].ticket, options(seconds, **metadata))


def run_update(gate: Gateway, statement: str, row: str) -> bytes:
    flight_client = client(gate)
    call_options = options(x_row=row, x_txn_key=TXN_KEY)
    writer, reader = flight_client.do_put(
        command("CommandStatementUpdate", statement), pa.schema([]), call_options
    )
    writer.done_writing()
    result = reader.read()
    writer.close()
    return bytes(result.to_pybytes()) if result is not None else b""


@pytest.fixture
def engine() -> Iterator[FlightEngine]:
    server = FlightEngine()
    yield server
    server.may_continue.set()
    server.shutdown()


def test_query_runs_once_and_returns_every_row(engine: FlightEngine) -> None:
    with gateway(engine) as gate:
        assert run_query(gate).read_all().column("a").to_pylist() == ["0", "1", "2"]
    assert engine.ran == {SQL: 1}


def test_adbc_client_reads_a_result(engine: FlightEngine) -> None:
    adbc = pytest.importorskip("adbc_driver_flightsql.dbapi")
    with gateway(engine) as gate:
        assert gate.flight_server
        uri = f"grpc://127.0.0.1:{gate.flight_server.listener.address[1]}"
        with adbc.connect(uri) as connection, connection.cursor() as cursor:
            cursor.execute(SQL)
            assert cursor.fetchall() == [("0",), ("1",), ("2",)]


def test_update_runs_once_and_returns_its_record_count(engine: FlightEngine) -> None:
    with gateway(engine) as gate:
        assert run_update(gate, "INSERT INTO lending_7.loans VALUES (1)", "7f3a9c21e0b4d655") == b"\x08\x05"
    assert list(engine.loads.values()) == [1]


def test_client_cancelling_midway_cancels_the_engine_call(engine: FlightEngine) -> None:
    """A client cancels its call while the result is being sent.

    Unless the gateway cancels its call to the engine, the engine goes on producing a result that nobody
    reads.
    """
    with gateway(engine) as gate:
        reader = run_query(gate, "SELECT long FROM lending_7.loans", x_class="report")
        reader.read_chunk()
        reader.cancel()
        assert engine.cancelled.wait(10)
        assert wait_until(lambda: not gate.forwarder.exchanges)
    assert engine.sent < 2_000


def test_stalled_reader_stops_the_engine_by_flow_control(engine: FlightEngine) -> None:
    """A client stops reading in the middle of a long result.

    Without flow control from end to end the whole result would accumulate in the gateway's memory. A message
    is acknowledged to the engine only when it has left for the client, so the engine stops sending.
    """
    with gateway(engine) as gate:
        reader = run_query(gate, "SELECT long FROM lending_7.loans", 25.0, x_class="report")
        reader.read_chunk()
        sent_count = wait_until_steady(lambda: engine.sent)
        assert sent_count < 1_500
        assert len(reader.read_all()) == 1_999


def test_draining_engine_finishes_its_stream_and_gets_no_new_call(engine: FlightEngine) -> None:
    """The endpoint list marks an engine as draining while it sends a result.

    A closed connection would cut the result off, and a new call could be lost when the engine ends. The
    result goes on to its end, and the next query goes to another engine.
    """
    engine.may_continue.clear()
    other = FlightEngine()
    with gateway(engine) as gate:
        reader = run_query(gate, SQL, x_class="report")
        reader.read_chunk()
        host = {"site": "hall-a", "class": "std-16", "share": 1, "dial": "127.0.0.1:1"}
        hosts = [
            {**host, "host": "e0", "flight": f"127.0.0.1:{engine.port}", "health": "draining"},
            {**host, "host": "e9", "flight": f"127.0.0.1:{other.port}", "health": "up"},
        ]
        apply_endpoint_list(gate, endpoint_list_answer(2, hosts))
        assert run_query(gate, "SELECT b FROM lending_8.loans").read_all().num_rows == 3
        engine.may_continue.set()
        assert reader.read_all().num_rows == 2
    assert engine.ran == {SQL: 1} and sum(other.ran.values()) == 1
    other.shutdown()


def test_draining_gateway_finishes_open_streams_and_accepts_no_new_call(engine: FlightEngine) -> None:
    """The gateway drains while a client reads a result.

    Closing the connection would cut the result off. The connection gets a GOAWAY, the open stream is sent to
    its end, and new calls get UNAVAILABLE until the gateway is ready again.
    """
    engine.may_continue.clear()
    with gateway(engine) as gate:
        with client(gate) as flight_client:
            endpoint = flight_client.get_flight_info(
                command("CommandStatementQuery", SQL), options()
            ).endpoints[0]
            reader = flight_client.do_get(endpoint.ticket, options(x_class="report"))
            reader.read_chunk()
            gate.loop.call_soon(gate.readiness.drain)
            until(
                lambda: (
                    gate.flight_server
                    and all(connection.draining for connection in gate.flight_server.connections)
                )
            )
            with pytest.raises(fl.FlightUnavailableError):
                run_query(gate, "SELECT b FROM lending_8.loans")
            engine.may_continue.set()
            assert reader.read_all().num_rows == 2
        gate.loop.call_soon(gate.readiness.undrain)
        until(lambda: gate.readiness.ready)
        assert run_query(gate, "SELECT b FROM lending_8.loans").read_all().num_rows == 3


def test_rejections_and_failures_have_one_status_each(engine: FlightEngine) -> None:
    with gateway() as gate, pytest.raises(pa.ArrowInvalid) as rejection:
        # Without an engine, the scheduler rejects the request before anything has run
        run_query(gate, SQL, x_class="lookup").read_all()
    assert "Overloaded" in str(rejection.value) and gate.forwarder.counters.total(Verdict.REJECTED) == 1
    with gateway(engine) as gate, pytest.raises(pa.ArrowInvalid, match="Overloaded"):
        # After three failed attempts (`max-attempts`), a request of an idempotent class is rejected and not
        # failed, as a later retry by its client does no harm
        run_query(gate, "SELECT broken FROM lending_7.loans").read_all()
    assert engine.ran["SELECT broken FROM lending_7.loans"] == 3
    with gateway(engine) as gate, pytest.raises(fl.FlightInternalError, match="Internal"):
        # Rows have been sent, so there is no retry, and the client must see that the result is incomplete
        run_query(gate, "SELECT torn FROM lending_7.loans").read_all()
    assert [gate.forwarder.counters.total(verdict) for verdict in Verdict] == [0, 0, 1]


def test_deadline_ends_a_stalled_stream(engine: FlightEngine) -> None:
    """An engine stalls in the middle of a result, beyond the client's deadline.

    Without a timer for the deadline, the exchange would stay open for ever. The client must get an error, and
    the exchange must be removed.
    """
    engine.may_continue.clear()
    with gateway(engine) as gate:
        flight_client = client(gate)
        info = flight_client.get_flight_info(command("CommandStatementQuery", SQL), options())
        reader = flight_client.do_get(info.endpoints[0].ticket, options(seconds=1.5))
        with pytest.raises(fl.FlightError):
            reader.read_all()
        assert wait_until(lambda: not gate.forwarder.exchanges)


def test_unusable_calls_get_invalid_argument_or_unimplemented(engine: FlightEngine) -> None:
    with gateway(engine) as gate:
        calls: tuple[Callable[[], Any], ...] = (
            lambda: run_query(gate, SQL, x_class="nothing").read_all(),
            lambda: run_query(gate, SQL, x_txn="short").read_all(),
            lambda: client(gate).do_get(fl.Ticket(b"\xff\xff"), options()).read_all(),
            lambda: client(gate).get_flight_info(fl.FlightDescriptor.for_path("x"), options()),
        )
        for call in calls:
            with pytest.raises(pa.ArrowInvalid):
                call()
        with pytest.raises(pa.ArrowNotImplementedError):
            list(client(gate).list_flights(options=options()))
        assert run_query(gate).read_all().num_rows == 3
    assert engine.ran == {SQL: 1}


def test_silent_connections_and_calls_are_ended_and_lock_nobody_out(
    engine: FlightEngine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients connect and send nothing, or open a call and never send its message.

    They could occupy all connections up to the limit, and other clients could not connect. At the limit a
    connection without calls is closed for a new one. A connection on which no byte arrives is closed after a
    timeout, and a call without a message gets DEADLINE_EXCEEDED.
    """
    monkeypatch.setattr("query_gateway.rpc.connection.FIRST_BYTES_TIMEOUT_S", 0.1)
    monkeypatch.setattr("query_gateway.flight.client_call.MESSAGE_TIMEOUT_S", 0.1)
    with gateway(engine) as gate:
        assert gate.flight_server
        gate.flight_server.max_connections = 3
        address = gate.flight_server.listener.address
        silent_connections = [socket.create_connection(address) for _ in range(6)]
        assert run_query(gate).read_all().num_rows == 3
        with socket.create_connection(address) as sock:
            sock.settimeout(10)
            while sock.recv(65_536):
                pass  # the gateway's SETTINGS, then EOF, since this connection sent nothing
        with socket.create_connection(address) as sock:
            sock.settimeout(10)
            h2_connection = h2.connection.H2Connection()
            h2_connection.initiate_connection()
            h2_connection.send_headers(1, [(":method", "POST"), (":scheme", "http"), (":authority", "x"),
                                  (":path", "/arrow.flight.protocol.FlightService/DoGet")])  # fmt: skip
            sock.sendall(h2_connection.data_to_send())
            response_headers: dict[str, str] = {}
            while "grpc-status" not in response_headers:
                for event in h2_connection.receive_data(sock.recv(65_536)):
                    if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
                        response_headers |= {
                            bytes(name).decode(): bytes(value).decode() for name, value in event.headers or []
                        }
            assert response_headers["grpc-status"] == "4"
        for sock in silent_connections:
            sock.close()


def test_http_and_flight_clients_together_get_the_same_counts_and_no_load_runs_twice() -> None:
    flight_engines, http_engines = (FlightEngine(), FlightEngine()), (Engine(), Engine())
    with gateway(*flight_engines, web=http_engines) as gate:
        counts: dict[str, Counter[str]] = {"http": Counter(), "flight": Counter()}

        def run_one(protocol: str, number: int) -> None:
            row = f"{number % 3:016x}"
            if number % 4 == 0:
                statement = f"INSERT INTO lending_{number}.loans VALUES ({number})"
                if protocol == "flight":
                    served = run_update(gate, statement, row) != b""
                else:
                    served = "rows" in post(gate, "load", statement, row=row)[1]
            else:
                statement = f"SELECT a FROM lending_{number}.loans"
                if protocol == "flight":
                    served = run_query(gate, statement).read_all().num_rows == 3
                else:
                    served = len(post(gate, "lookup", statement)[1]["rows"]) == 3
            counts[protocol]["served" if served else "other"] += 1

        threads = [
            threading.Thread(target=run_one, args=(protocol, number))
            for number in range(24)
            for protocol in counts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        assert counts["http"] == counts["flight"] == {"served": 24}
        assert gate.forwarder.counters.total(Verdict.SERVED) == 48
    flight_loads = sum((engine.loads for engine in flight_engines), Counter())
    http_loads = Counter(
        statement
        for http_engine in http_engines
        for statement in http_engine.statements
        if statement.startswith("INSERT")
    )
    assert flight_loads == http_loads and set(flight_loads.values()) == {1} and len(flight_loads) == 6
    for engine in flight_engines:
        engine.shutdown()
    for http_engine in http_engines:
        http_engine.close()


def wait_until(condition: Any, seconds: float = 10.0) -> bool:
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    return bool(condition())


def wait_until_steady(read_count: Any) -> int:
    last, since = -1, time.monotonic()
    while time.monotonic() - since < 0.5:
        if read_count() != last:
            last, since = read_count(), time.monotonic()
        time.sleep(0.01)
    return int(last)
