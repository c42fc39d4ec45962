"""Estimates of when attempts in flight end."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from query_gateway.model.forecasts import CompletionForecast, forecast_completions
from query_gateway.model.records import AttemptState, EngineState, QueryState


@dataclass(slots=True, frozen=True)
class RemainingTimeEstimator:
    """How to tell the remaining time of an attempt from its last progress note or from its age."""

    trusted_progress: float  # share of the work from which progress tells the end
    mostly_done: float  # share of the expected run time up to which the rest of it remains
    overrun: float  # beyond that, this share of its age remains

    def remaining_time(self, query: QueryState, attempt: AttemptState, now: int) -> float:
        """Nanoseconds until an attempt should end."""
        age = now - attempt.sent_at
        if attempt.progress > self.trusted_progress:
            return max(0.0, (attempt.progress_at - attempt.sent_at) / attempt.progress - age)
        return query.run_time - age if age < query.run_time * self.mostly_done else self.overrun * age

    def forecast(
        self, engines: Iterable[EngineState], is_long: bool, now: int, age: int
    ) -> CompletionForecast:
        """Forecast the ends of attempts of short or of long classes; good for `age` nanoseconds for each."""
        remaining = [
            (self.remaining_time(query, attempt, now), query.request_class.settings.threads)
            for engine in engines
            for query, attempt in engine.in_flight.values()
            if query.request_class.is_long == is_long
        ]
        return forecast_completions(remaining, now, now + 1 + age * len(remaining))

    def lock_wait(self, engine: EngineState, query: QueryState, now: int) -> float:
        """Nanoseconds until our other loads of a query's tables at an engine should end."""
        if query.request.table_group is None:
            return 0.0
        return math.fsum(
            self.remaining_time(other, attempt, now)
            for other, attempt in engine.table_locks.get(query.request.table_group, ())
            if other is not query
        )
