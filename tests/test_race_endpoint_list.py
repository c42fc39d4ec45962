"""Race conditions of the watch on the endpoint list: restarted services, lost answers and draining."""

import json
import threading
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.discovery.endpoint_list import EndpointListAnswer, EndpointListEvent
from query_gateway.discovery.reconciliation import reconcile
from query_gateway.discovery.tombstones import EndpointTombstones
from query_gateway.discovery.watch_client import MIN_BACKOFF_SECONDS
from query_gateway.forwarder.messages import Endpoint
from query_gateway.gateway import Gateway
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from tests.stand_ins import Engine, config, host, post
from tests.test_local import until
from tests.test_web import SQL, JournalStandIn, news_of, steady

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def test_sequence_reset_gap_or_duplicate_in_the_watch_causes_a_resync(capfd: Any) -> None:
    """The discovery service restarts, leaves out events, or sends them twice.

    The gateway kept the highest position that it had seen and ignored all later answers, without a log line:
    its list stayed old. Each of these anomalies is logged and followed by a poll for the complete list.
    """
    journal, first_engine, second_engine = JournalStandIn(), Engine(), Engine()
    gateway = Gateway(config([], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    snapshot = {"seq": 1, "whole": True, "hosts": [host(second_engine, "e2")]}
    reset_answer = json.dumps({"pos": 1, "entries": [{"pos": 1, "hosts": snapshot}]}).encode()
    gap_answer = json.dumps(
        {"pos": 9, "entries": [{"pos": 9, "hosts": snapshot | {"whole": False}}]}
    ).encode()
    answers = (
        (news_of(first_engine), 1), (b'{"pos":1,"entries":[]}', 2), (reset_answer, 0),  # lower positions
        (b'{"pos":6,"entries":[]}', 1), (reset_answer, 0),  # a position beyond its events
        (gap_answer, 1), (reset_answer, 0),  # events left out
        (reset_answer, 1),  # a duplicate; then the new connection polls for the last event once more
        (reset_answer, 0), (b'{"pos":1,"entries":[]}', 1), (reset_answer, 0),  # empty, but at once
    )  # fmt: skip
    assert [journal.answer(body) for body, _ in answers] == [f"/journal?tail={tail}" for _, tail in answers]
    assert list(gateway.forwarder.endpoints) == ["e2"] and post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
    gateway.loop.stop()
    thread.join(10)
    gateway.loop.close()
    assert (len(first_engine.statements), len(second_engine.statements), gateway.loop.faults) == (0, 1, 0)
    log_output = capfd.readouterr().err
    assert all(
        f"discovery {anomaly}: " in log_output for anomaly in ("sequence-reset", "sequence-gap", "duplicate")
    )
    assert log_output.count(" resync\n") >= 3
    journal.close()
    for engine in (first_engine, second_engine):
        engine.close()


def test_restarted_service_that_has_passed_our_position_causes_a_resync(capfd: Any) -> None:
    """The discovery service restarts and passes the gateway's position before the next poll.

    Lower positions would show the restart, but there are none left; the gateway would miss the events before
    its position. A new connection polls for the last known event once more, and a different one means a
    resync.
    """
    journal, first_engine, second_engine = JournalStandIn(), Engine(), Engine()
    gateway = Gateway(config([], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    assert journal.answer(news_of(first_engine)) == "/journal?tail=1"
    journal.breaks()
    assert journal.answer(news_of(first_engine)) == "/journal?tail=1"  # the same as before: no resync
    journal.breaks()
    snapshot = {
        "pos": 1,
        "hosts": {"seq": 1, "whole": True, "hosts": [host(second_engine, "e2", "draining")]},
    }
    deltas = [
        {
            "pos": number,
            "hosts": {"seq": number, "whole": False, "hosts": [host(second_engine, f"e{number}")]},
        }
        for number in (2, 3)
    ]
    assert journal.answer(json.dumps({"pos": 3, "entries": deltas}).encode()) == "/journal?tail=1"
    assert (
        journal.answer(json.dumps({"pos": 3, "entries": [snapshot, *deltas]}).encode()) == "/journal?tail=0"
    )
    assert journal.answer(b'{"pos":3,"entries":[]}') == "/journal?tail=3"
    assert {name: endpoint.info.state for name, endpoint in gateway.forwarder.endpoints.items()} == {
        "e2": EndpointState.UP, "e3": EndpointState.UP}  # fmt: skip
    gateway.loop.stop()
    thread.join(10)
    gateway.loop.close()
    assert capfd.readouterr().err.count("discovery sequence-reset: ") == 1
    journal.close()
    for engine in (first_engine, second_engine):
        engine.close()


def test_restarted_service_does_not_revive_draining_or_removed_engines() -> None:
    """A restarted discovery service answers with a list from before a drain.

    Engines that were draining or removed were up again and got requests. Tombstones remember them; only a
    later start of the engine, or the service's own next event, ends one.
    """
    journal, engines = JournalStandIn(), [Engine() for _ in range(3)]

    def answer_with(pos: int, **states: str) -> bytes:
        """An answer with these engines; a state of two words is one of an engine that has restarted since."""
        hosts = [
            host(engines[int(name[1])], name, state.split()[0], 5 if " " in state else 0)
            for name, state in states.items()
        ]
        event = {"pos": pos, "hosts": {"seq": pos, "whole": pos == 1, "hosts": hosts}}
        return json.dumps({"pos": pos, "entries": [event]}).encode()

    cached_list = json.loads(answer_with(1, e0="up", e1="up", e2="up"))
    gateway = Gateway(
        config([], journal=journal.address, known=cached_list), OperatorSettings(), signals=False
    )
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    answers = (
        (answer_with(2, e0="draining", e2="removed"), 1), (b'{"pos":1,"entries":[]}', 2),
        (answer_with(1, e0="up", e1="up", e2="up"), 0),
    )  # fmt: skip
    assert [journal.answer(body) for body, _ in answers] == [f"/journal?tail={tail}" for _, tail in answers]
    until(lambda: gateway.endpoint_feed.position == 1)
    states = {name: endpoint.info.state for name, endpoint in gateway.forwarder.endpoints.items()}
    assert states == {"e0": EndpointState.DRAINING, "e1": EndpointState.UP}
    assert [post(gateway, "lookup", SQL, ttl=600_000)[0] for _ in range(8)] == [200] * 8
    assert [len(engine.statements) for engine in engines] == [0, 8, 0]
    assert journal.answer(answer_with(2, e0="up again")) == "/journal?tail=1"
    until(lambda: gateway.endpoint_feed.position == 2)
    assert gateway.forwarder.endpoints["e0"].info.state is EndpointState.UP
    gateway.loop.stop()
    thread.join(10)
    gateway.loop.close()
    journal.close()
    for engine in engines:
        engine.close()


def test_draining_survives_stale_lists_of_a_restarted_service() -> None:
    """The same as above without sockets: a stale list says that a draining engine is up.

    Requests would go to an engine that is about to end. A tombstone is ended only by a later start of the
    engine, or by an event in the sequence of the same service.
    """

    def make_endpoint(name: str, state: EndpointState, launched: int = 0) -> Endpoint:
        return Endpoint(EndpointInfo(name, state, 0, 0, 0, launched, 1.0), {})

    up = [make_endpoint(name, EndpointState.UP, 7) for name in "abcd"]
    tombstones = EndpointTombstones()
    tombstones.record(up, True, {})
    known = {endpoint.info.name: endpoint for endpoint in up}
    tombstones.record(
        [make_endpoint("a", EndpointState.DRAINING, 7), make_endpoint("b", EndpointState.REMOVED)],
        False,
        known,
    )
    tombstones.record(
        [endpoint for endpoint in up if endpoint.info.name != "c"], True, known
    )  # a and b are up again, c is left out
    tombstones.record(
        [make_endpoint("a", EndpointState.DRAINING, 7), make_endpoint("b", EndpointState.REMOVED)],
        False,
        known,
    )
    states = {
        endpoint.info.name: endpoint.info.state
        for endpoint in tombstones.apply([*up, make_endpoint("e", EndpointState.UP, 7)])
    }
    assert states == {"a": EndpointState.DRAINING, "d": EndpointState.UP, "e": EndpointState.UP}
    restarted = tombstones.apply(
        [
            make_endpoint("a", EndpointState.UP, 8),
            make_endpoint("b", EndpointState.UP, 8),
            make_endpoint("d", EndpointState.DRAINING),
        ]
    )
    assert [endpoint.info.state for endpoint in restarted] == [
        EndpointState.UP,
        EndpointState.UP,
        EndpointState.DRAINING,
    ]


@pytest.mark.parametrize("failure", ["unresponsive", "breaks"])
def test_drain_announced_while_the_watch_is_down_is_applied_with_the_next_poll(
    failure: str, monkeypatch: pytest.MonkeyPatch, capfd: Any
) -> None:
    """An engine begins to drain while the watch hangs or is broken.

    The gateway would go on sending to the engine for as long as the watch is down. A watch without an answer
    is ended after its grace, the next poll continues at the last position, and the drain is applied with its
    answer.
    """
    monkeypatch.setattr("query_gateway.discovery.watch_client.POLL_HOLD_MS", 100)
    monkeypatch.setattr("query_gateway.discovery.watch_client.ANSWER_GRACE_SECONDS", 0.1)
    journal, engine = JournalStandIn(), Engine()
    gateway = Gateway(config([host(engine)], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gateway.loop.run, daemon=True)
    thread.start()
    broken_watch = journal.server.accept()[0]
    if failure == "breaks":
        assert broken_watch.recv(4096)
        broken_watch.close()
    hosts = {"seq": 2, "whole": False, "hosts": [host(engine, "e0", "draining")]}
    drain_answer = json.dumps({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]}).encode()
    assert [journal.answer(body) for body in (drain_answer, b'{"pos":2,"entries":[]}')] == [
        "/journal?tail=1", "/journal?tail=2"]  # fmt: skip
    assert gateway.forwarder.endpoints["e0"].info.state is EndpointState.DRAINING
    assert post(gateway, "lookup", SQL, ttl=400)[0] == 429 and not engine.statements
    gateway.loop.stop()
    thread.join(10)
    gateway.loop.close()
    code = "unresponsive" if failure == "unresponsive" else "peer-closed"
    assert f"end discovery {journal.address} {code}" in capfd.readouterr().err
    broken_watch.close()
    journal.close()
    engine.close()


def test_watches_that_break_together_reconnect_at_different_times() -> None:
    """The discovery service closes the watches of all gateways at once.

    All of them reconnected at the same moment, every 0.1 s, and loaded a service that had just started. The
    backoff has a random part, drawn from each gateway's own seed.
    """
    reconnect_delays: list[float] = []
    for seed in range(20):
        gateway = Gateway(config([], seed=f"{seed:x}"), OperatorSettings(), signals=False)
        while (
            not (timer := gateway.watch_client.task.timer)
            or timer.due_at - gateway.loop.now() > 2 * MIN_BACKOFF_SECONDS
        ):
            gateway.loop.turn()  # until the connection is refused and the backoff has begun
        reconnect_delays.append(timer.due_at - gateway.loop.now())
        gateway.loop.close()
    assert (
        max(reconnect_delays) - min(reconnect_delays) > MIN_BACKOFF_SECONDS / 2
        and max(reconnect_delays) <= 1.5 * MIN_BACKOFF_SECONDS
    )


EVENTS = 12
HOW = st.sampled_from(["good", "empty", "gap", "twice", "anew"])


def _event(number: int) -> EndpointListEvent:
    """Each event starts one engine and drains an earlier one; the first holds the whole list."""
    names = [(number, EndpointState.UP)] + [(number // 2, EndpointState.DRAINING)] * (number > 1)
    endpoints = [Endpoint(EndpointInfo(str(n), s, 0, 0, 0, 0, 1.0), {}) for n, s in names]
    return EndpointListEvent(number, number == 1, tuple(endpoints))


def _list_at(last: int) -> dict[str, EndpointState]:
    return {t.info.name: t.info.state for n in range(1, last + 1) for t in _event(n).endpoints}


@steady
@given(st.lists(st.tuples(st.integers(1, EVENTS), HOW)))
def test_whatever_a_watch_does_its_next_good_answers_tell_the_whole_list(
    steps: list[tuple[int, str]],
) -> None:
    """A watch gets any series of good, empty, incomplete, repeated and reset answers.

    After one that it handles wrongly, its list would differ from the service's for good. Whatever came
    before, two good answers bring the complete list: the first may only show that a resync is needed.
    """
    held, known = 0, dict[str, EndpointState]()

    def take(last: int, events: list[EndpointListEvent]) -> None:
        nonlocal held, known
        news = reconcile(held, EndpointListAnswer(last, tuple(events)))
        known = {} if news.is_snapshot else known
        known |= {t.info.name: t.info.state for t in news.endpoints}
        held = news.position

    for last, how in steps:
        events = [_event(n) for n in range(held + 1, last + 1)]
        spoilt = {"empty": [], "gap": events[1:], "twice": [*events, *events], "anew": []}
        take(1 if how == "anew" else last, spoilt.get(how, events))
    for _ in range(2):  # the second where the first shows that all must be asked for
        take(EVENTS, [_event(n) for n in range(held + 1, EVENTS + 1)])
    assert held == EVENTS and known == _list_at(EVENTS)
