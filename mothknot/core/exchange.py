"""What a forwarder has taken: exchanges, their attempts, and exactly one final answer for each.

The client's side and the engine's side meet only here. A planner decides; the forwarder owes the answer, so
whatever a planner does or fails to do, the deadline ends every exchange.
"""

from collections.abc import Callable
from typing import Protocol
from zlib import crc32

from mothknot.core.counters import Counters
from mothknot.core.messages import Answer, Client, Engines, Observer, Query, Target, Verdict
from mothknot.interface import (
    Action,
    Cancel,
    Code,
    Event,
    Fail,
    Gone,
    ListChange,
    ListScope,
    Note,
    NoteKind,
    Outcome,
    Refuse,
    Repeat,
    Request,
    Retune,
    Scope,
    Send,
    Settings,
    State,
    Terms,
)

MS = 1_000_000
STOP_WAY = 60 * MS  # until a stopped attempt counts as over: guards against the next one overtaking
# the stop on another connection and being out beside it; no answer waits for this
GRACE = 5 * MS  # past its deadline an exchange that no planner ended is ended here
LAST = -1  # stands for the number of the last attempt sent, where the exchange that knew it has ended
NEVER_RAN = (Code.FULL, Code.CONNECT_FAILED, Code.MOOT)


class Alarm(Protocol):
    def cancel(self) -> None: ...


Alarms = Callable[[int, Callable[[], None]], Alarm]  # at a clock time
Tell = Callable[[Event], None]


class Try:
    """One attempt, out from its start until its one end."""

    __slots__ = (
        "exchange", "number", "engine", "sent_at", "memory_mb", "priority", "out", "took", "pages", "work",
        "used_mb",
    )  # fmt: skip

    def __init__(self, exchange: "Exchange", number: int, engine: str, now: int) -> None:
        self.exchange, self.number, self.engine, self.sent_at = exchange, number, engine, now
        self.memory_mb, self.priority = exchange.terms
        self.out = True
        self.took = self.work = 0
        self.used_mb = 0.0
        self.pages: list[bytes] = []

    @property
    def query(self) -> Query:
        return self.exchange.query

    def lapse(self) -> None:
        """Guards against doubled effects: a late dial, or an engine that reads no further, may outlast the
        time in which it may leave.
        """
        if self.out:
            self.exchange.take_back()

    def written(self) -> None:
        self.exchange.desk.counters.forwards += 1

    def noted(self, kind: NoteKind, level: float) -> None:
        if self.out:
            if kind is NoteKind.SPILLS and self.query.shape and (observer := self.exchange.desk.observer):
                observer.spilled(self.query, self.exchange.desk.clock())
            self.exchange.tell(Note(self.exchange.xid, self.number, self.engine, kind, level))

    def ran(self) -> None:
        """The engine has done the work; what follows is the result's way here."""
        self.took = self.took or self.exchange.desk.clock() - self.sent_at

    def measured(self, work_ns: int, used_mb: float) -> None:
        self.work, self.used_mb = work_ns, used_mb

    def page(self, data: bytes, left: Callable[[], None] = lambda: None) -> None:
        if not self.out:
            return
        if self.exchange.passing:
            self.exchange.pass_on(data, left)
        else:
            self.pages.append(data)

    def ended(self, code: Code) -> None:
        if self.out:
            self.out = False
            self.exchange.attempt_ended(self, code)


