"""Run-time checks of the invariants of every request; violations are counted and reported, never raised.

Guards such as the send guard prevent violations. These checks examine events after they have happened, so
that a code path that bypasses a guard becomes visible in the log of a running process.
"""

from collections.abc import Callable
from enum import Enum


class Invariant(Enum):
    """The invariants; the values appear in the log."""

    SENT_WHILE_OPEN = "sent-while-open"  # an attempt is sent only while its request is unanswered
    SENT_FOR_CLIENT = "sent-for-a-client"  # an attempt is sent only while its client is connected
    SENT_BEFORE_DEADLINE = "sent-in-time"  # an attempt is sent only before the deadline of its request
    SENT_TO_UP_ENDPOINT = "sent-to-an-up-endpoint"  # an attempt is sent only to an endpoint that is up
    SINGLE_ATTEMPT = "one-attempt"  # a request has at most one attempt in flight
    REPEATED_SAFELY = (
        "repeated-safely"  # after an attempt that may have run, the class must allow another one
    )
    # A request is rejected only if a retry by its client cannot take effect a second time
    REJECTED_SAFELY = "rejected-truly"
    ANSWERED_IN_TIME = "answered-in-time"  # the answer is sent at most `ANSWER_SLACK_NS` late
    ANSWERED_BEFORE_CLOSE = "answered-before-close"  # a connection closes only when its requests are answered


def _ignore(invariant: Invariant, details: str) -> None:
    """Discard the report."""


class InvariantChecks:
    """Counts violations and passes each with its details to `on_violation`."""

    def __init__(self) -> None:
        """Start with zero counts; reports are discarded until `on_violation` is set."""
        self.violations: dict[Invariant, int] = dict.fromkeys(Invariant, 0)
        self.on_violation: Callable[[Invariant, str], None] = _ignore

    @property
    def total(self) -> int:
        """The number of violations since the process started."""
        return sum(self.violations.values())

    def report(self, invariant: Invariant, details: str) -> None:
        """Count a violation and pass it to `on_violation`."""
        self.violations[invariant] += 1
        self.on_violation(invariant, details)

    def check(self, holds: bool, invariant: Invariant, details: str) -> None:
        """Report a violation if the invariant does not hold."""
        if not holds:
            self.report(invariant, details)
