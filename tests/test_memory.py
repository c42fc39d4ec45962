"""Memory for what clients send: over its limit the platform kills the gateway with all open requests."""

import contextlib
import json
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from uuid import uuid4

import pyarrow as pa
import pyarrow.flight as fl
import pytest
from google.protobuf import any_pb2

from bench.loopback_ports import free_port
from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMessageError
from query_gateway.flight.wire_fields import WireFormatError, encode_varint, find_field
from query_gateway.net.receive_budget import BYTES_PER_MB, ReceiveBudget, limit_for_memory
from query_gateway.rpc.header_block_limit import CLIENT_PREFACE, HeaderBlockLimit
from tests.flight_client import FlightTestClient, update_headers
from tests.race_helpers import settings_with_timeout
from tests.stand_ins import Engine, ended_on_exit, endpoint_list_answer
from tests.test_flight import SCHEMA, FlightEngine
from tests.test_long_work import load_head

MEMORY_MB = 192  # of scored days, as the deploy page has it
LARGE = 15_000_000  # the gateway takes messages of 16 MB
STATEMENT_BYTES = 250_000  # the HTTP front takes 262,144
TIMEOUT_S = 40.0


class LoadEngine(FlightEngine):
    """A Flight engine that takes updates of any size."""

    def do_put(self, context: Any, descriptor: Any, reader: Any, writer: Any) -> None:
        envelope = any_pb2.Any.FromString(descriptor.command)
        self.loads[str(len(envelope.value) // 1_000_000)] += 1
        writer.write(pa.py_buffer(b"\x08\x05"))


@dataclass(slots=True)
class LimitedGateway:
    """A gateway process on the platform's memory limit."""

    process: "subprocess.Popen[str]"
    http: tuple[str, int]
    flight: tuple[str, int]

    def most_resident_mb(self) -> float:
        """The most memory that the process has had resident, as the kernel counts it."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found
        return int(found[1]) / 1024


@contextlib.contextmanager
def limited_gateway(
    folder: Path, engine: Engine, flight_engine: FlightEngine | None, memory_mb: int = MEMORY_MB
) -> Iterator[LimitedGateway]:
    """Run a gateway process; without `flight_engine` as on the platform, which has no operator's file."""
    http, flight = ("127.0.0.1", free_port()), ("127.0.0.1", free_port())
    host = {"host": "e0", "dial": engine.address, "site": "hall-a", "class": "std-16", "health": "up",
            "share": 1, "born_ms": 0}  # fmt: skip
    if flight_engine:
        host["flight"] = f"127.0.0.1:{flight_engine.port}"
    configuration = {
        "name": "n1", "listen": f"{http[0]}:{http[1]}", "seed": "7", "journal": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "settings": settings_with_timeout(TIMEOUT_S), "known": endpoint_list_answer(1, [host], snapshot=True),
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(configuration))
    (folder / "operator.toml").write_text(
        f'[flight]\nlisten = "{flight[0]}:{flight[1]}"\nquery_class = "lookup"\nupdate_class = "load"\n'
    )
    environment = os.environ | {
        "ROUTER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder),
    }  # fmt: skip
    if flight_engine:
        environment["QUERY_GATEWAY_OPERATOR_FILE"] = str(folder / "operator.toml")
    command = [sys.executable, "-m", "query_gateway"]
    with ended_on_exit(
        subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)
    ) as process:
        assert process.stderr and " start " in process.stderr.readline()
        drain = threading.Thread(target=process.stderr.read, daemon=True)
        drain.start()
        yield LimitedGateway(process, http, flight)


@pytest.fixture
def gate(tmp_path: Path) -> Iterator[LimitedGateway]:
    engine = Engine(pages=1)
    with LoadEngine() as flight_engine, limited_gateway(tmp_path, engine, flight_engine) as gateway:
        yield gateway
    engine.close()


def command_of(statement: str) -> bytes:
    """The command of an update, encoded by the protobuf package."""
    value = b"\x0a" + encode_varint(len(statement.encode())) + statement.encode()
    return any_pb2.Any(
        type_url=messages.TYPE_URL_PREFIX + "CommandStatementUpdate", value=value
    ).SerializeToString()


def put(gate: LimitedGateway, statement: str) -> None:
    """Send an update and wait for its answer; raises FlightError unless it was served."""
    headers = [(b"x-row", uuid4().hex[:16].encode()), (b"x-txn-key", uuid4().hex.encode())]
    options = fl.FlightCallOptions(timeout=TIMEOUT_S, headers=headers)
    with fl.connect(f"grpc://{gate.flight[0]}:{gate.flight[1]}") as client:
        descriptor = fl.FlightDescriptor.for_command(command_of(statement))
        writer, reader = client.do_put(descriptor, SCHEMA, options)
        writer.done_writing()
        assert reader.read() is not None
        writer.close()


@pytest.mark.parametrize(
    ("calls", "start", "piece", "size"),
    [
        (1, "INSERT INTO lending_1.covers (picture) VALUES ('", "iVBORw0KGgo", 2_000_000),
        (1, "INSERT INTO covers VALUES ('😀", "x", LARGE),
        (1, "INSERT INTO loans VALUES (0)", ",(1,4)", LARGE),
        (1, "INSERT INTO loans VALUES (0)", ",(1,'a''b')", LARGE),
        (5, "INSERT INTO lending_1.covers (picture) VALUES ('", "x", LARGE),
        (40, "INSERT INTO lending_1.loans VALUES (0)", ",(1,4)", 1_000_000),
    ],
    ids=["a picture", "a wide character", "rows", "doubled quotes", "five long calls", "forty calls"],
)
def test_long_updates_are_served_within_the_memory_limit(
    gate: LimitedGateway, calls: int, start: str, piece: str, size: int
) -> None:
    """One value of 2 MB took 160 bytes for each of its characters as it was scanned, and the process died."""
    statement = start + piece * (size // len(piece))
    with ThreadPoolExecutor(calls) as executor:
        for served in [executor.submit(put, gate, statement) for _ in range(calls)]:
            served.result()
    assert gate.most_resident_mb() < MEMORY_MB


def test_calls_that_stop_before_the_end_of_their_message_hold_no_memory_over_the_limit(
    gate: LimitedGateway,
) -> None:
    """Each of 14 clients sent all but the end of a message of 16 MB, which together are over the limit."""
    body = b"\0" * (LARGE - 1_000_000)

    def send_part() -> None:
        client = FlightTestClient(gate.flight)
        client.read()
        client.send_headers(update_headers())
        position, until = 0, time.monotonic() + 8
        data = b"\0" + LARGE.to_bytes(4, "big") + body
        with contextlib.suppress(OSError):
            while position < len(data) and time.monotonic() < until and not client.read():
                while window := min(client.h2.local_flow_control_window(1), 16_384, len(data) - position):
                    client.h2.send_data(1, data[position : position + window])
                    client.socket.sendall(client.h2.data_to_send())
                    position += window
        client.close()

    with ThreadPoolExecutor(14) as executor:
        list(executor.map(lambda _: send_part(), range(14)))
    assert gate.most_resident_mb() < MEMORY_MB
    put(gate, "INSERT INTO lending_1.loans VALUES (1)")


def test_statements_sent_ahead_over_http_stay_within_the_memory_limit(gate: LimitedGateway) -> None:
    """Each of 330 connections held an open statement and as much again that was read ahead of its turn."""
    statement = ("INSERT INTO loans VALUES (0)" + ",(1,4)" * STATEMENT_BYTES)[:STATEMENT_BYTES].encode()
    clients = []
    for _ in range(330):
        client = socket.create_connection(gate.http)
        client.settimeout(0.5)
        clients.append(client)

    def send(client: socket.socket) -> None:
        with contextlib.suppress(OSError):
            for _ in range(3):
                client.sendall(load_head(f"Content-Length: {len(statement)}") + statement)

    with ThreadPoolExecutor(16) as executor:
        list(executor.map(send, clients))
    time.sleep(1)
    assert gate.most_resident_mb() < MEMORY_MB
    for client in clients:
        client.close()


LEAST_FLIGHT_MEMORY_MB = 96  # the Flight SQL front takes 41 MB at its start
LEAST_MEMORY_MB = 32  # of the scored days, for 256 to 1,024 descriptors
CLIENTS = 760  # of the 768 that 1,024 descriptors leave for clients


def unfinished_body() -> bytes:
    return load_head(f"Content-Length: {STATEMENT_BYTES}") + b"x" * (STATEMENT_BYTES - 1_000)


def unfinished_chunks() -> bytes:
    chunk = b"3e8\r\n" + b"x" * 1_000 + b"\r\n"
    return load_head("Transfer-Encoding: chunked") + chunk * 249


def short_fields() -> bytes:
    fields = "".join(f"a{field:x}: \r\n" for field in range(1_700))
    return load_head(f"{fields}Content-Length: 1000") + b"x" * 900


def unfinished_head() -> bytes:
    return short_fields()[:15_000]


@pytest.mark.parametrize(
    "request_of",
    [unfinished_body, unfinished_chunks, short_fields, unfinished_head],
    ids=lambda f: f.__name__,
)
def test_clients_that_stop_within_their_request_stay_within_the_least_memory(
    request_of: Callable[[], bytes], tmp_path: Path
) -> None:
    """Guards against a kill of the process at the least memory and the most descriptors of the pages.

    Hundreds of clients stop half way through a large request, or send heads of very many short fields.
    Afterwards a large sound load is served, and so is a small lookup meanwhile.
    """
    engine = Engine(pages=1)
    with limited_gateway(tmp_path, engine, None, LEAST_MEMORY_MB) as gateway:
        clients: list[socket.socket] = []

        def send(_: int) -> None:
            client = socket.create_connection(gateway.http)
            clients.append(client)
            client.settimeout(0.5)
            with contextlib.suppress(OSError):
                client.sendall(request_of())

        with ThreadPoolExecutor(16) as executor:
            list(executor.map(send, range(CLIENTS)))
        time.sleep(0.3)
        with socket.create_connection(gateway.http, timeout=20) as client:
            head = load_head("Content-Length: 8").replace(b"/svc/load", b"/svc/lookup")
            client.sendall(head + b"SELECT 1")
            assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        for client in clients:
            client.close()
        statement = (b"INSERT INTO loans VALUES (0)" + b",(1,4)" * STATEMENT_BYTES)[:STATEMENT_BYTES]
        with socket.create_connection(gateway.http, timeout=20) as client:
            client.sendall(load_head(f"Content-Length: {STATEMENT_BYTES}") + statement)
            assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        assert gateway.most_resident_mb() < LEAST_MEMORY_MB
    engine.close()


def http2_frame(frame_type: int, flags: int, stream_id: int, payload: bytes) -> bytes:
    header = len(payload).to_bytes(3, "big") + bytes([frame_type, flags]) + stream_id.to_bytes(4, "big")
    return header + payload


def test_endless_heads_over_http2_stay_within_the_memory_limit(gate: LimitedGateway) -> None:
    """Guards against a kill by 330 clients whose header blocks never end: h2 keeps up to 1 MB of each."""
    fields = b"\x00\x01a\x01b" * 3_270
    block = http2_frame(1, 0, 1, fields) + http2_frame(9, 0, 1, fields) * 62
    clients: list[socket.socket] = []

    def send(_: int) -> None:
        client = FlightTestClient(gate.flight)
        clients.append(client.socket)
        with contextlib.suppress(OSError):
            client.socket.settimeout(0.5)
            client.socket.sendall(client.h2.data_to_send() + block)

    with ThreadPoolExecutor(16) as executor:
        list(executor.map(send, range(330)))
    time.sleep(0.5)
    assert gate.most_resident_mb() < LEAST_FLIGHT_MEMORY_MB
    for client in clients:
        client.close()
    put(gate, "INSERT INTO lending_1.loans VALUES (1)")


def test_header_block_is_measured_over_its_frames_however_they_are_split() -> None:
    """Guards against counting payloads as frames, and blocks that are complete as one."""
    stream = CLIENT_PREFACE + http2_frame(4, 0, 0, b"x" * 12) + http2_frame(1, 4, 1, b"h" * 900)
    stream += http2_frame(0, 1, 1, b"\x09" * 5_000) + http2_frame(1, 0, 3, b"h" * 500)
    for step in (1, 7, 1_000, len(stream)):
        limit = HeaderBlockLimit(1_000, len(CLIENT_PREFACE))
        pieces = [stream[start : start + step] for start in range(0, len(stream), step)]
        assert not any(limit.exceeded_by(piece) for piece in pieces)
        assert not limit.exceeded_by(http2_frame(9, 0, 3, b"h" * 400))
        assert limit.exceeded_by(http2_frame(9, 4, 3, b"h" * 200))


def test_reservations_are_granted_in_order_and_only_within_the_budget() -> None:
    budget, granted = ReceiveBudget(100), []
    first = budget.reserve(60, lambda: granted.append(1))
    second = budget.reserve(60, lambda: granted.append(2))
    third = budget.reserve(10, lambda: granted.append(3))
    assert first.is_granted and not second.is_granted and not third.is_granted and budget.waiting_count == 2
    budget.release(first)
    assert granted == [2, 3] and budget.held_bytes == 70
    for reservation in (second, third, third):
        budget.release(reservation)
    assert budget.held_bytes == 0 and budget.most_held_bytes == 70
    budget.count(90)
    withdrawn = budget.reserve(20, lambda: granted.append(4))
    budget.release(withdrawn)
    assert budget.reserve(10, lambda: None).is_granted and granted == [2, 3]


def test_a_message_over_the_budget_is_granted_once_nothing_else_is_held() -> None:
    budget = ReceiveBudget(100)
    assert budget.reserve(1_000, lambda: None).is_granted
    assert not budget.reserve(1, lambda: None).is_granted
    assert limit_for_memory(192, 24 * BYTES_PER_MB) == 56 * BYTES_PER_MB
    assert limit_for_memory(32, 20 * BYTES_PER_MB) == 4 * BYTES_PER_MB
    assert limit_for_memory(1, 20 * BYTES_PER_MB) == BYTES_PER_MB


@pytest.mark.parametrize("statement", ["", "SELECT 1", "š" * 40_000, "x" * 70_000])
def test_statements_are_encoded_and_found_as_the_protobuf_package_does(statement: str) -> None:
    descriptor = messages._parse("FlightDescriptor", messages.encode_query_descriptor(statement))
    packed = any_pb2.Any.FromString(descriptor.cmd)
    assert descriptor.type == messages.COMMAND_DESCRIPTOR
    assert messages._parse("CommandStatementQuery", packed.value).query == statement
    assert messages.decode_update(messages.encode_update(statement)) == statement
    data = messages._classes["FlightData"](flight_descriptor={"cmd": command_of(statement)})
    assert messages.read_update(data.SerializeToString()) == statement.encode()


@pytest.mark.parametrize("data", [b"\x0a", b"\x0a\x05ab", b"\x0b", b"\xff" * 11, b"\x09\0", b"\x08"])
def test_malformed_messages_are_errors(data: bytes) -> None:
    with pytest.raises(WireFormatError):
        find_field(memoryview(data), 1)
    with pytest.raises(FlightMessageError):
        messages.read_update(data)


def test_a_statement_that_is_not_utf_8_is_an_error() -> None:
    with pytest.raises(FlightMessageError):
        messages.read_update(messages.encode_update(b"SELECT '\xff'"))
    with pytest.raises(FlightMessageError):
        messages.read_update(messages.encode_update(b"x" * 65_535 + "š".encode()[:1]))
