"""Scripted settings and events for the tests; it plays no engine, it only records what was told and sent."""

from dataclasses import replace

from mothknot.interface import (
    Action,
    Cancel,
    ClassSettings,
    Code,
    Entry,
    Event,
    ListChange,
    ListScope,
    Outcome,
    Repeat,
    Request,
    Scope,
    Send,
    Settings,
    Short,
    State,
)
from mothknot.policy import Gateway

MS, SEC = 1_000_000, 1_000_000_000

QUICK = ClassSettings(
    aim=SEC,
    aim_stretch=2.0,
    give_up=5 * SEC,
    worth=1.0,
    late_value=0.0,
    repeat=Repeat.SAFE,
    scope=Scope.ALL,
    memory_span=5 * SEC,
    threads=1,
    loads=False,
    waits=False,
    in_turn=False,
    stays_in=None,
    bound_to=None,
)
REPORT = replace(QUICK, aim=3 * SEC, give_up=25 * SEC, worth=6.0, late_value=0.3, threads=2)
LOAD = replace(REPORT, repeat=Repeat.UNSAFE, worth=3.0, loads=True)

SITE = Settings(
    me=0,
    instances=1,
    my_zone=0,
    classes=(QUICK, REPORT, LOAD),
    quotas=(),
    over_share_worth=0.1,
    cores=(8,),
    memory_mb=(16384.0,),
    most_grant=0.4,
    when_short=Short.WAIT,
    grants=True,
    priorities=True,
    progress=2 * SEC,
    tells_cost=False,
    report_fields=(),
    asks_list=False,
    may_probe=False,
    peers=False,
    cancelling=True,
    second_copies=False,
    retry_after=True,
    max_retry_after=SEC,
    max_attempts=4,
    marks_retry=True,
    cross_zone_fee=0.0,
    start_capacity=0.3,
    cold=10 * SEC,
    overload_factor=2.0,
    tip_after=2 * SEC,
    settle=500 * MS,
    must_ask_in=10 * SEC,
    spare_attempts=None,
    extra_per_request=0.0,
    counted_over=0,
)


def engine(
    name: str, state: State = State.UP, launched: int = 0, zone: int = 0, kind: int = 0, group: int = 0
) -> Entry:
    return Entry(name, state, zone, kind, group, launched, 1.0)


class World:
    """One gateway with its clock."""

    def __init__(
        self, settings: Settings = SITE, engines: tuple[Entry, ...] = (), at: int = 100 * SEC
    ) -> None:
        self.gate = Gateway(settings, 7)
        self.settings = settings
        self.now = at
        self.next = 0
        self.sent: list[Send] = []
        self.copies: dict[int, int] = {}
        self.last: list[Action] = []
        self.tell(ListChange(ListScope.CACHED, engines))

    def tell(self, *events: Event, after: int = 0) -> list[Action]:
        self.now += after
        self.last = self.gate.handle(self.now, list(events))
        for action in self.last:
            if isinstance(action, Send):
                self.sent.append(action)
                self.copies[action.xid] = self.copies.get(action.xid, -1) + 1
        return self.last

    def request(self, cls: int = 0, key: str | None = None, left: int | None = None, tables: float = 1.0,
                retry: bool = False, cost: int | None = None) -> Request:  # fmt: skip
        self.next += 1
        span = self.settings.classes[cls].give_up if left is None else left
        return Request(self.next, cls, self.now + span, 0, tables, key, cost, 0.0, retry)

    def ask(self, cls: int = 0, **more: object) -> Request:
        r = self.request(cls, **more)  # type: ignore[arg-type]
        self.tell(r)
        return r

    def end(
        self, xid: int, code: Code, took: int = 200 * MS, after: int = 0, final: bool | None = None
    ) -> list[Action]:
        send = next(s for s in reversed(self.sent) if s.xid == xid)
        done = code is Code.OK if final is None else final
        o = Outcome(xid, done, code, took, self.copies[xid], send.engine, None, None, ())
        return self.tell(o, after=after)

    def of(self, kind: type) -> list[Action]:
        return [a for a in self.last if isinstance(a, kind)]


def cancels(actions: list[Action]) -> list[tuple[int, int]]:
    return [(a.xid, a.copy) for a in actions if isinstance(a, Cancel)]
