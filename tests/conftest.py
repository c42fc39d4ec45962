"""Fixtures that more than one test file asks for."""

import pytest

from query_gateway.net.log import log


@pytest.fixture
def reset_log_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the log's rate limit, so that no earlier test suppresses the lines a test looks for."""
    monkeypatch.setattr(log, "_kinds", {})
