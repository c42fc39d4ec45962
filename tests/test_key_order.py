"""Per-key ordering: loads of one key run in arrival order, even if some of them are read or parsed late."""

import contextlib
import copy
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any
from uuid import uuid4

import pytest

from bench.fault_soak.control import CallFault, ShimControl, build_shim
from query_gateway.configuration.operator_file import OperatorSettings, StatementSettings
from query_gateway.forwarder.arrival_order import ArrivalOrder
from query_gateway.forwarder.messages import ClientRequest
from query_gateway.gateway import Gateway
from query_gateway.model.actions import Forward
from query_gateway.model.events import Request
from query_gateway.net.arrival_watermark import ArrivalWatermark
from query_gateway.net.listener import MAX_ACCEPTS_PER_EVENT, Listener
from query_gateway.net.loop import Loop
from query_gateway.parsing.service import ClassificationCallback, ClassificationRequest
from query_gateway.planner.arrival_merge import ArrivalMerge
from query_gateway.statements.messages import Rules
from tests.stand_ins import (
    SETTINGS,
    Engine,
    config,
    ended_on_exit,
    endpoint_list_answer,
    host,
    log_text,
    post,
    running_gateway,
)
from tests.test_exchange import ForwarderHarness
from tests.test_flight import FlightEngine, run_update
from tests.test_flight import gateway as flight_gateway
from tests.test_local import connected_planners, planner, until
from tests.test_web import running

# Seconds between two requests of a key; less than between those of real clients. Tests block the loop for up
# to six times as long, and the loop lag must stay below `MAX_LOOP_LAG_SECONDS`, above which all requests are
# rejected
KEY_SPACING_S = 0.03
PARSE_S = 0.2  # how long a delayed classification takes, as if it waited for a parser process
ALL_CALLS = 1_000  # fault rate, in failing calls per thousand, at which every call fails
KEY = "7f3a9c21e0b4d655"


@dataclass(slots=True)
class GatewayProcess:
    """A gateway process with the fault soak's shim, a preloaded library that makes its system calls fail."""

    process: subprocess.Popen[str]
    shim: ShimControl
    address: tuple[str, int]

    def connect(self) -> socket.socket:
        client = socket.create_connection(self.address)
        client.settimeout(20)
        return client

    def set_accept_fault(self, rate: int) -> None:
        self.shim.state.accept = CallFault(rate, errno.EMFILE)
        self.shim.apply()


@contextlib.contextmanager
def gateway_process(engine: Engine, folder: Path) -> Iterator[GatewayProcess]:
    configuration = {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": "127.0.0.1:1", "settings": SETTINGS,
        "known": endpoint_list_answer(1, [host(engine)], snapshot=True),
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(configuration))
    shim = ShimControl(folder / "shim")
    environment = os.environ | shim.environment(build_shim(folder))
    environment |= {"ROUTER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
    command = [sys.executable, "-m", "query_gateway"]
    with ended_on_exit(
        subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)
    ) as process:
        assert process.stderr
        started = log_text(process.stderr.readline())
        assert started.startswith("start n1 listens on ")
        yield GatewayProcess(process, shim, ("127.0.0.1", int(started.rpartition(":")[2])))
        engine.close()


def send_load(client: socket.socket, statement: str, ttl_ms: int = 10_000) -> None:
    head = (
        f"POST /svc/load HTTP/1.1\r\nHost: x\r\nX-Txn: {uuid4().hex[:16]}\r\nX-Ttl-Ms: {ttl_ms}\r\n"
        f"X-Row: {KEY}\r\nX-Txn-Key: {uuid4().hex}\r\nContent-Length: {len(statement)}\r\n\r\n"
    )
    client.sendall(head.encode() + statement.encode())


def status_of(client: socket.socket) -> int:
    return int(client.recv(65_536).split(b" ", 2)[1])


def load_statement(name: str) -> str:
    return f"INSERT INTO lending_7.loans VALUES ('{name}')"


def open_client(gateway: GatewayProcess) -> socket.socket:
    """Open a connection and have one load served on it, so that the gateway has accepted the connection."""
    client = gateway.connect()
    send_load(client, load_statement("opening"))
    assert status_of(client) == 200
    return client


