"""Errors that Linux documents for system calls; a transient one must end no connection and no process."""

import contextlib
import errno
import http.client
import os
import re
import signal
import socket
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from query_gateway.engine_protocol.connection import EngineConnection
from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import OutcomeCode
from query_gateway.net.listener import ACCEPT_RETRY_SECONDS, Listener
from query_gateway.net.loop import OUT, Loop
from query_gateway.net.stream import Reason, Stream
from query_gateway.parsing.snapshot_store import SnapshotStore
from query_gateway.planner import supervisor
from query_gateway.planner.supervisor import Supervisor
from tests.race_helpers import send_request, settings_without_timeouts
from tests.stand_ins import Engine, log_text, post
from tests.test_local import until
from tests.test_race_flight import accept_flight_query, flight_gateway, turn_until
from tests.test_web import ROWS, SQL, running

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


class FailingSocket:
    """Wraps a socket; each method in `failures` first raises its error (errno, times) that many times."""

    def __init__(self, sock: socket.socket, **failures: tuple[int, int]) -> None:
        self._sock = sock
        self._failures = {name: [error] * times for name, (error, times) in failures.items()}

    def __getattr__(self, name: str) -> Any:
        def call(*arguments: Any) -> Any:
            if errors := self._failures.get(name):
                raise OSError(errors.pop(), "for a moment")
            return getattr(self._sock, name)(*arguments)

        return call


def connected_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        local = socket.create_connection(server.getsockname())
        return local, server.accept()[0]


def fail_calls(stream: Stream, **failures: tuple[int, int]) -> None:
    """Make calls on a stream's socket fail as in `FailingSocket`; epoll still watches the real socket."""
    stream.sock = FailingSocket(stream.sock, **failures)  # type: ignore[assignment]


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN])
def test_stream_reads_and_writes_on_after_a_momentary_error(error: int) -> None:
    """Guards against a connection that is closed although a send or recv failed only for a moment.

    The kernel is out of buffers or memory, a signal interrupts the call, or the call would block.
    """
    loop, (local, peer) = Loop(), connected_pair()
    stream = Stream(loop, local, "here")
    fail_calls(stream, send=(error, 2), recv=(error, 2))
    stream.start()
    stream.write(b"answer")
    assert not stream.reset and stream.outbox
    peer.sendall(b"request")
    while stream.outbox or not stream.inbox:
        loop.turn()
    assert peer.recv(100) == b"answer" and stream.take_inbox() == b"request" and not stream.eof
    stream.close(Reason.DONE)
    peer.close()
    loop.close()


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE, errno.ECONNRESET])
def test_stream_is_over_after_an_error_of_its_connection(error: int) -> None:
    """Guards against a stream that stays open after a read has reported the end of its connection."""
    loop, (local, peer) = Loop(), connected_pair()
    stream = Stream(loop, local, "here")
    fail_calls(stream, recv=(error, 1))
    stream.start()
    peer.sendall(b"x")
    while not stream.eof:
        loop.turn()
    assert stream.reset
    stream.close(Reason.RESET)
    peer.close()
    loop.close()


@pytest.mark.parametrize("error", [errno.EINTR, errno.EIO])
def test_close_that_fails_ends_neither_the_loop_nor_other_closes(error: int) -> None:
    """Guards against a failing close that stops the loop or leaves other sockets open.

    `close` may fail after a signal or an input/output error.
    """
    loop, pairs = Loop(), [connected_pair() for _ in range(2)]
    streams = [Stream(loop, local, "here") for local, _ in pairs]
    fail_calls(streams[0], close=(error, 1))
    for stream in streams:
        stream.close(Reason.DONE)
    loop.call_at(loop.now(), lambda: None)
    loop.turn()
    assert streams[1].sock.fileno() == -1 and loop.faults == 0
    for local, peer in pairs:
        local.close()
        peer.close()
    loop.close()


