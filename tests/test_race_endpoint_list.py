"""Race conditions of the endpoint-list watch: restarts of the discovery service, lost answers, draining."""

import json
from collections.abc import Iterable
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
from tests.stand_ins import Engine, config, endpoint_list_answer, host, post, running_gateway
from tests.test_local import until
from tests.test_web import SQL, DiscoveryServiceStandIn, answer_body, derandomized

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def poll_targets(answers: tuple[tuple[bytes, int], ...]) -> list[str]:
    """The request target of each poll; an answer is paired with the position that its poll asks from."""
    return [f"/journal?tail={position}" for _, position in answers]


def test_sequence_reset_gap_or_duplicate_in_the_watch_causes_a_resync(capfd: Any) -> None:
    """The discovery service restarts, omits events, or sends them twice.

    If the gateway kept the highest position that it had received, it would silently ignore all later answers,
    and its list would become stale. Each of these anomalies is logged, and the next poll asks again: for the
    complete list if events are missing, else for the last event.
    """
    journal, first_engine, second_engine = DiscoveryServiceStandIn(), Engine(), Engine()
    hosts = [host(second_engine, "e2")]
    reset_answer = json.dumps(endpoint_list_answer(1, hosts, snapshot=True)).encode()
    gap_answer = json.dumps(endpoint_list_answer(9, hosts)).encode()
    answers = (
        (answer_body(first_engine), 1), (b'{"pos":1,"entries":[]}', 2), (reset_answer, 0),  # lower positions
        (b'{"pos":6,"entries":[]}', 1), (reset_answer, 0),  # states a position beyond its events
        (gap_answer, 1), (reset_answer, 0),  # omitted events
        (reset_answer, 1),  # a duplicate; a new connection then polls for the last event again
        (reset_answer, 0), (b'{"pos":1,"entries":[]}', 1), (reset_answer, 0),  # nothing new, but at once
    )  # fmt: skip
    with running_gateway(config([], journal=journal.address)) as gateway:
        assert [journal.answer(body) for body, _ in answers] == poll_targets(answers)
        assert list(gateway.forwarder.endpoints) == ["e2"]
        assert post(gateway, "lookup", SQL, ttl=600_000)[0] == 200
    assert (len(first_engine.statements), len(second_engine.statements)) == (0, 1)
    log_output = capfd.readouterr().err
    assert all(
        f"discovery {anomaly}: " in log_output for anomaly in ("sequence-reset", "sequence-gap", "duplicate")
    )
    assert log_output.count(" resync\n") >= 3
    journal.close()
    for engine in (first_engine, second_engine):
        engine.close()


def test_restarted_service_that_has_passed_our_position_causes_a_resync(capfd: Any) -> None:
    """The discovery service restarts, and its numbering passes the gateway's position before the next poll.

    No answer has a lower position that would show the restart, so the gateway would miss the new events up to
    its position. After a lost connection, the gateway polls for the last known event again, and for the
    complete list if that event differs.
    """
    journal, first_engine, second_engine = DiscoveryServiceStandIn(), Engine(), Engine()
    snapshot = endpoint_list_answer(1, [host(second_engine, "e2", "draining")], snapshot=True)["entries"]
    deltas = [
        event
        for number in (2, 3)
        for event in endpoint_list_answer(number, [host(second_engine, f"e{number}")])["entries"]
    ]
    with running_gateway(config([], journal=journal.address)) as gateway:
        assert journal.answer(answer_body(first_engine)) == "/journal?tail=1"
        journal.disconnect()
        assert journal.answer(answer_body(first_engine)) == "/journal?tail=1"  # the same event: no resync
        journal.disconnect()
        after_restart = json.dumps({"pos": 3, "entries": deltas}).encode()
        assert journal.answer(after_restart) == "/journal?tail=1"
        complete_list = json.dumps({"pos": 3, "entries": [*snapshot, *deltas]}).encode()
        assert journal.answer(complete_list) == "/journal?tail=0"
        assert journal.answer(b'{"pos":3,"entries":[]}') == "/journal?tail=3"
        assert {name: endpoint.info.state for name, endpoint in gateway.forwarder.endpoints.items()} == {
            "e2": EndpointState.UP, "e3": EndpointState.UP}  # fmt: skip
    assert capfd.readouterr().err.count("discovery sequence-reset: ") == 1
    journal.close()
    for engine in (first_engine, second_engine):
        engine.close()


