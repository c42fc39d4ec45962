"""Harness for scheduler tests: example settings, scripted events, and a record of the actions.

Engines are not simulated: a test ends each attempt itself.
"""

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
    slow_start_initial_capacity=0.3,
    slow_start_window=10 * SEC,
    slow_start_overload_factor=2.0,
    slow_start_overload_window=2 * SEC,
    key_quarantine=500 * MS,
    max_poll_interval=10 * SEC,
    retry_allowance=None,
    retries_per_request=0.0,
    retry_window=0,
)


def engine(  # noqa: PLR0913, PLR0917 - tests set any field of an endpoint list entry
    name: str,
    state: EndpointState = EndpointState.UP,
    started_at: int = 0,
    zone: int = 0,
    kind: int = 0,
    group: int = 0,
) -> EndpointInfo:
    return EndpointInfo(name, state, zone, kind, group, started_at, 1.0)


class SchedulerHarness:
    """The scheduler of one gateway on a test clock, with a record of the attempts it started."""

    def __init__(
        self, settings: Settings = SITE, engines: tuple[EndpointInfo, ...] = (), now: int = 100 * SEC
    ) -> None:
        self.scheduler = Scheduler(settings, 7)
        self.settings = settings
        self.now = now
        self.next_request_id = 0
        self.sent: list[Forward] = []
        self.attempt_numbers: dict[int, int] = {}  # number of the last attempt, by request id
        self.last_actions: list[Action] = []
        self.notify(EndpointUpdate(EndpointUpdateKind.CACHED, engines))

    def notify(self, *events: Event, after: int = 0) -> list[Action]:
        """Advance the clock by `after` nanoseconds, handle the events, and return the scheduler's actions."""
        self.now += after
        self.last_actions = self.scheduler.handle(self.now, list(events))
        for action in self.last_actions:
            if isinstance(action, Forward):
                self.sent.append(action)
                number = self.attempt_numbers.get(action.request_id, -1) + 1
                self.attempt_numbers[action.request_id] = number
        return self.last_actions

    def new_request(  # noqa: PLR0913, PLR0917 - tests set any field of a request
        self,
        class_index: int = 0,
        key: str | None = None,
        time_left: int | None = None,
        table_group: float = 1.0,
        is_retry: bool = False,
        estimated_work: int | None = None,
    ) -> Request:
        """Create a request without sending it; its client times out after `time_left` nanoseconds."""
        self.next_request_id += 1
        timeout = self.settings.classes[class_index].timeout if time_left is None else time_left
        deadline = self.now + timeout
        return Request(
            self.next_request_id, class_index, deadline, 0, table_group, key, estimated_work, 0.0, is_retry
        )

    def send_request(self, class_index: int = 0, **fields: object) -> Request:
        """Create a request and pass it to the scheduler."""
        request = self.new_request(class_index, **fields)  # type: ignore[arg-type]
        self.notify(request)
        return request

    def end_attempt(
        self,
        request_id: int,
        code: OutcomeCode,
        duration: int = 200 * MS,
        after: int = 0,
        final: bool | None = None,
    ) -> list[Action]:
        """End the last attempt of a request; `final`: this ends the request, too (default: for an OK)."""
        forward = next(forward for forward in reversed(self.sent) if forward.request_id == request_id)
        is_final = code is OutcomeCode.OK if final is None else final
        number = self.attempt_numbers[request_id]
        return self.notify(
            AttemptOutcome(request_id, is_final, code, duration, number, forward.endpoint, None, None, ()),
            after=after,
        )

    def last_actions_of(self, action_type: type) -> list[Action]:
        """The actions of this type that the last call of `notify` returned."""
        return [action for action in self.last_actions if isinstance(action, action_type)]


def cancellations(actions: list[Action]) -> list[tuple[int, int]]:
    """Request id and attempt number of each cancellation."""
    return [(action.request_id, action.attempt_number) for action in actions if isinstance(action, Cancel)]
