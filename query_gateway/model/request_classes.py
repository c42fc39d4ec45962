"""What a scheduler keeps about the classes of requests. Times and durations are nanoseconds.

Work is in nanoseconds, summed over all threads of a query. A class is short or long by its mean work; which
one, `policy.class_lengths` decides.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.settings import ClassSettings


@dataclass(slots=True)
class ClassState:
    """What is known of a class of queries."""

    settings: ClassSettings
    prior_work: float  # work expected before any sample
    work: RunningMean = field(default_factory=RunningMean)
    log_work: RunningMean = field(default_factory=RunningMean)
    estimate_error: RunningMean = field(default_factory=RunningMean)  # log of true work over the estimate
    memory_error: RunningMean = field(default_factory=RunningMean)  # log of true memory over the estimate
    slowdown: DecayedAverage = field(default_factory=DecayedAverage)  # run time over uncontended run time
    run_time_error: RunningMean = field(default_factory=RunningMean)  # log of run time over the expected one
    is_long: bool = False  # as of the last fleet snapshot
    work_share: float = 1.0  # of the work of all classes, as of the last fleet snapshot
    longest_timeout: int = 0  # longest client timeout seen on a first request

    def with_settings(self, settings: ClassSettings) -> "ClassState":
        """The same class under new rules; its means are shared with the record that open queries keep."""
        return replace(self, settings=settings, longest_timeout=0)

    def mean_work(self) -> float:
        """Mean work of a query, or what is expected before any sample."""
        return self.work.value if self.work.count else self.prior_work


class RequestClasses:
    """The classes of the settings in force, by their index there."""

    def __init__(self, prior_work: float) -> None:
        """Start with no class.

        `prior_work` is the share of a client timeout, for each thread, taken as work before any sample.
        """
        self.prior_work = prior_work
        self.records: list[ClassState] = []
        self.has_lock_conflicts = False  # some class locks tables and some class waits for such locks
        self.threads_per_query = 1.0  # mean over what is in flight, as of the last fleet snapshot

    def __len__(self) -> int:
        """The number of classes."""
        return len(self.records)

    def __getitem__(self, index: int) -> ClassState:
        """The class of an index of the settings."""
        return self.records[index]

    def __iter__(self) -> Iterator[ClassState]:
        """All classes, by index."""
        return iter(self.records)

    def update_settings(self, rules: tuple[ClassSettings, ...], new_classes: tuple[int, ...]) -> None:
        """Go on under new rules; a class that is not among `new_classes` keeps what was learned of it."""
        old = self.records
        self.records = [
            old[index].with_settings(settings)
            if index < len(old) and index not in new_classes
            else ClassState(settings, settings.timeout * self.prior_work * settings.threads)
            for index, settings in enumerate(rules)
        ]
        locks_tables = any(settings.locks_tables for settings in rules)
        self.has_lock_conflicts = locks_tables and any(settings.waits_for_locks for settings in rules)
