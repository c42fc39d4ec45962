"""A client's time runs from when its request came, not from when the gateway turned to it."""

import errno
import socket
import threading
import time
from typing import Any
from uuid import uuid4

import pytest

from query_gateway.gateway import Gateway
from tests.stand_ins import Engine
from tests.test_web import SQL, running

SLACK_MS = 150  # that the budget of an attempt may exceed what its client has left


class SlowEngine(Engine):
    """Takes `seconds` for each request."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        super().__init__()

    def _request(self, sock: Any, words: list[str], statement: str) -> None:
        time.sleep(self.seconds)
        super()._request(sock, words, statement)


def encoded_request(ttl_ms: int) -> bytes:
    head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: {ttl_ms}\r\n"
    return f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()


def connect(gateway: Gateway) -> socket.socket:
    client = socket.create_connection(gateway.http_server.listener.address)
    client.settimeout(10)
    return client


def budgets_ms(engine: Engine) -> list[int]:
    return [int(dict(pair.split("=") for pair in fields.split(","))["budget"]) for fields in engine.fields]


def test_budget_of_a_pipelined_request_counts_its_wait_behind_the_one_before() -> None:
    engine = SlowEngine(0.6)
    with running(engine) as gateway:
        client = connect(gateway)
        client.sendall(encoded_request(4_000) + encoded_request(4_000))
        assert engine.wait("REQ", 2)
        client.close()
    first, second = budgets_ms(engine)
    assert first <= 4_000 and second <= 4_000 - 600 + SLACK_MS


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS])
def test_budget_of_a_request_counts_its_wait_while_nothing_can_be_accepted(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    engine, may_accept = Engine(), threading.Event()
    with running(engine) as gateway:
        listener = gateway.http_server.listener

        class FailingSocket:
            """The listening socket, whose accept fails for a while."""

            def accept(self) -> Any:
                if not may_accept.is_set():
                    raise OSError(error, "for a moment")
                return real.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(real, name)

        real = listener.socket
        monkeypatch.setattr(listener, "socket", FailingSocket())
        client = connect(gateway)
        client.sendall(encoded_request(4_000))
        time.sleep(0.8)
        may_accept.set()
        assert engine.wait("REQ")
        client.close()
        monkeypatch.setattr(listener, "socket", real)
    assert budgets_ms(engine)[0] <= 4_000 - 800 + SLACK_MS
