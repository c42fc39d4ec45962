"""Forecasts over attempts in flight and over queued queries, each built once and good for a short time."""

from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple


class QueuePlace(NamedTuple):
    """The place of a query in a queue: by earliest deadline, then by the number of its request."""

    due_at: int  # clock time, nanoseconds
    request_id: int


class ExpectedEnd(NamedTuple):
    """When an attempt in flight should end, and the threads that it frees."""

    remaining_time: float  # nanoseconds
    threads: int


class QueuedThreads(NamedTuple):
    """The threads of one queued query."""

    place: QueuePlace
    threads: int
    is_long: bool


@dataclass(slots=True)
class CompletionForecast:
    """When the attempts in flight should end, in that order, with the threads that are free by then."""

    valid_until: int  # clock time, nanoseconds
    completes_at: list[int]  # clock times, nanoseconds, ascending
    freed_threads: list[int]  # threads free by each of these times, as a running sum

    def time_until_free(
        self, needed: float, threads_in_use: int, limit: float, run_time: float, now: int
    ) -> float:
        """Nanoseconds until `needed` threads more than the limit allows now have ended.

        `threads_in_use` is the number now: what began or ended since the forecast moves the index by it.
        Beyond the last known end, `run_time` (nanoseconds) is taken for each `limit` threads.
        """
        if not self.completes_at:
            return max(0.0, needed) / max(1.0, limit) * run_time
        index = bisect_left(self.freed_threads, needed + self.freed_threads[-1] - max(threads_in_use, 0))
        if index < len(self.completes_at):
            return max(0.0, float(self.completes_at[index] - now))
        time_until_last = max(0.0, self.completes_at[-1] - now)
        return time_until_last + max(0.0, needed - threads_in_use) / max(1.0, limit) * run_time


def forecast_completions(ends: list[ExpectedEnd], now: int, valid_until: int) -> CompletionForecast:
    """Build a forecast from the expected end of each attempt."""
    ordered = sorted(ends)
    freed = list(accumulate(threads for _, threads in ordered))
    return CompletionForecast(valid_until, [now + int(time) for time, _ in ordered], freed)


@dataclass(slots=True)
class QueuedThreadIndex:
    """Threads queued before each place of a long queue, of short and of long classes."""

    valid_until: int  # clock time, nanoseconds
    places: list[QueuePlace]  # ascending
    short_threads: list[int]  # running sums, from 0: one more than there are places
    long_threads: list[int]

    def threads_before(self, place: QueuePlace, is_long: bool) -> int:
        """Threads queued before a place by classes of the same length."""
        sums = self.long_threads if is_long else self.short_threads
        return sums[bisect_left(self.places, place)]


def index_queued_threads(queued: list[QueuedThreads], valid_until: int) -> QueuedThreadIndex:
    """Build the index from what is queued, in order."""
    short_sum, long_sum = [0], [0]
    for _, threads, is_long in queued:
        short_sum.append(short_sum[-1] + (0 if is_long else threads))
        long_sum.append(long_sum[-1] + (threads if is_long else 0))
    return QueuedThreadIndex(valid_until, [place for place, _, _ in queued], short_sum, long_sum)
