"""The HTTP front and the engine client: a complete gateway on loopback, parsers fed pieces and garbage."""

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
    """A gateway on a thread of its own with these engines, which are closed at the end."""
    hosts = [host(engine, f"e{number}") for number, engine in enumerate(engines)]
    try:
        with running_gateway(config(hosts, **overrides)) as gateway:
            yield gateway
    finally:
        for engine in engines:
            engine.close()


def test_a_result_of_several_pages_is_returned_complete_and_released_at_the_engine() -> None:
    engine = Engine()
    with running(engine) as gate:
        status, body, _ = post(gate, "lookup", SQL, X_Memory="96", X_Cpu_Hint="20.5")
        assert (status, body) == (200, {"rows": ROWS})
        assert engine.wait("END")
    fields = dict(f.split("=") for f in engine.fields[0].split(","))
    assert fields["queue"] == "lookup" and 0 < int(fields["budget"]) < 5_000 and fields["urgency"] == "3"


@pytest.mark.parametrize("how", ["error", "reset", "refused"])
def test_an_idempotent_class_is_retried(how: str) -> None:
    """An engine answers a request with an error, resets the connection, or refuses the request."""
    engines = Engine(script={SQL: [how]}), Engine()
    engines[1].script = engines[0].script
    with running(*engines) as gate:
        assert post(gate, "lookup", SQL)[1] == {"rows": ROWS}
    assert sum(len(e.statements) for e in engines) == 2


@pytest.mark.parametrize("how", ["torn", "spoilt", "pageless", "mute"])
def test_an_incomplete_or_malformed_response_is_retried(how: str) -> None:
    """An engine's response breaks off, is malformed, has no pages or never comes."""
    engines = Engine(script={LOAD: [how]}), Engine()
    engines[1].script = engines[0].script
    with running(*engines) as gate:
        assert post(gate, "load", LOAD, ttl=8_000)[1] == {"rows": ROWS}
    assert sum(len(e.statements) for e in engines) == 2


def test_repeated_responses_change_nothing_else_on_the_connection() -> None:
    """An engine sends its response twice while another request is in flight on the same connection."""
    engine = Engine(script={SQL: ["twice"], LOAD: ["mute", "ok"]})
    with running(engine) as gate:
        with ThreadPoolExecutor() as beside:
            waiting = beside.submit(post, gate, "load", LOAD, ttl=8_000)
            assert engine.wait("REQ")
            assert post(gate, "lookup", SQL)[1] == {"rows": ROWS}
            assert engine.connections == 1
        assert waiting.result()[1] == {"rows": ROWS} and engine.statements == [LOAD, SQL, LOAD]


def test_requests_succeed_while_one_engine_refuses_connections() -> None:
    """An engine on the endpoint list refuses connections."""
    closed, engine = Engine(), Engine()
    closed.close()
    with running(closed, engine) as gate:
        for _ in range(4):
            assert post(gate, "lookup", SQL)[0] == 200


def test_a_request_without_any_engine_is_rejected_with_a_retry_time() -> None:
    with running() as gate:
        status, body, headers = post(gate, "lookup", SQL, ttl=400)
        assert (status, body) == (429, {"failure": "Overloaded"}) and int(headers["x-throttle-ms"]) > 0


def test_an_attempt_on_an_unresponsive_engine_is_stopped_at_the_deadline() -> None:
    """An engine accepts requests and never answers."""
    engine = Engine(script={SQL: ["mute"] * 3})
    with running(engine) as gate:
        status, _, _ = post(gate, "lookup", SQL, ttl=1_000)
        assert status in (429, 500) and engine.wait("STOP")
        assert gate.forwarder.counters.total(Verdict.SERVED) == 0


