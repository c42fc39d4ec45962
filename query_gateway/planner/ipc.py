"""The IPC between a forwarder and a planner in processes of their own: events one way, actions the other.

The states of a forwarder's end (`PlannerClient`), each a part of its coroutine:

    DIALING --connected--> CONNECTED --connection ended--> BACKOFF --RECONNECT_DELAY_S--> DIALING
       |                                                      ^
       +--refused, or DIAL_TIMEOUT_S is over------------------+

An event that is sent while there is no connection is dropped: the forwarder has ended the planner's requests
by then, and on the next connect it sends settings and the endpoint list again. `lifecycle/planner_links.py`
says what becomes of those requests.
"""

from collections.abc import Callable, Generator
from typing import Any

from query_gateway.model.events import Event
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream
from query_gateway.planner.ipc_codec import (
    ACTION_TYPES,
    ArrivalReply,
    Decoder,
    IpcMessage,
    IpcMessageError,
    encode,
)

RECONNECT_DELAY_S = 0.1
DIAL_TIMEOUT_S = 1.0
MAX_UNREAD_BYTES = 16_777_216  # by the other end, before the connection ends

Steps = Generator[float | None, None, None]  # a coroutine on the loop
ReasonSteps = Generator[float | None, None, Reason]  # a coroutine that returns why a connection ended


class IpcConnection:
    """One connection, the same on either end.

    Its owner runs `receive` as a coroutine and closes the stream with the reason that this returns.
    """

    def __init__(
        self, stream: Stream, message_types: dict[str, Any], on_message: Callable[[Any], None]
    ) -> None:
        """`message_types`: those that this end accepts, by name; `on_message` receives each message."""
        self.stream = stream
        self.on_message = on_message
        self.decoder = Decoder(message_types)
        self.closing = False  # set by the owner, which then wakes the coroutine

    def send(self, message: IpcMessage) -> None:
        """Queue a message; `receive` ends the connection if the other end leaves too many unread."""
        self.stream.write(encode(message))

    def receive(self) -> ReasonSteps:
        """Deliver messages until the connection ends, and return why it does."""
        while True:
            if self.stream.inbox and (fault := self._handle_inbox()):
                return fault
            if self.closing:
                return Reason.STOPPING
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if len(self.stream.outbox) > MAX_UNREAD_BYTES:
                return Reason.SLOW_READER
            yield None

    def _handle_inbox(self) -> Reason | None:
        """Deliver the messages that have arrived; a reason if the connection cannot go on.

        If a message cannot be handled, the two ends no longer agree on which requests are open, and the other
        end would wait for answers to its message until each deadline. So the connection ends: the other end
        then takes this one for lost and ends what it has open here.
        """
        try:
            for message in self.decoder.feed(self.stream.take_inbox()):
                self.on_message(message)
        except IpcMessageError as error:
            log("ipc", f"unusable message: {error}")
            return Reason.MALFORMED_RESPONSE
        except Exception as error:
            log("fault", f"a message could not be handled: {error!r}")
            return Reason.FAULT
        return None


class PlannerClient:
    """A forwarder's end: connects to its planner, and again whenever the connection has ended, until `stop`.

    Owns the connection. `on_connected` and `on_disconnected` are called alternately, and `on_action` only
    between the first and the second.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_action: Callable[[Any], None],
        on_connected: Callable[[], None],
        on_disconnected: Callable[[], None],
    ) -> None:
        """Connect to the planner at `address`, from the loop's next turn on."""
        self.loop = loop
        self.address = address
        self.on_action = on_action
        self.on_connected = on_connected
        self.on_disconnected = on_disconnected
        self.connection: IpcConnection | None = None
        self.stopped = False
        self.task: Task = loop.spawn(self._run())

    def notify(self, event: Event | ArrivalReply) -> None:
        """Send an event; without a connection it is dropped."""
        if self.connection:
            self.connection.send(event)

    def stop(self) -> None:
        """End the connection and connect no more."""
        self.stopped = True
        if self.connection:
            self.connection.closing = True
        self.task.wake()

    def _run(self) -> Steps:
        description = f"planner {self.address[0]}:{self.address[1]}"
        while not self.stopped:
            try:
                stream = Stream.dial(self.loop, self.address, description, lambda: self.task.wake())
            except OSError as error:  # out of descriptors
                log("ipc", f"cannot dial: {error.strerror}")
            else:
                stream.close((yield from self._run_connection(stream)))
            reconnect_at = self.loop.now() + RECONNECT_DELAY_S
            while not self.stopped and self.loop.now() < reconnect_at:
                yield reconnect_at

    def _run_connection(self, stream: Stream) -> ReasonSteps:
        """Wait until the stream is connected and use it to its end; returns why that came."""
        timeout_at = self.loop.now() + DIAL_TIMEOUT_S
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if self.stopped or self.loop.now() >= timeout_at:
                return Reason.STOPPING if self.stopped else Reason.DIAL_TIMEOUT
            yield timeout_at
        self.connection = IpcConnection(stream, ACTION_TYPES, self.on_action)
        self.on_connected()
        reason = yield from self.connection.receive()
        self.connection = None
        self.on_disconnected()
        return reason
