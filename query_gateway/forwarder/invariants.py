"""Run-time checks of what must hold for every request; a violation is counted and reported, never raised.

The guards prevent violations. The checks look at what has really happened, where it can no longer be changed:
a code path that goes around a guard then shows in the log of a running process.
"""

from collections.abc import Callable
from enum import Enum


class Invariant(Enum):
    """What must hold; the values stand in the log."""

    SENT_WHILE_OPEN = "sent-while-open"  # an attempt leaves while its request has no answer
    SENT_FOR_CLIENT = "sent-for-a-client"  # and its client is connected
    SENT_BEFORE_DEADLINE = "sent-in-time"  # and its deadline is ahead
    SENT_TO_UP_ENDPOINT = "sent-to-an-up-endpoint"  # and its endpoint neither drains nor is removed
    SINGLE_ATTEMPT = "one-attempt"  # no request has two attempts in flight
    REPEATED_SAFELY = "repeated-safely"  # an attempt after one that may have run is one its class allows
    REJECTED_SAFELY = "rejected-truly"  # a rejection promises that a retry has no second effect
    ANSWERED_IN_TIME = "answered-in-time"  # the answer leaves no later than shortly after the deadline
    ANSWERED_BEFORE_CLOSE = "answered-before-close"  # no connection ends over a request without its answer


def _ignore(invariant: Invariant, details: str) -> None:
    """Drop the report."""


class InvariantChecks:
    """Counts violations; `on_violation` gets each with its details."""

    def __init__(self) -> None:
        """Begin with no violation, and reports dropped."""
        self.violations: dict[Invariant, int] = dict.fromkeys(Invariant, 0)
        self.on_violation: Callable[[Invariant, str], None] = _ignore

    @property
    def total(self) -> int:
        """Violations since the process started."""
        return sum(self.violations.values())

    def report(self, invariant: Invariant, details: str) -> None:
        """Count a violation and pass it on."""
        self.violations[invariant] += 1
        self.on_violation(invariant, details)

    def check(self, holds: bool, invariant: Invariant, details: str) -> None:
        """Report a violation if the invariant does not hold."""
        if not holds:
            self.report(invariant, details)
