"""What a forwarder has taken: exchanges, their attempts, and exactly one final answer for each.

The client's side and the engine's side meet only here. A planner decides; the forwarder owes the answer, so
whatever a planner does or fails to do, the deadline ends every exchange.
"""

from collections.abc import Callable
from typing import Protocol
from zlib import crc32

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import (
    Answer,
    Client,
    ClientRequest,
    Endpoint,
    EngineClient,
    QueryObserver,
    Verdict,
)
from query_gateway.model.actions import Action, Cancel, Fail, Forward, Reject, SetTerms
from query_gateway.model.endpoints import EndpointState, EndpointUpdateKind
from query_gateway.model.events import (
    AttemptOutcome,
    EndpointUpdate,
    Event,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
    Request,
    RequestAbandoned,
    SettingsUpdate,
)
from query_gateway.model.settings import DeduplicationScope, Idempotency, Settings

MS = 1_000_000
STOP_WAY = 60 * MS  # until a stopped attempt counts as over: guards against the next one overtaking
# the stop on another connection and being out beside it; no answer waits for this
GRACE = 5 * MS  # past its deadline an exchange that no planner ended is ended here
LAST = -1  # stands for the number of the last attempt sent, where the exchange that knew it has ended
NEVER_RAN = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.NOT_SENT)


class Alarm(Protocol):
    def cancel(self) -> None: ...


Alarms = Callable[[int, Callable[[], None]], Alarm]  # at a clock time
Tell = Callable[[Event], None]


class Attempt:
    """One attempt, out from its start until its one end."""

    __slots__ = (
        "exchange",
        "number",
        "endpoint",
        "sent_at",
        "memory_mb",
        "priority",
        "in_flight",
        "duration",
        "pages",
        "reported_work",
        "used_mb",
    )

    def __init__(self, exchange: "Exchange", number: int, engine: str, now: int) -> None:
        self.exchange, self.number, self.endpoint, self.sent_at = exchange, number, engine, now
        self.memory_mb, self.priority = exchange.terms
        self.in_flight = True
        self.duration = self.reported_work = 0
        self.used_mb = 0.0
        self.pages: list[bytes] = []

    @property
    def request(self) -> ClientRequest:
        return self.exchange.request

    def on_send_deadline(self) -> None:
        """Guards against doubled effects: a late dial, or an engine that reads no further, may outlast the
        time in which it may leave.
        """
        if self.in_flight:
            self.exchange.withdraw()

    def on_written(self) -> None:
        self.exchange.forwarder.counters.forwards += 1

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        if self.in_flight:
            if (
                kind is ProgressKind.SPILLING
                and self.request.shape
                and (observer := self.exchange.forwarder.observer)
            ):
                observer.on_spilled(self.request, self.exchange.forwarder.clock())
            self.exchange.notify_planner(
                ProgressNote(self.exchange.request_id, self.number, self.endpoint, kind, level)
            )

    def on_executed(self) -> None:
        """The engine has done the work; what follows is the result's way here."""
        self.duration = self.duration or self.exchange.forwarder.clock() - self.sent_at

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        self.reported_work, self.used_mb = work_ns, used_mb

    def on_page(self, data: bytes, left: Callable[[], None] = lambda: None) -> None:
        if not self.in_flight:
            return
        if self.exchange.streams_results:
            self.exchange.pass_page(data, left)
        else:
            self.pages.append(data)

    def on_ended(self, code: OutcomeCode) -> None:
        if self.in_flight:
            self.in_flight = False
            self.exchange.attempt_ended(self, code)


