"""What a scheduler keeps about queries, their attempts, the queues and the engines.

Times and durations are nanoseconds. Nothing is decided here. The records refer to each other: a query to its
attempts in flight, an attempt to its query and its engine, an engine to both.
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
    """Which attempt of which request."""

    request_id: int
    attempt_number: int


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt of a query at one engine, while it is in flight."""

    query: "QueryState"
    number: int
    engine: "EngineState"
    sent_at: int
    last_note_at: int  # last progress note, or the send
    is_long: bool  # of its class, as it was sent
    progress: float = 0.0  # share of the work done, by the last note
    progress_at: int = 0  # clock time of that note
    cancelled: bool = False
    lost: bool = False  # taken for lost: it counts no threads

    @property
    def key(self) -> AttemptKey:
        """By which its engine keeps it."""
        return AttemptKey(self.query.request.request_id, self.number)


@dataclass(slots=True)
class ExecutedAttempt:
    """An attempt that has ended and may have run."""

    sent_at: int
    engine: "EngineState"


@dataclass(slots=True, eq=False)
class QueryState:
    """A request from its arrival until its answer is given and its last attempt has ended."""

    request: Request
    request_class: ClassState
    arrived_at: int
    priority_weight: float  # what an answer in time counts for
    work: float  # expected, over all its threads
    run_time: float  # expected
    due_at: int  # clock time: the lesser of the class deadline and the client's
    place: QueuePlace  # in a queue
    max_attempts: int  # attempts allowed when it came
    attempt_count: int = 0
    in_flight: list[AttemptState] = field(default_factory=list)
    executed: list[ExecutedAttempt] = field(default_factory=list)
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

    @property
    def is_key_ordered(self) -> bool:
        """Whether it runs one at a time with the other queries of its key."""
        return self.request_class.settings.ordered_by_key and self.request.key is not None

    @property
    def first_executed_at(self) -> int | None:
        """When the first attempt that may have run was sent; None: no attempt may have run."""
        return self.executed[0].sent_at if self.executed else None

    def corrected_memory_mb(self) -> float:
        """The estimate of its memory in MB, corrected by what its class has shown."""
        return self.request.estimated_memory_mb * math.exp(self.request_class.memory_error.value)

    def attempt(self, number: int) -> AttemptState | None:
        """The attempt in flight of this number, if any."""
        for attempt in self.in_flight:
            if attempt.number == number:
                return attempt
        return None


class QueueEntry(NamedTuple):
    """A query in a queue, which is ordered by place."""

    place: QueuePlace
    query: QueryState


@dataclass(slots=True, eq=False)
class DeadlineQueue:
    """Queries by earliest deadline, and a sum of their threads that is kept for a while."""

    entries: list[QueueEntry] = field(default_factory=list)
    index: QueuedThreadIndex | None = None

    def add(self, query: QueryState) -> None:
        """Put a query in its place."""
        insort(self.entries, QueueEntry(query.place, query))

    def remove(self, query: QueryState) -> None:
        """Take a query out. Raises ValueError if it is not queued here."""
        self.entries.remove(QueueEntry(query.place, query))

    def threads_before(self, query: QueryState, now: int, exact_length: int, index_age: int) -> int:
        """Threads before a query's place, of classes of its length.

        A queue longer than `exact_length` is summed up once in a while: `index_age` nanoseconds for each
        entry.
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
        grown = index is not None and abs(length - len(index.places)) * 8 > length
        if index is None or grown or now >= index.valid_until:
            queued = [
                QueuedThreads(place, query.request_class.settings.threads, query.request_class.is_long)
                for place, query in self.entries
            ]
            index = self.index = index_queued_threads(queued, now + index_age * length)
        return index

    def queries_behind(self, query: QueryState) -> list[QueryState]:
        """The queries from a query's place on, in classes of its length."""
        start = bisect_left(self.entries, query.place, key=lambda entry: entry[0])
        is_long = query.request_class.is_long
        return [other for _, other in self.entries[start:] if other.request_class.is_long == is_long]


