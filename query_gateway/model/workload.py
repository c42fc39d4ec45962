"""Threads in use and completion forecasts by class length (short or long); parts of `records.Workload`."""

from dataclasses import dataclass

from query_gateway.model.forecasts import CompletionForecast


@dataclass(slots=True)
class ThreadsInUse:
    """Threads of the attempts in flight, by class length."""

    short: int = 0
    long: int = 0

    def of(self, is_long: bool) -> int:
        """Threads of long classes or of short ones."""
        return self.long if is_long else self.short

    def total(self) -> int:
        """Threads of all classes."""
        return self.short + self.long

    def add(self, threads: int, is_long: bool) -> None:
        """Add the threads of an attempt that was sent; negative for one that has ended."""
        if is_long:
            self.long += threads
        else:
            self.short += threads


@dataclass(slots=True)
class CompletionForecasts:
    """The latest forecasts by class length; None before the first."""

    short: CompletionForecast | None = None
    long: CompletionForecast | None = None

    def of(self, is_long: bool) -> CompletionForecast | None:
        """The forecast of long classes or of short ones."""
        return self.long if is_long else self.short

    def replace(self, is_long: bool, forecast: CompletionForecast) -> None:
        """Store a new forecast of long classes or of short ones."""
        if is_long:
            self.long = forecast
        else:
            self.short = forecast