class Exchange:
    __slots__ = (
        "forwarder",
        "request_id",
        "request",
        "client",
        "wire",
        "planner_index",
        "streams_results",
        "attempts",
        "attempt_count",
        "terms",
        "answered",
        "results_started",
        "timer",
        "planner_notified",
        "first_executed_at",
        "class_settings",
    )

    def __init__(
        self, desk: "Forwarder", xid: int, query: ClientRequest, client: Client, wire: str, link: int
    ) -> None:
        self.forwarder, self.request_id, self.request = desk, xid, query
        self.client, self.wire, self.planner_index = client, wire, link
        self.streams_results = desk.engine_clients[wire].streams_results
        self.class_settings = desk.settings.classes[
            query.class_index
        ]  # kept, whatever the settings say later
        self.attempts: list[Attempt] = []
        self.attempt_count = 0  # as the planner counts them: what was not begun here has its number, too
        self.terms: tuple[float, int] = 0.0, 1
        self.answered = self.results_started = self.planner_notified = False
        self.first_executed_at: int | None = None  # when the first attempt that may have run was sent
        self.timer: Alarm | None = None

    @property
    def current_attempt(self) -> Attempt | None:
        return self.attempts[-1] if self.attempts and self.attempts[-1].in_flight else None

    @property
    def may_have_run(self) -> bool:
        return self.first_executed_at is not None

    @property
    def send_deadline(self) -> int:
        """Until when an attempt may leave: engines drop a repeat only as long as they remember the first."""
        if self.first_executed_at is None or self.class_settings.idempotency is not Idempotency.KEYED:
            return self.request.deadline
        return min(self.request.deadline, self.first_executed_at + self.class_settings.deduplication_window)

    def notify_planner(self, event: Event) -> None:
        if self.planner_notified:
            self.forwarder.notify_planners[self.planner_index](event)

    # ---- what the engine side reports

    def pass_page(self, data: bytes, left: Callable[[], None]) -> None:
        if not self.answered:
            self.results_started = True
            self.client.send_page(data, left)

    def attempt_ended(self, attempt: Attempt, code: OutcomeCode) -> None:
        if self.first_executed_at is None and code not in NEVER_RAN:
            self.first_executed_at = attempt.sent_at
        took = (
            attempt.duration
            if code is OutcomeCode.OK and attempt.duration
            else self.forwarder.clock() - attempt.sent_at
        )
        if not self.answered and code is OutcomeCode.OK:
            self.answer(Answer(Verdict.SERVED, tuple(attempt.pages)))
        elif not self.answered and self.results_started:
            # Guards the rule on refusals: rows have left, so no other attempt can stand in for this one
            self.answer(Answer(Verdict.FAILED))
        attempt.pages.clear()
        if self.request.shape and (observer := self.forwarder.observer):
            work = attempt.reported_work or took * self.class_settings.threads
            observer.on_attempt_ended(
                self.request, attempt.endpoint, code, work, attempt.used_mb, self.forwarder.clock()
            )
        self.notify_planner(outcome(self, attempt, code, took))
        self.forwarder.release(self)

    # ---- the answer

    def answer(self, answer: Answer) -> None:
        """The one final answer; whatever comes after it is nobody's."""
        if self.answered:
            return
        if answer.verdict is Verdict.REJECTED and self.results_started:
            answer = Answer(Verdict.FAILED)
        self.answered = True
        self.forwarder.counters.count_answer(self.request.class_name, answer.verdict)
        self.client.send_answer(answer)

    def abandon(self) -> None:
        """The client has left: no answer is owed."""
        if not self.answered:
            self.answered = True
            self.notify_planner(RequestAbandoned(self.request_id))
            # Guards engines against work for nobody: the planner may be elsewhere, or may not call off
            self.withdraw()
            self.forwarder.release(self)

    def withdraw(self) -> bool:
        """End the attempt that is out as never sent, where nothing of it has left."""
        attempt = self.current_attempt
        if attempt is None or not self.forwarder.engine_clients[self.wire].withdraw(attempt):
            return False
        attempt.on_ended(OutcomeCode.NOT_SENT)
        return True

    def abort_attempt(self, code: OutcomeCode) -> None:
        if not self.withdraw() and (attempt := self.current_attempt):
            self.forwarder.engine_clients[self.wire].cancel(attempt)
            attempt.on_ended(code)

    def on_deadline(self) -> None:
        """Time is up: the planner, told so, still says how the exchange ends, else it is ended here."""
        self.timer = self.forwarder.call_at(self.request.deadline + GRACE, self.on_overdue)
        self.abort_attempt(OutcomeCode.TIMEOUT)

    def on_overdue(self) -> None:
        if not self.answered:
            self.answer(Answer(Verdict.FAILED))
            self.notify_planner(RequestAbandoned(self.request_id))
        self.abort_attempt(OutcomeCode.CANCELLED)
        self.forwarder.release(self)

    def end_without_planner(self) -> None:
        """Guards what a dead planner held: refuse where that is harmless, else fail."""
        self.planner_notified = False
        self.withdraw()  # what has not left never ran: then a refusal is true in every class
        harmless = self.forwarder.may_reject(self)
        self.abort_attempt(OutcomeCode.CANCELLED)
        self.answer(Answer(Verdict.REJECTED if harmless else Verdict.FAILED))
        self.forwarder.release(self)


def outcome(exchange: Exchange, attempt: Attempt, code: OutcomeCode, took: int) -> AttemptOutcome:
    over = exchange.answered
    return AttemptOutcome(
        exchange.request_id, over, code, took, attempt.number, attempt.endpoint, None, None, ()
    )


class ForwardingEngineClient(EngineClient, Protocol):
    streams_results: bool  # rows go on as they come, else the result is collected first


