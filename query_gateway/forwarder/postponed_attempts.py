"""Postponed attempts: those that lack a local resource to be sent, such as a descriptor, a port or a buffer.

    postponed --after RETRY_INTERVAL_S--> started again, and possibly postponed again
        |
        |--taken by a connection, withdrawn or cancelled--> removed
        `--the dial timeout has passed--> ended as not sent

The engine is not at fault. If such an attempt ended at once, the request would use up its retries within a
moment.
"""

from collections.abc import Callable
from typing import Final, Protocol

from query_gateway.forwarder.messages import AttemptHandle
from query_gateway.model.events import OutcomeCode

RETRY_INTERVAL_S: Final = 0.02


class Timers(Protocol):
    """The timers of the event loop; times are loop times in seconds."""

    def now(self) -> float:
        """The current loop time."""

    def call_at(self, when: float, callback: Callable[[], None]) -> object:
        """Schedule a call of `callback` at the time `when`."""


class PostponedAttempts:
    """The postponed attempts of one engine client."""

    def __init__(self, timers: Timers, start: Callable[[AttemptHandle], None]) -> None:
        """`start` sends an attempt, or postpones it again."""
        self._timers, self._start = timers, start
        self._give_up_at: dict[str, float] = {}  # by client request id; loop times

    def __len__(self) -> int:
        """The number of postponed attempts."""
        return len(self._give_up_at)

    def postpone(self, attempt: AttemptHandle, give_up_after_s: float) -> None:
        """Start an attempt again after `RETRY_INTERVAL_S`, or end it as not sent.

        The attempt ends once `give_up_after_s` has passed since its first postponement.
        """
        now = self._timers.now()
        give_up_at = self._give_up_at.setdefault(attempt.request.client_request_id, now + give_up_after_s)
        if now >= give_up_at:
            self.remove(attempt)
            attempt.on_ended(OutcomeCode.NOT_SENT)
            return
        self._timers.call_at(now + RETRY_INTERVAL_S, lambda: self._start_again(attempt))

    def remove(self, attempt: AttemptHandle) -> bool:
        """Remove an attempt; return whether it was postponed."""
        return self._give_up_at.pop(attempt.request.client_request_id, None) is not None

    def _start_again(self, attempt: AttemptHandle) -> None:
        """Start an attempt again, unless it has been withdrawn or cancelled in the meantime."""
        if attempt.in_flight and attempt.request.client_request_id in self._give_up_at:
            self._start(attempt)
