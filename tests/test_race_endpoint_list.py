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

pytestmark = pytest.mark.usefixtures("all_lines")


def test_a_watch_that_counts_anew_or_leaves_out_is_asked_for_all(capfd: Any) -> None:
    """Guards the list: it kept the highest number, and stood still for good without a line."""
    journal, one, two = JournalStandIn(), Engine(), Engine()
    gate = Gateway(config([], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    whole = {"seq": 1, "whole": True, "hosts": [host(two, "e2")]}
    anew = json.dumps({"pos": 1, "entries": [{"pos": 1, "hosts": whole}]}).encode()
    later = json.dumps({"pos": 9, "entries": [{"pos": 9, "hosts": whole | {"whole": False}}]}).encode()
    answers = (
        (news_of(one), 1), (b'{"pos":1,"entries":[]}', 2), (anew, 0),  # lower numbers
        (b'{"pos":6,"entries":[]}', 1), (anew, 0),  # its end beyond what it told
        (later, 1), (anew, 0),  # left out
        (anew, 1),  # told twice; then the new connection asks for the event held once more
        (anew, 0), (b'{"pos":1,"entries":[]}', 1), (anew, 0),  # nothing at once, as if it had news
    )  # fmt: skip
    assert [journal.answer(body) for body, _ in answers] == [f"/journal?tail={tail}" for _, tail in answers]
    assert list(gate.forwarder.endpoints) == ["e2"] and post(gate, "lookup", SQL, ttl=600_000)[0] == 200
    gate.loop.stop()
    thread.join(10)
    gate.loop.close()
    assert (len(one.statements), len(two.statements), gate.loop.faults) == (0, 1, 0)
    said = capfd.readouterr().err
    assert all(
        f"discovery {anomaly}: " in said for anomaly in ("sequence-reset", "sequence-gap", "duplicate")
    )
    assert said.count(" resync\n") >= 3
    journal.close()
    for engine in (one, two):
        engine.close()


def test_a_service_that_began_anew_and_passed_our_number_is_asked_for_all(capfd: Any) -> None:
    """Guards the list: lower numbers would show it, but there are none left when we ask again."""
    journal, one, two = JournalStandIn(), Engine(), Engine()
    gate = Gateway(config([], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    assert journal.answer(news_of(one)) == "/journal?tail=1"
    journal.breaks()
    assert journal.answer(news_of(one)) == "/journal?tail=1"  # the same as before: nothing is asked anew
    journal.breaks()
    whole = {"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": [host(two, "e2", "draining")]}}
    later = [{"pos": n, "hosts": {"seq": n, "whole": False, "hosts": [host(two, f"e{n}")]}} for n in (2, 3)]
    assert journal.answer(json.dumps({"pos": 3, "entries": later}).encode()) == "/journal?tail=1"
    assert journal.answer(json.dumps({"pos": 3, "entries": [whole, *later]}).encode()) == "/journal?tail=0"
    assert journal.answer(b'{"pos":3,"entries":[]}') == "/journal?tail=3"
    assert {n: t.info.state for n, t in gate.forwarder.endpoints.items()} == {
        "e2": EndpointState.UP, "e3": EndpointState.UP}  # fmt: skip
    gate.loop.stop()
    thread.join(10)
    gate.loop.close()
    assert capfd.readouterr().err.count("discovery sequence-reset: ") == 1
    journal.close()
    for engine in (one, two):
        engine.close()


def test_a_service_that_counts_anew_calls_no_engine_back() -> None:
    """Guards the drain: a service that knows less than we have heard called up what drains or is gone."""
    journal, engines = JournalStandIn(), [Engine() for _ in range(3)]

    def told(pos: int, **states: str) -> bytes:
        """Every engine named; `up` a second time is one that has started since."""
        hosts = [host(engines[int(n[1])], n, s.split()[0], 5 if " " in s else 0) for n, s in states.items()]
        event = {"pos": pos, "hosts": {"seq": pos, "whole": pos == 1, "hosts": hosts}}
        return json.dumps({"pos": pos, "entries": [event]}).encode()

    known = json.loads(told(1, e0="up", e1="up", e2="up"))
    gate = Gateway(config([], journal=journal.address, known=known), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    answers = (
        (told(2, e0="draining", e2="removed"), 1), (b'{"pos":1,"entries":[]}', 2),
        (told(1, e0="up", e1="up", e2="up"), 0),
    )  # fmt: skip
    assert [journal.answer(body) for body, _ in answers] == [f"/journal?tail={tail}" for _, tail in answers]
    until(lambda: gate.endpoint_feed.position == 1)
    states = {name: target.info.state for name, target in gate.forwarder.endpoints.items()}
    assert states == {"e0": EndpointState.DRAINING, "e1": EndpointState.UP}
    assert [post(gate, "lookup", SQL, ttl=600_000)[0] for _ in range(8)] == [200] * 8
    assert [len(engine.statements) for engine in engines] == [0, 8, 0]
    assert journal.answer(told(2, e0="up again")) == "/journal?tail=1"
    until(lambda: gate.endpoint_feed.position == 2)
    assert gate.forwarder.endpoints["e0"].info.state is EndpointState.UP
    gate.loop.stop()
    thread.join(10)
    gate.loop.close()
    journal.close()
    for engine in engines:
        engine.close()


def test_a_drain_stands_whatever_a_service_that_counts_anew_says() -> None:
    """Any order of news, free of sockets: only a later start or the service's own next word ends a drain."""

    def target(name: str, state: EndpointState, launched: int = 0) -> Endpoint:
        return Endpoint(EndpointInfo(name, state, 0, 0, 0, launched, 1.0), {})

    up = [target(name, EndpointState.UP, 7) for name in "abcd"]
    ends = EndpointTombstones()
    ends.record(up, True, {})
    known = {t.info.name: t for t in up}
    ends.record([target("a", EndpointState.DRAINING, 7), target("b", EndpointState.REMOVED)], False, known)
    ends.record([t for t in up if t.info.name != "c"], True, known)  # a and b up again, c left out
    ends.record([target("a", EndpointState.DRAINING, 7), target("b", EndpointState.REMOVED)], False, known)
    kept = {t.info.name: t.info.state for t in ends.apply([*up, target("e", EndpointState.UP, 7)])}
    assert kept == {"a": EndpointState.DRAINING, "d": EndpointState.UP, "e": EndpointState.UP}
    again = ends.apply(
        [
            target("a", EndpointState.UP, 8),
            target("b", EndpointState.UP, 8),
            target("d", EndpointState.DRAINING),
        ]
    )
    assert [t.info.state for t in again] == [EndpointState.UP, EndpointState.UP, EndpointState.DRAINING]


@pytest.mark.parametrize("how", ["silent", "breaks"])
def test_a_drain_told_while_the_watch_is_dead_is_heeded_with_the_next(
    how: str, monkeypatch: pytest.MonkeyPatch, capfd: Any
) -> None:
    monkeypatch.setattr("query_gateway.discovery.watch_client.POLL_HOLD_MS", 100)
    monkeypatch.setattr("query_gateway.discovery.watch_client.ANSWER_GRACE_SECONDS", 0.1)
    journal, engine = JournalStandIn(), Engine()
    gate = Gateway(config([host(engine)], journal=journal.address), OperatorSettings(), signals=False)
    thread = threading.Thread(target=gate.loop.run, daemon=True)
    thread.start()
    dead = journal.server.accept()[0]
    if how == "breaks":
        assert dead.recv(4096)
        dead.close()
    hosts = {"seq": 2, "whole": False, "hosts": [host(engine, "e0", "draining")]}
    drains = json.dumps({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]}).encode()
    assert [journal.answer(body) for body in (drains, b'{"pos":2,"entries":[]}')] == [
        "/journal?tail=1", "/journal?tail=2"]  # fmt: skip
    assert gate.forwarder.endpoints["e0"].info.state is EndpointState.DRAINING
    assert post(gate, "lookup", SQL, ttl=400)[0] == 429 and not engine.statements
    gate.loop.stop()
    thread.join(10)
    gate.loop.close()
    code = "unresponsive" if how == "silent" else "peer-closed"
    assert f"end discovery {journal.address} {code}" in capfd.readouterr().err
    dead.close()
    journal.close()
    engine.close()


def test_watches_that_break_together_come_back_apart() -> None:
    """Guards the service: all gateways came back in the same moment, each 0.1 s."""
    back: list[float] = []
    for seed in range(20):
        gate = Gateway(config([], seed=f"{seed:x}"), OperatorSettings(), signals=False)
        while (
            not (timer := gate.watch_client.task.timer)
            or timer.due_at - gate.loop.now() > 2 * MIN_BACKOFF_SECONDS
        ):
            gate.loop.turn()  # until the dial is refused and the rest before the next has begun
        back.append(timer.due_at - gate.loop.now())
        gate.loop.close()
    assert max(back) - min(back) > MIN_BACKOFF_SECONDS / 2 and max(back) <= 1.5 * MIN_BACKOFF_SECONDS


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
