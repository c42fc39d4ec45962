"""Attempts that our own machine cannot send just now, for want of a descriptor, a port or a buffer.

    postponed --interval--> started again, which may postpone it once more
        |
        |--begun, withdrawn or cancelled--> removed
        `--for as long as a dial may take--> ended as not sent

The engine is not at fault, and an attempt that ended at once would use up the request's retries in a moment.
"""

from collections.abc import Callable
from typing import Final, Protocol

from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.events import OutcomeCode

RETRY_INTERVAL_S: Final = 0.02


class Timers(Protocol):
    """What is used of the loop; times are loop times in seconds."""

    def now(self) -> float:
        """The present time."""

    def call_at(self, when: float, callback: Callable[[], None]) -> object:
        """Call back at that time."""


class PostponedAttempts:
    """The attempts of one engine client that wait to be started again."""

    def __init__(self, timers: Timers, start: Callable[[AttemptHandle], None]) -> None:
        """`start` sends an attempt, or postpones it again."""
        self._timers, self._start = timers, start
        self._give_up_at: dict[str, float] = {}  # by client request id; loop times

    def __len__(self) -> int:
        """How many wait."""
        return len(self._give_up_at)

    def postpone(self, attempt: AttemptHandle, give_up_after_s: float) -> None:
        """Start an attempt again soon; it ends as not sent so long after it was postponed first."""
        now = self._timers.now()
        give_up_at = self._give_up_at.setdefault(attempt.request.client_request_id, now + give_up_after_s)
        if now >= give_up_at:
            self.remove(attempt)
            attempt.on_ended(OutcomeCode.NOT_SENT)
            return
        self._timers.call_at(now + RETRY_INTERVAL_S, lambda: self._start_again(attempt))

    def remove(self, attempt: AttemptHandle) -> bool:
        """Wait no more with an attempt; whether it was waiting."""
        return self._give_up_at.pop(attempt.request.client_request_id, None) is not None

    def _start_again(self, attempt: AttemptHandle) -> None:
        """Start it, unless it was withdrawn or cancelled meanwhile."""
        if attempt.in_flight and attempt.request.client_request_id in self._give_up_at:
            self._start(attempt)