def test_load_on_a_new_connection_is_not_overtaken_while_accept_fails(tmp_path: Path) -> None:
    """While accept fails, a load waits in the accept queue, and a later one arrives on an open connection.

    Forwarded at once, the later load would run first. It waits until the accept queue has been found empty.
    """
    engine = Engine()
    with gateway_process(engine, tmp_path) as gateway:
        later = open_client(gateway)
        gateway.set_accept_fault(ALL_CALLS)
        first = gateway.connect()
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        time.sleep(KEY_SPACING_S)
        gateway.set_accept_fault(0)
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements == [load_statement(name) for name in ("opening", "first", "later")]


def test_load_on_a_new_connection_is_not_overtaken_while_the_process_is_stopped(tmp_path: Path) -> None:
    """While the process is stopped, a load arrives on a new connection and a later one on an open connection.

    Both wait in buffers of the kernel. The resumed process can read the open connection at once, but must
    first accept the new one, so without arrival order the later load would run first.
    """
    engine = Engine()
    with gateway_process(engine, tmp_path) as gateway:
        later = open_client(gateway)
        gateway.process.send_signal(signal.SIGSTOP)
        first = gateway.connect()
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        gateway.process.send_signal(signal.SIGCONT)
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements == [load_statement(name) for name in ("opening", "first", "later")]


def open_clients(gateway: Gateway, count: int) -> list[socket.socket]:
    """Open connections and have one load served on each, so that the gateway has accepted them."""
    clients = [socket.create_connection(gateway.http_server.listener.address) for _ in range(count)]
    for client in clients:
        send_load(client, load_statement("opening"))
        assert status_of(client) == 200
    return clients


class ReversedEpoll:
    """An epoll object that reports its events in reverse order."""

    def __init__(self, epoll: Any) -> None:
        self.epoll = epoll

    def poll(self, *arguments: Any) -> Any:
        return list(reversed(self.epoll.poll(*arguments)))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


def block_loop(begun: threading.Event, seconds: float) -> None:
    """Set `begun`, then block the loop for some seconds, as a slow turn does."""
    begun.set()
    time.sleep(seconds)


def test_loads_on_open_connections_are_not_reordered_by_the_poll() -> None:
    """Several loads arrive on open connections during a slow loop turn, and epoll reports them in any order.

    Passed on as reported, loads of one key would run in another order than they arrived.
    """
    engine, names = Engine(), [str(number) for number in range(5)]
    with running(engine) as gateway:
        clients = open_clients(gateway, len(names))
        gateway.loop.epoll = ReversedEpoll(gateway.loop.epoll)  # type: ignore[assignment]
        slow_turn = threading.Event()
        gateway.loop.call_soon(lambda: block_loop(slow_turn, (len(names) + 1) * KEY_SPACING_S))
        assert slow_turn.wait(10)
        for client, name in zip(clients, names, strict=True):
            send_load(client, load_statement(name))
            time.sleep(KEY_SPACING_S)
        assert [status_of(client) for client in clients] == [200] * len(clients)
        for client in clients:
            client.close()
    assert engine.statements[len(names) :] == [load_statement(name) for name in names]


class UnreadableSocket:
    """The gateway's socket of a client connection; its recv fails with ENOMEM until `may_read` is set."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.may_read = sock, threading.Event()

    def recv(self, size: int) -> bytes:
        if not self.may_read.is_set():
            raise OSError(errno.ENOMEM, "temporarily out of memory")
        return self.sock.recv(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def test_load_is_not_overtaken_while_its_connection_cannot_be_read() -> None:
    """Reads of a connection with a load fail temporarily while a later load arrives on another connection.

    The first load stays unread meanwhile; forwarded at once, the later one would run first.
    """
    engine = Engine()
    with running(engine) as gateway:
        first, later = open_clients(gateway, 2)
        [stream, _] = [connection.stream for connection in gateway.http_server.connections]
        unreadable = UnreadableSocket(stream.sock)
        stream.sock = unreadable  # type: ignore[assignment]
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        time.sleep(5 * KEY_SPACING_S)
        unreadable.may_read.set()
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements[2:] == [load_statement("first"), load_statement("later")]


class SlowReadSocket(UnreadableSocket):
    """The gateway's socket of a client connection, with reads that return 16 bytes at most."""

    def recv(self, size: int) -> bytes:
        return self.sock.recv(min(size, 16))


