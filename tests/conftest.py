"""Fixtures shared by several test files, and the list of tests that are known to fail."""

import gc
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from query_gateway.net.log import log

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


class KnownFailure(NamedTuple):
    """A line of KNOWN-RED.txt: `TEST | CAUSE | ISSUE`."""

    test: str  # node id without parameters
    cause: str
    issue: str


def read_known_failures() -> list[KnownFailure]:
    """Return the known failures; an absent file lists none."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return [KnownFailure(*(part.strip() for part in line.split("|"))) for line in lines]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures: a listed test that passes fails the run."""
    failures = read_known_failures()
    assert len(failures) <= MAX_KNOWN_RED, (
        f"KNOWN-RED.txt lists {len(failures)} tests; {MAX_KNOWN_RED} at most"
    )
    for item in items:
        for failure in failures:
            if item.nodeid.partition("[")[0] == failure.test:
                item.add_marker(pytest.mark.xfail(reason=failure.cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of every run."""
    for failure in read_known_failures():
        terminalreporter.write_line(f"known failure: {failure.test}: {failure.cause} (issue {failure.issue})")


@pytest.fixture(scope="module", autouse=True)
def short_full_collections() -> Iterator[None]:
    """Exclude the objects of earlier test modules from garbage collection while a module's tests run.

    A full collection stops all threads of the process, also those that run a gateway under test. Late in a
    whole run it took over 0.4 s, because the parsers and property tests of earlier modules leave many objects
    behind, and a gateway whose event loop lags by over 0.25 s rejects requests with 429.
    """
    gc.collect()
    gc.freeze()
    # The next full collection waits until new objects number a quarter of those that the last one left.
    # This one leaves few, so that the next ones come early and are short.
    gc.collect()
    yield
    gc.unfreeze()


@pytest.fixture
def reset_log_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the log's rate limit, so that lines of earlier tests do not suppress those under test."""
    monkeypatch.setattr(log, "_buckets", {})
