"""Estimates of when attempts in flight end."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from query_gateway.model.forecasts import CompletionForecast, ExpectedEnd, forecast_completions
from query_gateway.model.records import AttemptState, EngineState, QueryState


@dataclass(slots=True, frozen=True)
class RemainingTimeEstimator:
    """Estimates the remaining time of an attempt from its last progress note or from its age."""

    trusted_progress: float  # share of the work from which progress predicts the end
    extrapolation_start: float  # share of the expected run time up to which the difference remains
    extrapolation_ratio: float  # beyond that, this share of its age remains

    def remaining_time(self, attempt: AttemptState, now: int) -> float:
        """Nanoseconds until an attempt should end."""
        age, run_time = now - attempt.sent_at, attempt.query.run_time
        if attempt.progress > self.trusted_progress:
            return max(0.0, (attempt.progress_at - attempt.sent_at) / attempt.progress - age)
        return run_time - age if age < run_time * self.extrapolation_start else self.extrapolation_ratio * age

    def forecast(
        self, engines: Iterable[EngineState], is_long: bool, now: int, lifetime: int
    ) -> CompletionForecast:
        """Forecast the ends of attempts of long or of short classes; valid for `lifetime` ns for each."""
        ends = [
            ExpectedEnd(self.remaining_time(attempt, now), attempt.query.request_class.settings.threads)
            for engine in engines
            for attempt in engine.in_flight.values()
            if attempt.query.request_class.is_long == is_long
        ]
        return forecast_completions(ends, now, now + 1 + lifetime * len(ends))

    def lock_wait(self, engine: EngineState, query: QueryState, now: int) -> float:
        """Nanoseconds until other loads of a query's tables that this gateway sent there should end."""
        if query.request.table_group is None:
            return 0.0
        return math.fsum(
            self.remaining_time(attempt, now)
            for attempt in engine.table_locks.get(query.request.table_group, ())
            if attempt.query is not query
        )
