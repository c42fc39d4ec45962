"""Race conditions between an engine's connection and a request that goes out on it, on real sockets."""

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream
from tests.race_helpers import CLOSE_WAIT, GONE, SEC, Deaf, Late, _state, ask, elsewhere, tuned, unsafe
from tests.stand_ins import Engine, host, post
from tests.test_local import until
from tests.test_web import LOAD, ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("all_lines")


class Endless(Engine):
    """Its first answer never ends: byte by byte, or with the same page over and over."""

    def __init__(self, how: str) -> None:
        self.how, self.over = how, threading.Event()
        super().__init__(script={SQL: ["mute"]})

    def _request(self, sock: socket.socket, words: list[str], statement: str) -> None:
        self.pageless.clear()
        super()._request(sock, words, statement)
        if len(self.statements) == 1:
            threading.Thread(target=self._go_on, args=(sock, words[1]), daemon=True).start()

    def _go_on(self, sock: socket.socket, name: str) -> None:
        head, more = f"{name} ok sheets=1 5000\r\n", "x"
        if self.how == "repeating":
            self.pageless.add(name)  # what is asked for never comes
            head, more = f"{name} ok sheets=3 6\r\n0\tx\ty\n\r\n", f"{name} batch sheet=1 6\r\n1\tx\ty\n\r\n"
        with contextlib.suppress(OSError):
            sock.sendall(head.encode())
            while not self.over.wait(0.01):
                sock.sendall(more.encode())


def test_a_reset_behind_a_request_that_left_is_no_leave_to_repeat_it() -> None:
    engine = Engine(script={SQL: ["reset"]})
    with running(engine, settings=unsafe()) as gate:
        assert post(gate, "report", SQL, ttl=600_000)[:2] == (500, {"failure": "Internal"})
        assert post(gate, "lookup", GONE, ttl=600_000)[0] == 200
    assert engine.statements == [SQL, GONE]


def test_a_send_that_a_drain_overtook_counts_at_the_planner_elsewhere() -> None:
    """Guards the planner's view of engines: the next attempt had its number, so its end was not heeded, and
    the engine counted as in use for good.
    """
    engine, other = Engine(), Engine()
    with elsewhere(engine) as (gate, process):
        held = list[bool]()

        def hold() -> bool:
            """The planner has decided; before its word is read here, the list tells of a drain."""
            if gate.forwarder.open_request_count and not held:
                held.append(True)
                until(
                    lambda: any(
                        request.attempt_count
                        for session in list(process.sessions)
                        for request in list(session.open_requests.values())
                    )
                )
                news = [host(engine, "e0", "draining"), host(other, "e1")]
                hosts = {"seq": 2, "whole": False, "hosts": news}
                gate.endpoint_feed.take_answer({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]})
            return False

        gate.loop.call_soon(lambda: gate.loop.turn_hooks.insert(0, hold))
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        module = process.planner.scheduler.state
        until(lambda: not process.owners and not module.queries)
        assert held and not any(e.in_flight for e in module.engines.values())
    assert (engine.statements, other.statements) == ([], [SQL])
    for one in (engine, other):
        one.close()


def test_a_repeat_whose_dial_outlasts_what_engines_remember_does_not_leave() -> None:
    """Guards against doubled effects: engines drop a repeat only so long, and the dial came up later."""
    engine, other = Engine(script={LOAD: ["mute"]}), Late()
    raw = tuned(dial_timeout=600 * SEC)
    raw["services"][2] |= {"memory-span": 3 * SEC}
    with running(engine, settings=raw) as gate, ThreadPoolExecutor() as beside:
        waiting = beside.submit(post, gate, "load", LOAD, ttl=600_000)
        assert engine.wait("REQ")
        news = [host(engine, "e0", "draining"), host(other, "e1")]
        hosts = {"seq": 2, "whole": False, "hosts": news}
        gate.loop.call_soon(
            lambda: gate.endpoint_feed.take_answer({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]})
        )
        until(lambda: "e1" in gate.forwarder.endpoints)
        engine.hang_up()
        until(lambda: "e1" in gate.engine_pool.connections)  # it waits for its dial
        assert waiting.result(20)[0] == 429
        other.let_up()
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200
    assert other.statements == [SQL]
    other.close()


@pytest.mark.parametrize("last", [b"", b"ffffffffffffffff progress detail=share,val=0.1 0\r\n", b"ffff"])
def test_a_close_that_crosses_a_request_is_found_before_it_is_written(last: bytes) -> None:
    """Guards a class that may not be repeated: written behind the engine's close it counts as run. The close
    may stand behind late words of the engine, or half a line.
    """
    engine = Engine()
    with running(engine, settings=unsafe()) as gate:
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200
        old = gate.engine_pool.connections["e0"][0]
        held = list[bool]()

        def hold() -> bool:
            """Behind the loop's look at its sockets, ahead of the planner that sends the request on."""
            if gate.forwarder.open_request_count and not held:
                engine.socks[0].sendall(last)
                engine.hang_up()
                held.append(True)
                until(lambda: _state(old.stream.sock) == CLOSE_WAIT)
            return False

        gate.loop.call_soon(lambda: gate.loop.turn_hooks.insert(0, hold))
        assert post(gate, "report", SQL, ttl=600_000)[1] == {"rows": ROWS}
        assert held and old.stream.closed and engine.statements == [SQL, SQL]