def test_load_that_is_read_in_pieces_is_not_overtaken() -> None:
    """Short reads return a load in pieces, although all of it has arrived before the later one.

    If one short read counted as reading all that had arrived, the later load would run first.
    """
    engine = Engine()
    with running(engine) as gateway:
        first, later = open_clients(gateway, 2)
        [stream, _] = [connection.stream for connection in gateway.http_server.connections]
        stream.sock = SlowReadSocket(stream.sock)  # type: ignore[assignment]
        slow_turn = threading.Event()
        gateway.loop.call_soon(lambda: block_loop(slow_turn, 3 * KEY_SPACING_S))
        assert slow_turn.wait(10)
        send_load(first, load_statement("first"))
        time.sleep(KEY_SPACING_S)
        send_load(later, load_statement("later"))
        assert status_of(first) == 200 and status_of(later) == 200
        first.close()
        later.close()
    assert engine.statements[2:] == [load_statement("first"), load_statement("later")]


def delay_first_classification(gateway: Gateway, delayed: str) -> threading.Event:
    """Delay the classification of one statement by `PARSE_S`; the returned event is set when this begins."""
    statements, begun = gateway.statements, threading.Event()
    assert statements
    classify = statements.classify

    def classify_after_delay(request: ClassificationRequest, callback: ClassificationCallback) -> None:
        if request.text != delayed:
            classify(request, callback)
            return
        begun.set()
        gateway.loop.call_at(gateway.loop.now() + PARSE_S, lambda: classify(request, callback))

    statements.classify = classify_after_delay  # type: ignore[method-assign]
    return begun


def test_load_over_flight_is_not_overtaken_while_it_is_parsed() -> None:
    """A load may have to be parsed in another process while a later one of its key is classified at once.

    The later load, whose statement shape is in the cache, would then be forwarded first. The test delays the
    classification of the first load instead of parsing it.
    """
    engines = FlightEngine(), FlightEngine()
    first, later = load_statement("first"), load_statement("later")
    forwarded = list[str]()
    with flight_gateway(*engines, statements=StatementSettings(Rules())) as gateway:
        run_update(gateway, load_statement("opening"), KEY)
        forward = gateway.forwarder.apply

        def record_and_forward(action: Any, planner_index: int = 0) -> None:
            if isinstance(action, Forward):
                forwarded.append(gateway.forwarder.exchanges[action.request_id].request.statement.decode())
            forward(action, planner_index)

        gateway.forwarder.apply = record_and_forward  # type: ignore[method-assign]
        begun = delay_first_classification(gateway, first)
        with ThreadPoolExecutor() as executor:
            earlier = executor.submit(run_update, gateway, first, KEY)
            assert begun.wait(10)
            time.sleep(KEY_SPACING_S)
            run_update(gateway, later, KEY)
            earlier.result()
    for engine in engines:
        engine.shutdown()
    assert forwarded == [first, later]


def test_request_over_http_is_not_overtaken_while_it_is_parsed() -> None:
    """A request over HTTP is parsed in another process while a later one of its key is classified at once.

    The later request would then run first. An idempotent class, here "lookup", may use per-key ordering too.
    """
    engine, http_engine = FlightEngine(), Engine()
    settings = copy.deepcopy(SETTINGS)
    settings["services"][0]["in-turn"] = True  # type: ignore[index]
    statements = StatementSettings(Rules(), covers_http=True)
    names = [f"SELECT a FROM lending_7.loans WHERE member = {number}" for number in range(2)]
    with flight_gateway(engine, web=(http_engine,), statements=statements, settings=settings) as gateway:
        post(gateway, "lookup", names[1])
        begun = delay_first_classification(gateway, names[0])
        with ThreadPoolExecutor() as executor:
            earlier = executor.submit(post, gateway, "lookup", names[0])
            assert begun.wait(10)
            time.sleep(KEY_SPACING_S)
            assert post(gateway, "lookup", names[1])[0] == 200 and earlier.result()[0] == 200
    engine.shutdown()
    http_engine.close()
    assert http_engine.statements[1:] == names


def test_watermark_stays_before_a_request_that_is_parsed() -> None:
    """A watermark that passed a request still being parsed would let later ones of its key run first."""
    loop = Loop()
    watermark = loop.watermark
    watermark.is_awaited = True
    arrived_at = loop.now()
    watermark.hold("parse", arrived_at)
    for _ in range(3):
        loop.call_at(loop.now(), lambda: None)
        loop.turn()
    assert watermark.read_through == arrived_at and watermark.is_blocked
    watermark.release("parse")
    assert watermark.read_through > arrived_at and not watermark.is_blocked
    loop.close()


