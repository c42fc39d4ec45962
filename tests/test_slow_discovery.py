"""A discovery service that is slow: what it reports must still arrive within the time that the pages set."""

import contextlib
import json
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from query_gateway.discovery.watch_client import MAX_LIST_AGE_SECONDS
from query_gateway.gateway import Gateway
from query_gateway.model.endpoints import EndpointState
from tests.stand_ins import config, endpoint_list_answer, running_gateway
from tests.test_local import until

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")

# users/PROTOCOL.md, "Figures": what the service reports counts as known after 7 s
TOLD_AT_THE_LATEST_S = 7.0
DELAYS_S = (0.0, 1.0, 2.0, 3.2, 4.6)  # the operators' sites report a change up to 4.6 s late
# From the start of the gateway to the event: in the hold of the first poll, after it, and in later polls
EVENT_TIMES_S = (0.5, 2.5, 3.0, 4.7)


def entry(name: str, health: str) -> dict[str, Any]:
    return {"host": name, "dial": "127.0.0.1:1", "site": "hall-a", "class": "std-16", "health": health,
            "share": 1, "born_ms": 0}  # fmt: skip


class SlowDiscoveryService:
    """Holds polls as the protocol says; each answer comes `delay_s` after it was due."""

    def __init__(self, delay_s: Callable[[int], float]) -> None:
        """`delay_s` gets the number of the poll, from 0."""
        self.delay_s, self.poll_count = delay_s, 0
        self.events = [endpoint_list_answer(1, [entry("e0", "up"), entry("e1", "up")], snapshot=True)]
        self.changed = threading.Condition()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.most_connections = self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def report(self, *hosts: dict[str, Any]) -> None:
        with self.changed:
            self.events.append(endpoint_list_answer(len(self.events) + 1, list(hosts)))
            self.changed.notify_all()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.connections += 1
                self.most_connections = max(self.most_connections, self.connections)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            while request := sock.recv(4096):
                found = re.match(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) ", request)
                assert found
                tail, hold_s = int(found[1]), int(found[2]) / 1000
                number, self.poll_count = self.poll_count, self.poll_count + 1
                with self.changed:
                    self.changed.wait_for(lambda: len(self.events) > tail, hold_s)  # noqa: B023
                    entries = [event["entries"][0] for event in self.events[tail:]]
                    body = json.dumps({"pos": len(self.events), "entries": entries}).encode()
                time.sleep(self.delay_s(number))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.connections -= 1

    def close(self) -> None:
        self.server.close()


@contextlib.contextmanager
def watched(delay_s: Callable[[int], float]) -> Iterator[tuple[Gateway, SlowDiscoveryService]]:
    service = SlowDiscoveryService(delay_s)
    try:
        with running_gateway(
            config([entry("e0", "up"), entry("e1", "up")], journal=service.address)
        ) as gateway:
            yield gateway, service
    finally:
        service.close()


def time_to_hear_of_a_drain(delay_s: float, event_at_s: float, latencies: dict[Any, float]) -> None:
    with watched(lambda _: delay_s) as (gateway, service):
        time.sleep(event_at_s)
        reported_at = time.monotonic()
        service.report(entry("e0", "draining"))
        while (
            gateway.forwarder.endpoints["e0"].info.state is not EndpointState.DRAINING
            and time.monotonic() < reported_at + 2 * TOLD_AT_THE_LATEST_S
        ):
            time.sleep(0.01)
        latencies[delay_s, event_at_s] = time.monotonic() - reported_at


def test_a_drain_is_heard_in_time_however_late_the_answers_are() -> None:
    """Each poll was given up 0.8 s after its hold; if answers were later, no change was ever heard."""
    latencies: dict[Any, float] = {}
    threads = [
        threading.Thread(target=time_to_hear_of_a_drain, args=(delay_s, event_at_s, latencies))
        for delay_s in DELAYS_S
        for event_at_s in EVENT_TIMES_S
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(latencies) == len(threads)
    print(f"heard after {max(latencies.values()):.2f} s at most")
    assert max(latencies.values()) < TOLD_AT_THE_LATEST_S, latencies


def test_late_answers_of_several_watches_are_applied_once_and_in_order(capfd: Any) -> None:
    """Two watches poll from the same position; the later answer repeats events that the first has brought."""
    delays = [3.2, 1.0, 3.2, 0.2, 2.0, 3.2, 0.0, 1.0]
    with watched(lambda number: delays[number % len(delays)]) as (gateway, service):
        for number in range(12):
            time.sleep(0.9)
            service.report(entry("e0", "draining" if number % 2 == 0 else "up"), entry(f"n{number}", "up"))
        until(lambda: gateway.endpoint_feed.position == len(service.events))
        names = {f"n{number}" for number in range(12)}
        assert names <= set(gateway.forwarder.endpoints)
        assert gateway.forwarder.endpoints["e0"].info.state is EndpointState.UP
        assert service.most_connections <= 4
    log = capfd.readouterr().err
    assert "sequence-" not in log and "duplicate" not in log


def test_a_fast_service_is_polled_over_a_single_connection() -> None:
    with watched(lambda _: 0.0) as (gateway, service):
        time.sleep(3 * 2.0 + 0.5)
        assert service.most_connections == 1 and service.poll_count <= 5
        assert gateway.watch_client.list_age < 3


def test_an_old_list_is_told_to_operators_until_it_is_current_again(capfd: Any) -> None:
    """While no poll was answered, nothing said that drains since then were unknown."""
    silent = threading.Event()
    silent.set()
    with watched(lambda _: 10.0 if silent.is_set() else 0.0) as (gateway, _):
        time.sleep(MAX_LIST_AGE_SECONDS + 0.5)
        figures = dict(line.rsplit(" ", 1) for line in gateway.gateway_figures.lines())
        limit_ms = int(figures["svc_endpoint_list_age_limit_ms"])
        assert int(figures["svc_endpoint_list_age_ms"]) >= limit_ms == MAX_LIST_AGE_SECONDS * 1000
        silent.clear()
        until(lambda: gateway.watch_client.list_age < MAX_LIST_AGE_SECONDS)
        time.sleep(0.2)
    log = capfd.readouterr().err
    assert re.search(r"discovery the endpoint list is 7\.\d s old", log)
    assert "discovery the endpoint list is current again" in log
