"""The local link between a forwarder and a planner in processes of their own: events go, actions come."""

from collections.abc import Callable, Generator
from typing import Any

from query_gateway.forwarder.messages import EjectedEndpoints
from query_gateway.model.actions import Action
from query_gateway.model.events import Event
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream
from query_gateway.planner.ipc_codec import ACTIONS, Decoder, IpcMessageError, encode

AGAIN = 0.1  # seconds before a new connection
DIAL = 1.0
OUTBOX = 16_777_216  # bytes that the other end may leave unread


class IpcConnection:
    """One connection, on either end."""

    def __init__(self, stream: Stream, kinds: dict[str, Any], got: Callable[[Any], None]) -> None:
        self.stream, self.on_message = stream, got
        self.decoder = Decoder(kinds)
        self.closing = False

    def send(self, message: Event | Action | EjectedEndpoints) -> None:
        self.stream.write(encode(message))

    def receive(self) -> Generator[float | None, None, Reason]:
        """Hand on what comes until the connection ends."""
        while True:
            if self.stream.inbox:
                try:
                    for message in self.decoder.feed(self.stream.take_inbox()):
                        self.on_message(message)
                except IpcMessageError as bad:
                    log("link", f"unusable message: {bad}")
                    return Reason.MALFORMED_RESPONSE
                except Exception as fault:  # guards what the other end holds: it hears that this end is gone
                    log("fault", f"a message could not be used: {fault!r}")
                    return Reason.FAULT
            if self.closing:
                return Reason.STOPPING
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if len(self.stream.outbox) > OUTBOX:
                return Reason.SLOW_READER
            yield None


class PlannerClient:
    """A forwarder's end: dials its planner again and again; `died` and `born` tell how it stands."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        act: Callable[[Any], None],
        born: Callable[[], None],
        died: Callable[[], None],
    ) -> None:
        self.loop, self.address, self.on_action, self.on_connected, self.on_disconnected = (
            loop,
            address,
            act,
            born,
            died,
        )
        self.connection: IpcConnection | None = None
        self.stopped = False
        self.task: Task = loop.spawn(self._run())

    def notify(self, event: Event) -> None:
        if self.connection:
            self.connection.send(event)

    def stop(self) -> None:
        self.stopped = True
        if self.connection:
            self.connection.closing = True
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
        self.connection = IpcConnection(stream, ACTIONS, self.on_action)
        self.on_connected()
        reason = yield from self.connection.receive()
        self.connection = None
        self.on_disconnected()
        return reason
