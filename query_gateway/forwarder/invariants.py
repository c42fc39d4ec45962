"""Run-time checks of what must hold of every request; a violation is counted and reported, never raised.

The guards keep these from being broken. The checks look at what has really happened, at the places where it
can no longer be changed, so that a path around a guard shows in the log of a running process.
"""

from collections.abc import Callable
from enum import Enum


class Invariant(Enum):
    """What must hold; the values stand in the log."""

    SENT_WHILE_OPEN = "sent-while-open"  # an attempt leaves while its request has no answer
    SENT_FOR_A_CLIENT = "sent-for-a-client"  # and its client is there
    SENT_IN_TIME = "sent-in-time"  # and its deadline is ahead
    SENT_TO_AN_UP_ENDPOINT = "sent-to-an-up-endpoint"  # and its endpoint neither drains nor is removed
    ONE_ATTEMPT = "one-attempt"  # no request has two attempts in flight
    REPEATED_SAFELY = "repeated-safely"  # an attempt after one that may have run is one its class allows
    REJECTED_TRULY = "rejected-truly"  # a rejection promises that a retry has no second effect
    ANSWERED_IN_TIME = "answered-in-time"
    ANSWERED_BEFORE_CLOSE = "answered-before-close"  # no connection ends over a request without its answer


def _ignore(invariant: Invariant, details: str) -> None:
    """Nobody listens."""


class InvariantChecks:
    """Counts violations; `on_violation` reports each."""

    def __init__(self) -> None:
        """Begin with no violation and nobody who listens."""
        self.violations: dict[Invariant, int] = dict.fromkeys(Invariant, 0)
        self.on_violation: Callable[[Invariant, str], None] = _ignore

    @property
    def total(self) -> int:
        """Violations since the process started."""
        return sum(self.violations.values())

    def check(self, holds: bool, invariant: Invariant, details: str) -> None:
        """Count and report if it does not hold."""
        if not holds:
            self.violations[invariant] += 1
            self.on_violation(invariant, details)
