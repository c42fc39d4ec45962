"""Race conditions between the close of a client's idle connection and its next request."""

import http.client
import json
import socket
import threading

import pytest

from tests.race_helpers import ask, tuned
from tests.stand_ins import Engine
from tests.test_local import until
from tests.test_web import ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("all_lines")


@pytest.mark.parametrize("why", ["idle", "stopping", "too-many"])
def test_a_request_that_crosses_the_close_of_its_connection_is_answered(
    why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the request: closed over it in the machine's buffer, its connection was reset."""
    engine = Engine()
    monkeypatch.setattr("query_gateway.http.connection.IDLE_TIMEOUT_SECONDS", 0.3 if why == "idle" else 6.0)
    with running(engine, settings=tuned()) as gate:
        gate.loop.lag = lambda: 0.0  # type: ignore[method-assign]
        kept = http.client.HTTPConnection(*gate.http_server.listener.address, timeout=10)
        told = {"X-Txn": "1" * 16, "X-Ttl-Ms": "600000"}
        kept.request("POST", "/svc/lookup", SQL, told)
        assert kept.getresponse().read()
        until(lambda: gate.http_server.idle)
        there, go = threading.Event(), threading.Event()
        due = next(iter(gate.http_server.idle)).task.timer

        def hold() -> None:
            there.set()
            assert go.wait(30)
            if why == "idle":
                while due and gate.loop.now() < due.due_at:
                    pass
            elif why == "stopping":
                gate.http_server.close()
            else:
                gate.http_server.max_connections = 1
                other = socket.create_connection(gate.http_server.listener.address)
                gate.http_server.listener._accept()
                other.close()

        gate.loop.call_soon(hold)
        assert there.wait(10)
        kept.request("POST", "/svc/lookup", SQL, told | {"X-Txn": "2" * 16})
        go.set()
        answer = kept.getresponse()
        assert answer.status == 200 and json.loads(answer.read()) == {"rows": ROWS}
        kept.close()
    assert len(engine.statements) == 2


def test_a_request_between_the_last_look_and_the_end_of_its_connection_resets_nothing() -> None:
    """Guards who sends as we end it: the close came at the end of the loop's turn, over what had come."""
    engine = Engine()
    with running(engine, settings=tuned()) as gate:
        client = ask(gate, SQL)
        assert client.recv(65_536).startswith(b"HTTP/1.1 200")
        until(lambda: gate.http_server.idle)
        sent = list[bool]()

        def between() -> bool:
            """Behind the connection's turn, ahead of the end of the loop's."""
            if gate.http_server.closing and not sent:
                client.sendall(b"POST /svc/lookup HTTP/1.1\r\n")
                sent.append(True)
            return False

        gate.loop.call_soon(lambda: gate.loop.turn_hooks.insert(0, between))
        gate.loop.call_soon(gate.http_server.close)
        assert client.recv(65_536) == b""
        until(lambda: sent)
        assert client.recv(65_536) == b""
        client.close()
        until(lambda: not gate.http_server.connections)
    assert engine.statements == [SQL]
