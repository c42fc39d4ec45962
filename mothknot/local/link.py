"""The local link between a forwarder and a planner in processes of their own: events go, actions come."""

from collections.abc import Callable, Generator
from typing import Any

from mothknot.core.messages import Avoids
from mothknot.interface import Action, Event
from mothknot.local.codec import ACTIONS, BadMessage, Decoder, encode
from mothknot.net.log import log
from mothknot.net.loop import Loop, Task
from mothknot.net.stream import Reason, Stream

AGAIN = 0.1  # seconds before a new connection
DIAL = 1.0
OUTBOX = 16_777_216  # bytes that the other end may leave unread


class Link:
    """One connection, on either end."""

    def __init__(self, stream: Stream, kinds: dict[str, Any], got: Callable[[Any], None]) -> None:
        self.stream, self.got = stream, got
        self.decoder = Decoder(kinds)
        self.leaving = False

    def tell(self, message: Event | Action | Avoids) -> None:
        self.stream.write(encode(message))

    def talk(self) -> Generator[float | None, None, Reason]:
        """Hand on what comes until the connection ends."""
        while True:
            if self.stream.inbox:
                try:
                    for message in self.decoder.feed(self.stream.take()):
                        self.got(message)
                except BadMessage as bad:
                    log("link", f"unusable message: {bad}")
                    return Reason.BAD_ANSWER
                except Exception as fault:  # guards what the other end holds: it hears that this end is gone
                    log("fault", f"a message could not be used: {fault!r}")
                    return Reason.FAULT
            if self.leaving:
                return Reason.STOPPING
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if len(self.stream.outbox) > OUTBOX:
                return Reason.SLOW_READER
            yield None


class Remote:
    """A forwarder's end: dials its planner again and again; `died` and `born` tell how it stands."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        act: Callable[[Any], None],
        born: Callable[[], None],
        died: Callable[[], None],
    ) -> None:
        self.loop, self.address, self.act, self.born, self.died = loop, address, act, born, died
        self.link: Link | None = None
        self.stopped = False
        self.task: Task = loop.spawn(self._run())

    def tell(self, event: Event) -> None:
        if self.link:
            self.link.tell(event)

    def stop(self) -> None:
        self.stopped = True
        if self.link:
            self.link.leaving = True
        self.task.wake()

    def _run(self) -> Generator[float | None, None, None]:
        what = f"planner {self.address[0]}:{self.address[1]}"
        while not self.stopped:
            try:
                stream = Stream.dial(self.loop, self.address, what, lambda: self.task.wake())
            except OSError as bad:  # out of descriptors
                log("link", f"cannot dial: {bad.strerror}")
            else:
                stream.close((yield from self._session(stream)))
            until = self.loop.now() + AGAIN
            while not self.stopped and self.loop.now() < until:
                yield until

    def _session(self, stream: Stream) -> Generator[float | None, None, Reason]:
        until = self.loop.now() + DIAL
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if self.stopped or self.loop.now() >= until:
                return Reason.STOPPING if self.stopped else Reason.DIAL_TIMEOUT
            yield until
        self.link = Link(stream, ACTIONS, self.act)
        self.born()
        reason = yield from self.link.talk()
        self.link = None
        self.died()
        return reason
