"""After a slow loop turn, input that has arrived meanwhile is handled before attempts are sent."""

import contextlib
import json
import socket
import threading
import time
from typing import Any

from hyperframe.frame import SettingsFrame

from query_gateway.flight import messages
from query_gateway.gateway import Gateway
from query_gateway.net.loop import IN, MAX_OVERSLEEP_SECONDS, Loop
from query_gateway.net.steady_clock import steady_now_ns
from tests.flight_client import FlightTestClient, update_headers
from tests.race_helpers import SlowToAcceptEngine, fill_backlog, send_request, settings_without_timeouts
from tests.stand_ins import SEC, config, endpoint_list_answer, host, running_gateway
from tests.test_local import until
from tests.test_race_flight import flight_gateway, turn_until
from tests.test_web import LOAD, SQL, DiscoveryServiceStandIn

SYN_RETRY_S = 1.0  # until Linux retries a SYN that was dropped because of a full backlog
ABANDONED_GRACE_S = 0.2  # longer than the time after a client's disconnect in which an attempt may be sent
WAIT_S = 0.3
# Default of the platform's `drain-grace`: how long after the drain of its engine an attempt may still start
DRAIN_GRACE_S = 0.5


def begin_slow_turn(gateway: Gateway, may_end: threading.Event) -> None:
    """Block the loop in a turn until the event is set."""
    begun = threading.Event()

    def stall() -> None:
        begun.set()
        assert may_end.wait(20)

    gateway.loop.call_soon(stall)
    assert begun.wait(10)


def test_attempt_does_not_leave_to_an_engine_whose_drain_came_during_a_slow_turn() -> None:
    """Guards against a request sent to an engine whose drain has arrived but is not yet handled.

    The connection to the engine is established during the same slow turn. If that event were handled before
    the drain, the request that waits for the connection would be written to the draining engine.
    """
    engine, journal, may_end = SlowToAcceptEngine(), DiscoveryServiceStandIn(), threading.Event()
    settings = settings_without_timeouts(dial_timeout=600 * SEC)
    configuration = config([host(engine)], journal=journal.address, settings=settings)
    with running_gateway(configuration) as gateway:
        waiting = send_request(gateway, SQL)
        until(lambda: gateway.engine_pool.connections)
        begin_slow_turn(gateway, may_end)
        engine.accept_connections()
        time.sleep(1.5 * SYN_RETRY_S)
        drained = endpoint_list_answer(2, [host(engine, health="draining")])
        journal.answer(json.dumps(drained).encode())
        time.sleep(DRAIN_GRACE_S)
        may_end.set()
        until(lambda: not gateway.engine_pool.connections)
        waiting.close()
    engine.close()
    journal.close()
    assert engine.statements == []


def test_attempt_does_not_leave_for_a_flight_call_that_was_cancelled_during_a_slow_turn() -> None:
    """Guards against an update sent for a Flight call that was cancelled during a slow turn.

    The cancel is a frame on an open connection, so a check whether the peer has closed does not show it.
    """
    engine = socket.create_server(("127.0.0.1", 0))
    fillers = fill_backlog(engine)
    gateway = flight_gateway(engine, settings_without_timeouts(dial_timeout=600 * SEC))
    assert gateway.flight_server and gateway.flight_pool
    with contextlib.closing(FlightTestClient(gateway.flight_server.listener.address)) as client:
        client.send_call(update_headers(), messages.encode_update(LOAD))
        turn_until(gateway, lambda: gateway.flight_pool and gateway.flight_pool.connections)
        [connection] = gateway.flight_pool.connections.values()
        assert not connection.grpc.stream.connected
        for filler in fillers:
            filler.close()
        engine.accept()[0].close()  # makes room in the backlog; no loop turn until the cancel has arrived
        time.sleep(1.5 * SYN_RETRY_S)
        client.cancel()
        time.sleep(ABANDONED_GRACE_S)
        turn_until(gateway, lambda: not gateway.forwarder.exchanges)
    assert gateway.forwarder.counters.forwards == 0
    gateway.loop.close()
    engine.close()


def test_time_of_a_flight_call_counts_from_its_message_and_not_from_frames_behind_it() -> None:
    """Guards against a deadline that counts from later frames on the connection, not from the call's message.

    The client acknowledges the server's HTTP/2 preface after its call. The call would be dated too late if
    the arrival of this newer data counted.
    """
    engine = socket.create_server(("127.0.0.1", 0))
    gateway = flight_gateway(engine)
    assert gateway.flight_server
    with contextlib.closing(FlightTestClient(gateway.flight_server.listener.address)) as client:
        client.send_call(update_headers(), messages.encode_update(LOAD))
        sent_at = steady_now_ns()
        time.sleep(WAIT_S)
        gateway.loop.turn()  # accepts the connection and sends the preface
        client.socket.sendall(SettingsFrame(0, flags=["ACK"]).serialize())
        turn_until(gateway, lambda: gateway.forwarder.exchanges)
        [exchange] = gateway.forwarder.exchanges.values()
    assert exchange.request.received_at < sent_at + int(WAIT_S * SEC / 2)
    longest = gateway.config.settings.classes[exchange.request.class_index].timeout
    assert exchange.request.deadline < sent_at + longest + int(WAIT_S * SEC / 2)
    gateway.loop.close()
    engine.close()


class StoppedPoll:
    """An epoll object that acts as if its process were stopped during the first poll.

    The stop lasts for longer than the timeout of the poll. It interrupts the system call, which then finds
    the timeout expired and reports no event.
    """

    def __init__(self, epoll: Any) -> None:
        self.epoll, self.is_first = epoll, True

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        if self.is_first:
            self.is_first = False
            time.sleep(timeout + 2 * MAX_OVERSLEEP_SECONDS)
            return []
        found: list[tuple[int, int]] = self.epoll.poll(timeout, max_events)
        return found

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


def test_what_came_while_the_process_was_stopped_is_read_before_timers_run() -> None:
    """Guards against a timer of the planner that sends a request to an engine whose drain is unread.

    When a process continues after a stop during its poll, its timers are due, and the poll has not reported
    the input that arrived meanwhile. The loop polls again before it runs the timers.
    """
    loop, order = Loop(), list[str]()
    near, far = socket.socketpair()
    loop.watch(near, IN, lambda: order.append(near.recv(10).decode()))
    loop.epoll = StoppedPoll(loop.epoll)  # type: ignore[assignment]
    loop.call_at(loop.now() + 0.01, lambda: order.append("timer"))
    far.send(b"news")
    loop.turn()
    assert order == ["news", "timer"]
    loop.close()
    far.close()