def test_a_client_that_disconnects_stops_its_attempt() -> None:
    """A client closes its connection while its request runs."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gate:
        sock = socket.create_connection(gate.http_server.listener.address)
        head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'a' * 16}\r\nX-Ttl-Ms: 5000\r\n"
        sock.sendall(f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode())
        assert engine.wait("REQ")
        sock.close()
        assert engine.wait("STOP")


def test_a_retry_uses_no_connection_that_a_late_response_may_reach() -> None:
    """An attempt is stopped and retried at the same engine, whose response to the first may still come."""
    engine = Engine(script={SQL: ["mute", "ok"]})
    with running(engine) as gate:
        assert post(gate, "lookup", SQL)[1] == {"rows": ROWS}
        assert engine.statements == [SQL, SQL] and engine.connections == 2


def test_a_request_given_to_a_connection_just_established_is_written_once() -> None:
    """A request comes between the success of a dial and the next step of the connection's coroutine."""
    engine = Engine(script={SQL: ["mute"], LOAD: ["mute"]})
    gate = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
    for name, statement in (("1" * 16, SQL), ("2" * 16, LOAD)):
        headers = {"x-txn": name, "x-ttl-ms": "5000", "x-txn-key": "a" * 32, "x-row": "b" * 16}
        cls = "lookup" if statement == SQL else "load"
        query = decode_request(cls, gate.config.classes, headers, statement.encode(), gate.forwarder.clock())
        gate.forwarder.accept(query, PendingAnswer(lambda: None, lambda: False), "web")
        gate.planner_links.run_local()
        stream = gate.engine_pool.connections["e0"][0].stream
        while not stream.connected:
            stream._ready()  # the connection is up, but its task has not run yet
    while len(engine.statements) < 2:
        gate.loop.turn()
    gate.loop.turn()
    assert engine.wait("REQ", 2) and sorted(engine.statements) == sorted([SQL, LOAD])
    gate.loop.close()
    engine.close()


def test_a_lagging_loop_rejects_requests_before_forwarding() -> None:
    """The event loop takes long for a turn."""
    engine = Engine()
    with running(engine) as gate:
        gate.loop.lag = lambda: 1.0  # type: ignore[method-assign]
        status, _, headers = post(gate, "lookup", SQL)
        assert (status, headers["x-throttle-ms"]) == (429, "500") and not engine.statements


def test_a_draining_engine_gets_no_new_requests() -> None:
    """The endpoint list marks an engine as draining."""
    old, new = Engine(), Engine()
    with running(old) as gate:
        assert post(gate, "lookup", SQL)[0] == 200
        news = [host(old, "e0", "draining"), host(new, "e1")]
        apply_endpoint_list(gate, endpoint_list_answer(2, news))
        assert post(gate, "lookup", SQL)[0] == 200
    assert len(old.statements) == len(new.statements) == 1
    new.close()


def test_a_planner_fault_rejects_its_queued_requests_and_a_new_planner_serves() -> None:
    """The scheduler raises an error while a request is open."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gate:
        answers: list[int] = []
        waiting = threading.Thread(target=lambda: answers.append(post(gate, "lookup", SQL)[0]))
        waiting.start()
        assert engine.wait("REQ")

        class Broken:
            def handle(self, now: int, events: list[Any]) -> list[Any]:
                raise RuntimeError("broken on purpose")

        def break_it() -> None:
            gate.planner.scheduler = Broken()  # type: ignore[assignment]
            gate.planner.notify(TimerFired(0))

        gate.loop.call_soon(break_it)
        waiting.join(10)
        assert answers == [429] and gate.planner.restart_count == 1
        assert post(gate, "lookup", "SELECT b FROM lending_8.loans")[0] == 200


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
    with running(Engine()) as gate, socket.create_connection(gate.http_server.listener.address) as sock:
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
    with running(engine) as gate, socket.create_connection(gate.http_server.listener.address) as sock:
        sock.settimeout(10)
        sock.sendall(f"{HEAD}{header_lines}\r\n\r\n0\r\n\r\n".encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 %d " % status)
        assert not engine.statements


def test_a_duplicate_id_of_an_open_request_is_rejected_and_ejects_no_engine() -> None:
    """A client uses the id of a request that is still open."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine) as gate, socket.create_connection(gate.http_server.listener.address) as sock:
        call = f"{HEAD}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()
        sock.sendall(call)
        assert engine.wait("REQ")
        assert post(gate, "lookup", "SELECT 2", X_Txn="c" * 16)[0] == 409
        assert post(gate, "lookup", "SELECT a FROM lending_8.loans")[0] == 200
        assert (
            len(engine.statements) == 2 and not gate.planner.scheduler.state.fleet.engines["e0"].ejected_until
        )


def test_pipelined_requests_are_answered_in_order() -> None:
    with running(Engine()) as gate, socket.create_connection(gate.http_server.listener.address) as sock:
        sock.settimeout(10)
        live = b"GET /status/live HTTP/1.1\r\nHost: x\r\n\r\n"
        sock.sendall(live * 3)
        got = b""
        while got.count(b'{"live":true}') < 3:
            got += sock.recv(65_536)
            assert got


