"""Budgets of tenants and of retries; the rates and limits come in as arguments."""

from collections import deque
from dataclasses import dataclass, field

from query_gateway.model.settings import Settings
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

    def record_request(self, settings: Settings, now: int) -> None:
        """Count a request, where the site limits retries."""
        if settings.retry_allowance is not None:
            self.requests.append(now)

    def allows_retry(self, settings: Settings, now: int) -> bool:
        """Whether one more retry stays within what the site allows for the requests of its window."""
        if settings.retry_allowance is None:
            return True
        for sent in (self.requests, self.retries):
            while sent and sent[0] <= now - settings.retry_window:
                sent.popleft()
        most = settings.retry_allowance + settings.retries_per_request * len(self.requests)
        return len(self.retries) + 1 <= most
