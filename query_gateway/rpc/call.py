"""One gRPC call, which is one HTTP/2 stream: its state, its queued messages and its handler.

The states of the local side of a call:

    OPEN --send(half_close), finish--> HALF_CLOSING --END_STREAM with the last message--> HALF_CLOSED
      |                                     |                                                 |
      `---- trailers sent, reset by either side, refused by a GOAWAY, connection ended -------+--> CLOSED

From HALF_CLOSING on the owner must queue nothing more, and in CLOSED nothing is sent. Only the connection
closes a call (`mark_closed`), as it owns the table of open calls.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from h2.connection import H2Connection
from h2.exceptions import ProtocolError

from query_gateway.net.receive_budget import Reservation
from query_gateway.net.stream import Stream
from query_gateway.rpc.framing import MessageDecoder, message_prefix

# Longer messages of clients reserve their length before they are received
MAX_UNRESERVED_MESSAGE_BYTES = 65_536
CALL_BYTES = 8_192  # of the objects of a client's call, without its message

Headers = list[tuple[str, str]]


class CallHandler:
    """The callbacks to the owner of a call; the defaults do nothing."""

    def on_headers(self, headers: dict[str, str]) -> None:
        """The peer has sent the headers or the trailers of the response."""

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        """The peer has sent a message.

        The owner must pass `flow_controlled_bytes` to `Call.acknowledge` once it has forwarded the message;
        the peer's flow-control window stays reduced by them until then.
        """

    def on_memory_exhausted(self) -> None:
        """There is no memory for the rest of the message, of which a part has been received."""

    def on_end_stream(self) -> None:
        """The peer has half-closed the call and sends nothing more on it."""

    def on_fault(self) -> None:
        """An unexpected exception was raised in the work for this call, which is the last of it."""

    def on_aborted(self, never_ran: bool) -> None:
        """The call was reset or refused, or its connection ended.

        `never_ran`: the peer cannot have processed the call.
        """


class CallState(Enum):
    """The state of the local side of a call; CLOSED means both sides."""

    OPEN = "open"
    HALF_CLOSING = "half-closing"  # no more messages are queued; END_STREAM follows those in the queue
    HALF_CLOSED = "half-closed"  # END_STREAM has been sent; the peer may still send
    CLOSED = "closed"


@dataclass(slots=True)
class QueuedMessage:
    """One message; what has been sent is removed from `prefix` and `data`."""

    prefix: bytes
    data: memoryview
    on_sent: Callable[[], None] | None  # called once flow control has released the last byte
    may_send: Callable[[], bool] | None  # asked right before the first byte is sent; see `Call.send`


class CallConnection(Protocol):
    """The interface of a connection to its calls; the connection owns them and the HTTP/2 state."""

    h2: H2Connection
    stream: Stream

    @property
    def can_write(self) -> bool:
        """Whether the outbox has room for more data from the calls."""

    def wake(self) -> None:
        """Schedule the connection's task."""

    def flush(self) -> None:
        """Write the frames that h2 has encoded to the stream."""

    def remove_call(self, call: "Call") -> None:
        """Mark a call as closed, discard its queue and remove it from the open calls."""

    def reset(self, call: "Call") -> None:
        """Close a call and send RST_STREAM with the error code CANCEL."""

    def fail_call(self, call: "Call") -> None:
        """Close a call that cannot continue, and no other one, and abort it at its handler soon."""

    def acknowledge(self, call: "Call", flow_controlled_bytes: int) -> None:
        """Return flow-control credit for received bytes on both the call and the connection."""


