"""The desk on a clock of its own: one attempt out at a time, and answers that wait for nothing."""

from collections.abc import Callable

from query_gateway.configuration.settings_parser import parse_settings
from query_gateway.forwarder.exchange import STOP_WAY, Forwarder
from query_gateway.forwarder.messages import Answer, AttemptHandle, ClientRequest, Endpoint, Verdict
from query_gateway.model.actions import Cancel, Forward, Reject
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request
from tests.stand_ins import SETTINGS, flatten_settings


class Alarm:
    def cancel(self) -> None: ...


class Wire:
    streams_results = False

    def __init__(self) -> None:
        self.did: list[tuple[str, str]] = []

    def start(self, attempt: AttemptHandle) -> None:
        self.did.append(("start", attempt.endpoint))

    def withdraw(self, attempt: AttemptHandle) -> bool:
        return False

    def cancel(self, attempt: AttemptHandle) -> None:
        self.did.append(("stop", attempt.endpoint))

    def set_priority(self, attempt: AttemptHandle) -> None: ...

    def update_endpoints(self, targets: list[Endpoint], full: bool) -> None: ...


class Client:
    def __init__(self) -> None:
        self.got: list[Answer] = []

    def send_page(self, page: bytes, left: Callable[[], None]) -> None: ...

    def send_answer(self, answer: Answer) -> None:
        self.got.append(answer)


class World:
    def __init__(self) -> None:
        self.now, self.due = 0, list[tuple[int, Callable[[], None]]]()
        self.told: list[Event] = []
        self.wire, self.client = Wire(), Client()
        self.desk = Forwarder(parse_settings(flatten_settings(SETTINGS)), lambda: self.now, self.alarms, 10)
        self.desk.engine_clients["web"] = self.wire
        self.desk.add_planner(self.told.append, True)
        entries = [EndpointInfo(name, EndpointState.UP, 0, 0, 0, 0, 1.0) for name in "ab"]
        self.desk.update_endpoints([Endpoint(e, {"web": "127.0.0.1:1"}) for e in entries], True)
        query = ClientRequest("1" * 16, 0, "lookup", b"x", 5_000_000_000, False, None, None, None, 0.0, None)
        self.xid = self.desk.accept(query, self.client, "web").request_id

    def alarms(self, when: int, call: Callable[[], None]) -> Alarm:
        self.due.append((when, call))
        return Alarm()

    def pass_time(self, until: int) -> None:
        self.now = until
        ripe = [call for when, call in self.due if when <= until]
        self.due = [(when, call) for when, call in self.due if when > until]
        for call in ripe:
            call()

    def outcomes(self) -> list[OutcomeCode]:
        return [e.code for e in self.told if isinstance(e, AttemptOutcome)]


def test_a_stopped_attempt_counts_as_over_when_its_stop_has_arrived() -> None:
    """Guards the rule on single attempts: on fast days a second copy overtook the first one's stop."""
    w = World()
    w.desk.apply(Forward(w.xid, "a", 0))
    w.desk.apply(Cancel(w.xid, 0))
    assert w.wire.did == [("start", "a"), ("stop", "a")] and w.outcomes() == []
    w.desk.apply(Forward(w.xid, "b", 0))  # too early: it is not sent
    assert w.outcomes() == [OutcomeCode.NOT_SENT] and len(w.wire.did) == 2
    w.pass_time(STOP_WAY)
    assert w.outcomes() == [OutcomeCode.NOT_SENT, OutcomeCode.CANCELLED]
    w.desk.apply(Forward(w.xid, "b", 0))
    assert w.wire.did[-1] == ("start", "b")


def test_a_refusal_leaves_at_once_whatever_is_out() -> None:
    w = World()
    w.desk.apply(Forward(w.xid, "a", 0))
    w.desk.apply(Cancel(w.xid, 0))
    w.desk.apply(Reject(w.xid, 7))
    assert w.client.got == [Answer(Verdict.REJECTED, retry_after_ns=7)]
    w.pass_time(STOP_WAY)
    w.desk.apply(Reject(w.xid, 7))
    assert len(w.client.got) == 1 and not w.desk.exchanges


