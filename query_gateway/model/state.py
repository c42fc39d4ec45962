"""The state shared by the modules of `policy`: one `SchedulerState` per scheduler, passed to each function.

Its parts, and the modules that modify them most besides the methods here (`learning` is in `model`, the
others are in `policy`):

    classes         learning, class_lengths           settings and learned state of each class
    queries         admission, answers                requests that are open or have attempts in flight
    workload        admission, release                threads in use, queue and forecasts over all engines
    key_queues      key_ordering                      per-key ordering
    fleet           fleet_snapshot, outliers          the engines
    controller      controller                        the lag ratio
    tenants         tenants                           quotas and gossip
    retry_budget    retry_budget                      requests and retries within a window
    fleet_share     capacity                          rounding of this gateway's share of the fleet
    watch, timer    scheduler                         watch of the endpoint list, review timer

Times and durations are in nanoseconds.
"""

from dataclasses import dataclass, field
from random import Random

from query_gateway.model.actions import Action
from query_gateway.model.averages import DecayedAverage
from query_gateway.model.budgets import RetryBudget, TokenBucket
from query_gateway.model.costs import CostTotals
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, GossipMessage, SettingsUpdate
from query_gateway.model.fleet import Fleet
from query_gateway.model.gossip import TenantTraffic
from query_gateway.model.key_queues import KeyQueues
from query_gateway.model.records import AttemptState, EngineState, QueryState, Workload
from query_gateway.model.request_classes import RequestClasses
from query_gateway.model.settings import Settings


@dataclass(slots=True)
class EndpointWatch:
    """Whether the endpoint list is being watched, and when a failed watch may be retried."""

    active: bool = False
    retry_at: int = 0  # clock time

    def begin(self, now: int) -> bool:
        """Start the watch; False if it is active already or the back-off after a failure is not over."""
        if self.active or now < self.retry_at:
            return False
        self.active = True
        return True

    def fail(self, retry_at: int) -> None:
        """Record that the watch failed; it may start again at clock time `retry_at`."""
        self.active, self.retry_at = False, retry_at


@dataclass(slots=True)
class PeriodicFraction:
    """A random fraction from 0 to 1, drawn once per period."""

    period: int = -1
    fraction: float = 0.0

    def draw(self, period: int, random: Random) -> float:
        """The fraction for the period with this number."""
        if period != self.period:
            self.period, self.fraction = period, random.random()
        return self.fraction


@dataclass(slots=True)
class FleetShareState:
    """State for rounding this gateway's share of the fleet to a whole number of queries.

    The share is rounded up or down at random, with a new draw in each period (`policy.capacity`).
    """

    phase: float  # random offset of this gateway's periods from those of other gateways, in periods
    rounding: PeriodicFraction = field(default_factory=PeriodicFraction)


@dataclass(slots=True)
class ControllerState:
    """State of the lag ratio controller."""

    lag_ratio: float = 1.0
    metric: float = 1.0  # weight served in time / weight requested, at the last check
    checked_at: int = 0
    costs: CostTotals = field(default_factory=CostTotals)


@dataclass(slots=True)
class TenantState:
    """Traffic and quotas of the tenants."""

    traffic: TenantTraffic = field(default_factory=TenantTraffic)
    buckets: list[TokenBucket] = field(default_factory=list)  # by tenant
    gossip_sent_at: int = 0

    def restart(self, tenant_count: int) -> None:
        """Reset the counts and token buckets after a change of the quotas."""
        self.traffic.counts = [DecayedAverage() for _ in range(tenant_count)]
        self.buckets = [TokenBucket() for _ in range(tenant_count)]


@dataclass(slots=True)
class ReviewTimer:
    """State of the timer that triggers reviews of the attempts in flight."""

    armed: bool = False
    stalled: bool = False  # the current events were delayed because this process did not run


