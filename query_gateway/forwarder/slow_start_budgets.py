"""Slow-start budgets: limit the work that this process sends to an engine that has started recently.

The scheduler spaces its attempts at such an engine (`policy.slow_start`). They may still be written together,
after a connection that was slow to establish or a planner process that was suspended, and the engine would be
overloaded and fail. This module therefore counts the work as it is written, and limits it per window.

Input:      the engine's start and kind, the recovery ramp of the settings, the work sent within the last
            `slow_start_overload_window`, and this process's share of the budget
Result:     whether another attempt may be written now
Rationale:  within a window an engine can take `slow_start_overload_factor` times its present capacity; random
            variation may bring more requests than the scheduler planned, so a statistical allowance is added

Times are clock times in nanoseconds. Work is in nanoseconds on one core.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import Final, NamedTuple

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.settings import Settings
from query_gateway.policy.recovery_ramp import is_in_slow_start, recovery_ramp

DEFAULT_CORES: Final = 1  # cores of an engine if the settings define no kinds


@dataclass(slots=True, frozen=True)
class StatisticalAllowance:
    """How far a random number of requests may exceed its expected value.

    The standard deviation of the number of requests within a window is about the square root of its expected
    value.
    """

    standard_deviations: float
    extra_requests: float

    def above(self, expected_requests: float) -> float:
        """The allowance, in requests, for an expected number of requests."""
        return self.standard_deviations * math.sqrt(expected_requests) + self.extra_requests


SMALL_BUDGET_REQUESTS: Final = 30.0  # budgets for fewer requests than this have `SMALL_BUDGET_ALLOWANCE`
SMALL_BUDGET_ALLOWANCE: Final = StatisticalAllowance(standard_deviations=3.0, extra_requests=3.0)
LARGE_BUDGET_ALLOWANCE: Final = StatisticalAllowance(standard_deviations=2.0, extra_requests=2.0)
# The least allowance of each process: if many processes divide a budget, the share of each may be below one
# request
MIN_ALLOWANCE_REQUESTS: Final = 2.0


class _SentWork(NamedTuple):
    """The work of one completely written attempt."""

    sent_at: int
    work: float


class SlowStartBudgets:
    """Counts and limits the work sent to each engine in slow start."""

    def __init__(self, process_count: int = 1) -> None:
        """`process_count` is the number of forwarder processes that share this gateway's budget evenly."""
        self.process_count = process_count
        # The fraction of this process's budget that it may use, 0 to 1; below 1 while the two processes of a
        # hot upgrade share the budget
        self.share = 1.0
        self._sent: dict[str, deque[_SentWork]] = {}  # by engine: the attempts written within the last window

    def allows(self, engine: EndpointInfo, settings: Settings, work: int | None, now: int) -> bool:
        """Whether another attempt with this estimated work may be written to the engine now.

        There is no limit for attempts without an estimate, and for engines that are not in slow start.
        """
        if not self._is_bounded(engine, settings, now) or not work:
            return True
        sent = self._sent_in_window(engine, settings, now)
        used = math.fsum(attempt.work for attempt in sent) + work
        mean_work = used / (len(sent) + 1)
        return used <= self._allowed_work(engine, settings, now, mean_work)

    def record(self, engine: EndpointInfo, settings: Settings, work: int | None, now: int) -> None:
        """Count a completely written attempt."""
        if work and self._is_bounded(engine, settings, now):
            self._sent_in_window(engine, settings, now).append(_SentWork(now, float(work)))

    def forget(self, engine_name: str) -> None:
        """Discard the work recorded as sent to an engine whose process has ended.

        After a restart the engine runs none of it.
        """
        self._sent.pop(engine_name, None)

    def _is_bounded(self, engine: EndpointInfo, settings: Settings, now: int) -> bool:
        """Whether the engine is in slow start; resets its count if it is not."""
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
        """The work that this process may send within one window if its attempts average `mean_work`."""
        age = max(0, now - engine.started_at)
        capacity_in_cores = _cores(engine, settings) * recovery_ramp(settings).capacity_at(age)
        fleet_budget = (
            settings.slow_start_overload_factor * capacity_in_cores * settings.slow_start_overload_window
        )
        expected_requests = fleet_budget / mean_work
        is_small = expected_requests < SMALL_BUDGET_REQUESTS
        allowance = (SMALL_BUDGET_ALLOWANCE if is_small else LARGE_BUDGET_ALLOWANCE).above(expected_requests)
        fraction = self.share / (settings.instance_count * self.process_count)
        return (expected_requests * fraction + max(MIN_ALLOWANCE_REQUESTS, allowance * fraction)) * mean_work


def _cores(engine: EndpointInfo, settings: Settings) -> int:
    """The number of cores of an engine by its kind; an unknown kind counts as the largest one."""
    cores_by_kind = settings.cores_by_kind
    if engine.kind < len(cores_by_kind):
        return cores_by_kind[engine.kind]
    return max(cores_by_kind, default=DEFAULT_CORES)