def test_restarted_service_does_not_revive_draining_or_removed_engines() -> None:
    """A restarted discovery service answers with a list from before a drain.

    If the list were applied as it is, draining and removed engines would count as up again and get requests.
    Each of these engines has a tombstone, which ends only when the engine is reported as up, either with
    another start time or by an event that follows the last complete list in sequence.
    """
    journal, engines = DiscoveryServiceStandIn(), [Engine() for _ in range(3)]

    def answer_with(position: int, **states: str) -> bytes:
        """An answer with these engines; the state `up again` gives an engine a later start time."""
        hosts = [
            host(engines[int(name[1])], name, state.split()[0], 5 if " " in state else 0)
            for name, state in states.items()
        ]
        return json.dumps(endpoint_list_answer(position, hosts, snapshot=position == 1)).encode()

    cached_list = json.loads(answer_with(1, e0="up", e1="up", e2="up"))
    answers = (
        (answer_with(2, e0="draining", e2="removed"), 1), (b'{"pos":1,"entries":[]}', 2),
        (answer_with(1, e0="up", e1="up", e2="up"), 0),
    )  # fmt: skip
    with running_gateway(config([], journal=journal.address, known=cached_list)) as gateway:
        assert [journal.answer(body) for body, _ in answers] == poll_targets(answers)
        until(lambda: gateway.endpoint_feed.position == 1)
        states = {name: endpoint.info.state for name, endpoint in gateway.forwarder.endpoints.items()}
        assert states == {"e0": EndpointState.DRAINING, "e1": EndpointState.UP}
        assert [post(gateway, "lookup", SQL, ttl=600_000)[0] for _ in range(8)] == [200] * 8
        assert [len(engine.statements) for engine in engines] == [0, 8, 0]
        assert journal.answer(answer_with(2, e0="up again")) == "/journal?tail=1"
        until(lambda: gateway.endpoint_feed.position == 2)
        assert gateway.forwarder.endpoints["e0"].info.state is EndpointState.UP
    journal.close()
    for engine in engines:
        engine.close()


def test_draining_survives_stale_lists_of_a_restarted_service() -> None:
    """A stale list reports draining and removed engines as up; checks `EndpointTombstones` without sockets.

    Requests would go to engines that are about to end or have ended. While a restarted service is not in
    sequence, a tombstone ends only when its engine is reported as up with another start time.
    """

    def make_endpoint(name: str, state: EndpointState, started_at: int = 0) -> Endpoint:
        return Endpoint(EndpointInfo(name, state, 0, 0, 0, started_at, 1.0), {})

    up = [make_endpoint(name, EndpointState.UP, 7) for name in "abcd"]
    tombstones = EndpointTombstones()
    tombstones.record(up, True, {})
    present = {endpoint.info.name: endpoint for endpoint in up}
    ending = [make_endpoint("a", EndpointState.DRAINING, 7), make_endpoint("b", EndpointState.REMOVED)]
    tombstones.record(ending, False, present)
    # the stale list: a and b are up, c is missing
    tombstones.record([endpoint for endpoint in up if endpoint.info.name != "c"], True, present)
    tombstones.record(ending, False, present)
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
    """An engine starts to drain while the watch hangs or is disconnected.

    Without a timeout, the gateway would send to the engine for as long as the watch hangs. The connection of
    a poll that is not answered in time is closed, and the next poll, from the last known position, brings the
    drain.
    """
    monkeypatch.setattr("query_gateway.discovery.watch_client.POLL_HOLD_MS", 100)
    monkeypatch.setattr("query_gateway.discovery.watch_client.ANSWER_GRACE_SECONDS", 0.1)
    monkeypatch.setattr("query_gateway.discovery.watch_client.MAX_ANSWER_DELAY_SECONDS", 0.0)
    journal, engine = DiscoveryServiceStandIn(), Engine()
    drain_answer = json.dumps(endpoint_list_answer(2, [host(engine, "e0", "draining")])).encode()
    with running_gateway(config([host(engine)], journal=journal.address)) as gateway:
        broken_watch = journal.server.accept()[0]
        if failure == "breaks":
            assert broken_watch.recv(4096)
            broken_watch.close()
        assert [journal.answer(body) for body in (drain_answer, b'{"pos":2,"entries":[]}')] == [
            "/journal?tail=1", "/journal?tail=2"]  # fmt: skip
        assert gateway.forwarder.endpoints["e0"].info.state is EndpointState.DRAINING
        assert post(gateway, "lookup", SQL, ttl=400)[0] == 429 and not engine.statements
    code = "unresponsive" if failure == "unresponsive" else "peer-closed"
    assert f"end discovery {journal.address} {code}" in capfd.readouterr().err
    broken_watch.close()
    journal.close()
    engine.close()