def test_connections_without_a_complete_first_request_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients connect and send nothing, or only a part of their first request."""
    monkeypatch.setattr("query_gateway.http.connection.FIRST_REQUEST_TIMEOUT_SECONDS", 0.1)
    with running(Engine()) as gate:
        for said, answer in ((b"", b""), (HEAD.encode(), b"HTTP/1.1 408 ")):
            with socket.create_connection(gate.http_server.listener.address) as sock:
                sock.settimeout(10)
                sock.sendall(said)
                assert sock.recv(65_536).startswith(answer)


def test_connections_without_a_request_are_evicted_at_the_limit() -> None:
    """Clients without a request hold every connection up to the limit."""
    with running(Engine()) as gate:
        gate.http_server.max_connections = 4
        crowd = [socket.create_connection(gate.http_server.listener.address) for _ in range(8)]
        assert post(gate, "lookup", SQL)[0] == 200
        assert len(gate.http_server.connections) <= 4
        for sock in crowd:
            sock.close()


def test_timers_cancelled_long_before_due_are_swept() -> None:
    """Timers are set and cancelled long before they are due."""
    loop = Loop()
    for _ in range(5_000):
        loop.call_at(loop.now() + 3_600, lambda: None).cancel()
    task = loop.spawn(itertools.repeat(loop.now() + 3_600))  # type: ignore[arg-type]
    for _ in range(5_000):
        task.step()
    assert len(loop.timers) < 1_000
    loop.close()


def test_a_coroutine_woken_by_another_runs_before_the_planner() -> None:
    """An engine's coroutine settles a load, and the client's coroutine that sends the answer runs after it.

    With the planner between them the next load of the same key would be sent before that answer has left.
    Tasks run before the turn hooks.
    """
    loop, ran = Loop(), list[str]()

    def client() -> Iterator[None]:
        yield None
        ran.append("answer")

    def engine() -> Iterator[None]:
        yield None
        waiting.wake()
        yield None

    def planner() -> bool:
        ran.append("planner")
        return False

    waiting, settling = loop.spawn(client()), loop.spawn(engine())  # type: ignore[arg-type]
    loop.turn()
    loop.turn_hooks.append(planner)
    settling.wake()
    loop.turn()
    assert ran == ["answer", "planner"]
    loop.close()


def test_a_listener_out_of_descriptors_pauses() -> None:
    """Accept fails for want of descriptors while a connection waits."""

    class Full(socket.socket):
        calls = 0

        def accept(self) -> Any:
            Full.calls += 1
            raise OSError(errno.EMFILE, "out of descriptors")

    loop = Loop()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, peer: None)
    loop.dispose(listener.socket)
    listener.socket = Full(fileno=os.dup(listener.socket.fileno()))
    loop.watch(listener.socket, IN, listener._ready)
    with socket.create_connection(listener.address):
        turns = 0
        while Full.calls < 2:
            loop.turn()
            turns += 1
    assert turns < 10
    loop.close()


@derandomized
@given(st.lists(st.integers(1, 60), max_size=12), st.booleans())
def test_requests_received_in_pieces_are_answered_the_same(cuts: list[int], garbled: bool) -> None:
    gate, _ = _shared()
    head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {'b' * 16}\r\nX-Ttl-Ms: 5000\r\n"
    data = f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()
    if garbled and cuts:
        data = data[: cuts[0]] + b"\0" + data[cuts[0] :]
    with socket.create_connection(gate.http_server.listener.address) as sock:
        sock.settimeout(10)
        for cut in [*cuts, len(data)]:
            sock.sendall(data[:cut])
            data = data[cut:]
        status = int(sock.recv(65_536).split()[1])
        assert status == 200 or (garbled and 400 <= status < 500)


_kept: list[tuple[Gateway, Engine]] = []


def _shared() -> tuple[Gateway, Engine]:
    """One gateway for all examples of a property; its thread ends with the tests."""
    if not _kept:
        engine = Engine()
        gate = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
        threading.Thread(target=gate.loop.run, daemon=True).start()
        _kept.append((gate, engine))
    return _kept[0]


def test_a_graceful_shutdown_serves_late_requests_and_then_exits() -> None:
    """Requests come after SIGTERM, from clients that have not noticed it yet."""
    engine = Engine()
    gate = Gateway(config([host(engine)]), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gate.run)
    thread.start()
    assert post(gate, "lookup", SQL)[0] == 200
    gate.loop.call_soon(gate.begin_shutdown)
    live = http.client.HTTPConnection(*gate.http_server.listener.address, timeout=10)
    live.request("GET", "/status/live")
    assert live.getresponse().status == 503
    assert post(gate, "lookup", SQL)[0] == 200
    live.close()
    thread.join(10)
    assert not thread.is_alive()
    gate.loop.close()
    engine.close()


def test_nearly_all_of_a_short_ttl_is_left_for_the_query() -> None:
    """A client waits for a quarter of a second only."""
    classes = config([]).classes
    query = decode_request("lookup", classes, {"x-txn": "a" * 16, "x-ttl-ms": "250"}, SQL.encode(), 0)
    assert 220_000_000 <= query.deadline < 250_000_000


def test_only_the_plain_form_bypasses_h11() -> None:
    call = b"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nab"
    assert parse_plain_request(call) == PlainRequest(
        "/svc/lookup", {"host": "x", "x-a": "1", "content-length": "2"}, b"ab"
    )
    for odd in (
        call[:-1], call + b"P", call.replace(b"X-A", b"Host"), call.replace(b"X-A", b"Expect"),
        call.replace(b"Host", b"Ghost"), call.replace(b"Content-Length: 2", b"Transfer-Encoding: chunked"),
        call.replace(b"1.1", b"1.0"), call.replace(b": 2", b": +2"), b"",
    ):  # fmt: skip
        assert parse_plain_request(odd) is None


FRAMES = (b"a1 ok sheets=2 3\r\nx\ty\r\n", b"a2 progress detail=share,val=0.5 0\r\n\r\n", b"a3 error - 0\r\n",
          b"a1 batch sheet=1 2\r\n\r\n\r\n")  # fmt: skip


@derandomized
@given(st.lists(st.sampled_from(FRAMES), max_size=8), st.lists(st.integers(1, 9), max_size=40))
def test_frames_received_in_pieces_decode_the_same(parts: list[bytes], cuts: list[int]) -> None:
    data, decoder, got = b"".join(parts), frames.FrameDecoder(), []
    for cut in [*cuts, len(data)]:
        got += decoder.feed(data[:cut])
        data = data[cut:]
    assert got == [frame for part in parts for frame in frames.FrameDecoder().feed(part)]


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
    assert table_group(statement) == group


@derandomized
@given(st.text(max_size=80))
def test_any_text_has_a_table_group_or_none(text: str) -> None:
    group = table_group(text)
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
    """Answers each call with the next body, on the connection that stands or the next one."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(10)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"

    def answer(self, body: bytes) -> str:
        call = b""
        while not call:
            if self.sock is None:
                self.sock = self.server.accept()[0]
                self.sock.settimeout(10)
            call = self.sock.recv(4096)
            if not call:
                self.disconnect()
        assert self.sock
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return call.split()[1].decode().partition("&")[0]

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
    """A discovery service sends answers that cannot be decoded, then events."""
    journal, engine = DiscoveryServiceStandIn(), Engine()
    odd = (b"[]", b"3", b'{"pos":null,"entries":[]}', b'{"pos":Infinity,"entries":[]}', b"[" * 9_000)
    with running_gateway(config([], journal=journal.address)) as gate:
        asked = [journal.answer(body) for body in (*odd, answer_body(engine), answer_body(engine))]
        assert asked == ["/journal?tail=1"] * (len(odd) + 1) + ["/journal?tail=2"]
        assert post(gate, "lookup", SQL)[0] == 200
    journal.close()
    engine.close()


