"""The HTTP front and the engine client: a gateway on loopback, decoders with split and invalid input."""

import errno
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import OperatorSettings, parse_operator_settings
from query_gateway.configuration.platform import parse_configuration
from query_gateway.engine_protocol import frames
from query_gateway.forwarder.messages import Verdict
from query_gateway.forwarder.table_group import table_group
from query_gateway.gateway import Gateway
from query_gateway.http.plain_request import PlainRequest, parse_plain_request
from query_gateway.http.request_decoding import decode_request
from query_gateway.http.request_handler import PendingAnswer
from query_gateway.model.events import TimerFired
from query_gateway.net.listener import Listener
from query_gateway.net.loop import IN, Loop
from tests.stand_ins import (
    SETTINGS,
    Engine,
    apply_endpoint_list,
    config,
    ended_on_exit,
    endpoint_list_answer,
    host,
    log_text,
    post,
    running_gateway,
)

SQL = "SELECT a FROM lending_7.loans"
LOAD = "INSERT INTO lending_7.loans VALUES (1)"
ROWS = [["0", "x", "y"], ["1", "x", "y"], ["2", "x", "y"]]
derandomized = settings(derandomize=True, deadline=None, max_examples=150)


@contextmanager
def running(*engines: Engine, **overrides: Any) -> Iterator[Gateway]:
    """Run a gateway with these engines on its own thread; close the engines on exit."""
    hosts = [host(engine, f"e{number}") for number, engine in enumerate(engines)]
    try:
        with running_gateway(config(hosts, **overrides)) as gateway:
            yield gateway
    finally:
        for engine in engines:
            engine.close()


def test_a_result_of_several_pages_is_returned_complete_and_released_at_the_engine() -> None:
    engine = Engine()
    with running(engine) as gateway:
        status, body, _ = post(gateway, "lookup", SQL, X_Memory="96", X_Cpu_Hint="20.5")
        assert (status, body) == (200, {"rows": ROWS})
        assert engine.wait("END")
    fields = dict(f.split("=") for f in engine.fields[0].split(","))
    assert fields["queue"] == "lookup" and 0 < int(fields["budget"]) < 5_000 and fields["urgency"] == "3"


@pytest.mark.parametrize("step", ["error", "reset", "refused"])
def test_an_idempotent_class_is_retried(step: str) -> None:
    """Guards against failing a request that a retry would serve.

    The engine of the first attempt answers with an error, closes the connection, or refuses the request.
    """
    engines = Engine(script={SQL: [step]}), Engine()
    engines[1].script = engines[0].script
    with running(*engines) as gateway:
        assert post(gateway, "lookup", SQL)[1] == {"rows": ROWS}
    assert sum(len(e.statements) for e in engines) == 2


@pytest.mark.parametrize("step", ["torn", "spoilt", "pageless", "mute"])
def test_an_incomplete_or_malformed_response_is_retried(step: str) -> None:
    """Guards against a client that gets a partial result, or none, although a retry would succeed.

    The response to the first attempt is truncated, has a malformed row, lacks all pages but the first, or
    never comes.
    """
    engines = Engine(script={LOAD: [step]}), Engine()
    engines[1].script = engines[0].script
    with running(*engines) as gateway:
        assert post(gateway, "load", LOAD, ttl=8_000)[1] == {"rows": ROWS}
    assert sum(len(e.statements) for e in engines) == 2


def test_repeated_responses_change_nothing_else_on_the_connection() -> None:
    """Guards against a duplicate response that affects another request on the same connection.

    An engine sends a response with an unknown request id, and then the actual response twice.
    """
    engine = Engine(script={SQL: ["twice"], LOAD: ["mute", "ok"]})
    with running(engine) as gateway:
        with ThreadPoolExecutor() as executor:
            waiting = executor.submit(post, gateway, "load", LOAD, ttl=8_000)
            assert engine.wait("REQ")
            assert post(gateway, "lookup", SQL)[1] == {"rows": ROWS}
            assert engine.connections == 1
        assert waiting.result()[1] == {"rows": ROWS} and engine.statements == [LOAD, SQL, LOAD]


