"""The desk on a clock of its own: one attempt out at a time, and answers that wait for nothing."""

from collections.abc import Callable

from mothknot.core.exchange import STOP_WAY, Desk
from mothknot.core.messages import Answer, Attempt, Query, Target, Verdict
from mothknot.interface import Cancel, Code, Entry, Event, Outcome, Refuse, Send, State
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