def test_a_deadline_that_no_planner_heeds_still_ends_in_one_answer() -> None:
    w = World()
    w.desk.apply(Forward(w.xid, "a", 0))
    w.pass_time(5_000_000_000)
    assert w.outcomes() == [OutcomeCode.TIMEOUT] and w.client.got == []
    w.pass_time(5_010_000_000)
    assert [a.verdict for a in w.client.got] == [Verdict.FAILED] and not w.desk.exchanges


def test_loads_that_come_as_their_keys_rest_ends_keep_their_order() -> None:
    """Guards the order of a key: one that came in the moment between that end and its alarm went ahead."""
    w = World()
    w.desk.on_planner_lost(0)
    w.desk.on_planner_connected(0)

    def load(name: str) -> int:
        query = ClientRequest(name * 16, 2, "load", b"x", 9_000_000_000, False, "k", "u", None, 0.0, None)
        return w.desk.accept(query, Client(), "web").request_id

    first, second = load("2"), load("3")
    w.now = w.desk.quarantined_until[0]  # it has ended, and the alarms have not been called yet
    third = load("4")
    w.pass_time(w.now)
    told = [e.request_id for e in w.told if isinstance(e, Request) and e.key]
    assert told == [first, second, third]
    w.desk.on_planner_lost(0)  # once more, while others wait
    w.desk.on_planner_connected(0)
    load("5")
    w.now += 1
    w.desk.on_planner_lost(0)
    w.desk.on_planner_connected(0)
    last = load("6")
    w.pass_time(w.desk.quarantined_until[0] - 1)
    assert [e.request_id for e in w.told if isinstance(e, Request) and e.key] == told
    w.pass_time(w.desk.quarantined_until[0])
    assert [e.request_id for e in w.told if isinstance(e, Request) and e.key] == [*told, last]


def test_a_send_that_comes_when_engines_have_forgotten_the_first_does_not_leave() -> None:
    """Guards against doubled effects: a planner elsewhere may have been still since it decided."""
    w = World()
    query = ClientRequest("2" * 16, 2, "load", b"x", 60_000_000_000, False, None, "u", None, 0.0, None)
    xid = w.desk.accept(query, w.client, "web").request_id
    w.desk.apply(Forward(xid, "a", 0))
    w.desk.exchanges[xid].attempts[-1].on_ended(OutcomeCode.RESET)
    w.now = 24_999_999_999
    w.desk.apply(Forward(xid, "b", 0))
    w.desk.exchanges[xid].attempts[-1].on_ended(OutcomeCode.FULL)
    w.now = 25_000_000_000
    w.desk.apply(Forward(xid, "a", 0))
    assert w.outcomes() == [OutcomeCode.RESET, OutcomeCode.FULL, OutcomeCode.NOT_SENT]
    assert w.wire.did == [("start", "a"), ("start", "b")]


def test_attempts_behind_one_that_was_not_begun_keep_the_planners_numbers() -> None:
    """An engine without an address on the front's wire: the end of the next attempt was not heeded."""
    w = World()
    w.desk.update_endpoints(
        [Endpoint(EndpointInfo("a", EndpointState.UP, 0, 0, 0, 0, 1.0), {"flight": "127.0.0.1:1"})], False
    )
    w.desk.apply(Forward(w.xid, "a", 0))
    w.desk.apply(Forward(w.xid, "b", 0))
    w.desk.exchanges[w.xid].attempts[-1].on_ended(OutcomeCode.ERROR)
    told = [(e.endpoint, e.attempt_number, e.code) for e in w.told if isinstance(e, AttemptOutcome)]
    assert told == [("a", 0, OutcomeCode.NOT_SENT), ("b", 1, OutcomeCode.ERROR)]