class SchedulerState:
    """The complete state of a scheduler. Only `policy` and `planner.learned_state` modify it."""

    def __init__(self, settings: Settings, random: Random, prior_work: float) -> None:
        """Start without engines and queries.

        `prior_work` is the work per thread assumed before the first sample, as a share of the client timeout.
        """
        self.settings = settings
        self.random = random
        self.now = 0
        self.started_at = 0  # clock time of the first events
        self.actions: list[Action] = []  # response to the current events
        self.classes = RequestClasses(prior_work)
        self.queries: dict[int, QueryState] = {}  # by request id
        self.workload = Workload()
        self.last_full_release_at = 0  # when the whole queue was last scanned for release
        self.key_queues = KeyQueues()
        self.retry_budget = RetryBudget()
        self.fleet = Fleet()
        self.fleet_share = FleetShareState(random.random())
        self.controller = ControllerState()
        self.tenants = TenantState()
        self.watch = EndpointWatch()
        self.timer = ReviewTimer()
        self.update_settings(SettingsUpdate(settings, ()))

    def update_settings(self, update: SettingsUpdate) -> None:
        """Apply new settings; classes that are not new keep their learned state."""
        settings, is_first = update.settings, not len(self.classes)
        self.classes.update_settings(settings.classes, update.new_classes)
        if is_first or settings.tenant_quotas != self.settings.tenant_quotas:
            self.tenants.restart(len(settings.tenant_quotas))
        self.settings = settings

    def record_gossip(self, message: GossipMessage) -> None:
        """Store a peer's traffic report."""
        self.tenants.traffic.record_report(message.sender, message.data, self.now)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Apply a snapshot or a delta; engines missing from a snapshot are no longer listed."""
        if update.kind is not EndpointUpdateKind.DELTA:
            names = {info.name for info in update.endpoints}
            for engine in self.fleet.engines.values():
                engine.listed = engine.listed and engine.info.name in names
        for info in update.endpoints:
            engine = self.fleet.engines.get(info.name) or self._add_engine(info)
            if info.started_at > engine.started_at:
                engine.restart(info.started_at, self.now)
            engine.info = info
            engine.listed = info.state is not EndpointState.REMOVED

    def _add_engine(self, info: EndpointInfo) -> EngineState:
        settings, kind = self.settings, info.kind
        cores, memory_mb = max(settings.cores_by_kind, default=1), 0.0
        if kind < len(settings.cores_by_kind):
            cores, memory_mb = settings.cores_by_kind[kind], settings.memory_mb_by_kind[kind]
        tie_breaker = self.random.random()
        engine = EngineState(info, cores, memory_mb, last_received_at=self.now, tie_breaker=tie_breaker)
        self.fleet.engines[info.name] = engine
        return engine

    def forget(self, query: QueryState) -> None:
        """Remove a query that has no attempt in flight; the next query of its key may run."""
        self.queries.pop(query.request.request_id, None)
        self.key_queues.remove(query)

    def add_attempt(self, query: QueryState, engine: EngineState) -> None:
        """Record that an attempt of a query is sent to an engine now."""
        number, table_group = query.attempt_count, query.request.table_group
        attempt = AttemptState(query, number, engine, self.now, self.now, query.request_class.is_long)
        if number > 0:
            self.retry_budget.retries.append(self.now)
        query.attempt_count, query.in_flight = number + 1, [*query.in_flight, attempt]
        engine.in_flight[attempt.key] = attempt
        if query.settings.locks_tables and table_group is not None:
            engine.table_locks.setdefault(table_group, []).append(attempt)
        self._count_threads(attempt, query.settings.threads)

    def remove_attempt(self, attempt: AttemptState, engine: EngineState) -> None:
        """Record that an attempt has ended. `engine` is the one named in the outcome."""
        query = attempt.query
        query.in_flight.remove(attempt)
        if engine.in_flight.pop(attempt.key, None):
            self._count_threads(attempt, -query.settings.threads)
        table_group = query.request.table_group
        if table_group in engine.table_locks:
            locks = [other for other in engine.table_locks[table_group] if other is not attempt]
            if locks:
                engine.table_locks[table_group] = locks
            else:
                del engine.table_locks[table_group]

    def mark_lost(self, attempt: AttemptState) -> None:
        """Presume an attempt lost: its threads no longer count as in use."""
        self._count_threads(attempt, -attempt.query.settings.threads)
        attempt.lost = True

    def _count_threads(self, attempt: AttemptState, threads: int) -> None:
        """Add to the threads in use, unless the attempt is lost.

        Threads at an engine in slow start count for that engine only, not for the fleet.
        """
        if attempt.lost:
            return
        attempt.engine.workload.threads_in_use.add(threads, attempt.is_long)
        if not attempt.engine.snapshot.in_slow_start:
            self.workload.threads_in_use.add(threads, attempt.is_long)
