"""Fixtures that more than one test file asks for."""

import pytest

from query_gateway.net.log import log


@pytest.fixture
def all_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    """The log's rate is counted anew for each test, so that the lines it looks for are printed."""
    monkeypatch.setattr(log, "_kinds", {})