def test_requests_succeed_while_one_engine_refuses_connections() -> None:
    """Guards against requests that fail because one engine on the endpoint list refuses connections."""
    closed, engine = Engine(), Engine()
    closed.close()
    with running(closed, engine) as gateway:
        for _ in range(4):
            assert post(gateway, "lookup", SQL)[0] == 200


def test_a_request_without_any_engine_is_rejected_with_a_retry_time() -> None:
    with running() as gateway:
        status, body, headers = post(gateway, "lookup", SQL, ttl=400)
        assert (status, body) == (429, {"failure": "Overloaded"}) and int(headers["x-throttle-ms"]) > 0


def test_an_attempt_on_an_unresponsive_engine_is_stopped_at_the_deadline() -> None:
    """Guards against an attempt that outlives its deadline because its engine never answers."""
    engine = Engine(script={SQL: ["mute"] * 3})
    with running(engine) as gateway:
        status, _, _ = post(gateway, "lookup", SQL, ttl=1_000)
        assert status in (429, 500) and engine.wait("STOP")
        assert gateway.forwarder.counters.total(Verdict.SERVED) == 0


def test_a_client_that_disconnects_stops_its_attempt() -> None:
    """Guards against engine time spent on a request whose client has closed its connection."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gateway:
        sock = socket.create_connection(gateway.http_server.listener.address)
        head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'a' * 16}\r\nX-Ttl-Ms: 5000\r\n"
        sock.sendall(f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode())
        assert engine.wait("REQ")
        sock.close()
        assert engine.wait("STOP")


def test_a_retry_uses_no_connection_that_a_late_response_may_reach() -> None:
    """Guards against a late response to a stopped attempt that is taken for the response to its retry.

    Both attempts have the same id, and the engine may still respond to the first one. The retry at the same
    engine therefore uses another connection.
    """
    engine = Engine(script={SQL: ["mute", "ok"]})
    with running(engine) as gateway:
        assert post(gateway, "lookup", SQL)[1] == {"rows": ROWS}
        assert engine.statements == [SQL, SQL] and engine.connections == 2


def test_a_request_given_to_a_connection_just_established_is_written_once() -> None:
    """Guards against a request that is written twice.

    The request is assigned to a connection after the dial has succeeded and before the connection's coroutine
    runs. The coroutine then writes all requests that waited for the dial.
    """
    engine = Engine(script={SQL: ["mute"], LOAD: ["mute"]})
    gateway = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
    for name, statement in (("1" * 16, SQL), ("2" * 16, LOAD)):
        headers = {"x-txn": name, "x-ttl-ms": "5000", "x-txn-key": "a" * 32, "x-row": "b" * 16}
        class_name = "lookup" if statement == SQL else "load"
        query = decode_request(
            class_name, gateway.config.classes, headers, statement.encode(), gateway.forwarder.clock()
        )
        gateway.forwarder.accept(query, PendingAnswer(lambda: None, lambda: False), "web")
        gateway.planner_links.run_local()
        stream = gateway.engine_pool.connections["e0"][0].stream
        while not stream.connected:
            stream._ready()  # connects without running the connection's task
    while len(engine.statements) < 2:
        gateway.loop.turn()
    gateway.loop.turn()
    assert engine.wait("REQ", 2) and sorted(engine.statements) == sorted([SQL, LOAD])
    gateway.loop.close()
    engine.close()


def test_a_lagging_loop_rejects_requests_before_forwarding() -> None:
    """Guards against requests that are forwarded too late because the event loop lags."""
    engine = Engine()
    with running(engine) as gateway:
        gateway.loop.lag = lambda: 1.0  # type: ignore[method-assign]
        status, _, headers = post(gateway, "lookup", SQL)
        assert (status, headers["x-throttle-ms"]) == (429, "500") and not engine.statements


def test_a_draining_engine_gets_no_new_requests() -> None:
    """Guards against requests sent to an engine that the endpoint list marks as draining."""
    old, new = Engine(), Engine()
    with running(old) as gateway:
        assert post(gateway, "lookup", SQL)[0] == 200
        delta = [host(old, "e0", "draining"), host(new, "e1")]
        apply_endpoint_list(gateway, endpoint_list_answer(2, delta))
        assert post(gateway, "lookup", SQL)[0] == 200
    assert len(old.statements) == len(new.statements) == 1
    new.close()


def test_a_planner_fault_rejects_its_queued_requests_and_a_new_planner_serves() -> None:
    """Guards against requests left unanswered after the scheduler has raised an error."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gateway:
        answers: list[int] = []
        waiting = threading.Thread(target=lambda: answers.append(post(gateway, "lookup", SQL)[0]))
        waiting.start()
        assert engine.wait("REQ")

        class FailingScheduler:
            def handle(self, now: int, events: list[Any]) -> list[Any]:
                raise RuntimeError("broken on purpose")

        def fail_planner() -> None:
            gateway.planner.scheduler = FailingScheduler()  # type: ignore[assignment]
            gateway.planner.notify(TimerFired(0))

        gateway.loop.call_soon(fail_planner)
        waiting.join(10)
        assert answers == [429] and gateway.planner.restart_count == 1
        assert post(gateway, "lookup", "SELECT b FROM lending_8.loans")[0] == 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /svc/lookup HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"POST /svc/none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404),
        (b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: 12\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n" + b"x" * 300_000, 413),
        (b"\x16\x03\x01 garbage\r\n\r\n", 400),
        (b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", 400),
    ],
)
def test_invalid_requests_get_a_prompt_error_response(data: bytes, status: int) -> None:
    with running(Engine()) as gateway, socket.create_connection(gateway.http_server.listener.address) as sock:
        sock.settimeout(10)
        sock.sendall(data)
        answer = sock.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 %d " % status)