def test_half_a_line_on_a_resting_connection_spoils_no_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards a class that may not be repeated: its answer was glued to what was no answer."""
    monkeypatch.setattr("query_gateway.engine_protocol.connection.STALL_TIMEOUT_SECONDS", 600.0)
    engine = Engine()
    with running(engine, settings=unsafe()) as gate:
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200
        old = gate.engine_pool.connections["e0"][0]
        engine.socks[0].sendall(b"ffff")
        until(lambda: old.decoder.partial)
        assert post(gate, "report", SQL, ttl=600_000)[1] == {"rows": ROWS}
    assert engine.connections == 2


@pytest.mark.parametrize("how", ["dripping", "repeating"])
def test_an_answer_that_never_ends_while_bytes_come_is_none(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the client: with each byte the patience began anew, to the end of its time."""
    monkeypatch.setattr("query_gateway.engine_protocol.connection.RESPONSE_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr("query_gateway.engine_protocol.connection.STALL_TIMEOUT_SECONDS", 600.0)
    engine = Endless(how)
    with running(engine, settings=tuned()) as gate:
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        engine.over.set()
    assert engine.statements == [SQL, SQL]


def test_what_had_not_left_whole_never_ran() -> None:
    """Guards a class that may not be repeated: its connection broke with the request still in the buffer."""
    first, big = "SELECT 1 FROM lending_7.loans", "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    engine = Deaf(script={first: ["mute"]})
    with running(engine, settings=unsafe()) as gate, ThreadPoolExecutor() as beside:
        open_ = [ask(gate, first)]
        until(lambda: engine.statements)
        stream = gate.engine_pool.connections["e0"][0].stream
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        while not stream.outbox:
            open_.append(ask(gate, big))
            until(lambda: len(gate.engine_pool.by_client_id) == len(open_))
        report = beside.submit(post, gate, "report", SQL, ttl=600_000)
        until(lambda: len(gate.engine_pool.by_client_id) == len(open_) + 1)
        engine.hang_up()
        engine.reads.set()
        assert report.result()[1] == {"rows": ROWS}
        for sock in open_:
            sock.close()
    assert engine.statements.count(SQL) == 1


def test_what_waits_for_its_dial_does_not_go_to_an_engine_that_drains() -> None:
    engine, other = Late(), Engine()
    with running(engine, settings=tuned(dial_timeout=20 * SEC)) as gate, ThreadPoolExecutor() as beside:
        waiting = beside.submit(post, gate, "lookup", SQL, ttl=600_000)
        until(lambda: gate.engine_pool.connections)
        news = [host(engine, "e0", "draining"), host(other, "e1")]
        raw = {"pos": 2, "entries": [{"pos": 2, "hosts": {"seq": 2, "whole": False, "hosts": news}}]}
        gate.loop.call_soon(lambda: gate.endpoint_feed.take_answer(raw))
        assert waiting.result()[1] == {"rows": ROWS}
        engine.let_up()
        until(lambda: "e0" not in gate.engine_pool.connections)
    assert (engine.statements, other.statements) == ([], [SQL])
    other.close()


def test_what_waits_to_be_written_does_not_go_to_an_engine_that_drains() -> None:
    """Guards the drain: what an engine had not yet read went to it whenever it read on."""
    first, big = "SELECT 1 FROM lending_7.loans", "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    engine, other = Deaf(script={first: ["mute"]}), Engine()
    with running(engine, settings=tuned()) as gate, ThreadPoolExecutor() as beside:
        open_ = [ask(gate, first)]
        until(lambda: engine.statements)
        stream = gate.engine_pool.connections["e0"][0].stream
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        while not stream.outbox:
            open_.append(ask(gate, big))
            until(lambda: len(gate.engine_pool.by_client_id) == len(open_))
        waiting = beside.submit(post, gate, "lookup", SQL, ttl=600_000)
        until(lambda: len(gate.engine_pool.by_client_id) == len(open_) + 1)
        news = [host(engine, "e0", "draining"), host(other, "e1")]
        raw = {"pos": 2, "entries": [{"pos": 2, "hosts": {"seq": 2, "whole": False, "hosts": news}}]}
        gate.loop.call_soon(lambda: gate.endpoint_feed.take_answer(raw))
        assert waiting.result()[1] == {"rows": ROWS}
        engine.reads.set()
        for sock in open_:
            sock.close()
    assert other.statements == [SQL] and SQL not in engine.statements
    other.close()


def test_bytes_are_taken_back_only_whole() -> None:
    loop, server = Loop(), socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(server.getsockname())
    far, stream = server.accept()[0], Stream(loop, near, "here")
    server.close()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    sent: list[str] = []
    stream.write(b"a" * 1_000_000)
    partly = stream.call_when_sent(lambda: sent.append("a"), 1_000_000)
    stream.write(b"b" * 10)
    middle = stream.call_when_sent(lambda: sent.append("b"), 10)
    stream.write(b"c" * 5)
    stream.call_when_sent(lambda: sent.append("c"), 5)
    assert partly and middle and not stream.withdraw(partly)
    assert stream.withdraw(middle) and not stream.withdraw(middle)
    got = b""
    far.settimeout(0.01)
    while stream.outbox or len(got) < 1_000_005:
        stream._flush()
        with contextlib.suppress(TimeoutError):
            got += far.recv(65_536)
    assert got == b"a" * 1_000_000 + b"c" * 5 and sent == ["a", "c"]
    stream.close(Reason.DONE)
    far.close()
    loop.close()
