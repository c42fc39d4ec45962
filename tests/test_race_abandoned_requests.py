"""Race conditions between a client that leaves and its waiting request, each forced on real sockets."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.race_helpers import GONE, SEC, Deaf, Late, ask, elsewhere, leave, tuned
from tests.stand_ins import Engine, post
from tests.test_local import until
from tests.test_web import LOAD, ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("all_lines")


@pytest.mark.parametrize("cancelling", [True, False])
def test_who_leaves_while_the_dial_comes_up_is_not_sent_on(cancelling: bool) -> None:
    """Guards against a request written for nobody: where no cancelling is allowed nothing took it back."""
    engine = Late()
    raw = tuned(cancelling=cancelling, dial_timeout=20 * SEC)
    with running(engine, settings=raw) as gate:
        client = ask(gate, GONE)
        until(lambda: gate.engine_pool.connections)
        leave(gate, client)
        with ThreadPoolExecutor() as beside:
            marker = beside.submit(post, gate, "lookup", SQL, ttl=600_000)
            until(lambda: gate.forwarder.open_request_count)
            engine.let_up()
            assert marker.result()[1] == {"rows": ROWS}
    assert engine.statements == [SQL]


def test_who_leaves_while_the_planner_elsewhere_stands_still_is_not_sent_on() -> None:
    """Guards against waiting for a planner's word: its cancel never came, and the dial came up."""
    engine = Late()
    with elsewhere(engine, dial_timeout=20 * SEC) as (gate, process):
        client = ask(gate, GONE)
        until(lambda: gate.engine_pool.connections)
        still, go = threading.Event(), threading.Event()

        def stand_still() -> None:
            still.set()
            assert go.wait(30)

        process.loop.call_soon(stand_still)
        assert still.wait(10)
        leave(gate, client)
        engine.let_up()
        until(
            lambda: (
                not gate.engine_pool.connections
                or all(c.established for c in gate.engine_pool.connections["e0"])
            )
        )
        go.set()
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
    assert engine.statements == [SQL]
    engine.close()


def test_who_leaves_before_the_planner_elsewhere_decides_is_not_sent_on() -> None:
    engine = Engine()
    with elsewhere(engine) as (gate, process):
        still, go = threading.Event(), threading.Event()

        def stand_still() -> None:
            still.set()
            assert go.wait(30)

        process.loop.call_soon(stand_still)
        assert still.wait(10)
        client = ask(gate, GONE)
        until(lambda: gate.forwarder.open_request_count)
        leave(gate, client)
        go.set()
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        until(lambda: not process.owners)
    assert engine.statements == [SQL]
    engine.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_who_leaves_while_its_request_is_unwritten_is_not_sent_on(cancelling: bool) -> None:
    """Guards against a request that went out of the buffer with its own STOP behind it, or with none."""
    first, big = "SELECT 1 FROM lending_7.loans", "SELECT '" + "x" * 200_000 + "' FROM lending_7.loans"
    engine = Deaf(script={first: ["mute"]})
    with running(engine, settings=tuned(cancelling=cancelling)) as gate:
        open_ = [ask(gate, first)]
        until(lambda: engine.statements)
        stream = gate.engine_pool.connections["e0"][0].stream
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        while not stream.outbox:
            open_.append(ask(gate, big))
            until(lambda: len(gate.engine_pool.by_client_id) == len(open_))
        victim = ask(gate, GONE)
        until(lambda: len(gate.engine_pool.by_client_id) == len(open_) + 1)
        leave(gate, victim)
        engine.reads.set()
        assert open_[-1].recv(65_536).startswith(b"HTTP/1.1 200")
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        for sock in open_:
            sock.close()
    assert GONE not in engine.statements and engine.statements[-1] == SQL


