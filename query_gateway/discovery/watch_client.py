"""The client of the discovery service: long polls for the events behind the last position.

The states of the watch, each a part of its coroutine:

    CONNECTING --connected--> POLLING --answer--> POLLING
        |                        |
        +--refused, timed out----+--connection ended, or its answers cannot be used--> BACKOFF --> CONNECTING

    `stop` ends any of them; a new address leads from any of them to CONNECTING
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

POLL_HOLD_MS = 2_000  # how long the service may hold a poll; also bounds how late its death is noticed
SHORT_POLL_HOLD_MS = 1  # the same until the first answer, where a successor waits for it
ANSWER_GRACE_SECONDS = 0.8  # beyond the hold, after which the service counts as unresponsive
SHORT_POLL_TIMEOUT_SECONDS = 0.8
CONNECT_TIMEOUT_SECONDS = 0.5
# The backoff is randomized by half of it, either way: gateways whose watches end together would otherwise
# reconnect at the same moments
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.2
MS_PER_SECOND = 1_000


@dataclass(slots=True, frozen=True)
class WatchCallbacks:
    """What the watch client calls.

    `on_answer` gets the JSON of each answer, and whether the event at our position was polled for once more;
    it returns the position to poll from next, and may raise any exception at an answer that it cannot decode.
    `on_caught_up` is called once, after the first answer; where it is set, polls are not held until then.
    """

    on_answer: Callable[[Any, bool], int]
    on_caught_up: Callable[[], None] | None = None


class EndpointWatchClient:
    """Polls the discovery service, over one connection at a time, until `stop`.

    Owns that connection and the task that serves it.
    """

    def __init__(
        self, loop: Loop, address: str, position: int, callbacks: WatchCallbacks, seed: int = 0
    ) -> None:
        """Begin to poll for the events behind `position`; `seed` is that of the randomized backoff."""
        self.loop, self.address, self.position = loop, address, position
        self.on_answer, self.on_caught_up = callbacks.on_answer, callbacks.on_caught_up
        self._stopped = self._address_changed = False
        self._answered = False  # at least once
        self._connection_lost = False  # since the last answer
        self._random, self._backoff = Random(seed), MIN_BACKOFF_SECONDS
        # After a slow turn a drain may be there unread, beside a connection that comes up to that engine
        self.task = loop.spawn(self._run(), is_urgent=True)

    def stop(self) -> None:
        """End the connection and poll no more."""
        self._stopped = True
        self.task.wake()

    def set_address(self, address: str) -> None:
        """Poll another address from now on, from the same position."""
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
                self._connection_lost = self._answered and reason is not Reason.DONE
            reconnect_at = self.loop.now() + self._backoff * (0.5 + self._random.random())
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            while not self._interruption() and self.loop.now() < reconnect_at:
                yield reconnect_at

    def _interruption(self) -> Reason | None:
        """Why the present connection must end, if it must."""
        if self._stopped:
            return Reason.STOPPING
        return Reason.REPLACED if self._address_changed else None

    def _serve(self, stream: Stream) -> Generator[float | None, None, Reason]:
        """Poll over one connection; return why it ends."""
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
        """Poll once; return why the connection must end, or None."""
        position, polled_at = self.position, self.loop.now()
        # A service that restarted its numbering while there was no connection may have passed our position.
        # Its answer would seem to continue our events, and the list would lack those before. So after a lost
        # connection the event at our position is polled for once more: another event there shows the restart.
        verifies_newest = self._connection_lost and position > 0
        hold_ms = SHORT_POLL_HOLD_MS if self.on_caught_up else POLL_HOLD_MS
        connection.send_poll(self.address, position - 1 if verifies_newest else position, hold_ms)
        try:
            body = yield from connection.read_answer(self.loop.now() + self._poll_timeout())
            if isinstance(body, Reason):
                return body
            self.position = self.on_answer(json.loads(body), verifies_newest)
            self._answered, self._connection_lost = True, False
            is_first = self._notify_caught_up()
        except Exception as error:
            # An exception that leaves this coroutine ends the watch, and the endpoint list would not change
            # again before a restart. Whatever an answer contains, it ends its connection alone.
            log("discovery", f"invalid answer: {error!r}")
            return Reason.MALFORMED_RESPONSE
        is_idle = self.position == position and not is_first and not verifies_newest
        is_early = self.loop.now() < polled_at + MIN_BACKOFF_SECONDS
        if self.position < position or (is_idle and is_early):
            # The answer has a gap or shows a reset of the numbering, or it came at once with nothing new.
            # Polled again without a pause, a service that does so every time would keep both processes busy.
            # The end of the connection leads to the backoff.
            return Reason.RESYNC
        self._backoff = MIN_BACKOFF_SECONDS
        return None

    def _poll_timeout(self) -> float:
        """Seconds until the service counts as unresponsive."""
        if self.on_caught_up:
            return SHORT_POLL_TIMEOUT_SECONDS
        return POLL_HOLD_MS / MS_PER_SECOND + ANSWER_GRACE_SECONDS

    def _notify_caught_up(self) -> bool:
        """Call `on_caught_up` after the first answer; whether this was it."""
        callback, self.on_caught_up = self.on_caught_up, None
        if callback:
            callback()
        return callback is not None