def test_sighup_changes_the_discovery_address_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """SIGHUP comes twice: with a file that cannot be used, and with a new discovery address."""
    old, new, file = DiscoveryServiceStandIn(), DiscoveryServiceStandIn(), tmp_path / "config.json"
    known = {"pos": 7, "entries": []}
    raw = {"listen": "127.0.0.1:0", "journal": old.address, "known": known, "settings": SETTINGS}
    file.write_text(json.dumps(raw))
    run = [sys.executable, "-m", "query_gateway"]
    environ = os.environ | {"ROUTER_CONFIG": str(file)}
    with ended_on_exit(subprocess.Popen(run, env=environ, stderr=subprocess.PIPE, text=True)) as process:
        assert process.stderr and "listens" in process.stderr.readline()
        silent = old.server.accept()[0]  # a call that is held until the journal moves
        moved = json.dumps(raw | {"journal": new.address})
        taken = f"journal {new.address}, classes lookup report load\n"
        for text, said in (("{}", "stays in force"), (moved, taken)):
            file.write_text(text)
            process.send_signal(signal.SIGHUP)
            while not log_text(line := process.stderr.readline()).startswith("reload"):
                assert line
            assert said in line
        assert new.answer(b'{"pos":8,"entries":[]}') == "/journal?tail=7"
        process.terminate()
        assert process.wait(10) == 0
    silent.close()
    old.close()
    new.close()
