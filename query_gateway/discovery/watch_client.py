"""The client of the discovery service: keeps the endpoint list current with one watch, or with several.

A watch (`watch_connection`) is one connection that polls. Normally there is one. While its poll is open
longer than it should be, the service may be slow, or the connection dead. The answer of a slow service is
still worth waiting for, and that of a dead connection never comes. So the watch is kept, and another one is
started beside it. If answers are late by at most `MAX_ANSWER_DELAY_SECONDS`, an event arrives after that time
at the latest, plus the `ANSWER_GRACE_SECONDS` in which the service may hold no poll. An answer ends the
watches with older polls.

    no watch is fresh --backoff over--> a watch is started: DIALLING --connected--> POLLING
    POLLING --answer--> POLLING, or ended if another watch holds a poll already
    DIALLING, POLLING --refused, timed out, answer not usable, superseded--> ended

`stop` ends all watches; a new address replaces them.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from random import Random
from typing import Any

from query_gateway.discovery.watch_connection import PollLimits, WatchConnection
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason

POLL_HOLD_MS = 2_000  # how long the service may hold a poll
# Replaces `POLL_HOLD_MS` until the first answer in a successor (hot upgrade), which accepts clients after it
SHORT_POLL_HOLD_MS = 1
ANSWER_GRACE_SECONDS = 0.8  # after the hold, before another watch is started beside it
# After that, before a poll is given up; the platform's services need up to 4.6 s to report a change
MAX_ANSWER_DELAY_SECONDS = 5.0
MAX_WATCHES = 4
# What the service reports counts as known after this time (users/PROTOCOL.md, "Figures")
MAX_LIST_AGE_SECONDS = 7.0
# The backoff is randomized by +-50 %; otherwise, gateways whose watches end at the same time would reconnect
# at the same time
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.2
MS_PER_SECOND = 1_000


@dataclass(slots=True, frozen=True)
class WatchCallbacks:
    """The callbacks of the watch client.

    `on_answer` gets the decoded JSON of each answer, and whether the poll asked again for the event at the
    current position. It returns the position to poll from next, and may raise any exception for an answer
    that it cannot decode. `on_caught_up` is called once, after the first answer; if it is set, polls are held
    only for `SHORT_POLL_HOLD_MS` until then.
    """

    on_answer: Callable[[Any, bool], int]
    on_caught_up: Callable[[], None] | None = None


class EndpointWatchClient:
    """Watches the discovery service until `stop`; owns the watches."""

    def __init__(
        self, loop: Loop, address: str, position: int, callbacks: WatchCallbacks, seed: int = 0
    ) -> None:
        """Start to poll for the events after `position`; `seed` is for the random backoff."""
        self.loop, self.address, self.position = loop, address, position
        self.on_answer, self.on_caught_up = callbacks.on_answer, callbacks.on_caught_up
        self.watches: list[WatchConnection] = []  # oldest first
        self._stopped = False
        self._has_answered = False  # the service has answered at least one poll
        self._connection_lost = False  # a connection was lost since the last answer
        self._random, self._backoff = Random(seed), MIN_BACKOFF_SECONDS
        self._next_watch_at = loop.now()  # the end of the backoff
        # Loop time as of which the list is known to be complete: when the newest answered poll was sent
        self._current_at = loop.now()
        self._is_list_old = False
        self.task = loop.spawn(self._run(), is_urgent=True)

    @property
    def list_age(self) -> float:
        """Seconds since the list was last known to be complete."""
        return self.loop.now() - self._current_at

    def stop(self) -> None:
        """End all watches."""
        self._stopped = True
        self._end_watches(Reason.STOPPING)
        self.task.wake()

    def set_address(self, address: str) -> None:
        """Poll at another address from now on, from the same position."""
        if address != self.address:
            self.address = address
            self._end_watches(Reason.REPLACED)
            self._next_watch_at = self.loop.now()
            self.task.wake()

    def _end_watches(self, reason: Reason) -> None:
        for watch in self.watches:
            watch.end(reason)

    def _run(self) -> Generator[float | None, None, None]:
        while not self._stopped:
            self._check_list_age()
            watch_at = self._watch_due_at()
            if self.loop.now() >= watch_at:
                self._start_watch()
                watch_at = self._watch_due_at()
            yield watch_at if self._is_list_old else min(watch_at, self._current_at + MAX_LIST_AGE_SECONDS)

    def _watch_due_at(self) -> float:
        """The loop time at which another watch is due, if none of the present ones gets an answer before."""
        fresh_until = [watch.fresh_until for watch in self.watches if not watch.is_ending]
        return max(self._next_watch_at, *fresh_until) if fresh_until else self._next_watch_at

    def _start_watch(self) -> None:
        open_watches = [watch for watch in self.watches if not watch.is_ending]
        if len(open_watches) >= MAX_WATCHES:
            open_watches[0].end(Reason.UNRESPONSIVE)
        self.watches.append(WatchConnection(self))

    def _check_list_age(self) -> None:
        """Log once when the list is older than it may be, and when it is current again."""
        is_old = self.list_age >= MAX_LIST_AGE_SECONDS
        if is_old and not self._is_list_old:
            log("discovery", f"the endpoint list is {self.list_age:.1f} s old; drains since then are unknown")
        elif self._is_list_old and not is_old:
            log("discovery", "the endpoint list is current again")
        self._is_list_old = is_old

    # ---- the interface to the watches

    def poll_limits(self) -> PollLimits:
        """The time limits of a poll that is sent now."""
        hold_ms = SHORT_POLL_HOLD_MS if self.on_caught_up else POLL_HOLD_MS
        fresh_seconds = hold_ms / MS_PER_SECOND + ANSWER_GRACE_SECONDS
        return PollLimits(hold_ms, fresh_seconds, fresh_seconds + MAX_ANSWER_DELAY_SECONDS)

    @property
    def verifies_newest(self) -> bool:
        """Whether the next poll asks again for the event at the current position.

        A service that restarted its numbering while a connection was lost may have passed our position in the
        new numbering. Its answer would then seem to continue the events received, but the list would lack the
        earlier events of the new numbering. A different event at our position reveals the restart.
        """
        return self._connection_lost and self.position > 0

    def on_watch_ended(self, watch: WatchConnection, reason: Reason) -> None:
        """Remove a watch whose connection has ended, and start the backoff."""
        self.watches.remove(watch)
        if not watch.is_superseded:
            self._connection_lost = self._has_answered and reason is not Reason.DONE
            backoff_ends_at = self.loop.now() + self._backoff * (0.5 + self._random.random())
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            if reason is not Reason.REPLACED:
                self._next_watch_at = backoff_ends_at
        self.task.wake()

    def apply_answer(self, watch: WatchConnection, answer: Any) -> bool:
        """Apply the answer to the poll of a watch; return whether it was the first answer of all.

        Raises any exception for an answer that cannot be decoded.
        """
        verifies_newest = watch.verifies_newest
        if watch.poll_position != self.position:  # another watch has brought some of these events
            verifies_newest = False
            answer["entries"] = [event for event in answer["entries"] if event["pos"] > self.position]
        self.position = self.on_answer(answer, verifies_newest)
        self._has_answered, self._connection_lost = True, False
        self._current_at = max(self._current_at, watch.polled_at)
        for other in self.watches:
            if other is not watch and other.polled_at <= watch.polled_at:
                other.supersede(Reason.UNRESPONSIVE)
        self.task.wake()
        callback, self.on_caught_up = self.on_caught_up, None
        if callback:
            callback()
        return callback is not None

    def reset_backoff(self) -> None:
        """Record that the service works normally."""
        self._backoff = MIN_BACKOFF_SECONDS

    def has_newer_poll(self, watch: WatchConnection) -> bool:
        """Whether the service holds a poll of another watch, so that this one need not poll again."""
        held_since = self.loop.now() - POLL_HOLD_MS / MS_PER_SECOND
        return any(
            other is not watch
            and not other.is_ending
            and other.is_polling
            and other.polled_at > held_since
            and other.poll_position == self.position
            for other in self.watches
        )
