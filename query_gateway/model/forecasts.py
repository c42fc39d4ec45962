"""Derived indexes over attempts in flight and over queued queries, kept for a short time."""

from dataclasses import dataclass


@dataclass(slots=True)
class CompletionForecast:
    """When the attempts out are thought to end, in order, with the threads that are free by then."""

    valid_until: int  # the clock up to which this is good
    completes_at: list[int]
    freed_threads: list[int]


@dataclass(slots=True)
class QueuedThreadIndex:
    """Threads held up to each place of a long line, of short and of long classes."""

    valid_until: int  # the clock up to which this is good
    orders: list[tuple[int, int]]
    threads: tuple[list[int], list[int]]