def test_watches_that_break_together_reconnect_at_different_times() -> None:
    """The discovery service closes the watches of all gateways at once.

    With a fixed backoff of 0.1 s, all gateways would reconnect at the same times and overload a service that
    has just started. The backoff has jitter, drawn from each gateway's own seed.
    """
    reconnect_delays: list[float] = []
    for seed in range(20):
        gateway = Gateway(config([], seed=f"{seed:x}"), OperatorSettings(), signals=False)
        while (
            not (timer := gateway.watch_client.task.timer)
            or timer.due_at - gateway.loop.now() > 2 * MIN_BACKOFF_SECONDS
        ):
            gateway.loop.turn()  # until the connection is refused and the backoff starts
        reconnect_delays.append(timer.due_at - gateway.loop.now())
        gateway.loop.close()
    assert (
        max(reconnect_delays) - min(reconnect_delays) > MIN_BACKOFF_SECONDS / 2
        and max(reconnect_delays) <= 1.5 * MIN_BACKOFF_SECONDS
    )


LAST_POSITION = 12
ANSWER_KINDS = st.sampled_from(["good", "empty", "gap", "duplicate", "reset"])


def make_event(position: int) -> EndpointListEvent:
    """An event that starts one engine and drains an earlier one; the first event is a snapshot."""
    states = {str(position): EndpointState.UP}
    if position > 1:
        states[str(position // 2)] = EndpointState.DRAINING
    endpoints = [Endpoint(EndpointInfo(name, state, 0, 0, 0, 0, 1.0), {}) for name, state in states.items()]
    return EndpointListEvent(position, position == 1, tuple(endpoints))


def states_by_name(endpoints: Iterable[Endpoint]) -> dict[str, EndpointState]:
    return {endpoint.info.name: endpoint.info.state for endpoint in endpoints}


@derandomized
@given(st.lists(st.tuples(st.integers(1, LAST_POSITION), ANSWER_KINDS)))
def test_whatever_a_watch_does_its_next_good_answers_tell_the_whole_list(
    steps: list[tuple[int, str]],
) -> None:
    """A watch gets any series of good, empty, incomplete, repeated and reset answers.

    If an answer were handled wrongly, the gateway's list could differ permanently from that of the service.
    After any series, two good answers bring the complete list: the first may only show that a resync, a poll
    for the complete list, is needed.
    """
    position, states = 0, dict[str, EndpointState]()

    def apply_answer(last_position: int, events: list[EndpointListEvent]) -> None:
        nonlocal position, states
        update = reconcile(position, EndpointListAnswer(last_position, tuple(events)))
        states = {} if update.is_snapshot else states
        states |= states_by_name(update.endpoints)
        position = update.position

    for last_position, kind in steps:
        events = [make_event(number) for number in range(position + 1, last_position + 1)]
        faulty = {"empty": [], "gap": events[1:], "duplicate": [*events, *events], "reset": []}
        apply_answer(1 if kind == "reset" else last_position, faulty.get(kind, events))
    for _ in range(2):  # the first may only show that a resync is needed
        apply_answer(LAST_POSITION, [make_event(number) for number in range(position + 1, LAST_POSITION + 1)])
    all_events = [make_event(number) for number in range(1, LAST_POSITION + 1)]
    assert position == LAST_POSITION
    assert states == states_by_name(endpoint for event in all_events for endpoint in event.endpoints)