class Call:
    """One call on a connection, on the client or the server side.

    Messages are queued here, not in the connection's outbox, until the flow-control windows admit them.
    """

    def __init__(self, connection: CallConnection, stream_id: int, handler: CallHandler) -> None:
        """Create an open call with an empty queue; the connection owns it until it is closed."""
        self.connection, self.stream_id, self.handler = connection, stream_id, handler
        self.decoder = MessageDecoder()
        self.queue: deque[QueuedMessage] = deque()
        self.trailers: Headers | None = None  # sent after the queue to end the call; server side only
        self.state = CallState.OPEN
        self.reservation: Reservation | None = (
            None  # of memory for its message; held until the call is closed
        )
        self.memory_granted_at: float | None = None  # loop time; None: it reserves none, or waits for it
        self._counted_bytes = 0  # held in memory without a reservation; counted for calls of clients only
        self._withheld_bytes = 0  # flow-control credit that is returned once the memory is granted

    @property
    def awaits_memory(self) -> bool:
        """Whether its message is longer than the memory that is free for what clients send."""
        return self.reservation is not None and not self.reservation.is_granted

    def acknowledge_partial_message(self, flow_controlled_bytes: int) -> None:
        """Return credit for a part of a client's message, once there is memory for all of it."""
        size = self.decoder.announced_bytes
        if self.reservation is None and size > MAX_UNRESERVED_MESSAGE_BYTES:
            loop = self.connection.stream.loop
            self.reservation = loop.receive_budget.reserve(size, self._on_memory_granted)
            if self.reservation.is_granted:
                self.memory_granted_at = loop.now()
        self.count_held()
        if self.awaits_memory:
            self._withheld_bytes += flow_controlled_bytes
        else:
            self.acknowledge(flow_controlled_bytes)
        if self._counted_bytes and self.connection.stream.loop.receive_budget.is_overdrawn:
            self.handler.on_memory_exhausted()

    def count_held(self) -> None:
        """Count the objects of a client's call, and its incomplete message unless that has a reservation."""
        is_granted = self.reservation is not None and self.reservation.is_granted
        held_bytes = CALL_BYTES + (0 if is_granted else len(self.decoder.buffer))
        self._count(0 if self.is_closed else held_bytes)

    def _count(self, held_bytes: int) -> None:
        self.connection.stream.loop.receive_budget.count(held_bytes - self._counted_bytes)
        self._counted_bytes = held_bytes

    def _on_memory_granted(self) -> None:
        self.memory_granted_at = self.connection.stream.loop.now()
        withheld, self._withheld_bytes = self._withheld_bytes, 0
        if not self.is_closed:
            self.count_held()
            self.acknowledge(withheld)

    @property
    def is_closed(self) -> bool:
        """Whether the call has ended: nothing more is sent; the handler may still get `on_aborted`."""
        return self.state is CallState.CLOSED

    def send_headers(self, headers: Headers, end_stream: bool = False) -> None:
        """Send headers at once; with `end_stream` they are the complete response and close the call."""
        if self.is_closed:
            return
        try:
            self.connection.h2.send_headers(self.stream_id, headers, end_stream=end_stream)
        except ProtocolError:
            self.connection.fail_call(self)
            return
        if end_stream:
            self.connection.remove_call(self)
        self.connection.wake()

    def send(
        self,
        message: bytes,
        on_sent: Callable[[], None] | None = None,
        half_close: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> None:
        """Queue a message, given without its prefix, and send as much as the windows admit.

        `on_sent` is called once flow control has released the complete message, possibly at once. With
        `half_close` it is the last message of the call. `may_send` is asked once the windows and the socket
        have accepted everything before the message; before it returns False, it must close the call.
        """
        if self.is_closed:
            return
        self.queue.append(QueuedMessage(message_prefix(message), memoryview(message), on_sent, may_send))
        if half_close and self.state is CallState.OPEN:
            self.state = CallState.HALF_CLOSING
        self.send_queued()

    def finish(self, trailers: Headers) -> None:
        """Send the trailers after the queued messages, which closes the call."""
        if self.state is CallState.OPEN:
            self.state = CallState.HALF_CLOSING
            self.trailers = trailers
            self.send_queued()

    def reset(self) -> None:
        """Close the call at once with RST_STREAM."""
        if not self.is_closed:
            self.connection.reset(self)

    def mark_closed(self) -> None:
        """Record that the call has ended; called by the connection only."""
        self.state = CallState.CLOSED
        # The call and its handler form a reference cycle that lives until the garbage collector runs; the
        # part of a long message that was received must not live as long
        self.decoder = MessageDecoder()
        self._count(0)
        if self.reservation:
            self.connection.stream.loop.receive_budget.release(self.reservation)

    def acknowledge(self, flow_controlled_bytes: int) -> None:
        """Return flow-control credit to the peer for bytes that have been forwarded."""
        self.connection.acknowledge(self, flow_controlled_bytes)

    def send_queued(self) -> None:
        """Send as much as the flow-control windows and the connection's outbox admit.

        If h2 refuses a frame, because the peer has reset the call in input that is not handled yet, the call
        ends and no other one.
        """
        try:
            self._send_queued()
        except ProtocolError:
            self.connection.fail_call(self)

    def _send_queued(self) -> None:
        sent_any = False
        while self.queue and not self.is_closed and self.connection.can_write and self._send_data_frame():
            sent_any = True
        if not self.queue and self.trailers is not None and not self.is_closed:
            self.connection.h2.send_headers(self.stream_id, self.trailers, end_stream=True)
            self.connection.remove_call(self)
            sent_any = True
        # The connection's task calls this method: an unconditional wake would make the task run in every loop
        # turn and keep a core busy
        if sent_any:
            self.connection.wake()

    def _send_data_frame(self) -> bool:
        """Send one DATA frame of the first queued message; False if the window or `may_send` forbids it."""
        h2, message = self.connection.h2, self.queue[0]
        window = min(h2.local_flow_control_window(self.stream_id), h2.max_outbound_frame_size)
        if window <= 0 or not self._may_send_first_byte(message):
            return False
        prefix = message.prefix[:window]
        size = window - len(prefix)
        is_complete = prefix == message.prefix and len(message.data) <= size
        end_stream = is_complete and len(self.queue) == 1 and self._half_closes_with_message
        h2.send_data(self.stream_id, prefix + message.data[:size], end_stream=end_stream)
        if end_stream:
            self.state = CallState.HALF_CLOSED
        if is_complete:
            self.queue.popleft()
        else:
            message.prefix, message.data = message.prefix[len(prefix) :], message.data[size:]
        self.connection.flush()
        if is_complete and message.on_sent:
            message.on_sent()
        return True

    def _may_send_first_byte(self, message: QueuedMessage) -> bool:
        """Whether the message may be sent now; `may_send`, if any, is asked only before the first byte."""
        if message.may_send is None:
            return True
        self.connection.flush()  # may fill the outbox if the socket does not accept the call's headers
        if not self.connection.can_write or not message.may_send():
            return False
        message.may_send = None
        return True

    @property
    def _half_closes_with_message(self) -> bool:
        """Whether END_STREAM is set on the last message rather than on trailers after it."""
        return self.state is CallState.HALF_CLOSING and self.trailers is None
