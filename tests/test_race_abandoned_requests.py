"""Race conditions between a client that leaves and its waiting request, each forced on real sockets."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from query_gateway.engine_protocol.connection import ConnectionState
from tests.race_helpers import (
    ABANDONED_SQL,
    SEC,
    UNANSWERED_SQL,
    PausedReaderEngine,
    SlowToAcceptEngine,
    abandon_request,
    fill_send_buffer,
    gateway_with_planner_process,
    send_request,
    settings_without_timeouts,
    stalled_planner,
)
from tests.stand_ins import Engine, post
from tests.test_local import until
from tests.test_web import LOAD, ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


@pytest.mark.parametrize("cancelling", [True, False])
def test_request_abandoned_while_its_connection_is_being_opened_is_not_forwarded(cancelling: bool) -> None:
    """A client leaves while the connection for its attempt is being dialled.

    With cancellation off no planner withdrew the attempt, and the request was written for nobody as the
    connection came up. The exchange itself withdraws what has not left.
    """
    engine = SlowToAcceptEngine()
    raw = settings_without_timeouts(cancelling=cancelling, dial_timeout=20 * SEC)
    with running(engine, settings=raw) as gateway:
        client = send_request(gateway, ABANDONED_SQL)
        until(lambda: gateway.engine_pool.connections)
        abandon_request(gateway, client)
        with ThreadPoolExecutor() as executor:
            marker = executor.submit(post, gateway, "lookup", SQL, ttl=600_000)
            until(lambda: gateway.forwarder.open_request_count)
            engine.accept_connections()
            assert marker.result()[1] == {"rows": ROWS}
    assert engine.statements == [SQL]


def test_request_abandoned_while_the_planner_process_is_stalled_is_not_forwarded() -> None:
    """A client leaves while its attempt waits for the dial and the planner process is stalled.

    The planner's cancel does not come, and the connection comes up. The exchange withdraws what has not left
    without waiting for its planner.
    """
    engine = SlowToAcceptEngine()
    with gateway_with_planner_process(engine, dial_timeout=20 * SEC) as (gateway, planner_process):
        client = send_request(gateway, ABANDONED_SQL)
        until(lambda: gateway.engine_pool.connections)
        with stalled_planner(planner_process):
            abandon_request(gateway, client)
            engine.accept_connections()
            until(
                lambda: (
                    not gateway.engine_pool.connections
                    or all(
                        connection.state is ConnectionState.ESTABLISHED
                        for connection in gateway.engine_pool.connections["e0"]
                    )
                )
            )
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
    assert engine.statements == [SQL]
    engine.close()


def test_request_abandoned_before_the_planner_process_decides_is_not_forwarded() -> None:
    """A client leaves before the stalled planner process has decided on its request.

    The planner may forward the request as it goes on. The exchange is gone by then, so nothing is sent and
    the planner gets the outcome of an attempt that was not sent.
    """
    engine = Engine()
    with gateway_with_planner_process(engine) as (gateway, planner_process):
        with stalled_planner(planner_process):
            client = send_request(gateway, ABANDONED_SQL)
            until(lambda: gateway.forwarder.open_request_count)
            abandon_request(gateway, client)
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        until(lambda: not planner_process.sessions_by_request)
    assert engine.statements == [SQL]
    engine.close()


@pytest.mark.parametrize("cancelling", [True, False])
def test_request_abandoned_while_it_is_unwritten_is_not_forwarded(cancelling: bool) -> None:
    """A client leaves while its request waits behind others that the engine does not read.

    The request was in the output buffer and left all the same, followed by its own STOP or by none. Requests
    are now encoded as they leave, and one that is unwritten is withdrawn.
    """
    engine = PausedReaderEngine(script={UNANSWERED_SQL: ["mute"]})
    with running(engine, settings=settings_without_timeouts(cancelling=cancelling)) as gateway:
        open_clients = fill_send_buffer(gateway, engine)
        abandoned_client = send_request(gateway, ABANDONED_SQL)
        until(lambda: len(gateway.engine_pool.by_client_request_id) == len(open_clients) + 1)
        abandon_request(gateway, abandoned_client)
        engine.may_read.set()
        assert open_clients[-1].recv(65_536).startswith(b"HTTP/1.1 200")
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        for sock in open_clients:
            sock.close()
    assert ABANDONED_SQL not in engine.statements and engine.statements[-1] == SQL


def test_request_abandoned_before_its_connection_is_accepted_is_not_forwarded() -> None:
    """A client sends a request and closes before its connection is accepted.

    The request was read and forwarded before the end of its connection was seen, and an engine worked for
    nobody. The send guard looks at the client's socket as the first byte is about to leave.
    """
    engine = Engine()
    with running(engine, settings=settings_without_timeouts()) as gateway:
        gateway.loop.lag = lambda: 0.0  # type: ignore[method-assign]
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200  # from now on a connection is established
        blocked, resume = threading.Event(), threading.Event()

        def block_loop() -> None:
            blocked.set()
            assert resume.wait(30)

        gateway.loop.call_soon(block_loop)
        assert blocked.wait(10)
        send_request(gateway, ABANDONED_SQL).close()
        resume.set()
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        until(lambda: not gateway.forwarder.exchanges)
    assert engine.statements == [SQL, SQL]


def test_request_abandoned_while_its_key_is_in_use_is_not_forwarded() -> None:
    """A client leaves while its request waits for an earlier one of the same key.

    Forwarded when its turn comes, it would change rows for nobody, and hold up the next one of its key. It
    leaves the queue of its key with its client.
    """
    engine = PausedReaderEngine(script={LOAD: ["mute"]})
    engine.may_read.set()
    second, third = (f"INSERT INTO lending_7.loans VALUES ({n})" for n in (2, 3))
    with running(engine, settings=settings_without_timeouts()) as gateway, ThreadPoolExecutor() as executor:
        key_holder = send_request(gateway, LOAD, "load")
        until(lambda: engine.statements)
        abandoned_client = send_request(gateway, second, "load")
        until(lambda: gateway.forwarder.open_request_count == 2)
        waiting = executor.submit(post, gateway, "load", third, ttl=600_000)
        until(lambda: gateway.forwarder.open_request_count == 3)
        abandon_request(gateway, abandoned_client)
        key_holder.close()
        assert waiting.result()[1] == {"rows": ROWS}
    assert engine.statements == [LOAD, third]


def test_request_abandoned_before_its_attempt_is_reset_is_not_retried() -> None:
    """A client leaves, and then the connection of its attempt is reset.

    With cancellation off the attempt stays in flight, and its reset would make the planner retry it for
    nobody. The outcome says that the exchange has ended, so no other attempt starts.
    """
    engine = Engine(script={ABANDONED_SQL: ["mute"]})
    with running(engine, settings=settings_without_timeouts(cancelling=False)) as gateway:
        client = send_request(gateway, ABANDONED_SQL)
        until(lambda: engine.statements)
        abandon_request(gateway, client)
        gateway.loop.call_soon(
            lambda: gateway.engine_pool.connections["e0"][0].stream.sock.shutdown(socket.SHUT_RD)
        )
        until(lambda: not gateway.forwarder.exchanges)
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
    assert engine.statements == [ABANDONED_SQL, SQL]


@pytest.mark.parametrize("extra_bytes", [300_000, 900_000])
def test_client_that_leaves_behind_a_full_receive_buffer_is_noticed(extra_bytes: int) -> None:
    """A client sends more than the receive buffer takes behind its request, and leaves.

    Reading pauses at a full buffer, so the end behind those bytes was not found and the engine went on for
    nobody. What a client sends ahead of its answer is read and discarded, up to a limit.
    """
    engine = Engine(script={ABANDONED_SQL: ["mute"]})
    with running(engine, settings=settings_without_timeouts()) as gateway:
        client = send_request(gateway, ABANDONED_SQL)
        until(lambda: engine.statements)
        client.sendall(b"x" * extra_bytes)
        client.close()
        assert engine.wait("STOP")
        until(lambda: not gateway.http_server.connections)


def test_client_that_sends_too_much_ahead_is_disconnected_and_others_are_served(capfd: Any) -> None:
    """A client sends without end while it waits for its answer.

    What it sends ahead would fill the memory, or keep the process busy. Beyond a limit its connection ends
    with a reason in the log, and its request is stopped.
    """
    engine = Engine(script={ABANDONED_SQL: ["mute"]})
    with running(engine, settings=settings_without_timeouts()) as gateway:
        with send_request(gateway, ABANDONED_SQL) as client:
            until(lambda: engine.statements)
            with pytest.raises(OSError):
                for _ in range(100):
                    client.sendall(b"x" * 65_536)
        assert engine.wait("STOP") and post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
    assert "bad-request" in capfd.readouterr().err


def test_bytes_sent_ahead_beyond_the_receive_buffer_close_the_connection_after_the_answer() -> None:
    """A client sends more than the receive buffer takes ahead of its answer.

    Part of it was discarded, so what follows on the connection can no longer be read as requests. The answer
    says that the connection closes, and it does.
    """
    engine = PausedReaderEngine(script={ABANDONED_SQL: ["mute"]})
    engine.may_read.set()
    with running(engine, settings=settings_without_timeouts()) as gateway:
        with send_request(gateway, ABANDONED_SQL) as client:
            until(lambda: engine.statements)
            client.sendall(b"x" * 300_000)
            until(
                lambda: any(
                    connection.handler.discarded_bytes for connection in gateway.http_server.connections
                )
            )
            gateway.loop.call_soon(
                lambda: next(iter(gateway.forwarder.exchanges.values())).end_without_planner()
            )
            answer = b""
            while data := client.recv(65_536):
                answer += data
        assert answer.startswith(b"HTTP/1.1 429") and b"Connection: close" in answer
