"""Slow-start budgets: how much work this process may still send to an engine that has started lately.

The scheduler spaces its attempts at such an engine (`policy.slow_start`), but they can leave together all the
same: behind a connection that came up late, or behind a planner process that was suspended. The engine would
be overloaded and fail. Therefore work is counted here as it leaves, and bounded within each window.

Inputs  the engine's start and kind, the recovery ramp of the settings, the work sent within the last
        `slow_start_overload_window`, and the part of the budget that belongs to this process
Answer  whether one more attempt may leave now
Reason  `slow_start_overload_factor` times the engine's present capacity is what it takes within a window;
        chance may bring more than the scheduler planned, so a statistical allowance is added

Times are clock times in nanoseconds. Work is in nanoseconds on one core.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.settings import Settings
from query_gateway.policy.recovery_ramp import is_in_slow_start, recovery_ramp

DEFAULT_CORES: Final = 1  # of an engine, where the settings name no kinds


@dataclass(slots=True, frozen=True)
class StatisticalAllowance:
    """By how much a random number of requests may exceed the expected one.

    The number of requests within a window has about the square root of its expectation as standard deviation.
    """

    standard_deviations: float
    extra_requests: float

    def above(self, expected_requests: float) -> float:
        """The allowance in requests."""
        return self.standard_deviations * math.sqrt(expected_requests) + self.extra_requests


SMALL_BUDGET_REQUESTS: Final = 30.0  # a budget of fewer requests counts as small
SMALL_BUDGET_ALLOWANCE: Final = StatisticalAllowance(standard_deviations=3.0, extra_requests=3.0)
LARGE_BUDGET_ALLOWANCE: Final = StatisticalAllowance(standard_deviations=2.0, extra_requests=2.0)
# Of one process. Where many processes divide a budget, the part of each is below one request
MIN_ALLOWANCE_REQUESTS: Final = 2.0


class _SentWork(NamedTuple):
    """The work of one attempt that has left."""

    sent_at: int
    work: float


class SlowStartBudgets:
    """Counts the work that leaves for each engine in slow start."""

    def __init__(self, process_count: int = 1) -> None:
        """`process_count`: the forwarder processes of this gateway, which divide its budget evenly."""
        self.process_count = process_count
        # The part of this process's budget that it may use, 0 to 1: below 1 while it divides the budget with
        # the other process of a hot upgrade
        self.share = 1.0
        self._sent: dict[str, deque[_SentWork]] = {}  # by engine: what has left within the last window

    def allows(self, engine: EndpointInfo, settings: Settings, work: int | None, now: int) -> bool:
        """Whether one more attempt with this estimated work may leave for the engine now.

        Attempts without an estimate, and those at an engine that is not in slow start, always may.
        """
        if not self._is_bounded(engine, settings, now) or not work:
            return True
        sent = self._sent_in_window(engine, settings, now)
        used = math.fsum(attempt.work for attempt in sent) + work
        mean_work = used / (len(sent) + 1)
        return used <= self._allowed_work(engine, settings, now, mean_work)

    def record(self, engine: EndpointInfo, settings: Settings, work: int | None, now: int) -> None:
        """Count an attempt that has left to its last byte."""
        if work and self._is_bounded(engine, settings, now):
            self._sent_in_window(engine, settings, now).append(_SentWork(now, float(work)))

    def forget(self, engine_name: str) -> None:
        """Drop what was counted for an engine whose process has ended: a restarted one has run none of it."""
        self._sent.pop(engine_name, None)

    def _is_bounded(self, engine: EndpointInfo, settings: Settings, now: int) -> bool:
        """Whether the engine is in slow start; what was counted for it goes as that ends."""
        if is_in_slow_start(settings, engine.started_at, now):
            return True
        self._sent.pop(engine.name, None)
        return False

    def _sent_in_window(self, engine: EndpointInfo, settings: Settings, now: int) -> deque[_SentWork]:
        sent = self._sent.setdefault(engine.name, deque())
        while sent and sent[0].sent_at <= now - settings.slow_start_overload_window:
            sent.popleft()
        return sent

    def _allowed_work(self, engine: EndpointInfo, settings: Settings, now: int, mean_work: float) -> float:
        """What this process may send within one window, if its attempts have `mean_work` on average."""
        age = max(0, now - engine.started_at)
        capacity_in_cores = _cores(engine, settings) * recovery_ramp(settings).capacity_at(age)
        gateways_budget = (
            settings.slow_start_overload_factor * capacity_in_cores * settings.slow_start_overload_window
        )
        expected_requests = gateways_budget / mean_work
        is_small = expected_requests < SMALL_BUDGET_REQUESTS
        allowance = (SMALL_BUDGET_ALLOWANCE if is_small else LARGE_BUDGET_ALLOWANCE).above(expected_requests)
        own_part = self.share / (settings.instance_count * self.process_count)
        return (expected_requests * own_part + max(MIN_ALLOWANCE_REQUESTS, allowance * own_part)) * mean_work


def _cores(engine: EndpointInfo, settings: Settings) -> int:
    """The cores of an engine by its kind; of an unknown kind it counts as the largest."""
    cores_by_kind = settings.cores_by_kind
    if engine.kind < len(cores_by_kind):
        return cores_by_kind[engine.kind]
    return max(cores_by_kind, default=DEFAULT_CORES)
