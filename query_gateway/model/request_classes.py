"""State that a scheduler keeps about request classes. Times and durations are in nanoseconds.

Work is in nanoseconds, summed over all threads of a query. `policy.class_lengths` decides by mean work
whether a class is short or long.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from query_gateway.model.averages import DecayedAverage, RunningMean
from query_gateway.model.settings import ClassSettings


@dataclass(slots=True)
class ClassState:
    """Settings and learned state of one class of queries."""

    settings: ClassSettings
    prior_work: float  # work expected before any sample
    work: RunningMean = field(default_factory=RunningMean)
    log_work: RunningMean = field(default_factory=RunningMean)
    estimate_error: RunningMean = field(default_factory=RunningMean)  # log(measured work / estimate)
    memory_error: RunningMean = field(default_factory=RunningMean)  # log(measured memory / estimate)
    slowdown: DecayedAverage = field(default_factory=DecayedAverage)  # run time / uncontended run time
    run_time_error: RunningMean = field(default_factory=RunningMean)  # log(run time / expected run time)
    is_long: bool = False  # as of the last fleet snapshot
    work_share: float = 1.0  # share of the work of all classes, as of the last fleet snapshot
    longest_timeout: int = 0  # longest time from arrival to deadline of a request that is not a retry

    def with_settings(self, settings: ClassSettings) -> "ClassState":
        """A copy with new settings. It shares its means with the old record, which open queries still use."""
        return replace(self, settings=settings, longest_timeout=0)

    def mean_work(self) -> float:
        """Mean work of a query; `prior_work` before the first sample."""
        return self.work.value if self.work.count else self.prior_work


class RequestClasses:
    """The classes of the settings in force, by their index in `Settings.classes`."""

    def __init__(self, prior_work: float) -> None:
        """Start without classes.

        `prior_work` is the work per thread assumed before the first sample, as a share of the client timeout.
        """
        self.prior_work = prior_work
        self.classes: list[ClassState] = []
        self.has_lock_conflicts = False  # some class locks tables and some class waits for locks
        self.threads_per_query = 1.0  # estimated mean over queries in flight, as of the last fleet snapshot

    def __len__(self) -> int:
        """The number of classes, which is also the first index that is not in use."""
        return len(self.classes)

    def __getitem__(self, index: int) -> ClassState:
        """The class at an index of the settings."""
        return self.classes[index]

    def __iter__(self) -> Iterator[ClassState]:
        """All classes, in index order."""
        return iter(self.classes)

    def update_settings(
        self, class_settings: tuple[ClassSettings, ...], new_classes: tuple[int, ...]
    ) -> None:
        """Apply new settings. Classes not listed in `new_classes` keep their learned state."""
        old = self.classes
        self.classes = [
            old[index].with_settings(settings)
            if index < len(old) and index not in new_classes
            else ClassState(settings, settings.timeout * self.prior_work * settings.threads)
            for index, settings in enumerate(class_settings)
        ]
        locks_tables = any(settings.locks_tables for settings in class_settings)
        self.has_lock_conflicts = locks_tables and any(
            settings.waits_for_locks for settings in class_settings
        )
