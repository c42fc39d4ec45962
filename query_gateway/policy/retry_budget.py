"""Retry budget: how many retries a site allows for the requests of a sliding window.

    retries within `retry_window` <=
        `retry_allowance` + `retries_per_request` * requests within `retry_window`

A site without a `retry_allowance` has no such limit. The budget keeps retries from multiplying the load of a
fleet that is already failing. Requests and retries older than the window are dropped when a retry is checked;
until then the requests are kept, whatever their age.
"""

from query_gateway.model.budgets import RetryBudget
from query_gateway.model.settings import Settings


def record_request(budget: RetryBudget, settings: Settings, now: int) -> None:
    """Count a request at a clock time (nanoseconds), where the site limits retries."""
    if settings.retry_allowance is not None:
        budget.requests.append(now)


def allows_retry(budget: RetryBudget, settings: Settings, now: int) -> bool:
    """Whether the budget allows one more retry at a clock time (nanoseconds)."""
    if settings.retry_allowance is None:
        return True
    budget.forget_before(now - settings.retry_window)
    limit = settings.retry_allowance + settings.retries_per_request * len(budget.requests)
    return len(budget.retries) + 1 <= limit
