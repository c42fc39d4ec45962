"""The IPC between forwarder and planner processes: events in one direction, actions in the other.

States of the forwarder's end (`PlannerClient`), each a part of its coroutine:

    DIALING --connected--> CONNECTED --connection ended--> BACKOFF --RECONNECT_DELAY_S--> DIALING
       |                                                      ^
       +--refused, or DIAL_TIMEOUT_S is over------------------+

An event sent without a connection is dropped: by then the forwarder has ended the planner's requests, and on
the next connect it sends the settings and the endpoint list again. `lifecycle/planner_links.py` describes how
those requests are ended.
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
MAX_UNREAD_BYTES = 16_777_216  # in the outbox, as the other end does not read; beyond it the connection ends

Steps = Generator[float | None, None, None]  # a coroutine on the loop
ReasonSteps = Generator[float | None, None, Reason]  # a coroutine that returns why the connection ended


class IpcConnection:
    """An IPC connection, used by both ends.

    Its owner runs `receive` as a coroutine and closes the stream with the reason that it returns.
    """

    def __init__(
        self, stream: Stream, message_types: dict[str, Any], on_message: Callable[[Any], None]
    ) -> None:
        """`message_types`: the types that this end accepts, by name. `on_message` is called per message."""
        self.stream = stream
        self.on_message = on_message
        self.decoder = Decoder(message_types)
        self.closing = False  # the owner sets it and wakes the coroutine, for `receive` to end

    def send(self, message: IpcMessage) -> None:
        """Queue a message; `receive` ends the connection if the other end leaves too many bytes unread."""
        self.stream.write(encode(message))

    def receive(self) -> ReasonSteps:
        """Deliver messages until the connection ends, and return the reason."""
        while True:
            if self.stream.inbox and (reason := self._handle_inbox()):
                return reason
            if self.closing:
                return Reason.STOPPING
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if len(self.stream.outbox) > MAX_UNREAD_BYTES:
                return Reason.SLOW_READER
            yield None

    def _handle_inbox(self) -> Reason | None:
        """Deliver the messages received; return a reason if the connection must end.

        After a message that cannot be handled, the two ends no longer agree on which requests are open, and
        the other end would wait for answers until the deadlines of its requests. Ending the connection makes
        the other end treat this one as lost and end the requests that it has open here.
        """
        try:
            for message in self.decoder.feed(self.stream.take_inbox()):
                self.on_message(message)
        except IpcMessageError as error:
            log("ipc", f"invalid message, closing the connection: {error}")
            return Reason.MALFORMED_RESPONSE
        except Exception as error:
            log("fault", f"error while handling an IPC message, closing the connection: {error!r}")
            return Reason.FAULT
        return None


class PlannerClient:
    """The forwarder's end: connects to its planner, and reconnects after each disconnect, until `stop`.

    Owns the connection. `on_connected` and `on_disconnected` are called alternately; `on_action` is called
    only while connected.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_action: Callable[[Any], None],
        on_connected: Callable[[], None],
        on_disconnected: Callable[[], None],
    ) -> None:
        """Connect to the planner at `address`, starting with the next loop turn."""
        self.loop = loop
        self.address = address
        self.on_action = on_action
        self.on_connected = on_connected
        self.on_disconnected = on_disconnected
        self.connection: IpcConnection | None = None
        self.stopped = False
        self.task: Task = loop.spawn(self._run())

    def notify(self, event: Event | ArrivalReply) -> None:
        """Send an event; it is dropped if there is no connection."""
        if self.connection:
            self.connection.send(event)

    def stop(self) -> None:
        """Close the connection and do not reconnect."""
        self.stopped = True
        if self.connection:
            self.connection.closing = True
        self.task.wake()

    def _run(self) -> Steps:
        description = f"planner {self.address[0]}:{self.address[1]}"
        while not self.stopped:
            try:
                stream = Stream.dial(self.loop, self.address, description, lambda: self.task.wake())
            except OSError as error:  # out of file descriptors
                log("ipc", f"cannot connect to {description}: {error.strerror}")
            else:
                stream.close((yield from self._run_connection(stream)))
            reconnect_at = self.loop.now() + RECONNECT_DELAY_S
            while not self.stopped and self.loop.now() < reconnect_at:
                yield reconnect_at

    def _run_connection(self, stream: Stream) -> ReasonSteps:
        """Wait until the stream is connected, then receive until it ends; return the reason."""
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
