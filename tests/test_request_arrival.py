"""A request's deadline counts from its arrival at the socket, not from when the gateway read it."""

import errno
import gc
import socket
import threading
import time
from typing import Any
from uuid import uuid4

import pytest

from query_gateway.gateway import Gateway
from query_gateway.http.connection import HttpConnection
from query_gateway.net.arrivals import MAX_ENTRIES, ArrivalLog, ArrivalTime
from tests.stand_ins import Engine
from tests.test_local import until
from tests.test_web import SQL, running

SLACK_MS = 150  # at most this much may an attempt's budget exceed the client's remaining time


class SlowEngine(Engine):
    """An engine that takes `seconds` for each request."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        super().__init__()

    def _request(self, sock: Any, words: list[str], statement: str) -> None:
        time.sleep(self.seconds)
        super()._request(sock, words, statement)


class UnacceptingSocket:
    """A listening socket whose accept fails with `error` until `may_accept` is set."""

    def __init__(self, sock: socket.socket, error: int, may_accept: threading.Event) -> None:
        self.sock, self.error, self.may_accept = sock, error, may_accept

    def accept(self) -> Any:
        if not self.may_accept.is_set():
            raise OSError(self.error, "for a moment")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def encoded_request(ttl_ms: int) -> bytes:
    head = f"POST /svc/lookup HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: {ttl_ms}\r\n"
    return f"{head}Content-Length: {len(SQL)}\r\n\r\n{SQL}".encode()


def connect(gateway: Gateway) -> socket.socket:
    client = socket.create_connection(gateway.http_server.listener.address)
    client.settimeout(10)
    return client


def budgets_ms(engine: Engine) -> list[int]:
    """The time budgets in the requests that the engine has received, in milliseconds."""
    return [int(dict(pair.split("=") for pair in fields.split(","))["budget"]) for fields in engine.fields]


def test_budget_of_a_pipelined_request_counts_its_wait_behind_the_one_before() -> None:
    """Guards against a pipelined request whose budget leaves out its wait for the request before it."""
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
    """Guards against a budget that leaves out the time for which a connection waited in the backlog.

    Connections wait in the listener's backlog while `accept` fails for lack of a resource.
    """
    engine, may_accept = Engine(), threading.Event()
    with running(engine) as gateway:
        listener = gateway.http_server.listener

        real = listener.socket
        monkeypatch.setattr(listener, "socket", UnacceptingSocket(real, error, may_accept))
        client = connect(gateway)
        client.sendall(encoded_request(4_000))
        time.sleep(0.8)
        may_accept.set()
        assert engine.wait("REQ")
        client.close()
        monkeypatch.setattr(listener, "socket", real)
    assert budgets_ms(engine)[0] <= 4_000 - 800 + SLACK_MS


def test_time_between_a_connection_and_its_request_is_not_the_request_s(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a budget shortened by the time before the request was sent.

    A client connects and sends its first request later. Until it is accepted, the connection waits in the
    backlog, and that wait must not count for a request that is sent after it.
    """
    engine, may_accept = Engine(), threading.Event()
    with running(engine) as gateway:
        listener = gateway.http_server.listener
        real = listener.socket
        monkeypatch.setattr(listener, "socket", UnacceptingSocket(real, errno.ENFILE, may_accept))
        client = connect(gateway)
        time.sleep(0.3)
        may_accept.set()
        time.sleep(0.7)
        client.sendall(encoded_request(4_000))
        assert engine.wait("REQ")
        client.close()
        monkeypatch.setattr(listener, "socket", real)
    assert 4_000 - 50 <= budgets_ms(engine)[0] <= 4_000


def test_requests_read_behind_one_another_are_all_answered_as_a_stop_ends_their_connection() -> None:
    """Guards against pipelined requests left unanswered when a shutdown closes their connection."""
    engine = SlowEngine(0.3)
    with running(engine) as gateway:
        client = connect(gateway)
        client.sendall(b"".join(encoded_request(5_000) for _ in range(5)))
        assert engine.wait("REQ")
        gateway.loop.call_soon(gateway.begin_shutdown)
        answers = b""
        while data := client.recv(65_536):
            answers += data
        client.close()
        assert answers.count(b"HTTP/1.1 200") == 5 and answers.count(b"Connection: close") == 1


def test_arrivals_are_kept_in_bounds_and_never_later_than_they_were() -> None:
    """Guards against an arrival log that grows without bound, or that dates a request too late.

    A client sends its bytes in 1,000 small pieces, more than the log has entries (`MAX_ENTRIES`).
    """
    arrivals = ArrivalLog()
    for number in range(1, 1_001):
        arrivals.record(10, ArrivalTime(float(number), float(number) + 0.5))
    assert arrivals.time_of(5, 0.0) == (1.0, 1.5) and arrivals.time_of(11, 0.0) == (2.0, 2.5)
    assert arrivals.time_of(10_000, 0.0).earliest <= 1_000.0
    assert len(arrivals._arrivals) <= MAX_ENTRIES
    assert ArrivalLog().time_of(1, 7.0) == (7.0, 7.0)


def test_connections_that_have_ended_are_freed_without_the_collector() -> None:
    """Guards against reference cycles that keep ended connections in memory until the collector runs."""
    with running(Engine()) as gateway:
        gc.collect()
        gc.disable()
        try:
            for _ in range(20):
                client = connect(gateway)
                client.sendall(encoded_request(5_000))
                assert client.recv(65_536).startswith(b"HTTP/1.1 200")
                client.close()
            until(lambda: not gateway.http_server.connections)
            time.sleep(0.1)  # the last connection's task ends in the next loop turn
            remaining = [found for found in gc.get_objects() if isinstance(found, HttpConnection)]
        finally:
            gc.enable()
        assert len(remaining) <= 1
