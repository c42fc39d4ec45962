"""Long work on the event loop: one client's input must not keep timers and other clients waiting."""

import contextlib
import functools
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any
from uuid import uuid4

import pytest

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMethod
from query_gateway.forwarder.messages import ClientRequest
from query_gateway.forwarder.table_group import TableGroupScanner
from query_gateway.gateway import Gateway
from query_gateway.model.units import SEC
from query_gateway.net.loop import MAX_TURN_SECONDS, Loop
from query_gateway.net.paused_tasks import PausedTasks
from query_gateway.net.steady_clock import steady_now_ns
from query_gateway.rpc.framing import encode_message
from tests.flight_client import FlightTestClient, call_headers
from tests.stand_ins import Engine, config, post
from tests.test_flight import gateway as flight_gateway
from tests.test_race_flight import turn_until
from tests.test_web import SQL, running

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")

STATEMENT_BYTES = 262_000  # the HTTP front takes 262,144
CLIENTS = 24
LONG_STATEMENT_BYTES = 500_000  # longer than what one token covers at most
MAX_STEP_SECONDS = 0.01


def text_of(piece: str, size: int = STATEMENT_BYTES) -> str:
    """A statement of `size` bytes that repeats one piece."""
    return (piece * (size // len(piece.encode()) + 1)).encode()[:size].decode(errors="ignore")


# Texts of sound statements and of some that no engine would run
PIECES = {
    "a comment behind each row": "(1,4) /*3*/,",
    "empty comments": "/**/",
    "nested comments": "/*",
    "line comments": "--\n",
    "rows": "(1,4),",
    "words": "a ",
    "dotted names": "a.b ",
    "names outside ASCII": "š.ž ",
    "short literals": "'a',",
    "doubled quotes": "''",
    "escape strings": "E'\\n' ",
    "dollar strings": "$a$x$a$",
    "quoted names": '"a"."b" ',
    "one word": "a",
    "white space": " ",
}


def scan(statement: bytes) -> float:
    """Scan a statement; return the processor time of the longest step in seconds."""
    scanner = TableGroupScanner(statement)
    longest = 0.0
    while not scanner.is_done:
        started_at = time.thread_time()
        scanner.step()
        longest = max(longest, time.thread_time() - started_at)
    return longest


def step_count(statement: bytes) -> int:
    scanner, count = TableGroupScanner(statement), 0
    while not scanner.is_done:
        scanner.step()
        count += 1
    return count


@pytest.mark.parametrize("piece", PIECES.values(), ids=PIECES)
def test_the_steps_of_a_scan_grow_only_in_proportion_to_the_length(piece: str) -> None:
    """With the bound on each step below, a scan cannot take the square of the length, as it did before."""
    short, long = text_of(piece, 20_000).encode(), text_of(piece, 200_000).encode()
    assert step_count(long) <= 10 * step_count(short) + 1


@pytest.mark.parametrize("piece", PIECES.values(), ids=PIECES)
def test_no_step_of_a_scan_takes_long(piece: str) -> None:
    """A step that covers a whole literal or comment would hold up the loop for a statement of 16 MB."""
    statement = text_of(piece, LONG_STATEMENT_BYTES).encode()
    assert min(scan(statement) for _ in range(2)) < MAX_STEP_SECONDS


@contextlib.contextmanager
def measured_turns(loop: Loop) -> Iterator[list[float]]:
    """The processor time of the longest turn of the loop, as the one item of a list.

    Unlike the duration it does not depend on what else the machine does.
    """
    longest, turn = [0.0], loop.turn

    def measure() -> None:
        started_at = time.thread_time()
        turn()
        longest[0] = max(longest[0], time.thread_time() - started_at)

    loop.turn = measure  # type: ignore[method-assign]
    yield longest


def load_head(headers: str) -> bytes:
    """The head of a load, without its last header."""
    return (
        f"POST /svc/load HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: 20000\r\n"
        f"X-Row: {uuid4().hex[:16]}\r\nX-Txn-Key: {uuid4().hex}\r\n{headers}\r\n\r\n"
    ).encode()


def plain_load(statement: str) -> bytes:
    body = statement.encode()
    return load_head(f"Content-Length: {len(body)}") + body


def chunked_load(statement: str) -> bytes:
    """A load whose body comes in chunks of one byte."""
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in statement.encode())
    return load_head("Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"


HTTP_INPUTS: dict[str, Callable[[], bytes]] = {
    **{f"a load of {name}": functools.partial(plain_load, text_of(piece)) for name, piece in PIECES.items()},
    "a load in short chunks": lambda: chunked_load(text_of("x", 40_000)),
    "very many short calls": lambda: b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n" * 6_000,
}


def send(address: tuple[str, int], data: bytes) -> None:
    """Send as a client does that leaves without having read its answers."""
    with contextlib.suppress(OSError), socket.create_connection(address) as client:
        client.settimeout(5)
        client.sendall(data)
        time.sleep(0.5)


def answers_beside(gate: Gateway, clients: list[threading.Thread]) -> list[Any]:
    """Start the clients, and send lookups until all have ended; return the lookups' statuses."""
    statuses = []
    for client in clients:
        client.start()
    while any(client.is_alive() for client in clients):
        statuses.append(post(gate, "lookup", SQL)[0])
        time.sleep(0.02)
    return statuses


@pytest.mark.parametrize("encode", HTTP_INPUTS.values(), ids=HTTP_INPUTS)
def test_clients_that_send_much_do_not_stop_the_loop(encode: Callable[[], bytes]) -> None:
    """While a client's input was scanned or parsed, no deadline fired and nobody else was answered."""
    engine = Engine(pages=1)
    with running(engine) as gate, measured_turns(gate.loop) as longest:
        address = gate.http_server.listener.address
        clients = [threading.Thread(target=send, args=(address, encode())) for _ in range(CLIENTS)]
        statuses = answers_beside(gate, clients)
        assert longest[0] < MAX_TURN_SECONDS
        assert statuses.count(200) >= len(statuses) / 2


def flight_call(statement: str) -> bytes:
    """The bytes of an update over Flight SQL, with the window that every connection starts with ignored."""
    return encode_message(messages.encode_update(statement))


def send_flight_call(address: tuple[str, int], statement: str, frame_bytes: int) -> None:
    """Send an update in DATA frames of one size, as far as the windows admit, and leave."""
    client = FlightTestClient(address)
    headers = call_headers(FlightMethod.DO_PUT, x_class="load", x_row=uuid4().hex[:16], x_txn_key=uuid4().hex)
    with contextlib.suppress(OSError):
        client.read()
        client.send_headers(headers)
        data = flight_call(statement)
        until = time.monotonic() + 3
        for start in range(0, len(data), frame_bytes):
            frame = data[start : start + frame_bytes]
            while client.h2.local_flow_control_window(1) < len(frame) and time.monotonic() < until:
                client.read()
            if time.monotonic() >= until:
                break
            client.h2.send_data(1, frame, end_stream=start + frame_bytes >= len(data))
            if client.h2.outbound_flow_control_window % 7 == 0 or len(frame) > 1_000:
                client.socket.sendall(client.h2.data_to_send())
        client.socket.sendall(client.h2.data_to_send())
        client.read()
    client.close()


@pytest.mark.parametrize(
    ("piece", "size", "frame_bytes"),
    [
        ("(1,4) /*3*/,", 1_000_000, 16_000),
        ("š ", 1_000_000, 16_000),
        ("x", 20_000, 1),
    ],
)
def test_flight_clients_that_send_much_do_not_stop_the_loop(piece: str, size: int, frame_bytes: int) -> None:
    """The Flight SQL front scans statements on the same loop, and gets them in frames of any length."""
    engine = Engine(pages=1)
    with flight_gateway(web=(engine,)) as gate, measured_turns(gate.loop) as longest:
        assert gate.flight_server
        arguments = (gate.flight_server.listener.address, text_of(piece, size), frame_bytes)
        clients = [threading.Thread(target=send_flight_call, args=arguments) for _ in range(8)]
        statuses = answers_beside(gate, clients)
        assert longest[0] < MAX_TURN_SECONDS
        assert statuses.count(200) >= len(statuses) / 2
    engine.close()


def test_a_paused_load_is_not_overtaken_by_a_later_one_of_its_key() -> None:
    """A short load that came during the scan of a long one of its key would reach the engine first."""
    engine = Engine(pages=1)
    long, short, row = text_of("a "), "INSERT INTO lending_7.loans VALUES (2)", uuid4().hex[:16]
    with running(engine) as gate:
        threads = [
            threading.Thread(target=post, args=(gate, "load", statement, row), kwargs={"ttl": 20_000})
            for statement in (long, short)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.06)
        for thread in threads:
            thread.join()
    assert engine.statements == [long, short]


def test_a_pause_does_not_forget_when_the_request_arrived(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a pause behind its last byte a request counted as arriving when it was decoded."""
    monkeypatch.setattr(PausedTasks, "is_pause_due", lambda _: True)
    gate = Gateway(config([]), OperatorSettings(), signals=False)
    requests: list[ClientRequest] = []
    accept = gate.forwarder.accept

    def record(request: ClientRequest, *arguments: Any) -> Any:
        requests.append(request)
        return accept(request, *arguments)

    monkeypatch.setattr(gate.forwarder, "accept", record)
    with socket.create_connection(gate.http_server.listener.address) as client:
        sent_at = steady_now_ns()
        # The header keeps the request off the fast path, which does not pause
        client.sendall(load_head("Connection: keep-alive\r\nContent-Length: 6") + b"SELECT")
        time.sleep(0.3)
        turn_until(gate, lambda: requests)
    gate.loop.close()
    assert requests[0].deadline <= sent_at + 20 * SEC


def test_the_longest_turn_is_among_the_figures() -> None:
    with running(Engine()) as gate:
        gate.loop.call_soon(lambda: time.sleep(0.2))
        post(gate, "lookup", SQL)
        figures = dict(line.rsplit(" ", 1) for line in gate.gateway_figures.lines())
    assert int(figures["svc_longest_turn_ms"]) >= 200 > int(figures["svc_turn_limit_ms"]) == 50
    assert int(figures["svc_slow_turns_total"]) >= 1
    assert re.fullmatch(r"\d+", figures["svc_paused_tasks"])