def test_failing_accept_is_logged_with_its_descriptors_and_with_how_long_it_lasted(
    capfd: pytest.CaptureFixture[str], reset_log_rate_limit: None
) -> None:
    """Guards against a log line for each failed accept; only the first failure and the end are logged."""
    loop, accepted = Loop(), list[socket.socket]()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, _: accepted.append(sock))
    client = socket.create_connection(listener.address)
    listener.socket = FailingSocket(listener.socket, accept=(errno.EMFILE, 3))  # type: ignore[assignment]
    while not accepted:
        loop.turn()
    first_line, last_line = (log_text(line) for line in capfd.readouterr().err.splitlines())
    assert re.fullmatch(r"accept cannot accept: for a moment; \d+ of \d+ descriptors open", first_line)
    assert re.fullmatch(r"accept accepts again after 0\.\d{3} s", last_line) and listener.accept_failures == 3
    for sock in (client, *accepted):
        sock.close()
    loop.close()


class AlternatelyFailingSocket(FailingSocket):
    """A listening socket whose accept fails every other time."""

    def accept(self) -> Any:
        self.is_failing = not getattr(self, "is_failing", False)
        if self.is_failing:
            raise OSError(errno.ENOBUFS, "for a moment")
        return self._sock.accept()


def test_crowd_is_accepted_without_a_pause_while_accept_fails_now_and_then() -> None:
    """Guards against deadlines that pass in the backlog because each failed accept pauses the listener."""
    loop, accepted = Loop(), list[socket.socket]()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, _: accepted.append(sock))
    clients = [socket.create_connection(listener.address) for _ in range(100)]
    listener.socket = AlternatelyFailingSocket(listener.socket)  # type: ignore[assignment]
    began_at = time.monotonic()
    while len(accepted) < len(clients):
        loop.turn()
    assert time.monotonic() - began_at < len(clients) * ACCEPT_RETRY_SECONDS / 4
    for sock in (*clients, *accepted):
        sock.close()
    loop.close()


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.ENETUNREACH])
def test_listener_that_closes_while_accept_fails_accepts_what_waits_first(error: int) -> None:
    """Guards against connections in the backlog that are lost when a listener closes while accept fails."""
    loop, accepted = Loop(), list[socket.socket]()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, _: accepted.append(sock))
    clients = [socket.create_connection(listener.address) for _ in range(3)]
    listener.socket = FailingSocket(listener.socket, accept=(error, 2))  # type: ignore[assignment]
    listener.close()
    deadline = time.monotonic() + 5
    while not listener.closed and time.monotonic() < deadline:
        loop.call_at(loop.now() + 0.01, lambda: None)
        loop.turn()
    assert listener.closed and len(accepted) == 3
    for sock in (*clients, *accepted):
        sock.close()
    loop.close()


def test_connection_whose_handling_fails_costs_no_other() -> None:
    """Guards against a listener that stops accepting after `on_accept` has failed for one connection."""
    loop, accepted = Loop(), list[socket.socket]()

    def on_accept(sock: socket.socket, peer: str) -> None:
        if not accepted:
            accepted.append(sock)
            raise OSError(errno.ENOBUFS, "for a moment")
        accepted.append(sock)

    listener = Listener(loop, ("127.0.0.1", 0), on_accept)
    clients = [socket.create_connection(listener.address) for _ in range(2)]
    while len(accepted) < 2:
        loop.turn()
    assert loop.faults == 0
    listener.close()
    for sock in (*clients, *accepted):
        sock.close()
    loop.close()


