"""The state that the modules of `policy` share: one record for each scheduler, handed to each function.

Times and durations are in nanoseconds.
"""

import math
from dataclasses import dataclass
from random import Random

from query_gateway.model.actions import Action
from query_gateway.model.averages import DecayedAverage
from query_gateway.model.budgets import RetryBudget, TokenBucket
from query_gateway.model.costs import CostTotals
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import EndpointUpdate, GossipMessage, SettingsUpdate
from query_gateway.model.forecasts import CompletionForecast
from query_gateway.model.gossip import TenantTraffic
from query_gateway.model.key_queues import KeyQueues
from query_gateway.model.records import AttemptState, ClassState, DeadlineQueue, EngineState, QueryState
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


class SchedulerState:
    """Everything that a scheduler knows. Only `policy` and the restoring of learned state change it."""

    def __init__(self, settings: Settings, random: Random, prior_work: float) -> None:
        """Start with no engine and no query.

        `prior_work` is the share of a client timeout, for each thread, taken as work before any sample.
        """
        self.settings = settings
        self.prior_work = prior_work
        self.random = random
        self.control_phase = random.random()  # share of a control period by which this gateway is apart
        self.now = 0
        self.started_at = 0  # clock time of the first events
        self.actions: list[Action] = []  # answer to the events at hand
        self.classes: list[ClassState] = []
        self.queries: dict[int, QueryState] = {}
        self.queue = DeadlineQueue()  # of all queries that wait
        self.has_lock_conflicts = False  # some class locks tables and some class waits for such locks
        self.key_queues = KeyQueues()
        self.released_at = 0  # when the whole queue was last looked over
        self.forecasts: list[CompletionForecast | None] = [None, None]  # of short and of long classes
        self.retry_budget = RetryBudget()
        self.traffic = TenantTraffic()
        self.buckets: list[TokenBucket] = []  # by tenant
        self.gossip_sent_at = 0
        # The fleet, by the last survey
        self.engines: dict[str, EngineState] = {}
        self.up: list[EngineState] = []
        self.warming_up: list[EngineState] = []  # of those, the ones within slow start
        self.all_ejected = False
        self.surveyed_at = 0
        self.cores = 1.0  # of engines that are up, not ejected and past slow start
        self.threads_in_use = [0, 0]  # ours, of short and of long classes, not counting slow start
        self.usual_threads = 0.0  # ours, smoothed
        self.threads_per_query = 1.0
        self.slowdown_samples = DecayedAverage()  # log of run time over the uncontended one, all engines
        self.load_reports = DecayedAverage()  # busy share of the cores, all engines
        self.fleet_load = 0.0  # decayed mean of the reports, or what our own threads let expect
        self.fleet_slowdown = 0.0  # decayed mean of the samples
        self.median_slowdown = 0.0  # of the engines past slow start
        self.congestion = 1.0  # by what our capacity is divided
        self.answer_interval = 0.0  # time between two answers of one engine
        self.quota_rounding = PeriodicFraction()  # the fraction that rounds our quota
        # The controller of the lag ratio
        self.lag_ratio = 1.0
        self.metric = 1.0  # weight served in time over weight requested, when last checked
        self.checked_at = 0
        self.costs = CostTotals()
        # The endpoint list and the timer
        self.watch = EndpointWatch()
        self.timer_armed = False
        self.stalled = False  # these events were late because we did not run
        self.update_settings(SettingsUpdate(settings, ()))

    def update_settings(self, update: SettingsUpdate) -> None:
        """Go on under new settings; a class that is not new keeps what was learned of it."""
        settings, old = update.settings, self.classes
        self.classes = [
            old[index].with_settings(rules)
            if index < len(old) and index not in update.new_classes
            else ClassState(rules, rules.timeout * self.prior_work * rules.threads)
            for index, rules in enumerate(settings.classes)
        ]
        locks = any(rules.locks_tables for rules in settings.classes)
        self.has_lock_conflicts = locks and any(rules.waits_for_locks for rules in settings.classes)
        if not old or settings.tenant_quotas != self.settings.tenant_quotas:
            self.traffic.counts = [DecayedAverage() for _ in settings.tenant_quotas]
            self.buckets = [TokenBucket() for _ in settings.tenant_quotas]
        self.settings = settings

    def record_gossip(self, message: GossipMessage) -> None:
        """Keep what a peer reports of its traffic."""
        self.traffic.record_report(message.sender, message.data, self.now)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Take over a snapshot or a delta; what a snapshot leaves out is no longer listed."""
        if update.kind is not EndpointUpdateKind.DELTA:
            named = {info.name for info in update.endpoints}
            for engine in self.engines.values():
                engine.listed = engine.listed and engine.info.name in named
        for info in update.endpoints:
            engine = self.engines.get(info.name) or self._add_engine(info)
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
        engine = EngineState(info, cores, memory_mb, last_heard_at=self.now, tie_breaker=tie_breaker)
        self.engines[info.name] = engine
        return engine

    def refresh_fleet(self) -> None:
        """Bring up to date which engines are up, ejected or in slow start, and the threads in use on them."""
        settings = self.settings
        # Guards the memory against every engine that ever was
        self.engines = {
            name: engine
            for name, engine in self.engines.items()
            if engine.listed or engine.in_flight or engine.queue.entries
        }
        engines = self.engines.values()
        self.up = [engine for engine in engines if engine.is_up]
        usable = [engine for engine in self.up if self.now >= engine.ejected_until]
        self.all_ejected = not usable  # then no engine is to blame
        for engine in engines:
            recent = engine.started_at > 0 and self.now - engine.started_at < settings.slow_start_window
            engine.in_slow_start = recent and settings.cold_overload_factor > 0
        # Credits bound what engines in slow start have of ours: neither they nor it count beside the others
        self.warming_up = [engine for engine in self.up if engine.in_slow_start]
        warm = [engine for engine in usable or self.up if not engine.in_slow_start]
        self.cores = float(sum(engine.cores for engine in warm)) or 1.0
        self.threads_in_use = [
            sum(engine.threads_in_use[length] for engine in engines if not engine.in_slow_start)
            for length in (0, 1)
        ]

    def refresh_classes(self, margin: float) -> None:
        """Share the work in flight out among the classes and part them into short and long ones.

        A class is long if its work is above the geometric middle by the factor `margin`.
        """
        works = [known.mean_work() for known in self.classes]
        weights = [(known.work.count + 1) * known.mean_work() for known in self.classes]  # threads in flight
        total = math.fsum(weights)
        middle = math.sqrt(min(works) * max(works)) * margin
        for known, work, weight in zip(self.classes, works, weights, strict=True):
            known.work_share = weight / total
            known.is_long = work > middle
        queries = [
            weight / known.settings.threads for weight, known in zip(weights, self.classes, strict=True)
        ]
        self.threads_per_query = total / math.fsum(queries)

    def forget(self, query: QueryState) -> None:
        """Forget a query that has ended everywhere; the next of its key may run."""
        self.queries.pop(query.request.request_id, None)
        self.key_queues.remove(query)

    def add_attempt(self, query: QueryState, engine: EngineState) -> None:
        """Record that an attempt of a query leaves for an engine now."""
        number, request = query.attempt_count, query.request
        attempt = AttemptState(number, engine, self.now, self.now, query.request_class.is_long)
        if number > 0:
            self.retry_budget.retries.append(self.now)
        query.attempt_count, query.in_flight = number + 1, [*query.in_flight, attempt]
        engine.in_flight[request.request_id, number] = query, attempt
        if query.settings.locks_tables and request.table_group is not None:
            engine.table_locks.setdefault(request.table_group, []).append((query, attempt))
        self.count_threads(attempt, query.settings.threads)

    def remove_attempt(self, query: QueryState, attempt: AttemptState, engine: EngineState) -> None:
        """Record that an attempt at an engine has ended."""
        query.in_flight.remove(attempt)
        request = query.request
        if engine.in_flight.pop((request.request_id, attempt.number), None):
            self.count_threads(attempt, -query.settings.threads)
        if request.table_group in engine.table_locks:
            locks = [lock for lock in engine.table_locks[request.table_group] if lock[1] is not attempt]
            if locks:
                engine.table_locks[request.table_group] = locks
            else:
                del engine.table_locks[request.table_group]

    def mark_lost(self, query: QueryState, attempt: AttemptState) -> None:
        """Take an attempt for lost: it counts no threads from now on."""
        self.count_threads(attempt, -query.settings.threads)
        attempt.lost = True

    def count_threads(self, attempt: AttemptState, threads: int) -> None:
        """Add to the threads in use, unless the attempt is lost; slow start counts at its engine alone."""
        if attempt.lost:
            return
        attempt.engine.threads_in_use[attempt.is_long] += threads
        if not attempt.engine.in_slow_start:
            self.threads_in_use[attempt.is_long] += threads