def test_watermark_moves_only_by_turns_that_took_everything_in() -> None:
    """Some turns leave connections in the backlog or bytes unread.

    A watermark that advanced in such a turn would let requests overtake earlier ones that are still unread.
    """
    watermark = ArrivalWatermark(0.0)
    watermark.is_awaited = True
    listener = object()
    read_through_times = []
    for polled_at, has_backlog, is_incomplete in (
        (1.0, False, False), (2.0, False, False), (3.0, True, False), (4.0, True, False),
        (5.0, False, False), (6.0, False, True), (7.0, False, False),
    ):  # fmt: skip
        watermark.begin_turn(polled_at)
        (watermark.backlogged.add if has_backlog else watermark.backlogged.discard)(listener)
        if is_incomplete:
            watermark.mark_turn_incomplete()
        watermark.end_turn()
        read_through_times.append(watermark.read_through)
    assert read_through_times == [0.0, 1.0, 2.0, 2.0, 2.0, 2.0, 5.0]


def test_turn_that_began_before_anybody_waited_does_not_move_the_watermark() -> None:
    """A request may begin to wait for the watermark in the middle of a loop turn.

    Before that, the turn may have read connections only in part, so it must not count as complete.
    """
    watermark = ArrivalWatermark(0.0)
    for polled_at in (1.0, 2.0):
        watermark.begin_turn(polled_at)
        watermark.is_awaited = True
        watermark.end_turn()
    assert watermark.read_through == 0.0


class SettableWatermark:
    def __init__(self) -> None:
        self.read_through, self.is_awaited = 0, False

    def await_progress(self, is_awaited: bool) -> None:
        self.is_awaited = is_awaited

    def release_soon(self) -> None: ...


def load_of_key(harness: ForwarderHarness, digit: str, arrived_at: int) -> ClientRequest:
    settings = harness.class_settings(2)
    return ClientRequest(
        digit * 16, 2, "load", b"x", 9 * 10**9, False, KEY, "u", None, 0.0, None, settings, arrived_at
    )


def test_load_whose_reading_ends_as_the_watermark_moves_does_not_overtake_an_earlier_one() -> None:
    """Guards against a second place that takes the order, for loads that need not wait.

    An earlier load of the key waits for the watermark, which moves beyond both loads within the turn in which
    the reading of the later one ends. Only the end of the turn releases the earlier one.
    """
    harness, watermark = ForwarderHarness(), SettableWatermark()
    order = harness.forwarder.keep_arrival_order(watermark)
    harness.accept(load_of_key(harness, "2", arrived_at=10), harness.client)
    watermark.read_through = 20
    harness.accept(load_of_key(harness, "3", arrived_at=15), harness.client)
    assert not harness.keyed_requests()
    order.release()
    exchanges = [harness.forwarder.exchanges[request_id] for request_id in harness.keyed_requests()]
    assert [exchange.request.received_at for exchange in exchanges] == [10, 15]


def test_load_that_need_not_wait_is_passed_on_while_the_watermark_cannot_advance() -> None:
    """Guards against a load that waits in the queue, though due, until something else wakes the loop."""
    gate = Gateway(config([]), OperatorSettings(), signals=False)
    loop, released = gate.loop, list[float]()
    loop.watermark.backlogged.add(object())
    loop.turn()
    order = gate.forwarder.arrival_order
    assert order and loop.watermark.is_blocked
    started_at = loop.now()
    order.queue("load", order.watermark.read_through, lambda: released.append(loop.now()))
    while not released:
        loop.turn()
    assert released[0] - started_at < 1.0  # the limit of a sleep is five times as long
    loop.close()


def test_requests_are_released_by_arrival_and_not_by_when_they_were_read() -> None:
    """Requests are read in another order than they arrived, and one of them ends while it waits."""
    watermark, released = SettableWatermark(), list[str]()
    order = ArrivalOrder(watermark)
    for request_id, (arrived_at, name) in enumerate(
        [(30, "c"), (10, "a"), (20, "b"), (10, "a2"), (20, "gone")]
    ):
        assert order.must_wait(arrived_at)
        order.queue(request_id, arrived_at, partial(released.append, name))
    order.remove(4)
    assert watermark.is_awaited
    for read_through, expected in ((9, []), (20, ["a", "a2", "b"]), (30, ["a", "a2", "b", "c"])):
        watermark.read_through = read_through
        order.release()
        assert released == expected
    assert not watermark.is_awaited and order.waiting_count == 0


class ExhaustedListeningSocket:
    """A listening socket whose accept fails with EMFILE after a number of successes."""

    def __init__(self, sock: socket.socket, successes: int) -> None:
        self.sock, self.successes = sock, successes

    def accept(self) -> Any:
        if not self.successes:
            raise OSError(errno.EMFILE, "no descriptor left")
        self.successes -= 1
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


