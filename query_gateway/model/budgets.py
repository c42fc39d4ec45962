"""Token bucket of a tenant's quota, and the retry budget. Rates and limits are passed in as arguments."""

from collections import deque
from dataclasses import dataclass, field

from query_gateway.model.units import SEC


@dataclass(slots=True)
class TokenBucket:
    """A token bucket. It starts full: the first use sets the level to the capacity."""

    level: float = 0.0
    updated_at: int = 0  # clock time, nanoseconds; 0: never used

    def take(self, rate: float, capacity: float, now: int) -> bool:
        """Take one token; False if less than one is left. Refills `rate` tokens a second up to `capacity`."""
        elapsed = now - self.updated_at
        self.level = min(capacity, self.level + rate * elapsed / SEC) if self.updated_at else capacity
        self.updated_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class RetryBudget:
    """Clock times (nanoseconds) of requests and retries; `policy.retry_budget` limits the retries by them."""

    requests: deque[int] = field(default_factory=deque)
    retries: deque[int] = field(default_factory=deque)

    def forget_before(self, window_start: int) -> None:
        """Remove the entries at or before `window_start`."""
        for times in (self.requests, self.retries):
            while times and times[0] <= window_start:
                times.popleft()
