"""State that a scheduler keeps about queries, attempts, queues and engines.

Times and durations are in nanoseconds. Nothing here makes a decision. The records refer to each other: a
query to its attempts in flight, an attempt to its query and its engine, an engine to its attempts and queued
queries.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from query_gateway.model.averages import DecayedAverage
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import Request
from query_gateway.model.forecasts import (
    QueuedThreadIndex,
    QueuedThreads,
    QueuePlace,
    index_queued_threads,
)
from query_gateway.model.request_classes import ClassState
from query_gateway.model.settings import ClassSettings, Idempotency
from query_gateway.model.workload import CompletionForecasts, ThreadsInUse


class AttemptKey(NamedTuple):
    """Identifies an attempt: its request and its number within the request."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, eq=False)
class AttemptState:
    """An attempt of a query that is in flight at an engine."""

    query: "QueryState"
    number: int
    engine: "EngineState"
    sent_at: int
    last_note_at: int  # time of the last progress note, or of the send
    is_long: bool  # whether its class was long when the attempt was sent
    progress: float = 0.0  # share of the work done, by the last progress note
    progress_at: int = 0  # time of that note; 0: none
    cancelled: bool = False
    lost: bool = False  # presumed lost: its threads no longer count as in use

    @property
    def key(self) -> AttemptKey:
        """The key of the attempt in `EngineState.in_flight`."""
        return AttemptKey(self.query.request.request_id, self.number)


@dataclass(slots=True)
class ExecutedAttempt:
    """An attempt that has ended and may have run."""

    sent_at: int
    engine: "EngineState"


@dataclass(slots=True, eq=False)
class QueryState:
    """A request, from its arrival until it is answered and its last attempt has ended."""

    request: Request
    request_class: ClassState
    arrived_at: int
    priority_weight: float  # value of an answer in time
    work: float  # expected, summed over all threads
    run_time: float  # expected
    due_at: int  # the earlier of the latency objective's deadline and the client's
    place: QueuePlace  # sort key in a queue
    max_attempts: int  # limit in force at its arrival
    attempt_count: int = 0
    in_flight: list[AttemptState] = field(default_factory=list)
    executed: list[ExecutedAttempt] = field(default_factory=list)  # in the order in which they ended
    failed_at: list["EngineState"] = field(default_factory=list)  # engines at which an attempt ended in error
    queued_at: "EngineState | None" = None
    start_at: float = 0.0  # expected start, estimated at admission
    ended: bool = False
    restarts: int = 0  # attempts cancelled to run again, other than from ejected or removed engines
    priority: int = -1  # last priority sent to the engine; -1: none yet

    @property
    def settings(self) -> ClassSettings:
        """The class settings that were in force when the query arrived."""
        return self.request_class.settings

    @property
    def is_idempotent(self) -> bool:
        """Whether the query may safely run more than once, without an idempotency key."""
        return self.request_class.settings.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_key_ordered(self) -> bool:
        """Whether per-key ordering applies to the query: queries of its key run one at a time."""
        return self.request_class.settings.ordered_by_key and self.request.key is not None

    @property
    def first_sent_at(self) -> int | None:
        """When the first of the attempts was sent that may have run or are in flight; None: there is none."""
        sent_at = [executed.sent_at for executed in self.executed]
        sent_at += [attempt.sent_at for attempt in self.in_flight]
        return min(sent_at) if sent_at else None

    @property
    def first_executed_at(self) -> int | None:
        """When the first attempt that may have run was sent; None if there is no such attempt."""
        return self.executed[0].sent_at if self.executed else None

    def corrected_memory_mb(self) -> float:
        """The memory estimate in MB, corrected by the mean error of the class."""
        return self.request.estimated_memory_mb * math.exp(self.request_class.memory_error.value)

    def attempt(self, number: int) -> AttemptState | None:
        """The attempt in flight with this number, if any."""
        for attempt in self.in_flight:
            if attempt.number == number:
                return attempt
        return None


class QueueEntry(NamedTuple):
    """An entry of a deadline queue, which is sorted by place."""

    place: QueuePlace
    query: QueryState


@dataclass(slots=True, eq=False)
class DeadlineQueue:
    """Queries sorted by deadline.

    `index` caches sums of the threads queued before each place, for `threads_before` in a long queue.
    """

    entries: list[QueueEntry] = field(default_factory=list)
    index: QueuedThreadIndex | None = None

    def add(self, query: QueryState) -> None:
        """Insert a query at its place."""
        insort(self.entries, QueueEntry(query.place, query))

    def remove(self, query: QueryState) -> None:
        """Remove a query. Raises ValueError if it is not in this queue."""
        self.entries.remove(QueueEntry(query.place, query))

    def threads_before(self, query: QueryState, now: int, exact_length: int, index_age: int) -> int:
        """Threads of the queries before a query in the queue, of classes of the same length (short or long).

        For a queue longer than `exact_length` the result comes from a cached index, which is rebuilt after
        `index_age` nanoseconds per entry or when the queue length has changed by more than an eighth.
        """
        is_long = query.request_class.is_long
        if len(self.entries) > exact_length:
            return self._current_index(now, index_age).threads_before(query.place, is_long)
        threads = 0
        for place, other in self.entries:
            if place >= query.place:
                break
            threads += other.request_class.settings.threads * (other.request_class.is_long == is_long)
        return threads

    def _current_index(self, now: int, index_age: int) -> QueuedThreadIndex:
        index, length = self.index, len(self.entries)
        resized = index is not None and abs(length - len(index.places)) * 8 > length
        if index is None or resized or now >= index.valid_until:
            queued = [
                QueuedThreads(place, query.request_class.settings.threads, query.request_class.is_long)
                for place, query in self.entries
            ]
            index = self.index = index_queued_threads(queued, now + index_age * length)
        return index

    def queries_behind(self, query: QueryState) -> list[QueryState]:
        """The queries from a query's place on, of classes of the same length."""
        start = bisect_left(self.entries, query.place, key=lambda entry: entry[0])
        is_long = query.request_class.is_long
        return [other for _, other in self.entries[start:] if other.request_class.is_long == is_long]


