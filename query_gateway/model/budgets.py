"""Budgets of tenants and of retries; the rates and limits come in as arguments."""

from collections import deque
from dataclasses import dataclass, field

from query_gateway.model.units import SEC


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill with time; a bucket that was never used is full."""

    level: float = 0.0
    updated_at: int = 0  # clock time, nanoseconds; 0: never used

    def take(self, rate: float, capacity: float, now: int) -> bool:
        """Take one token, at `rate` tokens a second up to `capacity`; False if less than one is left."""
        elapsed = now - self.updated_at
        self.level = min(capacity, self.level + rate * elapsed / SEC) if self.updated_at else capacity
        self.updated_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class RetryBudget:
    """Requests and retries within a sliding window, as clock times in nanoseconds."""

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)

    def forget_before(self, window_start: int) -> None:
        """Forget what came at the start of the window or earlier."""
        for times in (self.requests, self.retries):
            while times and times[0] <= window_start:
                times.popleft()
