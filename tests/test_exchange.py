"""The desk on a clock of its own: one attempt out at a time, and answers that wait for nothing."""

from collections.abc import Callable

from mothknot.core.exchange import STOP_WAY, Desk
from mothknot.core.messages import Answer, Attempt, Query, Target, Verdict
from mothknot.interface import Cancel, Code, Entry, Event, Outcome, Refuse, Request, Send, State
from mothknot.settings import settings_of
from tests.stand_ins import SETTINGS, flatten


class Alarm:
    def cancel(self) -> None: ...


class Wire:
    passing = False

    def __init__(self) -> None:
        self.did: list[tuple[str, str]] = []

    def start(self, attempt: Attempt) -> None:
        self.did.append(("start", attempt.engine))

    def take_back(self, attempt: Attempt) -> bool:
        return False

    def stop(self, attempt: Attempt) -> None:
        self.did.append(("stop", attempt.engine))

    def rank(self, attempt: Attempt) -> None: ...

    def listed(self, targets: list[Target], full: bool) -> None: ...


class Client:
    def __init__(self) -> None:
        self.got: list[Answer] = []

    def rows(self, page: bytes, left: Callable[[], None]) -> None: ...

    def final(self, answer: Answer) -> None:
        self.got.append(answer)


class World:
    def __init__(self) -> None:
        self.now, self.due = 0, list[tuple[int, Callable[[], None]]]()
        self.told: list[Event] = []
        self.wire, self.client = Wire(), Client()
        self.desk = Desk(settings_of(flatten(SETTINGS)), lambda: self.now, self.alarms, 10)
        self.desk.engines["web"] = self.wire
        self.desk.add_planner(self.told.append, True)
        entries = [Entry(name, State.UP, 0, 0, 0, 0, 1.0) for name in "ab"]
        self.desk.listed([Target(e, {"web": "127.0.0.1:1"}) for e in entries], True)
        query = Query("1" * 16, 0, "lookup", b"x", 5_000_000_000, False, None, None, None, 0.0, None)
        self.xid = self.desk.take(query, self.client, "web").xid

    def alarms(self, when: int, call: Callable[[], None]) -> Alarm:
        self.due.append((when, call))
        return Alarm()

    def pass_time(self, until: int) -> None:
        self.now = until
        ripe = [call for when, call in self.due if when <= until]
        self.due = [(when, call) for when, call in self.due if when > until]
        for call in ripe:
            call()

    def outcomes(self) -> list[Code]:
        return [e.code for e in self.told if isinstance(e, Outcome)]


def test_a_stopped_attempt_counts_as_over_when_its_stop_has_arrived() -> None:
    """Guards the rule on single attempts: on fast days a second copy overtook the first one's stop."""
    w = World()
    w.desk.act(Send(w.xid, "a", 0))
    w.desk.act(Cancel(w.xid, 0))
    assert w.wire.did == [("start", "a"), ("stop", "a")] and w.outcomes() == []
    w.desk.act(Send(w.xid, "b", 0))  # too early: it is not sent
    assert w.outcomes() == [Code.MOOT] and len(w.wire.did) == 2
    w.pass_time(STOP_WAY)
    assert w.outcomes() == [Code.MOOT, Code.CANCELLED]
    w.desk.act(Send(w.xid, "b", 0))
    assert w.wire.did[-1] == ("start", "b")


def test_a_refusal_leaves_at_once_whatever_is_out() -> None:
    w = World()
    w.desk.act(Send(w.xid, "a", 0))
    w.desk.act(Cancel(w.xid, 0))
    w.desk.act(Refuse(w.xid, 7))
    assert w.client.got == [Answer(Verdict.REFUSED, wait_ns=7)]
    w.pass_time(STOP_WAY)
    w.desk.act(Refuse(w.xid, 7))
    assert len(w.client.got) == 1 and not w.desk.exchanges


def test_a_deadline_that_no_planner_heeds_still_ends_in_one_answer() -> None:
    w = World()
    w.desk.act(Send(w.xid, "a", 0))
    w.pass_time(5_000_000_000)
    assert w.outcomes() == [Code.TIMEOUT] and w.client.got == []
    w.pass_time(5_010_000_000)
    assert [a.verdict for a in w.client.got] == [Verdict.FAILED] and not w.desk.exchanges


def test_loads_that_come_as_their_keys_rest_ends_keep_their_order() -> None:
    """Guards the order of a key: one that came in the moment between that end and its alarm went ahead."""
    w = World()
    w.desk.planner_died(0)
    w.desk.planner_born(0)

    def load(name: str) -> int:
        query = Query(name * 16, 2, "load", b"x", 9_000_000_000, False, "k", "u", None, 0.0, None)
        return w.desk.take(query, Client(), "web").xid

    first, second = load("2"), load("3")
    w.now = w.desk.rests[0]  # it has ended, and the alarms have not been called yet
    third = load("4")
    w.pass_time(w.now)
    told = [e.xid for e in w.told if isinstance(e, Request) and e.key]
    assert told == [first, second, third]
    w.desk.planner_died(0)  # once more, while others wait
    w.desk.planner_born(0)
    load("5")
    w.now += 1
    w.desk.planner_died(0)
    w.desk.planner_born(0)
    last = load("6")
    w.pass_time(w.desk.rests[0] - 1)
    assert [e.xid for e in w.told if isinstance(e, Request) and e.key] == told
    w.pass_time(w.desk.rests[0])
    assert [e.xid for e in w.told if isinstance(e, Request) and e.key] == [*told, last]


def test_a_send_that_comes_when_engines_have_forgotten_the_first_does_not_leave() -> None:
    """Guards against doubled effects: a planner elsewhere may have been still since it decided."""
    w = World()
    query = Query("2" * 16, 2, "load", b"x", 60_000_000_000, False, None, "u", None, 0.0, None)
    xid = w.desk.take(query, w.client, "web").xid
    w.desk.act(Send(xid, "a", 0))
    w.desk.exchanges[xid].tries[-1].ended(Code.RESET)
    w.now = 24_999_999_999
    w.desk.act(Send(xid, "b", 0))
    w.desk.exchanges[xid].tries[-1].ended(Code.FULL)
    w.now = 25_000_000_000
    w.desk.act(Send(xid, "a", 0))
    assert w.outcomes() == [Code.RESET, Code.FULL, Code.MOOT]
    assert w.wire.did == [("start", "a"), ("start", "b")]


def test_attempts_behind_one_that_was_not_begun_keep_the_planners_numbers() -> None:
    """An engine without an address on the front's wire: the end of the next attempt was not heeded."""
    w = World()
    w.desk.listed([Target(Entry("a", State.UP, 0, 0, 0, 0, 1.0), {"flight": "127.0.0.1:1"})], False)
    w.desk.act(Send(w.xid, "a", 0))
    w.desk.act(Send(w.xid, "b", 0))
    w.desk.exchanges[w.xid].tries[-1].ended(Code.ERROR)
    told = [(e.engine, e.copy, e.code) for e in w.told if isinstance(e, Outcome)]
    assert told == [("a", 0, Code.MOOT), ("b", 1, Code.ERROR)]
