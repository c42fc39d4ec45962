"""Scripted settings and events for the tests; it plays no engine, it only records what was sent."""

from dataclasses import replace

from query_gateway.model.actions import Action, Cancel, Forward
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import AttemptOutcome, EndpointUpdate, Event, OutcomeCode, Request
from query_gateway.model.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    MemoryShortage,
    Settings,
)
from query_gateway.policy.scheduler import Scheduler

MS, SEC = 1_000_000, 1_000_000_000

QUICK = ClassSettings(
    latency_objective=SEC,
    objective_per_run_time=2.0,
    timeout=5 * SEC,
    priority_weight=1.0,
    late_weight=0.0,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window=5 * SEC,
    threads=1,
    locks_tables=False,
    waits_for_locks=False,
    ordered_by_key=False,
    allowed_zones=None,
    allowed_kinds=None,
)
REPORT = replace(
    QUICK, latency_objective=3 * SEC, timeout=25 * SEC, priority_weight=6.0, late_weight=0.3, threads=2
)
LOAD = replace(REPORT, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=3.0, locks_tables=True)

SITE = Settings(
    instance_index=0,
    instance_count=1,
    zone=0,
    classes=(QUICK, REPORT, LOAD),
    tenant_quotas=(),
    over_quota_weight=0.1,
    cores_by_kind=(8,),
    memory_mb_by_kind=(16384.0,),
    max_grant_share=0.4,
    memory_shortage=MemoryShortage.WAIT,
    takes_memory_grants=True,
    heeds_priorities=True,
    progress_interval=2 * SEC,
    reports_cost=False,
    load_report_fields=(),
    polls_endpoint_list=False,
    allows_health_checks=False,
    allows_gossip=False,
    allows_cancellation=True,
    allows_hedging=False,
    allows_retry_after=True,
    max_retry_after=SEC,
    max_attempts=4,
    marks_retry=True,
    cross_zone_cost=0.0,
    cold_capacity=0.3,
    slow_start_window=10 * SEC,
    cold_overload_factor=2.0,
    cold_overload_window=2 * SEC,
    key_quarantine=500 * MS,
    max_poll_interval=10 * SEC,
    retry_allowance=None,
    retries_per_request=0.0,
    retry_window=0,
)


def engine(  # noqa: PLR0913, PLR0917 - every field of an entry may matter to a test
    name: str,
    state: EndpointState = EndpointState.UP,
    launched: int = 0,
    zone: int = 0,
    kind: int = 0,
    group: int = 0,
) -> EndpointInfo:
    return EndpointInfo(name, state, zone, kind, group, launched, 1.0)


class World:
    """One gateway with its clock."""

    def __init__(
        self, settings: Settings = SITE, engines: tuple[EndpointInfo, ...] = (), at: int = 100 * SEC
    ) -> None:
        self.scheduler = Scheduler(settings, 7)
        self.settings = settings
        self.now = at
        self.next = 0
        self.sent: list[Forward] = []
        self.copies: dict[int, int] = {}
        self.last: list[Action] = []
        self.notify(EndpointUpdate(EndpointUpdateKind.CACHED, engines))

    def notify(self, *events: Event, after: int = 0) -> list[Action]:
        self.now += after
        self.last = self.scheduler.handle(self.now, list(events))
        for action in self.last:
            if isinstance(action, Forward):
                self.sent.append(action)
                self.copies[action.request_id] = self.copies.get(action.request_id, -1) + 1
        return self.last

    def request(  # noqa: PLR0913, PLR0917 - every field of a request may matter to a test
        self,
        cls: int = 0,
        key: str | None = None,
        left: int | None = None,
        tables: float = 1.0,
        retry: bool = False,
        cost: int | None = None,
    ) -> Request:
        self.next += 1
        span = self.settings.classes[cls].timeout if left is None else left
        return Request(self.next, cls, self.now + span, 0, tables, key, cost, 0.0, retry)

    def ask(self, cls: int = 0, **more: object) -> Request:
        r = self.request(cls, **more)  # type: ignore[arg-type]
        self.notify(r)
        return r

    def end(
        self, xid: int, code: OutcomeCode, took: int = 200 * MS, after: int = 0, final: bool | None = None
    ) -> list[Action]:
        send = next(s for s in reversed(self.sent) if s.request_id == xid)
        done = code is OutcomeCode.OK if final is None else final
        o = AttemptOutcome(xid, done, code, took, self.copies[xid], send.endpoint, None, None, ())
        return self.notify(o, after=after)

    def of(self, kind: type) -> list[Action]:
        return [a for a in self.last if isinstance(a, kind)]


def cancels(actions: list[Action]) -> list[tuple[int, int]]:
    return [(a.request_id, a.attempt_number) for a in actions if isinstance(a, Cancel)]