@dataclass(slots=True, eq=False)
class Workload:
    """Queued and in-flight work of this gateway, at one engine or over all engines."""

    threads_in_use: ThreadsInUse = field(default_factory=ThreadsInUse)  # excludes attempts presumed lost
    queue: DeadlineQueue = field(default_factory=DeadlineQueue)
    forecasts: CompletionForecasts = field(default_factory=CompletionForecasts)


class RecentSend(NamedTuple):
    """A query that was recently sent to an engine."""

    sent_at: int
    request_class: ClassState


@dataclass(slots=True, eq=False)
class EngineSnapshot:
    """An engine at the last refresh of the fleet snapshot."""

    slowdown: float = 0.0  # log(run time / uncontended run time)
    load: float = 0.0  # estimated share of the engine's cores kept busy by the queries of all gateways
    load_of_others: float = 0.0  # estimated part of `load` that is due to other gateways
    saturated: bool = False
    saturation_threads: float = 0.0  # threads of this gateway at which the engine is saturated
    penalty: float = 1.0  # expected run time relative to a healthy engine; also updated at each fault
    in_slow_start: bool = False


@dataclass(slots=True, eq=False)  # compared by identity
class EngineState:
    """State of one query engine. All fields except `snapshot` are updated as events arrive."""

    info: EndpointInfo
    cores: int
    memory_mb: float
    listed: bool = True
    tie_breaker: float = 0.0  # random, from 0 to 1
    snapshot: EngineSnapshot = field(default_factory=EngineSnapshot)
    # Queries in flight and queued
    workload: Workload = field(default_factory=Workload)
    in_flight: dict[AttemptKey, AttemptState] = field(default_factory=dict)
    table_locks: dict[float, list[AttemptState]] = field(default_factory=dict)  # loads, by table group
    # Table groups whose data the cache of the engine is assumed to hold, least recently used first
    warm_table_groups: list[float] = field(default_factory=list)
    # Cached results of `policy.load_placement.takes_loads`, by table group
    takes_loads_of: dict[float, bool] = field(default_factory=dict)
    # Speed and health
    log_slowdown: DecayedAverage = field(default_factory=DecayedAverage)
    reported_load: float = 0.0  # busy share of its cores, from its last load report
    reported_at: int = 0
    fault_rate: float = 0.0  # decayed share of attempts that ended in error
    last_received_at: int = 0  # time of the last answer or progress note
    ejected_until: int = 0
    ejection_time: int = 0  # duration of the last ejection, without jitter; 0 after probation or a restart
    on_probation: bool = False
    probation_since: int = 0
    # A connection failed when nothing had been received for longer than a brief pause (`policy.unresponsive`)
    unreachable: bool = False
    # Start of the engine process
    started_at: int = 0
    start_known_at: int = 0  # when this gateway learned of that start
    recent_sends: deque[RecentSend] = field(default_factory=deque)

    @property
    def is_up(self) -> bool:
        """Whether the endpoint list has the engine as up: not draining and not removed."""
        return self.listed and self.info.state is EndpointState.UP

    def is_ejected(self, now: int) -> bool:
        """Whether the engine is ejected at clock time `now`."""
        return now < self.ejected_until

    def record_send(self, request_class: ClassState, now: int, lifetime: int) -> None:
        """Record a query sent to this engine, and drop the records older than `lifetime` nanoseconds."""
        self.recent_sends.append(RecentSend(now, request_class))
        while self.recent_sends and self.recent_sends[0].sent_at < now - lifetime:
            self.recent_sends.popleft()

    def record_table_group(self, table_group: float | None, limit: int) -> None:
        """Record the table group of a query sent here; the `limit` most recent table groups are kept."""
        if table_group is not None:
            other_groups = [group for group in self.warm_table_groups if group != table_group]
            self.warm_table_groups = [*other_groups, table_group][-limit:]

    def restart(self, started_at: int, now: int) -> None:
        """Reset what applied to the previous engine process: caches, slowdown, faults and ejection."""
        self.started_at, self.start_known_at = started_at, now
        self.warm_table_groups.clear()
        self.log_slowdown, self.fault_rate = DecayedAverage(), 0.0
        self.ejected_until = self.ejection_time = 0
