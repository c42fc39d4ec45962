"""Forecasts over attempts in flight and over queued queries, each built once and good for a short time."""

from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate


@dataclass(slots=True)
class CompletionForecast:
    """When the attempts in flight should end, in that order, with the threads that are free by then."""

    valid_until: int  # clock time, nanoseconds
    completes_at: list[int]  # clock times, nanoseconds, ascending
    freed_threads: list[int]  # threads free by each of these times, as a running sum

    def time_until_free(self, needed: float, used: int, limit: float, run_time: float, now: int) -> float:
        """Nanoseconds until `needed` threads more than the limit allows now have ended.

        `used` are the threads in use now: what began or ended since the forecast moves the place by them.
        Beyond the last known end, `run_time` (nanoseconds) is taken for each `limit` threads.
        """
        if not self.completes_at:
            return max(0.0, needed) / max(1.0, limit) * run_time
        place = bisect_left(self.freed_threads, needed + self.freed_threads[-1] - max(used, 0))
        if place < len(self.completes_at):
            return max(0.0, float(self.completes_at[place] - now))
        return max(0.0, self.completes_at[-1] - now) + max(0.0, needed - used) / max(1.0, limit) * run_time


def forecast_completions(
    remaining: list[tuple[float, int]], now: int, valid_until: int
) -> CompletionForecast:
    """Build a forecast from the remaining run time (nanoseconds) and the threads of each attempt."""
    ordered = sorted(remaining)
    freed = list(accumulate(threads for _, threads in ordered))
    return CompletionForecast(valid_until, [now + int(time) for time, _ in ordered], freed)


@dataclass(slots=True)
class QueuedThreadIndex:
    """Threads queued ahead of each place of a long queue, for short and for long classes."""

    valid_until: int  # clock time, nanoseconds
    orders: list[tuple[int, int]]  # deadline (nanoseconds) and request number of each place, ascending
    threads: tuple[list[int], list[int]]  # running sums, of short and of long classes

    def threads_ahead(self, order: tuple[int, int], is_long: bool) -> int:
        """Threads queued before `order` by classes of the same length."""
        return self.threads[is_long][bisect_left(self.orders, order)]


def index_queued_threads(
    places: list[tuple[tuple[int, int], int, bool]], valid_until: int
) -> QueuedThreadIndex:
    """Build the index from the order, the threads and the length of each place of a queue."""
    sums: tuple[list[int], list[int]] = ([0], [0])
    for _, threads, is_long in places:
        for length in (0, 1):
            sums[length].append(sums[length][-1] + threads * (is_long == length))
    return QueuedThreadIndex(valid_until, [order for order, _, _ in places], sums)