@pytest.mark.parametrize("error", [errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EINTR])
def test_dial_that_fails_here_is_made_again_and_blames_no_engine(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an engine that is ejected, or a request that fails, for a fault of this machine.

    The dial finds no route, no free port or no buffers, or is interrupted by a signal.
    """
    engine, failures = Engine(), [error] * 3
    real = socket.socket.connect_ex

    def connect_ex(sock: socket.socket, address: Any) -> int:
        is_engine = f"{address[0]}:{address[1]}" == engine.address
        if is_engine and failures:
            failed = failures.pop()
            if failed == errno.EINTR:  # an interrupted connect continues asynchronously
                real(sock, address)
            return failed
        return real(sock, address)

    with running(engine, settings=settings_without_timeouts()) as gateway:
        monkeypatch.setattr(socket.socket, "connect_ex", connect_ex)
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        assert not gateway.planner_links.ejected_endpoints()
    assert engine.statements == [SQL]


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS])
def test_attempt_for_which_no_socket_can_be_made_waits_for_one(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that fails because no socket can be created for its attempt.

    No descriptor or buffer is free for a moment; the attempt is postponed and started again.
    """
    engine, failures = Engine(), [error] * 5
    real = EngineConnection._dial

    def dial(connection: EngineConnection) -> Stream:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        return real(connection)

    with running(engine, settings=settings_without_timeouts()) as gateway:
        monkeypatch.setattr(EngineConnection, "_dial", dial)
        assert post(gateway, "lookup", SQL, ttl=600_000)[1] == {"rows": ROWS}
        assert not gateway.engine_pool.postponed and not failures
    assert engine.statements == [SQL]


def test_attempt_for_which_no_socket_can_be_made_is_withdrawn_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a postponed attempt that is made after its client has disconnected."""

    def dial(connection: EngineConnection) -> Stream:
        raise OSError(errno.ENFILE, "for long")

    raw = settings_without_timeouts(cancelling=False, dial_timeout=600 * 10**9)
    with running(Engine(), settings=raw) as gateway:
        monkeypatch.setattr(EngineConnection, "_dial", dial)
        client = send_request(gateway, SQL)
        until(lambda: gateway.engine_pool.postponed)
        client.close()
        until(lambda: not gateway.forwarder.exchanges)
        assert not gateway.engine_pool.postponed


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_start_waits_for_a_listener_that_cannot_be_made_for_a_moment(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that fails because the listening socket cannot be created for a moment."""
    loop, failures = Loop(), [error] * 2
    real = socket.socket.listen

    def listen(sock: socket.socket, backlog: int) -> None:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        real(sock, backlog)

    monkeypatch.setattr(socket.socket, "listen", listen)
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, _: sock.close())
    with pytest.raises(OSError, match="in use"):  # not transient: raised at once
        Listener(loop, listener.address, lambda sock, _: sock.close())
    listener.close()
    loop.close()


def test_dial_that_connects_to_itself_is_refused() -> None:
    """Guards against a socket that is connected to itself and taken for a connection to an engine.

    It happens when a dial to a loopback port without a listener is given that port as its source port.
    """
    loop = Loop()
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    stream = Stream(loop, sock, "here")
    stream.connected = False
    sock.connect_ex(sock.getsockname())
    loop.watch(sock, stream.mask | OUT, stream._ready)
    while not stream.eof:
        loop.turn()
    assert not (stream.connected or stream.is_local_failure or stream.reset)  # as after a refused dial
    stream.close(Reason.DIAL_REFUSED)
    loop.close()