class Forwarder:
    """The forwarder's table of exchanges."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], alarms: Alarms, most: int, first_xid: int = 1
    ) -> None:
        self.settings, self.clock, self.call_at, self.max_exchanges = settings, clock, alarms, most
        self.engine_clients: dict[str, ForwardingEngineClient] = {}
        self.notify_planners: list[Tell] = []
        self.exchanges: dict[int, Exchange] = {}
        self.open_client_ids: set[str] = set()  # the clients' ids of what is open
        self.endpoints: dict[str, Endpoint] = {}
        self.planner_settings: list[
            Settings | None
        ] = []  # by planner: its settings, if it has them from us alone
        self.planner_connected: list[bool] = []  # by planner, as `tell`: whether it can be told anything
        self.quarantined_until: dict[int, int] = {}  # by planner: until when its keys rest, as one has died
        self.quarantined: dict[int, list[Exchange]] = {}  # and what waits for that, in the order taken
        self.next_request_id, self.next_planner = first_xid, 0
        self.counters = Counters()
        self.observer: QueryObserver | None = None
        self.on_idle: Callable[[], None] = lambda: None  # called when the last exchange has ended

    @property
    def open_request_count(self) -> int:
        """What is taken and has no answer yet; an answered exchange may linger for its attempt."""
        return sum(not exchange.answered for exchange in self.exchanges.values())

    def accept(self, query: ClientRequest, client: Client, wire: str) -> Exchange:
        """From here on one final answer is owed."""
        xid = self.next_request_id
        self.next_request_id += 1
        exchange = Exchange(self, xid, query, client, wire, self._link(query))
        if (
            len(self.exchanges) >= self.max_exchanges
        ):  # guards the memory: more than anyone could serve in time
            exchange.answer(Answer(Verdict.REJECTED, retry_after_ns=self.settings.max_retry_after))
            return exchange
        if query.client_id in self.open_client_ids:
            # Guards the engines' good name: an id stands for one request there, so the second cannot be sent
            exchange.answer(Answer(Verdict.FAILED))
            return exchange
        if not self.planner_connected[exchange.planner_index]:
            exchange.answer(Answer(Verdict.REJECTED, retry_after_ns=self.settings.max_retry_after))
            return exchange
        self.exchanges[xid] = exchange
        self.open_client_ids.add(query.client_id)
        if query.shape and self.observer:
            self.observer.on_accepted(query)
        exchange.timer = self.call_at(query.deadline, exchange.on_deadline)
        link = exchange.planner_index
        if query.key and (link in self.quarantined or self.quarantined_until.get(link, 0) > self.clock()):
            waiting = self.quarantined.setdefault(link, [])
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
        if self.quarantined_until[link] > self.clock():
            self.call_at(self.quarantined_until[link], lambda: self._rest(link))
            return
        for exchange in self.quarantined.pop(link, []):
            self._hand_over(exchange)

    def _link(self, query: ClientRequest) -> int:
        """A key always goes to the same planner; the rest take turns among those that live."""
        if query.key:
            return crc32(query.key.encode()) % len(self.notify_planners)
        live = [link for link, lives in enumerate(self.planner_connected) if lives] or [0]
        self.next_planner += 1
        return live[self.next_planner % len(live)]

    def _hand_over(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        if not self.planner_connected[exchange.planner_index]:
            exchange.end_without_planner()
            return
        q = exchange.request
        exchange.planner_notified = True
        exchange.notify_planner(
            Request(
                exchange.request_id,
                q.class_index,
                q.deadline,
                0,
                q.table_group,
                q.key,
                q.estimated_work,
                q.memory_mb,
                q.is_retry,
            )
        )

    def release(self, exchange: Exchange) -> None:
        if not exchange.answered or exchange.current_attempt or exchange.request_id not in self.exchanges:
            return
        del self.exchanges[exchange.request_id]
        self.open_client_ids.discard(exchange.request.client_id)
        if exchange.request.shape and self.observer:
            self.observer.on_settled(exchange.request)
        if exchange.timer:
            exchange.timer.cancel()
        if not self.exchanges:
            self.on_idle()

    def may_reject(self, exchange: Exchange) -> bool:
        """Whether a refusal is true: nothing may have run, or the class may be asked again all the same."""
        c = exchange.class_settings
        again = c.idempotency is Idempotency.IDEMPOTENT or (
            c.idempotency is Idempotency.KEYED and c.deduplication_scope is DeduplicationScope.ALL
        )
        return again or not (exchange.may_have_run or exchange.current_attempt)

    # ---- what planners decide

    def apply(self, action: Action, link: int = 0) -> None:
        match action:
            case Forward(xid, engine, _) if xid not in self.exchanges:
                self.notify_planners[link](
                    AttemptOutcome(xid, True, OutcomeCode.NOT_SENT, 0, LAST, engine, None, None, ())
                )
            case Forward(xid, engine, _):
                self._send(xid, engine)
            case Cancel(xid, copy):
                self._cancel(xid, copy)
            case Reject(xid, wait):
                self._answer(xid, Answer(Verdict.REJECTED, retry_after_ns=wait))
            case Fail(xid):
                self._answer(xid, Answer(Verdict.FAILED))
            case SetTerms(xid, memory, priority):
                self._terms(xid, memory, priority)
            case _:
                pass  # nothing else is allowed here: probes and peers are the module's for other sites

    def _send(self, xid: int, engine: str) -> None:
        exchange = self.exchanges[xid]
        attempt = Attempt(exchange, exchange.attempt_count, engine, self.clock())
        exchange.attempt_count += 1
        # Guards the rules on single attempts, answers and drains against a planner that is behind the events
        late = exchange.answered or exchange.results_started or exchange.current_attempt is not None
        late |= self.clock() >= exchange.send_deadline
        target = self.endpoints.get(engine)
        if (
            late
            or target is None
            or target.info.state is not EndpointState.UP
            or exchange.wire not in target.addresses
        ):
            attempt.in_flight = False
            exchange.notify_planner(outcome(exchange, attempt, OutcomeCode.NOT_SENT, 0))
            return
        exchange.attempts.append(attempt)
        self.engine_clients[exchange.wire].start(attempt)
        if attempt.in_flight and exchange.send_deadline < exchange.request.deadline:
            self.call_at(exchange.send_deadline, attempt.on_send_deadline)

    def _cancel(self, xid: int, copy: int) -> None:
        exchange = self.exchanges.get(xid)
        # Guards a result under way: once rows have left no other attempt can stand in for this one, so only
        # its client, its engine or its deadline end it
        if exchange is None or (exchange.results_started and not exchange.answered):
            return
        attempt = exchange.current_attempt
        if attempt and attempt.number == copy and not exchange.withdraw():
            self.engine_clients[exchange.wire].cancel(attempt)
            if exchange.answered:
                attempt.on_ended(OutcomeCode.CANCELLED)
            else:
                self.call_at(self.clock() + STOP_WAY, lambda: attempt.on_ended(OutcomeCode.CANCELLED))

    def _answer(self, xid: int, answer: Answer) -> None:
        exchange = self.exchanges.get(xid)
        if exchange and not exchange.results_started:
            exchange.answer(answer)
            self.release(exchange)

    def _terms(self, xid: int, memory: float, priority: int) -> None:
        exchange = self.exchanges.get(xid)
        if exchange is None:
            return
        exchange.terms = memory, priority
        if (attempt := exchange.current_attempt) and attempt.priority != priority:
            attempt.priority = priority
            self.engine_clients[exchange.wire].set_priority(attempt)

    def update_settings(self, settings: Settings, tuned: list[Settings], fresh: tuple[int, ...]) -> None:
        """New rules for what is taken from here on; `tuned` has the settings of each planner."""
        self.settings = settings
        for link, told in enumerate(tuned):
            self.planner_settings[link] = told
            self.notify_planners[link](SettingsUpdate(told, fresh))

    # ---- the list, and planners that die

    def update_endpoints(self, targets: list[Endpoint], full: bool) -> None:
        if full:
            self.endpoints = {}
        for target in targets:
            self.endpoints[target.info.name] = target
        for wire in self.engine_clients.values():
            wire.update_endpoints(targets, full)
        entries = tuple(t.info for t in targets)
        for tell in self.notify_planners:
            tell(EndpointUpdate(EndpointUpdateKind.SNAPSHOT if full else EndpointUpdateKind.DELTA, entries))
        for name in [n for n, t in self.endpoints.items() if t.info.state is EndpointState.REMOVED]:
            del self.endpoints[name]  # guards the table against every engine that ever was

    def add_planner(self, tell: Tell, lives: bool, settings: Settings | None = None) -> None:
        self.notify_planners.append(tell)
        self.planner_settings.append(settings)
        self.planner_connected.append(lives)

    def on_planner_lost(self, link: int) -> None:
        """Settle all that it held; its keys rest before another planner takes them."""
        self.planner_connected[link] = False
        self.quarantined_until[link] = self.clock() + self.settings.key_quarantine
        for exchange in [e for e in self.exchanges.values() if e.planner_index == link]:
            exchange.end_without_planner()

    def on_planner_connected(self, link: int) -> None:
        self.planner_connected[link] = True
        if settings := self.planner_settings[
            link
        ]:  # what it read at its start may number the classes otherwise
            self.notify_planners[link](SettingsUpdate(settings, tuple(range(len(settings.classes)))))
        self.notify_planners[link](
            EndpointUpdate(EndpointUpdateKind.SNAPSHOT, tuple(t.info for t in self.endpoints.values()))
        )