HEAD = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'c' * 16}\r\nX-Ttl-Ms: 5000\r\n"


@pytest.mark.parametrize(
    ("header_lines", "status"),
    [("Content-Length: 4\r\nTransfer-Encoding: chunked", 400), ("Content-Length: 60000000", 413),
     ("X-Cpu-Hint: nan\r\nContent-Length: 0", 400), ("X-Memory: 1_0\r\nContent-Length: 0", 400)],
)  # fmt: skip
def test_a_request_with_invalid_headers_is_rejected_before_its_body(header_lines: str, status: int) -> None:
    engine = Engine()
    with running(engine) as gateway, socket.create_connection(gateway.http_server.listener.address) as sock:
        sock.settimeout(10)
        sock.sendall(f"{HEAD}{header_lines}\r\n\r\n0\r\n\r\n".encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 %d " % status)
        assert not engine.statements


def test_a_duplicate_id_of_an_open_request_is_rejected_and_ejects_no_engine() -> None:
    """Guards against an engine ejected, or a request executed twice, through a client's error.

    A client sends a request with the id of one that is still open.
    """
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gateway, socket.create_connection(gateway.http_server.listener.address) as sock:
        request = f"{HEAD}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()
        sock.sendall(request)
        assert engine.wait("REQ")
        assert post(gateway, "lookup", "SELECT 2", X_Txn="c" * 16)[0] == 409
        assert post(gateway, "lookup", "SELECT a FROM lending_8.loans")[0] == 200
        assert (
            len(engine.statements) == 2
            and not gateway.planner.scheduler.state.fleet.engines["e0"].ejected_until
        )


def test_pipelined_requests_are_answered_in_order() -> None:
    with running(Engine()) as gateway, socket.create_connection(gateway.http_server.listener.address) as sock:
        sock.settimeout(10)
        request = b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n"
        sock.sendall(request * 3)
        received = b""
        while received.count(b'{"live":true}') < 3:
            received += sock.recv(65_536)
            assert received


def test_connections_without_a_complete_first_request_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections held by clients that send nothing or only a part of their first request."""
    monkeypatch.setattr("query_gateway.http.connection.FIRST_REQUEST_TIMEOUT_SECONDS", 0.1)
    with running(Engine()) as gateway:
        for sent, answer in ((b"", b""), (HEAD.encode(), b"HTTP/1.1 408 ")):
            with socket.create_connection(gateway.http_server.listener.address) as sock:
                sock.settimeout(10)
                sock.sendall(sent)
                assert sock.recv(65_536).startswith(answer)


def test_connections_without_a_request_are_evicted_at_the_limit() -> None:
    """Guards against clients that are turned away because connections without a request fill the limit."""
    with running(Engine()) as gateway:
        gateway.http_server.max_connections = 4
        idle_clients = [socket.create_connection(gateway.http_server.listener.address) for _ in range(8)]
        assert post(gateway, "lookup", SQL)[0] == 200
        assert len(gateway.http_server.connections) <= 4
        for sock in idle_clients:
            sock.close()


def test_timers_cancelled_long_before_due_are_swept() -> None:
    """Guards against memory held by timers that are cancelled long before they are due."""
    loop = Loop()
    for _ in range(5_000):
        loop.call_at(loop.now() + 3_600, lambda: None).cancel()
    task = loop.spawn(itertools.repeat(loop.now() + 3_600))  # type: ignore[arg-type]
    for _ in range(5_000):
        task.step()
    assert len(loop.timers) < 1_000
    loop.close()


def test_a_coroutine_woken_by_another_runs_before_the_planner() -> None:
    """Guards against the next load of a key that is sent before the answer to the previous one has left.

    The engine connection's coroutine settles a load and wakes the client connection's coroutine, which sends
    the answer. The planner, a turn hook, could send the next load if it ran between the two, so tasks run
    before the turn hooks.
    """
    loop, ran = Loop(), list[str]()

    def client() -> Iterator[None]:
        yield None
        ran.append("answer")

    def engine() -> Iterator[None]:
        yield None
        client_task.wake()
        yield None

    def planner() -> bool:
        ran.append("planner")
        return False

    client_task, engine_task = loop.spawn(client()), loop.spawn(engine())  # type: ignore[arg-type]
    loop.turn()
    loop.turn_hooks.append(planner)
    engine_task.wake()
    loop.turn()
    assert ran == ["answer", "planner"]
    loop.close()


def test_a_listener_out_of_descriptors_pauses() -> None:
    """Guards against a busy loop: accept fails for lack of descriptors while a connection waits.

    The listening socket stays readable, and epoll would report it in every turn until accept succeeds.
    """

    class OutOfDescriptorsSocket(socket.socket):
        calls = 0

        def accept(self) -> Any:
            OutOfDescriptorsSocket.calls += 1
            raise OSError(errno.EMFILE, "out of descriptors")

    loop = Loop()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, peer: None)
    loop.dispose(listener.socket)
    listener.socket = OutOfDescriptorsSocket(fileno=os.dup(listener.socket.fileno()))
    loop.watch(listener.socket, IN, listener._ready)
    with socket.create_connection(listener.address):
        turns = 0
        while OutOfDescriptorsSocket.calls < 2:
            loop.turn()
            turns += 1
    assert turns < 10
    loop.close()


@derandomized
@given(st.lists(st.integers(1, 60), max_size=12), st.booleans())
def test_requests_received_in_pieces_are_answered_the_same(cuts: list[int], garbled: bool) -> None:
    gateway, _ = _shared_gateway()
    head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'b' * 16}\r\nX-Ttl-Ms: 5000\r\n"
    data = f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()
    if garbled and cuts:
        data = data[: cuts[0]] + b"\0" + data[cuts[0] :]
    with socket.create_connection(gateway.http_server.listener.address) as sock:
        sock.settimeout(10)
        for cut in [*cuts, len(data)]:
            sock.sendall(data[:cut])
            data = data[cut:]
        status = int(sock.recv(65_536).split()[1])
        assert status == 200 or (garbled and 400 <= status < 500)


_shared_gateways: list[tuple[Gateway, Engine]] = []


def _shared_gateway() -> tuple[Gateway, Engine]:
    """Return the one gateway for all examples of a property test; its daemon thread ends with the process."""
    if not _shared_gateways:
        engine = Engine()
        gateway = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
        threading.Thread(target=gateway.loop.run, daemon=True).start()
        _shared_gateways.append((gateway, engine))
    return _shared_gateways[0]


def test_a_graceful_shutdown_serves_late_requests_and_then_exits() -> None:
    """Guards against lost requests of clients that have not noticed a shutdown when they send."""
    engine = Engine()
    gateway = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gateway.run)
    thread.start()
    assert post(gateway, "lookup", SQL)[0] == 200
    gateway.loop.call_soon(gateway.begin_shutdown)
    liveness = http.client.HTTPConnection(*gateway.http_server.listener.address, timeout=10)
    liveness.request("GET", "/status/live")
    assert liveness.getresponse().status == 503
    assert post(gateway, "lookup", SQL)[0] == 200
    liveness.close()
    thread.join(10)
    assert not thread.is_alive()
    gateway.loop.close()
    engine.close()


def test_nearly_all_of_a_short_ttl_is_left_for_the_query() -> None:
    """Guards against a safety margin that uses up most of a short time to live, here 250 ms."""
    classes = config([]).classes
    query = decode_request("lookup", classes, {"x-txn": "a" * 16, "x-ttl-ms": "250"}, SQL.encode(), 0)
    assert 220_000_000 <= query.deadline < 250_000_000


def test_only_the_plain_form_bypasses_h11() -> None:
    request = b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nab"
    assert parse_plain_request(request) == PlainRequest(
        "/svc/lookup", {"host": "x", "x-a": "1", "content-length": "2"}, b"ab"
    )
    for other in (
        request[:-1], request + b"P", request.replace(b"X-A", b"Host"), request.replace(b"X-A", b"Expect"),
        request.replace(b"Host", b"Ghost"),
        request.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked"), request.replace(b"1.1", b"1.0"),
        request.replace(b": 2", b": +2"), b"",
    ):  # fmt: skip
        assert parse_plain_request(other) is None


FRAMES = (b"a1 ok sheets=2 3\r\nx\ty\r\n", b"a2 progress detail=share,val=0.5 0\r\n\r\n", b"a3 error - 0\r\n",
          b"a1 batch sheet=1 2\r\n\r\n\r\n")  # fmt: skip


@derandomized
@given(st.lists(st.sampled_from(FRAMES), max_size=8), st.lists(st.integers(1, 9), max_size=40))
def test_frames_received_in_pieces_decode_the_same(parts: list[bytes], cuts: list[int]) -> None:
    data, decoder, decoded = b"".join(parts), frames.FrameDecoder(), []
    for cut in [*cuts, len(data)]:
        decoded += decoder.feed(data[:cut])
        data = data[cut:]
    assert decoded == [frame for part in parts for frame in frames.FrameDecoder().feed(part)]


@derandomized
@given(st.binary(max_size=200))
def test_garbage_frames_raise_or_stay_incomplete(noise: bytes) -> None:
    decoder = frames.FrameDecoder()
    try:
        decoder.feed(noise)
    except frames.FrameError:
        return
    assert len(decoder.buffer) <= len(noise)


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        ("SELECT day FROM sales_17.orders WHERE tag = '3f9c'", 17),
        ("SELECT 'from sales_3.x' FROM sales_17.orders", 17),
        ("SELECT 'it''s from sales_3.x' FROM sales_17.orders", 17),
        ("SELECT 1 -- FROM sales_3.x\nFROM sales_17.orders", 17),
        ("SELECT 1 /* FROM sales_3.x /* in */ FROM sales_4.x */ FROM sales_17.orders", 17),
        ('SELECT 1 FROM "sales_17"."orders"', 17),
        ('SELECT "sales_3.x" FROM "sales_17".orders', 17),
        ("INSERT INTO sales_17.orders SELECT * FROM staging.batch_9", 17),
        ("INSERT INTO sales_17.orders SELECT * FROM staging.sales_9", 17),
        ("SELECT a FROM staging.orders_5, sales_17.orders", 17),
        ("SELECT t_5.day FROM sales_17.orders t_5", 17),
        ("SELECT a FROM staging.x JOIN cat.sales_17.orders USING (id)", 17),
        ("SELECT $$ FROM sales_3.x $$ FROM sales_17.orders", 17),
        ("update sales_17.orders set a = 1", 17),
        ("SELECT 1", None),
        ("SELECT a FROM staging.orders_5", None),
    ],
)
def test_the_table_group_is_found_in_sql(statement: str, group: int | None) -> None:
    assert table_group(statement.encode()) == group


@derandomized
@given(st.text(max_size=80))
def test_any_text_has_a_table_group_or_none(text: str) -> None:
    group = table_group(text.encode(errors="replace"))
    assert group is None or group >= 0


@pytest.mark.parametrize(
    "broken",
    [{"journal": "nowhere"}, {"settings": {}}, {"listen": 3}, {"known": {"entries": [{}]}},
     {"limits": {"sockets": 1}}, {"seed": "zz"}, {"settings": SETTINGS | {"services": "x"}}],
)  # fmt: skip
def test_an_invalid_configuration_raises(broken: dict[str, Any]) -> None:
    raw = {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "known": {"pos": 0, "entries": []}}
    with pytest.raises(ConfigurationError):
        parse_configuration(raw | {"settings": SETTINGS} | broken, {})


@pytest.mark.parametrize("raw", [{"flight": {}, "bgp": {}}, {"flight": {"listen": "x"}}, {"flight": 3},
                                 {"flight": {"listen": "127.0.0.1:0", "query_class": "none"}}])  # fmt: skip
def test_an_invalid_operator_file_raises(raw: dict[str, Any]) -> None:
    with pytest.raises(ConfigurationError):
        parse_operator_settings(raw, config([]))


class DiscoveryServiceStandIn:
    """Answers one poll for each call of `answer`, on the open connection or else on the next one.

    `answer` returns the request target of the poll, up to the first `&`.
    """

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(10)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"

    def answer(self, body: bytes) -> str:
        request = b""
        while not request:
            if self.sock is None:
                self.sock = self.server.accept()[0]
                self.sock.settimeout(10)
            request = self.sock.recv(4096)
            if not request:
                self.disconnect()
        assert self.sock
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return request.split()[1].decode().partition("&")[0]

    def disconnect(self) -> None:
        if self.sock:
            self.sock.close()
            self.sock = None

    def close(self) -> None:
        self.disconnect()
        self.server.close()


def answer_body(engine: Engine, position: int = 2) -> bytes:
    return json.dumps(endpoint_list_answer(position, [host(engine)])).encode()


def test_the_endpoint_list_is_followed_from_the_last_position() -> None:
    """Guards against a watch that stops, or skips events, after an answer that cannot be decoded.

    The next poll must ask for the events after the last position that was applied.
    """
    journal, engine = DiscoveryServiceStandIn(), Engine()
    undecodable = (b"[]", b"3", b'{"pos":null,"entries":[]}', b'{"pos":Infinity,"entries":[]}', b"[" * 9_000)
    with running_gateway(config([], journal=journal.address)) as gateway:
        targets = [journal.answer(body) for body in (*undecodable, answer_body(engine), answer_body(engine))]
        assert targets == ["/journal?tail=1"] * (len(undecodable) + 1) + ["/journal?tail=2"]
        assert post(gateway, "lookup", SQL)[0] == 200
    journal.close()
    engine.close()


def test_sighup_changes_the_discovery_address_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against a reload that applies an invalid file or goes on watching the old discovery address."""
    old, new, file = DiscoveryServiceStandIn(), DiscoveryServiceStandIn(), tmp_path / "config.json"
    known = {"pos": 7, "entries": []}
    raw = {"listen": "127.0.0.1:0", "journal": old.address, "known": known, "settings": SETTINGS}
    file.write_text(json.dumps(raw))
    command = [sys.executable, "-m", "query_gateway"]
    environ = os.environ | {"ROUTER_CONFIG": str(file)}
    with ended_on_exit(subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)) as process:
        assert process.stderr and "listens" in process.stderr.readline()
        held_poll = old.server.accept()[0]  # a long poll, left unanswered
        changed_file = json.dumps(raw | {"journal": new.address})
        applied = f"journal {new.address}, classes lookup report load\n"
        for text, log_part in (("{}", "stays in force"), (changed_file, applied)):
            file.write_text(text)
            process.send_signal(signal.SIGHUP)
            while not log_text(line := process.stderr.readline()).startswith("reload"):
                assert line
            assert log_part in line
        assert new.answer(b'{"pos":8,"entries":[]}') == "/journal?tail=7"
        process.terminate()
        assert process.wait(10) == 0
    held_poll.close()
    old.close()
    new.close()
