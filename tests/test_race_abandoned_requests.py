"""Race conditions between a client that disconnects and its request, each forced on real sockets."""

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
    """A client disconnects while the connection for its attempt is being dialled.

    With cancellation off (`cancelling`), the planner cancels no attempt. If the withdrawal were left to it,
    the request would be written once the connection is established, with no client left. The exchange itself
    withdraws an attempt that has not been written.
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
    """A client disconnects while its attempt waits for the dial and the planner process is stalled.

    The connection is established before the planner can send a cancel, and an exchange that waited for the
    cancel would have the request written. The exchange withdraws an unwritten attempt at once.
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
    """A client disconnects before the stalled planner process has decided on its request.

    The planner may forward the request when it resumes. The exchange has ended by then, so nothing is sent
    and the planner gets the outcome of an attempt that was not sent.
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
    """A client disconnects while its request waits behind others that the engine does not read.

    A request that is already in the output buffer would be sent anyway, with or without a STOP (the cancel of
    the engine protocol) behind it. Requests are therefore encoded only when they can be written, and an
    unwritten one is withdrawn.
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

    If the request were forwarded before the end of the client's connection is read, an engine would run it
    with no client left. The send guard checks the client's socket just before the first byte is written.
    """
    engine = Engine()
    with running(engine, settings=settings_without_timeouts()) as gateway:
        gateway.loop.lag = lambda: 0.0  # type: ignore[method-assign]
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200  # leaves a connection established
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
    """A client disconnects while its request waits for an earlier one of the same key.

    Forwarded in its turn, the request would change rows with no client left, and delay the next one of its
    key. It is removed from the queue of its key when its client disconnects.
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
    """A client disconnects, and then the engine connection of its attempt is reset.

    With cancellation off (`cancelling`), the attempt stays in flight, and after the reset the planner could
    retry the request with no client left. The outcome that is reported to the planner says that the exchange
    has ended (`AttemptOutcome.final`), so no other attempt starts.
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
    """A client sends more bytes behind its request than the receive buffer holds, and disconnects.

    Reading pauses while the buffer is full, so the end of the connection would not be read, and the engine
    would work on. A full buffer is therefore discarded while an answer is pending, up to
    `MAX_DISCARDED_BYTES` for one connection.
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
    """A client keeps sending while it waits for its answer.

    Without a limit these bytes would exhaust the memory or occupy the process. Beyond `MAX_DISCARDED_BYTES`
    the connection ends with the reason code `bad-request` in the log, and the request is stopped at the
    engine.
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
    """A client sends more bytes ahead of its answer than the receive buffer holds.

    The gateway discards a full buffer, so later bytes on the connection would be parsed from the middle of a
    request. The answer announces the close of the connection, and the connection closes after the answer.
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