class Exchange:
    __slots__ = (
        "desk", "xid", "query", "client", "wire", "link", "passing", "tries", "sends", "terms", "answered",
        "begun", "alarm", "told", "ran_at", "rules",
    )  # fmt: skip

    def __init__(self, desk: "Desk", xid: int, query: Query, client: Client, wire: str, link: int) -> None:
        self.desk, self.xid, self.query = desk, xid, query
        self.client, self.wire, self.link = client, wire, link
        self.passing = desk.engines[wire].passing
        self.rules = desk.settings.classes[query.cls]  # kept, whatever the settings say later
        self.tries: list[Try] = []
        self.sends = 0  # as the planner counts them: what was not begun here has its number, too
        self.terms: tuple[float, int] = 0.0, 1
        self.answered = self.begun = self.told = False
        self.ran_at: int | None = None  # when the first attempt that may have run was sent
        self.alarm: Alarm | None = None

    @property
    def attempt(self) -> Try | None:
        return self.tries[-1] if self.tries and self.tries[-1].out else None

    @property
    def may_have_run(self) -> bool:
        return self.ran_at is not None

    @property
    def last_send(self) -> int:
        """Until when an attempt may leave: engines drop a repeat only as long as they remember the first."""
        if self.ran_at is None or self.rules.repeat is not Repeat.KEYED:
            return self.query.give_up_at
        return min(self.query.give_up_at, self.ran_at + self.rules.memory_span)

    def tell(self, event: Event) -> None:
        if self.told:
            self.desk.tell[self.link](event)

    # ---- what the engine side reports

    def pass_on(self, data: bytes, left: Callable[[], None]) -> None:
        if not self.answered:
            self.begun = True
            self.client.rows(data, left)

    def attempt_ended(self, attempt: Try, code: Code) -> None:
        if self.ran_at is None and code not in NEVER_RAN:
            self.ran_at = attempt.sent_at
        took = attempt.took if code is Code.OK and attempt.took else self.desk.clock() - attempt.sent_at
        if not self.answered and code is Code.OK:
            self.answer(Answer(Verdict.SERVED, tuple(attempt.pages)))
        elif not self.answered and self.begun:
            # Guards the rule on refusals: rows have left, so no other attempt can stand in for this one
            self.answer(Answer(Verdict.FAILED))
        attempt.pages.clear()
        if self.query.shape and (observer := self.desk.observer):
            work = attempt.work or took * self.rules.threads
            observer.ended(self.query, attempt.engine, code, work, attempt.used_mb, self.desk.clock())
        self.tell(outcome(self, attempt, code, took))
        self.desk.settle(self)

    # ---- the answer

    def answer(self, answer: Answer) -> None:
        """The one final answer; whatever comes after it is nobody's."""
        if self.answered:
            return
        if answer.verdict is Verdict.REFUSED and self.begun:
            answer = Answer(Verdict.FAILED)
        self.answered = True
        self.desk.counters.answered(self.query.class_name, answer.verdict)
        self.client.final(answer)

    def gone(self) -> None:
        """The client has left: no answer is owed."""
        if not self.answered:
            self.answered = True
            self.tell(Gone(self.xid))
            # Guards engines against work for nobody: the planner may be elsewhere, or may not call off
            self.take_back()
            self.desk.settle(self)

    def take_back(self) -> bool:
        """End the attempt that is out as never sent, where nothing of it has left."""
        attempt = self.attempt
        if attempt is None or not self.desk.engines[self.wire].take_back(attempt):
            return False
        attempt.ended(Code.MOOT)
        return True

    def call_off(self, code: Code) -> None:
        if not self.take_back() and (attempt := self.attempt):
            self.desk.engines[self.wire].stop(attempt)
            attempt.ended(code)

    def deadline(self) -> None:
        """Time is up: the planner, told so, still says how the exchange ends, else it is ended here."""
        self.alarm = self.desk.alarms(self.query.give_up_at + GRACE, self.overdue)
        self.call_off(Code.TIMEOUT)

    def overdue(self) -> None:
        if not self.answered:
            self.answer(Answer(Verdict.FAILED))
            self.tell(Gone(self.xid))
        self.call_off(Code.CANCELLED)
        self.desk.settle(self)

    def end_without_planner(self) -> None:
        """Guards what a dead planner held: refuse where that is harmless, else fail."""
        self.told = False
        self.take_back()  # what has not left never ran: then a refusal is true in every class
        harmless = self.desk.harmless(self)
        self.call_off(Code.CANCELLED)
        self.answer(Answer(Verdict.REFUSED if harmless else Verdict.FAILED))
        self.desk.settle(self)


def outcome(exchange: Exchange, attempt: Try, code: Code, took: int) -> Outcome:
    over = exchange.answered
    return Outcome(exchange.xid, over, code, took, attempt.number, attempt.engine, None, None, ())


class Wire(Engines, Protocol):
    passing: bool  # rows go on as they come, else the result is collected first