@pytest.mark.parametrize("client_count", [1, MAX_ACCEPTS_PER_EVENT])
def test_listener_that_has_accepted_all_does_not_count_as_backlogged(client_count: int) -> None:
    """Without a free descriptor, accept fails even if the backlog is empty, so a failure does not prove one.

    If the backlog counted as not empty, the next connection would get a far too early arrival time, and loads
    would wait although nothing is ahead of them.
    """
    loop, accepted = Loop(), list[socket.socket]()
    listener = Listener(loop, ("127.0.0.1", 0), lambda sock, _: accepted.append(sock))
    clients = [socket.create_connection(listener.address) for _ in range(client_count)]
    listener.socket = ExhaustedListeningSocket(listener.socket, client_count)  # type: ignore[assignment]
    while len(accepted) < client_count:
        loop.turn()
    assert listener.waiting_since is None and not loop.watermark.backlogged
    for sock in (*clients, *accepted):
        sock.close()
    loop.close()


def keyed_request(request_id: int, received_at: int, key: str = KEY) -> Request:
    return Request(request_id, 2, 10**18, 0, None, key, None, 0.0, False, received_at)


def test_load_by_another_forwarder_is_not_overtaken() -> None:
    """One forwarder passes on a load while another has not yet passed on an earlier one of its key.

    Released at once, the later load would run first. The planner asks every other forwarder to reply once
    it has passed on all earlier requests, and waits for the replies.
    """
    released, queries = list[int](), list[tuple[str, int]]()
    merge = ArrivalMerge[str](
        lambda forwarder, request: queries.append((forwarder, request.request_id)),
        lambda request: released.append(request.request_id),
    )
    merge.add("f1", keyed_request(1, received_at=20), ["f2"])
    assert queries == [("f2", 1)] and released == []
    merge.add("f2", keyed_request(2, received_at=10), ["f1"])
    merge.on_reply("f2", 1)
    assert released == []  # request 2 of the same key is earlier, and waits for a reply
    merge.add("f2", keyed_request(3, received_at=15, key="other"), [])
    assert released == [3]
    merge.on_reply("f1", 2)
    assert released == [3, 2, 1]


@pytest.mark.parametrize("ends", ["disconnected", "abandoned"])
def test_loads_wait_neither_for_a_forwarder_nor_behind_a_request_that_has_ended(ends: str) -> None:
    """A load must not wait for the reply of a disconnected forwarder, nor behind a request that has ended.

    It might never be released: a disconnected forwarder does not reply, and an ended request need not run.
    """
    released = list[int]()
    merge = ArrivalMerge[str](lambda *_: None, lambda request: released.append(request.request_id))
    merge.add("f2", keyed_request(1, received_at=10), ["f1", "f3"])
    merge.add("f1", keyed_request(2, received_at=20), ["f2"])
    if ends == "disconnected":
        merge.on_disconnected("f2")  # the second request waits for a reply of "f2"
    else:
        merge.on_reply("f2", 2)
        assert released == []
        merge.remove(1)
    assert released == [2]


def test_load_is_not_overtaken_by_one_that_comes_by_another_forwarder(tmp_path: Path) -> None:
    """A load waits in the accept queue of a forwarder that cannot accept, and another accepts a later one.

    Forwarders that share an address have one accept queue each, so the later load would run first.
    """
    engine = Engine()
    with planner() as process:
        address = process.listener.address
        operator = OperatorSettings(planner_addresses=(address,), forwarder_count=2)
        with ExitStack() as stack:
            gateways = [
                stack.enter_context(running_gateway(config([host(engine)]), operator)) for _ in range(2)
            ]
            until(lambda: all(all(connected_planners(gateway)) for gateway in gateways))
            blocked, other = gateways
            listener = blocked.http_server.listener
            exhausted = ExhaustedListeningSocket(listener.socket, 0)
            listener.socket = exhausted  # type: ignore[assignment]
            first = socket.create_connection(listener.address)
            send_load(first, load_statement("first"))
            time.sleep(KEY_SPACING_S)
            later = socket.create_connection(other.http_server.listener.address)
            send_load(later, load_statement("later"))
            time.sleep(5 * KEY_SPACING_S)
            exhausted.successes = 1_000
            assert status_of(first) == 200 and status_of(later) == 200
            listener.socket = exhausted.sock
            first.close()
            later.close()
    engine.close()
    assert engine.statements == [load_statement("first"), load_statement("later")]
