"""What a scheduler keeps about classes, queries, attempts and engines. Times and durations are nanoseconds.

Records only: nothing is decided here and no figure is tuned here; that is the policy's.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field, replace
from zlib import crc32

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import AttemptOutcome, Request
from query_gateway.model.forecasts import CompletionForecast, QueuedThreadIndex, index_queued_threads
from query_gateway.model.settings import ClassSettings, Idempotency


@dataclass(slots=True)
class ClassState:
    """What is known of a class of queries. Work is in nanoseconds, summed over all threads of a query."""

    settings: ClassSettings
    prior_work: float  # work expected before any sample
    work: RunningMean = field(default_factory=RunningMean)
    log_work: RunningMean = field(default_factory=RunningMean)
    estimate_error: RunningMean = field(default_factory=RunningMean)  # log of true work over the estimate
    memory_error: RunningMean = field(default_factory=RunningMean)  # log of true memory over the estimate
    slowdown: DecayedAverage = field(default_factory=DecayedAverage)  # run time over uncontended run time
    run_time_error: RunningMean = field(default_factory=RunningMean)  # log of run time over the expected one
    is_long: bool = False  # by the last survey
    work_share: float = 1.0  # of the work of all classes
    longest_timeout: int = 0  # longest client timeout seen on a first request

    def with_settings(self, settings: ClassSettings) -> "ClassState":
        """The same class under new rules; its means are shared with the record that open queries keep."""
        return replace(self, settings=settings, longest_timeout=0)

    def mean_work(self) -> float:
        """Mean work of a query, or what is expected before any sample."""
        return self.work.value if self.work.count else self.prior_work

    def expected_work(self, request: Request, min_samples: int) -> float:
        """The mean, moved by the request's estimate as far as such estimates have proved right.

        Before `min_samples` answers to requests with an estimate, the estimate itself.
        """
        if not request.estimated_work or request.estimated_work <= 0:
            return self.mean_work()
        if self.estimate_error.count < min_samples:
            return float(request.estimated_work)
        trust = self.log_work.variance / max(1e-9, self.log_work.variance + self.estimate_error.variance)
        estimate = math.log(request.estimated_work) + self.estimate_error.value
        return math.exp(trust * estimate + (1 - trust) * self.log_work.value)

    def learn_from_answer(
        self,
        query: "QueryState",
        outcome: AttemptOutcome,
        weight: float,
        infers_work: bool,
        uncontended: bool,
    ) -> float:
        """Learn from a query that was served; return its run time over the uncontended one.

        `weight` is that of a sample in a mean. With `infers_work` the run time stands in for a true work that
        is not reported. Without `uncontended` only a known or estimated work counts.
        """
        threads, estimate = self.settings.threads, query.request.estimated_work
        run_time = max(1.0, float(outcome.duration))
        if estimate and (outcome.work or infers_work):
            self.estimate_error.add(math.log((outcome.work or run_time * threads) / estimate), weight)
        corrected = estimate * math.exp(self.estimate_error.value) if estimate else run_time * threads
        work = float(outcome.work or corrected)
        has_work = bool(outcome.work or estimate)
        if has_work or uncontended:
            self.work.add(work, weight)
            self.log_work.add(math.log(max(1.0, work)), weight)
        if outcome.memory_mb and query.request.estimated_memory_mb:
            self.memory_error.add(math.log(outcome.memory_mb / query.request.estimated_memory_mb), weight)
        expected = (work if has_work else self.mean_work()) / threads
        self.run_time_error.add(math.log(run_time / query.run_time), weight)
        return run_time / max(1.0, expected)


@dataclass(slots=True)
class AttemptState:
    """One attempt of a query at one engine."""

    number: int
    engine: "EngineState"
    sent_at: int
    last_heard_at: int  # last progress note, or the send
    is_long: bool  # of its class, as it was sent
    progress: float = 0.0  # share of the work done, by the last note
    progress_at: int = 0  # clock time of that note
    cancelled: bool = False
    lost: bool = False  # taken for lost: it counts no threads


@dataclass(slots=True)
class QueryState:
    """A request from its arrival until its answer is given and its last attempt has ended."""

    request: Request
    request_class: ClassState
    arrived_at: int
    priority_weight: float  # what an answer in time counts for
    work: float  # expected, over all its threads
    run_time: float  # expected
    due_at: int  # clock time: the lesser of the class deadline and the client's
    order: tuple[int, int]  # place in a queue: deadline and request number
    max_attempts: int  # attempts allowed when it came
    attempt_count: int = 0
    in_flight: list[AttemptState] = field(default_factory=list)
    executed: list[tuple[int, "EngineState"]] = field(default_factory=list)  # attempts that may have run
    failed_at: list["EngineState"] = field(default_factory=list)  # where it ended in error
    queued_at: "EngineState | None" = None
    start_at: float = 0.0  # clock time expected at admission
    ended: bool = False
    restarts: int = 0  # attempts cancelled to run again, but for ejections
    priority: int = -1  # last one given to the engine; -1: none yet

    @property
    def settings(self) -> ClassSettings:
        """The rules of its class, as they were at its arrival."""
        return self.request_class.settings

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.request_class.settings.idempotency is Idempotency.IDEMPOTENT

    def corrected_memory_mb(self) -> float:
        """The estimate of its memory in MB, corrected by what its class has shown."""
        return self.request.estimated_memory_mb * math.exp(self.request_class.memory_error.value)

    @property
    def is_key_ordered(self) -> bool:
        """Whether it runs one at a time with the other queries of its key."""
        return self.request_class.settings.ordered_by_key and self.request.key is not None

    def attempt(self, number: int) -> AttemptState | None:
        """The attempt in flight of this number, if any."""
        for attempt in self.in_flight:
            if attempt.number == number:
                return attempt
        return None


@dataclass(slots=True, eq=False)
class DeadlineQueue:
    """Queries by earliest deadline, and a sum of their threads that is kept for a while."""

    entries: list[tuple[tuple[int, int], QueryState]] = field(default_factory=list)  # by `QueryState.order`
    index: QueuedThreadIndex | None = None

    def add(self, query: QueryState) -> None:
        """Put a query in its place."""
        insort(self.entries, (query.order, query))

    def remove(self, query: QueryState) -> None:
        """Take a query out. Raises ValueError if it is not queued here."""
        self.entries.remove((query.order, query))

    def threads_ahead(self, query: QueryState, now: int, exact_length: int, age: int) -> int:
        """Threads before a query's place, of classes of its length.

        A queue longer than `exact_length` is summed up once in a while: `age` nanoseconds for each entry.
        """
        is_long = query.request_class.is_long
        if len(self.entries) > exact_length:
            return self._current_index(now, age).threads_ahead(query.order, is_long)
        threads = 0
        for order, other in self.entries:
            if order >= query.order:
                break
            threads += other.request_class.settings.threads * (other.request_class.is_long == is_long)
        return threads

    def _current_index(self, now: int, age: int) -> QueuedThreadIndex:
        index, length = self.index, len(self.entries)
        grown = index is not None and abs(length - len(index.orders)) * 8 > length
        if index is None or grown or now >= index.valid_until:
            places = [
                (order, query.request_class.settings.threads, query.request_class.is_long)
                for order, query in self.entries
            ]
            index = self.index = index_queued_threads(places, now + age * length)
        return index

    def weight_made_late(self, query: QueryState, delay: float) -> float:
        """Weight behind a query's place, in classes of its length, that a delay (ns) would make late."""
        place = bisect_left(self.entries, query.order, key=lambda entry: entry[0])
        is_long = query.request_class.is_long
        behind = [other for _, other in self.entries[place:] if other.request_class.is_long == is_long]
        return math.fsum(
            other.priority_weight
            for other in behind
            if 0 < other.due_at - other.start_at - other.run_time <= delay
        )