@pytest.mark.parametrize(
    "error, outcome",
    [(errno.ECONNREFUSED, OutcomeCode.CONNECT_FAILED), (errno.ENETUNREACH, OutcomeCode.NOT_SENT)],
)
def test_flight_dial_that_fails_at_once_ends_its_attempt(
    error: int, outcome: OutcomeCode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a Flight attempt that does not end when its dial fails within the connect call.

    A refused dial ends the attempt at once. A dial without a route is repeated, and the attempt ends as not
    sent after the dial timeout.
    """
    from query_gateway.flight.engines import FlightConnectionPool

    loop, outcomes = Loop(), list[OutcomeCode]()
    pool = FlightConnectionPool(loop, time.monotonic_ns, dial_timeout=0.1)
    info = EndpointInfo("e0", EndpointState.UP, 0, 0, 0, 0, 1.0)
    pool.update_endpoints([Endpoint(info, {"flight": "127.0.0.1:1"})], True)
    monkeypatch.setattr(socket.socket, "connect_ex", lambda sock, address: error)

    class Attempt:
        endpoint, priority, memory_mb, in_flight = "e0", 1, 0.0, True
        request = type("Request", (), {"is_update": False, "client_request_id": "a" * 16})()

        def on_ended(self, code: OutcomeCode) -> None:
            outcomes.append(code)

    pool.start(Attempt())  # type: ignore[arg-type]
    started_at = loop.now()
    for _ in range(3):
        loop.call_at(loop.now(), lambda: None)
        loop.turn()
    assert outcomes == ([outcome] if outcome is OutcomeCode.CONNECT_FAILED else [])
    while not outcomes:
        loop.turn()
        assert not outcomes or loop.now() >= started_at + pool.dial_timeout
    assert outcomes == [outcome] and not pool.postponed
    loop.close()


@pytest.mark.parametrize("failing_call", ["socket", "connect"])
def test_flight_attempt_outlasts_a_moment_in_which_no_dial_can_be_made(
    failing_call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against Flight requests that fail because no socket can be created or dialled for a moment."""
    listener, failures = socket.create_server(("127.0.0.1", 0)), [errno.ENOBUFS] * 5
    gateway = flight_gateway(listener)
    assert gateway.flight_pool
    real_dial, real_connect = Stream.dial, socket.socket.connect_ex

    def dial(*arguments: Any) -> Stream:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        return real_dial(*arguments)

    def connect(sock: socket.socket, address: Any) -> int:
        return failures.pop() if failures else real_connect(sock, address)

    if failing_call == "socket":
        monkeypatch.setattr(Stream, "dial", dial)
    else:
        monkeypatch.setattr(socket.socket, "connect_ex", connect)
    exchange = accept_flight_query(gateway, SQL)
    attempt = exchange.engine_side.current_attempt
    assert attempt
    turn_until(gateway, lambda: gateway.forwarder.counters.forwards)
    assert (
        not failures and exchange.engine_side.current_attempt is attempt and not gateway.flight_pool.postponed
    )
    gateway.loop.close()
    listener.close()


def test_flight_attempt_for_which_no_socket_can_be_made_is_withdrawn_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a postponed Flight attempt that is made after its client has disconnected."""
    listener = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(listener, settings_without_timeouts(cancelling=False))
    assert gateway.flight_pool

    def dial(*arguments: Any) -> Stream:
        raise OSError(errno.EMFILE, "for long")

    monkeypatch.setattr(Stream, "dial", dial)
    exchange = accept_flight_query(gateway, SQL)
    assert gateway.flight_pool.postponed
    exchange.abandon()
    assert not gateway.flight_pool.postponed and not exchange.engine_side.current_attempt
    gateway.loop.close()
    listener.close()


def test_supervisor_whose_worker_cannot_be_started_tries_again_and_can_be_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a supervisor that ends, or cannot be stopped, when no worker process can be created."""
    started_at = list[float]()

    def start(worker: supervisor.WorkerProcess) -> None:
        started_at.append(time.monotonic())
        raise OSError(errno.EAGAIN, "no process now")

    monkeypatch.setattr(supervisor.WorkerProcess, "start", start)
    parent = Supervisor(1, 1)
    parent.loop.call_at(parent.loop.now() + 0.5, parent._stop)
    parent._poll()
    thread = threading.Thread(target=parent.loop.run, daemon=True)
    thread.start()
    thread.join(5)
    assert not thread.is_alive() and len(started_at) >= 4
    parent.loop.close()


def test_snapshot_whose_disk_fails_even_at_the_clean_up_keeps_the_old_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost snapshot or an exception after a disk error.

    The disk fails while a new snapshot is written, and again while the unfinished file is removed.
    """
    store = SnapshotStore(str(tmp_path / "costs"))
    assert store.save({"a": 1})

    def fail(*_: Any, **__: Any) -> None:
        raise OSError(errno.EIO, "input/output error")

    with monkeypatch.context() as failing:
        failing.setattr(os, "fsync", fail)
        failing.setattr(Path, "unlink", fail)
        assert not store.save({"a": 2})
    assert store.load() == {"a": 1}
    assert store.save({"a": 3}) and store.load() == {"a": 3}


def test_leftovers_of_killed_processes_are_removed_and_those_of_running_ones_are_not(tmp_path: Path) -> None:
    """Guards against unfinished snapshot files that pile up, or are removed while a process writes them.

    A process that is killed while it writes a snapshot leaves its unfinished file.
    """
    ended = subprocess.Popen(["true"])
    ended.wait()
    leftover, present = tmp_path / f"costs.{ended.pid}", tmp_path / f"costs.{os.getpid()}"
    for path in (leftover, present, tmp_path / "costs.toml"):
        path.write_bytes(b"half a wri")
    SnapshotStore(str(tmp_path / "costs")).remove_leftovers()
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted([present.name, "costs.toml"])


def test_signal_while_the_loop_cannot_be_woken_is_handled_in_a_later_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a signal that is lost because the loop's wake-up socket is out of buffers."""
    loop, handled = Loop(), list[int]()
    loop.wake_writer = FailingSocket(loop.wake_writer, send=(errno.ENOBUFS, 1))  # type: ignore[assignment]
    previous_handler = signal.signal(signal.SIGUSR1, lambda *_: loop.call_soon(lambda: handled.append(1)))
    os.kill(os.getpid(), signal.SIGUSR1)
    loop.turn()
    assert handled == [1]
    signal.signal(signal.SIGUSR1, previous_handler)
    loop.close()


def test_poll_that_fails_is_made_again() -> None:
    """Guards against a loop that ends because `epoll_wait` failed once for lack of kernel memory."""
    loop = Loop()

    class FailingPoll:
        """An epoll object whose first poll fails."""

        def __init__(self) -> None:
            self.errors = [OSError(errno.ENOMEM, "no memory now")]

        def poll(self, *arguments: Any) -> Any:
            if self.errors:
                raise self.errors.pop()
            return real.poll(*arguments)

        def __getattr__(self, name: str) -> Any:
            return getattr(real, name)

    real = loop.epoll
    loop.epoll = FailingPoll()  # type: ignore[assignment]
    done = list[int]()
    loop.call_soon(lambda: done.append(1))
    loop.turn()
    loop.turn()
    assert done == [1]
    loop.close()


def test_error_in_our_own_code_is_answered_and_the_attempt_withdrawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a client left unanswered, and an attempt left running, by an error of the gateway."""
    engine = Engine(script={SQL: ["mute"]})
    with running(engine, settings=settings_without_timeouts()) as gateway:
        client = send_request(gateway, SQL)
        assert engine.wait("REQ")
        [connection] = gateway.http_server.connections
        monkeypatch.setattr(
            connection.handler, "_discard_excess_input", lambda: (_ for _ in ()).throw(KeyError("ours"))
        )
        gateway.loop.call_soon(connection.task.wake)
        answer = b""
        while data := client.recv(65_536):
            answer += data
        assert answer.startswith(b"HTTP/1.1 500")
        assert engine.wait("STOP")
        until(lambda: not gateway.forwarder.exchanges)
        assert gateway.forwarder.invariants.total == 0 and gateway.loop.faults == 1
        gateway.loop.faults = 0  # the KeyError above; `running` would fail the test for it
        client.close()


def test_head_on_the_liveness_path_is_answered_without_a_body() -> None:
    """Guards against a body in the answer to HEAD, which breaks the next request on the connection.

    Health checks use HEAD on a persistent connection.
    """
    with running(Engine()) as gateway:
        host, port = gateway.http_server.listener.address
        connection = http.client.HTTPConnection(host, port, timeout=10)
        for _ in range(2):
            connection.request("HEAD", "/status/live")
            answer = connection.getresponse()
            assert answer.status == 200 and answer.read() == b""
        with contextlib.suppress(OSError):
            connection.close()
