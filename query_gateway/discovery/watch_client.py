"""The client of the discovery service: long polls for the events after the last position.

The states of the watch, each implemented by a part of its coroutine:

    CONNECTING --connected--> POLLING --answer--> POLLING
        |                        |
        +--refused, timed out----+--connection ended, or answer not usable--> BACKOFF --> CONNECTING

    `stop` ends the watch in any state; a new address leads from any state to CONNECTING
"""

import json
from collections.abc import Callable, Generator
from dataclasses import dataclass
from random import Random
from typing import Any

from query_gateway.discovery.poll_connection import PollConnection
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream, address_of

POLL_HOLD_MS = 2_000  # how long the service may hold a poll; also limits how late its failure is detected
# Replaces `POLL_HOLD_MS` until the first answer in a successor (hot upgrade), which accepts clients after it
SHORT_POLL_HOLD_MS = 1
ANSWER_GRACE_SECONDS = 0.8  # after the hold, before the service counts as unresponsive
SHORT_POLL_TIMEOUT_SECONDS = 0.8  # for a poll with `SHORT_POLL_HOLD_MS`, including the hold
CONNECT_TIMEOUT_SECONDS = 0.5
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
    """Polls the discovery service over one connection at a time, until `stop`.

    Owns the connection and the task that polls over it.
    """

    def __init__(
        self, loop: Loop, address: str, position: int, callbacks: WatchCallbacks, seed: int = 0
    ) -> None:
        """Start to poll for the events after `position`; `seed` is for the random backoff."""
        self.loop, self.address, self.position = loop, address, position
        self.on_answer, self.on_caught_up = callbacks.on_answer, callbacks.on_caught_up
        self._stopped = self._address_changed = False
        self._has_answered = False  # the service has answered at least one poll
        self._connection_lost = False  # a connection was lost since the last answer
        self._random, self._backoff = Random(seed), MIN_BACKOFF_SECONDS
        # Urgent, to run before the coroutines of engine connections: after a slow turn, an unread answer may
        # report that an engine drains, while a connection to that engine is established in the same turn and
        # would send it the requests that wait for the dial
        self.task = loop.spawn(self._run(), is_urgent=True)

    def stop(self) -> None:
        """Close the connection and stop polling."""
        self._stopped = True
        self.task.wake()

    def set_address(self, address: str) -> None:
        """Poll at another address from now on, from the same position."""
        if address != self.address:
            self.address, self._address_changed = address, True
            self.task.wake()

    def _run(self) -> Generator[float | None, None, None]:
        while not self._stopped:
            self._address_changed = False
            try:
                stream = Stream.dial(
                    self.loop,
                    address_of(self.address),
                    f"discovery {self.address}",
                    lambda: self.task.wake(),
                )
            except OSError as error:  # out of descriptors
                log("discovery", f"cannot dial: {error.strerror}")
            else:
                reason = yield from self._serve(stream)
                stream.close(reason)
                self._connection_lost = self._has_answered and reason is not Reason.DONE
            reconnect_at = self.loop.now() + self._backoff * (0.5 + self._random.random())
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            while not self._interruption() and self.loop.now() < reconnect_at:
                yield reconnect_at

    def _interruption(self) -> Reason | None:
        """The reason why the current connection must end, or None."""
        if self._stopped:
            return Reason.STOPPING
        return Reason.REPLACED if self._address_changed else None

    def _serve(self, stream: Stream) -> Generator[float | None, None, Reason]:
        """Poll over one connection until it must end; return the reason."""
        failure = yield from self._connect(stream)
        if failure:
            return failure
        connection = PollConnection(self.loop, stream, self._interruption)
        while True:
            failure = yield from self._poll(connection)
            if failure:
                return failure
            if not connection.start_next_poll():
                return Reason.DONE

    def _connect(self, stream: Stream) -> Generator[float | None, None, Reason | None]:
        timeout_at = self.loop.now() + CONNECT_TIMEOUT_SECONDS
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if interruption := self._interruption():
                return interruption
            if self.loop.now() >= timeout_at:
                return Reason.DIAL_TIMEOUT
            yield timeout_at
        return None

    def _poll(self, connection: PollConnection) -> Generator[float | None, None, Reason | None]:
        """Poll once; return the reason why the connection must end, or None."""
        position, polled_at = self.position, self.loop.now()
        # A service that restarted its numbering while the connection was lost may have passed our position in
        # the new numbering. Its answer would then seem to continue the events received, but the list would
        # lack the earlier events of the new numbering.
        # So after a lost connection, the poll asks again for the event at our position; a different event
        # there reveals the restart.
        verifies_newest = self._connection_lost and position > 0
        hold_ms = SHORT_POLL_HOLD_MS if self.on_caught_up else POLL_HOLD_MS
        connection.send_poll(self.address, position - 1 if verifies_newest else position, hold_ms)
        try:
            body = yield from connection.read_answer(self.loop.now() + self._poll_timeout())
            if isinstance(body, Reason):
                return body
            self.position = self.on_answer(json.loads(body), verifies_newest)
            self._has_answered, self._connection_lost = True, False
            is_first = self._notify_caught_up()
        except Exception as error:
            # An exception that escaped this coroutine would end the watch, and the endpoint list would not be
            # updated until the gateway restarts. So an invalid answer ends only its connection.
            log("discovery", f"invalid answer: {error!r}")
            return Reason.MALFORMED_RESPONSE
        is_idle = self.position == position and not is_first and not verifies_newest
        is_early = self.loop.now() < polled_at + MIN_BACKOFF_SECONDS
        if self.position < position or (is_idle and is_early):
            # The answer has a gap or shows that the numbering was reset, or it came immediately with nothing
            # new. Polling again without a pause would keep both processes busy if the service always answers
            # like that. Ending the connection leads to the backoff.
            return Reason.RESYNC
        self._backoff = MIN_BACKOFF_SECONDS
        return None

    def _poll_timeout(self) -> float:
        """Seconds without an answer until the service counts as unresponsive."""
        if self.on_caught_up:
            return SHORT_POLL_TIMEOUT_SECONDS
        return POLL_HOLD_MS / MS_PER_SECOND + ANSWER_GRACE_SECONDS

    def _notify_caught_up(self) -> bool:
        """Call `on_caught_up` after the first answer; return whether it was called."""
        callback, self.on_caught_up = self.on_caught_up, None
        if callback:
            callback()
        return callback is not None
