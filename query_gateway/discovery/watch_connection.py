"""One watch of the discovery service: dials, then sends one poll after another until the connection ends.

DIALLING --connected--> POLLING --answer--> POLLING
    |                      |
    `--refused, timed out, superseded, answer not usable, another watch polls--> ended
"""

import json
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, Protocol

from query_gateway.discovery.poll_connection import PollConnection
from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream, address_of

CONNECT_FRESH_SECONDS = 0.5  # in which no other watch is started beside one that is dialling
CONNECT_TIMEOUT_SECONDS = 3.0  # leaves time for a second SYN, which is sent after 1 s
MIN_POLL_SECONDS = 0.1  # an answer with nothing new that comes earlier leads to the backoff

WatchCoroutine = Generator[float | None, None, Reason]


@dataclass(slots=True, frozen=True)
class PollLimits:
    """The time limits of one poll."""

    hold_ms: int  # for which the service may hold it
    fresh_seconds: float  # in which no other watch is started beside it
    timeout_seconds: float  # after which it is given up


class WatchOwner(Protocol):
    """The interface of the watch client to its watches."""

    loop: Loop
    address: str
    position: int  # of the last event received

    def poll_limits(self) -> PollLimits:
        """The time limits of a poll that is sent now."""

    @property
    def verifies_newest(self) -> bool:
        """Whether the next poll asks again for the event at the current position."""

    def apply_answer(self, watch: "WatchConnection", answer: Any) -> bool:
        """Apply an answer; return whether it was the first of all. Raises any exception if it is invalid."""

    def has_newer_poll(self, watch: "WatchConnection") -> bool:
        """Whether the service holds a poll of another watch, so that this one need not poll again."""

    def reset_backoff(self) -> None:
        """Record that the service works normally."""

    def on_watch_ended(self, watch: "WatchConnection", reason: Reason) -> None:
        """Remove a watch whose connection has ended."""


class WatchConnection:
    """One connection and the task that polls over it; owns both. Times are loop times in seconds."""

    def __init__(self, owner: WatchOwner) -> None:
        """Dial the owner's address."""
        self.owner, self.loop, self.address = owner, owner.loop, owner.address
        self.fresh_until = self.loop.now() + CONNECT_FRESH_SECONDS
        self.is_polling = False
        self.polled_at = self.loop.now()  # when the newest poll was sent, or the dial began
        self.poll_position = 0  # the position of the owner when the newest poll was sent
        self.verifies_newest = False  # the newest poll asked again for the event at that position
        self.is_superseded = False
        self._end_reason: Reason | None = None
        # Urgent, to run before the coroutines of engine connections: after a slow turn, an unread answer may
        # report that an engine drains, while a connection to that engine is established in the same turn and
        # would send it the requests that wait for the dial
        self.task = self.loop.spawn(self._run(), is_urgent=True)

    @property
    def is_ending(self) -> bool:
        """Whether the watch ends as soon as its task runs."""
        return self._end_reason is not None

    def end(self, reason: Reason) -> None:
        """End the watch before its next answer."""
        self._end_reason = self._end_reason or reason
        self.task.wake()

    def supersede(self, reason: Reason) -> None:
        """End the watch, as a newer one was answered before it; that is no sign of a lost connection."""
        self.is_superseded = True
        self.end(reason)

    def _interruption(self) -> Reason | None:
        return self._end_reason

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.DIAL_FAILED
        try:
            stream = Stream.dial(
                self.loop, address_of(self.address), f"discovery {self.address}", lambda: self.task.wake()
            )
        except OSError as error:  # out of descriptors
            log("discovery", f"cannot dial: {error.strerror}")
        else:
            reason = yield from self._serve(stream)
            stream.close(reason)
        self._end_reason = reason
        self.owner.on_watch_ended(self, reason)

    def _serve(self, stream: Stream) -> WatchCoroutine:
        """Poll over one connection until it must end; return the reason."""
        failure = yield from self._connect(stream)
        if failure:
            return failure
        connection = PollConnection(self.loop, stream, self._interruption)
        while True:
            failure = yield from self._poll(connection)
            if failure:
                return failure
            if not connection.start_next_poll() or self.owner.has_newer_poll(self):
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
        owner, limits = self.owner, self.owner.poll_limits()
        self.is_polling, self.polled_at = True, self.loop.now()
        self.fresh_until = self.polled_at + limits.fresh_seconds
        self.poll_position, self.verifies_newest = owner.position, owner.verifies_newest
        tail = self.poll_position - 1 if self.verifies_newest else self.poll_position
        connection.send_poll(self.address, tail, limits.hold_ms)
        try:
            body = yield from connection.read_answer(self.polled_at + limits.timeout_seconds)
            if isinstance(body, Reason):
                return body
            position = owner.position
            is_first = owner.apply_answer(self, json.loads(body))
        except Exception as error:
            # An exception that escaped this coroutine would end the watch without a reason, and the owner
            # would never start another. So an invalid answer ends only its connection.
            log("discovery", f"invalid answer: {error!r}")
            return Reason.MALFORMED_RESPONSE
        is_idle = owner.position == position and not is_first and not self.verifies_newest
        is_early = self.loop.now() < self.polled_at + MIN_POLL_SECONDS
        if owner.position < position or (is_idle and is_early):
            # The answer has a gap or shows that the numbering was reset, or it came immediately with nothing
            # new. Polling again without a pause would keep both processes busy if the service always answers
            # like that. Ending the connection leads to the backoff.
            return Reason.RESYNC
        owner.reset_backoff()
        return None