class Desk:
    """The forwarder's table of exchanges."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], alarms: Alarms, most: int, first_xid: int = 1
    ) -> None:
        self.settings, self.clock, self.alarms, self.most = settings, clock, alarms, most
        self.engines: dict[str, Wire] = {}
        self.tell: list[Tell] = []
        self.exchanges: dict[int, Exchange] = {}
        self.names: set[str] = set()  # the clients' ids of what is open
        self.targets: dict[str, Target] = {}
        self.tuned: list[Settings | None] = []  # by planner: its settings, if it has them from us alone
        self.live: list[bool] = []  # by planner, as `tell`: whether it can be told anything
        self.rests: dict[int, int] = {}  # by planner: until when its keys rest, as one has died
        self.rested: dict[int, list[Exchange]] = {}  # and what waits for that, in the order taken
        self.next_xid, self.turn = first_xid, 0
        self.counters = Counters()
        self.observer: Observer | None = None
        self.idle: Callable[[], None] = lambda: None  # called when the last exchange has ended

    @property
    def outstanding(self) -> int:
        """What is taken and has no answer yet; an answered exchange may linger for its attempt."""
        return sum(not exchange.answered for exchange in self.exchanges.values())

    def take(self, query: Query, client: Client, wire: str) -> Exchange:
        """From here on one final answer is owed."""
        xid = self.next_xid
        self.next_xid += 1
        exchange = Exchange(self, xid, query, client, wire, self._link(query))
        if len(self.exchanges) >= self.most:  # guards the memory: more than anyone could serve in time
            exchange.answer(Answer(Verdict.REFUSED, wait_ns=self.settings.max_retry_after))
            return exchange
        if query.name in self.names:
            # Guards the engines' good name: an id stands for one request there, so the second cannot be sent
            exchange.answer(Answer(Verdict.FAILED))
            return exchange
        if not self.live[exchange.link]:
            exchange.answer(Answer(Verdict.REFUSED, wait_ns=self.settings.max_retry_after))
            return exchange
        self.exchanges[xid] = exchange
        self.names.add(query.name)
        if query.shape and self.observer:
            self.observer.taken(query)
        exchange.alarm = self.alarms(query.give_up_at, exchange.deadline)
        link = exchange.link
        if query.key and (link in self.rested or self.rests.get(link, 0) > self.clock()):
            waiting = self.rested.setdefault(link, [])
            waiting.append(exchange)
            if len(waiting) == 1:
                self._rest(link)
        else:
            self._hand_over(exchange)
        return exchange

    def _rest(self, link: int) -> None:
        """Hand over what waited for the keys' rest, all at once: guards their order against who comes as it
        ends.
        """
        if self.rests[link] > self.clock():
            self.alarms(self.rests[link], lambda: self._rest(link))
            return
        for exchange in self.rested.pop(link, []):
            self._hand_over(exchange)

    def _link(self, query: Query) -> int:
        """A key always goes to the same planner; the rest take turns among those that live."""
        if query.key:
            return crc32(query.key.encode()) % len(self.tell)
        live = [link for link, lives in enumerate(self.live) if lives] or [0]
        self.turn += 1
        return live[self.turn % len(live)]

    def _hand_over(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        if not self.live[exchange.link]:
            exchange.end_without_planner()
            return
        q = exchange.query
        exchange.told = True
        exchange.tell(
            Request(exchange.xid, q.cls, q.give_up_at, 0, q.tables, q.key, q.cost, q.need_mb, q.retry)
        )

    def settle(self, exchange: Exchange) -> None:
        if not exchange.answered or exchange.attempt or exchange.xid not in self.exchanges:
            return
        del self.exchanges[exchange.xid]
        self.names.discard(exchange.query.name)
        if exchange.query.shape and self.observer:
            self.observer.settled(exchange.query)
        if exchange.alarm:
            exchange.alarm.cancel()
        if not self.exchanges:
            self.idle()

    def harmless(self, exchange: Exchange) -> bool:
        """Whether a refusal is true: nothing may have run, or the class may be asked again all the same."""
        c = exchange.rules
        again = c.repeat is Repeat.SAFE or (c.repeat is Repeat.KEYED and c.scope is Scope.ALL)
        return again or not (exchange.may_have_run or exchange.attempt)

    # ---- what planners decide

    def act(self, action: Action, link: int = 0) -> None:
        match action:
            case Send(xid, engine, _) if xid not in self.exchanges:
                self.tell[link](Outcome(xid, True, Code.MOOT, 0, LAST, engine, None, None, ()))
            case Send(xid, engine, _):
                self._send(xid, engine)
            case Cancel(xid, copy):
                self._cancel(xid, copy)
            case Refuse(xid, wait):
                self._answer(xid, Answer(Verdict.REFUSED, wait_ns=wait))
            case Fail(xid):
                self._answer(xid, Answer(Verdict.FAILED))
            case Terms(xid, memory, priority):
                self._terms(xid, memory, priority)
            case _:
                pass  # nothing else is allowed here: probes and peers are the module's for other sites

    def _send(self, xid: int, engine: str) -> None:
        exchange = self.exchanges[xid]
        attempt = Try(exchange, exchange.sends, engine, self.clock())
        exchange.sends += 1
        # Guards the rules on single attempts, answers and drains against a planner that is behind the events
        late = exchange.answered or exchange.begun or exchange.attempt is not None
        late |= self.clock() >= exchange.last_send
        target = self.targets.get(engine)
        if late or target is None or target.entry.state is not State.UP or exchange.wire not in target.dials:
            attempt.out = False
            exchange.tell(outcome(exchange, attempt, Code.MOOT, 0))
            return
        exchange.tries.append(attempt)
        self.engines[exchange.wire].start(attempt)
        if attempt.out and exchange.last_send < exchange.query.give_up_at:
            self.alarms(exchange.last_send, attempt.lapse)

    def _cancel(self, xid: int, copy: int) -> None:
        exchange = self.exchanges.get(xid)
        # Guards a result under way: once rows have left no other attempt can stand in for this one, so only
        # its client, its engine or its deadline end it
        if exchange is None or (exchange.begun and not exchange.answered):
            return
        attempt = exchange.attempt
        if attempt and attempt.number == copy and not exchange.take_back():
            self.engines[exchange.wire].stop(attempt)
            if exchange.answered:
                attempt.ended(Code.CANCELLED)
            else:
                self.alarms(self.clock() + STOP_WAY, lambda: attempt.ended(Code.CANCELLED))

    def _answer(self, xid: int, answer: Answer) -> None:
        exchange = self.exchanges.get(xid)
        if exchange and not exchange.begun:
            exchange.answer(answer)
            self.settle(exchange)

    def _terms(self, xid: int, memory: float, priority: int) -> None:
        exchange = self.exchanges.get(xid)
        if exchange is None:
            return
        exchange.terms = memory, priority
        if (attempt := exchange.attempt) and attempt.priority != priority:
            attempt.priority = priority
            self.engines[exchange.wire].rank(attempt)

    def retune(self, settings: Settings, tuned: list[Settings], fresh: tuple[int, ...]) -> None:
        """New rules for what is taken from here on; `tuned` has the settings of each planner."""
        self.settings = settings
        for link, told in enumerate(tuned):
            self.tuned[link] = told
            self.tell[link](Retune(told, fresh))

    # ---- the list, and planners that die

    def listed(self, targets: list[Target], full: bool) -> None:
        if full:
            self.targets = {}
        for target in targets:
            self.targets[target.entry.engine] = target
        for wire in self.engines.values():
            wire.listed(targets, full)
        entries = tuple(t.entry for t in targets)
        for tell in self.tell:
            tell(ListChange(ListScope.FULL if full else ListScope.CHANGES, entries))
        for name in [n for n, t in self.targets.items() if t.entry.state is State.GONE]:
            del self.targets[name]  # guards the table against every engine that ever was

    def add_planner(self, tell: Tell, lives: bool, settings: Settings | None = None) -> None:
        self.tell.append(tell)
        self.tuned.append(settings)
        self.live.append(lives)

    def planner_died(self, link: int) -> None:
        """Settle all that it held; its keys rest before another planner takes them."""
        self.live[link] = False
        self.rests[link] = self.clock() + self.settings.settle
        for exchange in [e for e in self.exchanges.values() if e.link == link]:
            exchange.end_without_planner()

    def planner_born(self, link: int) -> None:
        self.live[link] = True
        if settings := self.tuned[link]:  # what it read at its start may number the classes otherwise
            self.tell[link](Retune(settings, tuple(range(len(settings.classes)))))
        self.tell[link](ListChange(ListScope.FULL, tuple(t.entry for t in self.targets.values())))