@dataclass(slots=True, eq=False)  # looked up by what it is, not field by field
class EngineState:
    """What is known of one query engine; fields marked "surveyed" are as of the last survey."""

    info: EndpointInfo
    cores: int
    memory_mb: float
    listed: bool = True
    in_flight: dict[tuple[int, int], tuple[QueryState, AttemptState]] = field(default_factory=dict)
    warm_table_groups: list[float] = field(default_factory=list)  # least recently used first
    log_slowdown: DecayedAverage = field(default_factory=DecayedAverage)
    fault_rate: float = 0.0  # decayed share of attempts that ended in error
    last_heard_at: int = 0
    ejected_until: int = 0
    ejection_time: int = 0  # length of the last ejection
    on_probation: bool = False
    probation_since: int = 0
    unreachable: bool = False  # no connection could be opened for long
    tie_breaker: float = 0.0
    threads_in_use: list[int] = field(default_factory=lambda: [0, 0])  # ours, of short and of long classes
    queue: DeadlineQueue = field(default_factory=DeadlineQueue)
    slowdown: float = 0.0  # surveyed; log of run time over the uncontended one
    load: float = 0.0  # surveyed; busy share of its cores, ours and others'
    load_of_others: float = 0.0  # surveyed; threads of other gateways for each core
    saturated: bool = False  # surveyed
    reported_load: float = 0.0  # busy share of its cores by its last report
    reported_at: int = 0
    started_at: int = 0
    start_known_at: int = 0  # when we heard of that start
    in_slow_start: bool = False  # surveyed
    recent_sends: deque[tuple[int, ClassState]] = field(default_factory=deque)  # clock time and class
    table_locks: dict[float, list[tuple[QueryState, AttemptState]]] = field(default_factory=dict)
    load_placement: dict[float, bool] = field(default_factory=dict)  # by table group: takes its loads
    saturation_threads: float = 0.0  # surveyed; threads of ours from which it counts as saturated
    penalty: float = 1.0  # surveyed; expected run time over that of a healthy engine
    forecasts: list[CompletionForecast | None] = field(default_factory=lambda: [None, None])

    @property
    def is_up(self) -> bool:
        """Whether the endpoint list has it, neither draining nor removed."""
        return self.listed and self.info.state is EndpointState.UP

    def is_saturated(self) -> bool:
        """Whether it is saturated by the last survey, or by what we have sent there since."""
        return self.saturated or self.threads_in_use[0] + self.threads_in_use[1] >= self.saturation_threads

    def takes_loads(self, table_group: float, one_in: int, limit: int) -> bool:
        """Whether it is among the engines for loads of a table group, the same ones at all gateways.

        Those are one in so many. Up to `limit` table groups are remembered.
        """
        takes = self.load_placement.get(table_group)
        if takes is None:
            takes = crc32(f"{self.info.name} {table_group}".encode()) % one_in == 0
            if len(self.load_placement) < limit:
                self.load_placement[table_group] = takes
        return takes

    def begin_probation(self, now: int) -> None:
        """One query at a time until the engine is heard again."""
        self.on_probation, self.probation_since = True, now

    def record_sign_of_life(self, now: int) -> None:
        """The engine was heard: once its ejection is over, that ends its probation.

        One that was unreachable has a new process, though the endpoint list does not say so yet.
        """
        self.last_heard_at = now
        if self.on_probation and now >= self.ejected_until:
            if self.unreachable:
                self.started_at = self.start_known_at = max(self.started_at, now)
            self.on_probation, self.unreachable, self.ejection_time = False, False, 0

    def record_answer(self, query: QueryState, failed: bool, weight: float) -> None:
        """Count an answer in the fault rate, by `weight`.

        Guards engines against queries that none can serve: the second engine that errs clears the first.
        """
        if not failed or not query.failed_at or query.failed_at[0] is self:
            self.fault_rate += weight * (failed - self.fault_rate)
        elif len(query.failed_at) == 1:
            first = query.failed_at[0]
            first.fault_rate = max(0.0, (first.fault_rate - weight) / (1 - weight))
        if failed:
            query.failed_at.append(self)

    def record_send(self, request_class: ClassState, now: int, lifetime: int) -> None:
        """Remember a query sent here for so many nanoseconds."""
        self.recent_sends.append((now, request_class))
        while self.recent_sends and self.recent_sends[0][0] < now - lifetime:
            self.recent_sends.popleft()

    def record_table_group(self, table_group: float | None, limit: int) -> None:
        """Remember what was read last; of that, `limit` table groups are kept."""
        if table_group is not None:
            others = [group for group in self.warm_table_groups if group != table_group]
            self.warm_table_groups = [*others, table_group][-limit:]

    def restart(self, started_at: int, now: int) -> None:
        """The process is a new one: nothing is warm, and its past says nothing."""
        self.started_at, self.start_known_at = started_at, now
        self.warm_table_groups.clear()
        self.log_slowdown, self.fault_rate = DecayedAverage(), 0.0
        self.ejected_until = self.ejection_time = 0

    def silence_hazard(self, now: int) -> tuple[float, int]:
        """Mean runs without a sign, summed over what is in flight, and the longest silence (nanoseconds)."""
        silences = [
            (now - max(self.last_heard_at, attempt.sent_at), query, attempt)
            for query, attempt in self.in_flight.values()
        ]
        hazard = math.fsum(
            silence / max(query.run_time, now - attempt.sent_at - silence)
            for silence, query, attempt in silences
        )
        return hazard, max(silence for silence, _, _ in silences)