@dataclass(slots=True, eq=False)
class Workload:
    """What this gateway has queued and in flight, at one engine or in all."""

    threads_in_use: ThreadsInUse = field(default_factory=ThreadsInUse)  # of attempts not taken for lost
    queue: DeadlineQueue = field(default_factory=DeadlineQueue)
    forecasts: CompletionForecasts = field(default_factory=CompletionForecasts)


class RecentSend(NamedTuple):
    """A query that was sent to an engine lately."""

    sent_at: int
    request_class: ClassState


@dataclass(slots=True, eq=False)
class EngineSnapshot:
    """How an engine stood when the fleet snapshot was last refreshed."""

    slowdown: float = 0.0  # log of run time over the uncontended one
    load: float = 0.0  # busy share of its cores, by all gateways
    load_of_others: float = 0.0  # threads of other gateways for each core
    saturated: bool = False
    saturation_threads: float = 0.0  # threads of this gateway from which it counts as saturated
    penalty: float = 1.0  # expected run time over that of a healthy engine; also refreshed at each fault
    in_slow_start: bool = False


@dataclass(slots=True, eq=False)  # looked up by identity, not field by field
class EngineState:
    """What is known of one query engine. All fields but `snapshot` are live."""

    info: EndpointInfo
    cores: int
    memory_mb: float
    listed: bool = True
    tie_breaker: float = 0.0  # from 0 to 1, random
    snapshot: EngineSnapshot = field(default_factory=EngineSnapshot)
    # What runs there, and what waits for it
    workload: Workload = field(default_factory=Workload)
    in_flight: dict[AttemptKey, AttemptState] = field(default_factory=dict)
    table_locks: dict[float, list[AttemptState]] = field(default_factory=dict)  # by table group
    warm_table_groups: list[float] = field(default_factory=list)  # least recently used first
    takes_loads_of: dict[float, bool] = field(default_factory=dict)  # by table group
    # Its speed and its health
    log_slowdown: DecayedAverage = field(default_factory=DecayedAverage)
    reported_load: float = 0.0  # busy share of its cores by its last report
    reported_at: int = 0
    fault_rate: float = 0.0  # decayed share of attempts that ended in error
    last_received_at: int = 0  # last answer or progress note
    ejected_until: int = 0
    ejection_time: int = 0  # length of the last ejection
    on_probation: bool = False
    probation_since: int = 0
    unreachable: bool = False  # no connection could be opened, and nothing came for long
    # Its start
    started_at: int = 0
    start_known_at: int = 0  # when this gateway learned of that start
    recent_sends: deque[RecentSend] = field(default_factory=deque)

    @property
    def is_up(self) -> bool:
        """Whether the endpoint list has it, neither draining nor removed."""
        return self.listed and self.info.state is EndpointState.UP

    def is_ejected(self, now: int) -> bool:
        """Whether its ejection lasts at a clock time."""
        return now < self.ejected_until

    def record_send(self, request_class: ClassState, now: int, lifetime: int) -> None:
        """Remember a query sent here for so many nanoseconds."""
        self.recent_sends.append(RecentSend(now, request_class))
        while self.recent_sends and self.recent_sends[0].sent_at < now - lifetime:
            self.recent_sends.popleft()

    def record_table_group(self, table_group: float | None, limit: int) -> None:
        """Remember what was read last; of that, `limit` table groups are kept."""
        if table_group is not None:
            other_groups = [group for group in self.warm_table_groups if group != table_group]
            self.warm_table_groups = [*other_groups, table_group][-limit:]

    def restart(self, started_at: int, now: int) -> None:
        """The process is a new one: no cache is warm, and faults and ejections were the old one's."""
        self.started_at, self.start_known_at = started_at, now
        self.warm_table_groups.clear()
        self.log_slowdown, self.fault_rate = DecayedAverage(), 0.0
        self.ejected_until = self.ejection_time = 0
