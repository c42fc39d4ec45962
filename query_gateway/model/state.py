"""The state that the modules of `policy` share: one record for each scheduler, handed to each function.

It consists of parts, each with the modules of `policy` that change it beside the methods here:

    classes         learning, class_lengths           what is known of each class of requests
    queries         admission, answers                requests that are open or have an attempt in flight
    workload        admission, release                threads in use, queue and forecasts over all engines
    key_queues      key_ordering                      per-key ordering
    fleet           fleet_snapshot, outliers          the engines
    controller      controller                        the lag ratio
    tenants         tenants                           quotas and gossip
    retry_budget    retry_budget                      requests and retries within a window
    fleet_share     capacity                          rounding of this gateway's share of the fleet
    watch, timer    scheduler                         the endpoint list's watch, the review timer

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
    """Whether the endpoint list is being watched, and from when on it may be again."""

    active: bool = False
    retry_at: int = 0  # clock time

    def begin(self, now: int) -> bool:
        """Begin to watch; False if that is so already, or too early after a failure."""
        if self.active or now < self.retry_at:
            return False
        self.active = True
        return True

    def fail(self, retry_at: int) -> None:
        """The watch failed; it may begin again at a clock time."""
        self.active, self.retry_at = False, retry_at


@dataclass(slots=True)
class PeriodicFraction:
    """A random fraction of one, drawn once in each period."""

    period: int = -1
    fraction: float = 0.0

    def draw(self, period: int, random: Random) -> float:
        """The fraction of a period, by its number."""
        if period != self.period:
            self.period, self.fraction = period, random.random()
        return self.fraction


@dataclass(slots=True)
class FleetShareState:
    """What rounds this gateway's share of the fleet."""

    phase: float  # share of a period by which this gateway's periods are apart from those of others
    rounding: PeriodicFraction = field(default_factory=PeriodicFraction)


@dataclass(slots=True)
class ControllerState:
    """The controller of the lag ratio."""

    lag_ratio: float = 1.0
    metric: float = 1.0  # weight served in time over weight requested, when last checked
    checked_at: int = 0
    costs: CostTotals = field(default_factory=CostTotals)


@dataclass(slots=True)
class TenantState:
    """Traffic and quotas of the tenants."""

    traffic: TenantTraffic = field(default_factory=TenantTraffic)
    buckets: list[TokenBucket] = field(default_factory=list)  # by tenant
    gossip_sent_at: int = 0

    def restart(self, tenant_count: int) -> None:
        """Start counting and limiting again, as the quotas have changed."""
        self.traffic.counts = [DecayedAverage() for _ in range(tenant_count)]
        self.buckets = [TokenBucket() for _ in range(tenant_count)]


@dataclass(slots=True)
class ReviewTimer:
    """The timer by which attempts in flight are reviewed."""

    armed: bool = False
    stalled: bool = False  # the events at hand came late because this process did not run


class SchedulerState:
    """Everything that a scheduler knows. Only `policy` and the restoring of learned state change it."""

    def __init__(self, settings: Settings, random: Random, prior_work: float) -> None:
        """Start with no engine and no query.

        `prior_work` is the share of a client timeout, for each thread, taken as work before any sample.
        """
        self.settings = settings
        self.random = random
        self.now = 0
        self.started_at = 0  # clock time of the first events
        self.actions: list[Action] = []  # answer to the events at hand
        self.classes = RequestClasses(prior_work)
        self.queries: dict[int, QueryState] = {}  # by request id
        self.workload = Workload()
        self.last_full_release_at = 0  # when the queue was last looked over in full
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
        """Go on under new settings; a class that is not new keeps what was learned of it."""
        settings, is_first = update.settings, not len(self.classes)
        self.classes.update_settings(settings.classes, update.new_classes)
        if is_first or settings.tenant_quotas != self.settings.tenant_quotas:
            self.tenants.restart(len(settings.tenant_quotas))
        self.settings = settings

    def record_gossip(self, message: GossipMessage) -> None:
        """Keep what a peer reports of its traffic."""
        self.tenants.traffic.record_report(message.sender, message.data, self.now)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Take over a snapshot or a delta; what a snapshot leaves out is no longer listed."""
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
        """Forget a query without an attempt in flight; the next of its key may run."""
        self.queries.pop(query.request.request_id, None)
        self.key_queues.remove(query)

    def add_attempt(self, query: QueryState, engine: EngineState) -> None:
        """Record that an attempt of a query leaves for an engine now."""
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
        """Record that an attempt has ended, at the engine that the outcome names."""
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
        """Take an attempt for lost: it counts no threads from now on."""
        self._count_threads(attempt, -attempt.query.settings.threads)
        attempt.lost = True

    def _count_threads(self, attempt: AttemptState, threads: int) -> None:
        """Add to the threads in use, unless the attempt is lost; slow start counts at its engine alone."""
        if attempt.lost:
            return
        attempt.engine.workload.threads_in_use.add(threads, attempt.is_long)
        if not attempt.engine.snapshot.in_slow_start:
            self.workload.threads_in_use.add(threads, attempt.is_long)