def test_who_leaves_while_it_waits_to_be_accepted_is_not_sent_on() -> None:
    """Guards engines: the call was read and sent on before the end behind it was seen."""
    engine = Engine()
    with running(engine, settings=tuned()) as gate:
        gate.loop.lag = lambda: 0.0  # type: ignore[method-assign]
        assert post(gate, "lookup", SQL, ttl=600_000)[0] == 200  # from now on a connection is up
        there, go = threading.Event(), threading.Event()

        def hold() -> None:
            there.set()
            assert go.wait(30)

        gate.loop.call_soon(hold)
        assert there.wait(10)
        ask(gate, GONE).close()
        go.set()
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        until(lambda: not gate.forwarder.exchanges)
    assert engine.statements == [SQL, SQL]


def test_who_leaves_behind_its_key_is_not_sent_on() -> None:
    engine = Deaf(script={LOAD: ["mute"]})
    engine.reads.set()
    second, third = (f"INSERT INTO lending_7.loans VALUES ({n})" for n in (2, 3))
    with running(engine, settings=tuned()) as gate, ThreadPoolExecutor() as beside:
        holder = ask(gate, LOAD, "load")
        until(lambda: engine.statements)
        victim = ask(gate, second, "load")
        until(lambda: gate.forwarder.open_request_count == 2)
        waiting = beside.submit(post, gate, "load", third, ttl=600_000)
        until(lambda: gate.forwarder.open_request_count == 3)
        leave(gate, victim)
        holder.close()
        assert waiting.result()[1] == {"rows": ROWS}
    assert engine.statements == [LOAD, third]


def test_who_leaves_between_two_attempts_is_not_sent_on() -> None:
    """Where no cancelling is allowed the attempt stays out; its reset must begin no other."""
    engine = Engine(script={GONE: ["mute"]})
    with running(engine, settings=tuned(cancelling=False)) as gate:
        client = ask(gate, GONE)
        until(lambda: engine.statements)
        leave(gate, client)
        gate.loop.call_soon(
            lambda: gate.engine_pool.connections["e0"][0].stream.sock.shutdown(socket.SHUT_RD)
        )
        until(lambda: not gate.forwarder.exchanges)
        assert post(gate, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
    assert engine.statements == [GONE, SQL]


@pytest.mark.parametrize("more", [300_000, 900_000])
def test_who_leaves_behind_a_full_inbox_is_seen(more: int) -> None:
    """Guards the engine: with the inbox full nothing was read, so the end behind it was not found."""
    engine = Engine(script={GONE: ["mute"]})
    with running(engine, settings=tuned()) as gate:
        client = ask(gate, GONE)
        until(lambda: engine.statements)
        client.sendall(b"x" * more)
        client.close()
        assert engine.wait("STOP")
        until(lambda: not gate.http_server.connections)


def test_who_sends_far_too_much_ahead_is_ended_and_its_neighbour_served(capfd: Any) -> None:
    engine = Engine(script={GONE: ["mute"]})
    with running(engine, settings=tuned()) as gate:
        with ask(gate, GONE) as client:
            until(lambda: engine.statements)
            with pytest.raises(OSError):
                for _ in range(100):
                    client.sendall(b"x" * 65_536)
        assert engine.wait("STOP") and post(gate, "lookup", SQL, ttl=600_000)[0] == 200
    assert "bad-request" in capfd.readouterr().err


def test_what_came_ahead_beyond_the_inbox_ends_the_connection_with_the_answer() -> None:
    engine = Deaf(script={GONE: ["mute"]})
    engine.reads.set()
    with running(engine, settings=tuned()) as gate:
        with ask(gate, GONE) as client:
            until(lambda: engine.statements)
            client.sendall(b"x" * 300_000)
            until(lambda: any(c.handler.discarded_bytes for c in gate.http_server.connections))
            gate.loop.call_soon(lambda: next(iter(gate.forwarder.exchanges.values())).end_without_planner())
            answer = b""
            while data := client.recv(65_536):
                answer += data
        assert answer.startswith(b"HTTP/1.1 429") and b"Connection: close" in answer
