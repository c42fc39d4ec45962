"""Forecast of the ends of the attempts in flight, and sums of the threads of queued queries.

Long ones are costly to build and are therefore reused until their `valid_until`.
"""

from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple


class QueuePlace(NamedTuple):
    """The sort key of a query in a queue: earliest deadline first, then request id."""

    due_at: int  # clock time, nanoseconds
    request_id: int


class ExpectedEnd(NamedTuple):
    """The expected end of an attempt in flight and the number of threads that it frees."""

    remaining_time: float  # nanoseconds
    threads: int


class QueuedThreads(NamedTuple):
    """The thread count of one queued query and its place in the queue."""

    place: QueuePlace
    threads: int
    is_long: bool


@dataclass(slots=True)
class CompletionForecast:
    """Expected end times of the attempts in flight, ascending, and the threads freed by each."""

    valid_until: int  # clock time, nanoseconds
    completes_at: list[int]  # clock times, nanoseconds, ascending
    freed_threads: list[int]  # running sum of the threads freed by each of these times

    def time_until_free(
        self, needed: float, threads_in_use: int, limit: float, run_time: float, now: int
    ) -> float:
        """Nanoseconds until enough attempts have ended to free `needed` threads.

        `threads_in_use` is the current number, which corrects for the threads that started or ended since the
        forecast was built. After the last forecast end, `limit` threads are assumed to be freed in each
        further `run_time` nanoseconds.
        """
        if not self.completes_at:
            return max(0.0, needed) / max(1.0, limit) * run_time
        index = bisect_left(self.freed_threads, needed + self.freed_threads[-1] - max(threads_in_use, 0))
        if index < len(self.completes_at):
            return max(0.0, float(self.completes_at[index] - now))
        time_until_last = max(0.0, self.completes_at[-1] - now)
        return time_until_last + max(0.0, needed - threads_in_use) / max(1.0, limit) * run_time


def forecast_completions(ends: list[ExpectedEnd], now: int, valid_until: int) -> CompletionForecast:
    """Build a forecast from the expected ends of the attempts."""
    ordered = sorted(ends)
    freed = list(accumulate(threads for _, threads in ordered))
    return CompletionForecast(valid_until, [now + int(time) for time, _ in ordered], freed)


@dataclass(slots=True)
class QueuedThreadIndex:
    """Prefix sums over a long queue: the threads of queries of short classes, and of long ones."""

    valid_until: int  # clock time, nanoseconds
    places: list[QueuePlace]  # ascending
    short_threads: list[int]  # prefix sums starting with 0; one entry more than `places`
    long_threads: list[int]

    def threads_before(self, place: QueuePlace, is_long: bool) -> int:
        """Threads queued before a place, of long classes or of short ones."""
        sums = self.long_threads if is_long else self.short_threads
        return sums[bisect_left(self.places, place)]


def index_queued_threads(queued: list[QueuedThreads], valid_until: int) -> QueuedThreadIndex:
    """Build the index from the queued queries, in queue order."""
    short_sum, long_sum = [0], [0]
    for _, threads, is_long in queued:
        short_sum.append(short_sum[-1] + (0 if is_long else threads))
        long_sum.append(long_sum[-1] + (threads if is_long else 0))
    return QueuedThreadIndex(valid_until, [place for place, _, _ in queued], short_sum, long_sum)
