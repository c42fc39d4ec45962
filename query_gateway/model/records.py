"""What a scheduler keeps about classes, queries, attempts and engines. Times are nanoseconds.

Records only: nothing is decided here and no figure is tuned here; that is the policy's.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.events import Request
from query_gateway.model.forecasts import CompletionForecast, QueuedThreadIndex
from query_gateway.model.settings import ClassSettings


@dataclass(slots=True)
class ClassState:
    settings: ClassSettings
    prior_work: float  # work expected before any sample
    work: RunningMean = field(default_factory=RunningMean)
    log_work: RunningMean = field(default_factory=RunningMean)
    estimate_error: RunningMean = field(default_factory=RunningMean)  # log of true work over the estimate
    memory_error: RunningMean = field(default_factory=RunningMean)  # log of true memory over the estimate
    slowdown: DecayedAverage = field(default_factory=DecayedAverage)  # run time over uncontended run time
    run_time_error: RunningMean = field(
        default_factory=RunningMean
    )  # log of run time over the one expected at arrival
    is_long: bool = False
    work_share: float = 1.0  # of the work in hand
    longest_timeout: int = 0  # longest client time seen on a first try

    def with_settings(self, s: ClassSettings) -> "ClassState":
        """The same class under new rules; its means are shared with the record that open queries keep."""
        return replace(self, settings=s, longest_timeout=0)

    def mean_work(self) -> float:
        return self.work.value if self.work.count else self.prior_work


@dataclass(slots=True)
class AttemptState:
    number: int
    engine: "EngineState"
    sent_at: int
    last_heard_at: int  # last note, or the send
    is_long: bool
    progress: float = 0.0  # of the work done, by the last note
    progress_at: int = 0
    cancelled: bool = False
    lost: bool = False


@dataclass(slots=True)
class QueryState:
    request: Request
    request_class: ClassState
    arrived_at: int
    weight: float
    work: float
    run_time: float
    due_at: int  # clock time: the lesser of the class deadline and the client's
    order: tuple[int, int]
    max_attempts: int  # attempts allowed when it came
    attempt_count: int = 0
    in_flight: list[AttemptState] = field(default_factory=list)
    executed: list[tuple[int, "EngineState"]] = field(default_factory=list)  # attempts that may have run
    failed_at: list["EngineState"] = field(default_factory=list)  # where it ended in error
    queued_at: "EngineState | None" = None
    start_at: float = 0.0
    ended: bool = False
    restarts: int = 0
    priority: int = -1


@dataclass(slots=True, eq=False)  # looked up by what it is, not field by field
class EngineState:
    info: EndpointInfo
    cores: int
    memory_mb: float
    listed: bool = True
    in_flight: dict[tuple[int, int], tuple[QueryState, AttemptState]] = field(default_factory=dict)
    warm_table_groups: list[float] = field(default_factory=list)
    log_slowdown: DecayedAverage = field(default_factory=DecayedAverage)
    fault_rate: float = 0.0
    last_heard_at: int = 0
    ejected_until: int = 0
    ejection_time: int = 0
    on_probation: bool = False
    probation_since: int = 0  # when that trial began
    unreachable: bool = False
    tie_breaker: float = 0.0
    threads_in_use: list[int] = field(
        default_factory=lambda: [0, 0]
    )  # threads of ours, of short and of long classes
    queue: list[tuple[tuple[int, int], "QueryState"]] = field(default_factory=list)
    slowdown: float = (
        0.0  # pace, load a core and that of others, and whether it is pressed, by the last survey
    )
    load: float = 0.0
    load_of_others: float = 0.0
    saturated: bool = False
    reported_load: float = 0.0  # busy share of its cores by its last report
    reported_at: int = 0
    started_at: int = 0
    start_known_at: int = 0  # when we heard of that start
    in_slow_start: bool = False  # started so lately that rights bound what it gets, by the last survey
    recent_sends: deque[tuple[int, ClassState]] = field(default_factory=deque)
    table_locks: dict[float, list[tuple["QueryState", AttemptState]]] = field(
        default_factory=dict
    )  # ours, by tables
    load_placement: dict[float, bool] = field(default_factory=dict)  # tables whose loads it takes
    saturation_threads: float = (
        0.0  # threads of ours from which it is pressed, and its illness, by the last survey
    )
    penalty: float = 1.0
    queued_threads: "QueuedThreadIndex | None" = None
    forecasts: list["CompletionForecast | None"] = field(
        default_factory=lambda: [None, None]
    )  # of short and of long classes

    def begin_probation(self, now: int) -> None:
        """One query at a time until the engine is heard again."""
        self.on_probation, self.probation_since = True, now
