"""Estimates the completion times of attempts in flight."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from query_gateway.model.forecasts import CompletionForecast, ExpectedEnd, forecast_completions
from query_gateway.model.records import AttemptState, EngineState, QueryState


@dataclass(slots=True, frozen=True)
class RemainingTimeEstimator:
    """Estimates the remaining time of an attempt from its progress, or from its age if progress is small."""

    trusted_progress: float  # share of the work done beyond which progress predicts the end
    extrapolation_start: float  # age, as a share of the expected run time, from which age predicts the rest
    extrapolation_ratio: float  # from `extrapolation_start` on: remaining time as a share of the age

    def remaining_time(self, attempt: AttemptState, now: int) -> float:
        """Expected nanoseconds until an attempt ends."""
        age, run_time = now - attempt.sent_at, attempt.query.run_time
        if attempt.progress > self.trusted_progress:
            return max(0.0, (attempt.progress_at - attempt.sent_at) / attempt.progress - age)
        return run_time - age if age < run_time * self.extrapolation_start else self.extrapolation_ratio * age

    def forecast(
        self, engines: Iterable[EngineState], is_long: bool, now: int, lifetime: int
    ) -> CompletionForecast:
        """Forecast when attempts of long or short classes end; valid for `lifetime` ns per attempt."""
        ends = [
            ExpectedEnd(self.remaining_time(attempt, now), attempt.query.request_class.settings.threads)
            for engine in engines
            for attempt in engine.in_flight.values()
            if attempt.query.request_class.is_long == is_long
        ]
        return forecast_completions(ends, now, now + 1 + lifetime * len(ends))

    def lock_wait(self, engine: EngineState, query: QueryState, now: int) -> float:
        """Expected nanoseconds until this gateway's other loads of the table group, one by one, end there."""
        if query.request.table_group is None:
            return 0.0
        return math.fsum(
            self.remaining_time(attempt, now)
            for attempt in engine.table_locks.get(query.request.table_group, ())
            if attempt.query is not query
        )
