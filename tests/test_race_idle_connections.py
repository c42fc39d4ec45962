"""Race conditions between the close of a client's idle connection and its next request."""

import http.client
import json
import socket
import threading

import pytest

from query_gateway.http.server import MAX_OVERFLOW_CONNECTIONS
from tests.race_helpers import ABANDONED_SQL, send_request, settings_without_timeouts
from tests.stand_ins import Engine
from tests.test_local import until
from tests.test_web import ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


@pytest.mark.parametrize("reason", ["idle", "stopping", "too-many"])
def test_request_that_crosses_the_close_of_its_idle_connection_is_answered(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client sends a request while the gateway closes its idle connection.

    If the gateway closed without a last read, the connection would be reset and the request would get no
    answer.
    """
    engine = Engine()
    monkeypatch.setattr(
        "query_gateway.http.connection.IDLE_TIMEOUT_SECONDS", 0.3 if reason == "idle" else 6.0
    )
    with running(engine, settings=settings_without_timeouts()) as gateway:
        gateway.loop.lag = lambda: 0.0  # type: ignore[method-assign]
        connection = http.client.HTTPConnection(*gateway.http_server.listener.address, timeout=10)
        headers = {"X-Txn": "1" * 16, "X-Ttl-Ms": "600000"}
        connection.request("POST", "/svc/lookup", SQL, headers)
        assert connection.getresponse().read()
        until(lambda: gateway.http_server.idle)
        blocked, resume = threading.Event(), threading.Event()
        idle_timer = next(iter(gateway.http_server.idle)).task.timer

        def block_and_close() -> None:
            blocked.set()
            assert resume.wait(30)
            if reason == "idle":
                while idle_timer and gateway.loop.now() < idle_timer.due_at:
                    pass
            elif reason == "stopping":
                gateway.http_server.close()
            else:
                gateway.http_server.max_connections = 1
                other = socket.create_connection(gateway.http_server.listener.address)
                gateway.http_server.listener._accept()
                other.close()

        gateway.loop.call_soon(block_and_close)
        assert blocked.wait(10)
        connection.request("POST", "/svc/lookup", SQL, headers | {"X-Txn": "2" * 16})
        resume.set()
        answer = connection.getresponse()
        assert answer.status == 200 and json.loads(answer.read()) == {"rows": ROWS}
        connection.close()
    assert len(engine.statements) == 2


def test_request_sent_after_the_last_read_of_a_closing_connection_causes_no_reset() -> None:
    """A client sends bytes after the last read of a closing connection, in the same loop turn.

    A close with unread bytes makes the kernel send a reset, which can destroy an answer that the client has
    not read yet. So the gateway half-closes the connection and reads on until the client closes.
    """
    engine = Engine()
    with running(engine, settings=settings_without_timeouts()) as gateway:
        client = send_request(gateway, SQL)
        assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        until(lambda: gateway.http_server.idle)
        sent = list[bool]()

        def send_before_the_turn_ends() -> bool:
            """Send after the connection's task has read for the last time, before the loop turn ends."""
            if gateway.http_server.closing and not sent:
                client.sendall(b"POST /svc/lookup HTTP/1.1\r\n")
                sent.append(True)
            return False

        gateway.loop.call_soon(lambda: gateway.loop.turn_hooks.insert(0, send_before_the_turn_ends))
        gateway.loop.call_soon(gateway.http_server.close)
        assert client.recv(65_536) == b""
        until(lambda: sent)
        assert client.recv(65_536) == b""
        client.close()
        until(lambda: not gateway.http_server.connections)
    assert engine.statements == [SQL]


def test_client_beyond_the_connection_limit_gets_a_rejection() -> None:
    """A client connects at the connection limit while all other connections have open requests.

    No connection can be evicted for the new one. If the new one were closed at once, its client would get no
    answer. So up to `MAX_OVERFLOW_CONNECTIONS` are accepted beyond the limit and their requests rejected.
    """
    engine = Engine(script={ABANDONED_SQL: ["mute"] * 2})
    with running(engine, settings=settings_without_timeouts()) as gateway:
        gateway.http_server.max_connections = 2
        clients = [send_request(gateway, ABANDONED_SQL) for _ in range(2)]
        assert engine.wait("REQ", 2)
        for _ in range(3):
            with send_request(gateway, SQL) as late_client:
                answer = b""
                while data := late_client.recv(65_536):
                    answer += data
            assert answer.startswith(b"HTTP/1.1 429") and b"Connection: close" in answer
        silent_clients = [socket.create_connection(gateway.http_server.listener.address) for _ in range(40)]
        until(lambda: len(gateway.http_server.connections) <= 2 + MAX_OVERFLOW_CONNECTIONS)
        with send_request(gateway, SQL) as late_client:  # evicts a silent connection beyond the limit
            assert late_client.recv(65_536).startswith(b"HTTP/1.1 429")
        assert len(gateway.forwarder.exchanges) == 2
        for sock in (*clients, *silent_clients):
            sock.close()
    assert SQL not in engine.statements
