"""One gRPC call, which is one HTTP/2 stream: its state, the messages queued on it, and who handles it.

Our side of a call:

    OPEN --send(half_close), finish--> HALF_CLOSING --END_STREAM with the last message--> HALF_CLOSED
      |                                     |                                                 |
      `---- trailers sent, reset by either side, refused by a GOAWAY, connection ended -------+--> CLOSED

Nothing is added to a call from HALF_CLOSING on, and nothing is sent from CLOSED on. Only the connection
closes a call (`mark_closed`), as it owns the table of open calls.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from h2.connection import H2Connection

from query_gateway.net.stream import Stream
from query_gateway.rpc.framing import MessageDecoder, encode_message

Headers = list[tuple[str, str]]


class CallHandler:
    """What the owner of a call is notified of; each owner overrides what it needs."""

    def on_headers(self, headers: dict[str, str]) -> None:
        """The peer has sent the response's headers or its trailers."""

    def on_message(self, data: bytes, flow_controlled_bytes: int) -> None:
        """The peer has sent a message.

        `flow_controlled_bytes` is what the owner must give to `Call.acknowledge` once the message has been
        passed on, or the peer's flow-control window stays short of it.
        """

    def on_end_stream(self) -> None:
        """The peer has half-closed the call: nothing more comes from it."""

    def on_aborted(self, never_ran: bool) -> None:
        """The call was reset or its connection ended; `never_ran` if the peer surely did not act on it."""


class CallState(Enum):
    """Our side of a call, and whether both sides have ended it."""

    OPEN = "open"
    HALF_CLOSING = "half-closing"  # nothing is added any more; END_STREAM follows what is queued
    HALF_CLOSED = "half-closed"  # END_STREAM has been sent; the peer may still send
    CLOSED = "closed"


@dataclass(slots=True)
class QueuedMessage:
    """What is left to send of one message, with its prefix."""

    data: bytes
    on_sent: Callable[[], None] | None  # called once flow control has let the last byte go
    may_leave: Callable[[], bool] | None  # asked as the first byte is about to leave


class CallConnection(Protocol):
    """What a call uses of its connection, which owns the call and the state of HTTP/2."""

    h2: H2Connection
    stream: Stream

    @property
    def can_write(self) -> bool:
        """Whether the outbox takes more from the calls."""

    def wake(self) -> None:
        """Give the connection's task its turn."""

    def flush(self) -> None:
        """Write what h2 has ready."""

    def forget(self, call: "Call") -> None:
        """Close a call and drop what it has queued."""

    def reset(self, call: "Call") -> None:
        """Close a call and send RST_STREAM with CANCEL."""

    def acknowledge(self, call: "Call", flow_controlled_bytes: int) -> None:
        """Open the flow-control windows of the call and of the connection again by so many bytes."""


class Call:
    """One call on a connection, from either side.

    A message waits here, not in the connection's outbox, until the flow-control windows let it go.
    """

    def __init__(self, connection: CallConnection, stream_id: int, handler: CallHandler) -> None:
        """Begin an open call with nothing queued; the connection owns it until it is closed."""
        self.connection, self.stream_id, self.handler = connection, stream_id, handler
        self.decoder = MessageDecoder()
        self.queue: deque[QueuedMessage] = deque()
        self.trailers: Headers | None = None  # what ends the call behind the queue, on the server's side
        self.state = CallState.OPEN

    @property
    def is_closed(self) -> bool:
        """Whether the call is over: nothing is sent, and its handler is notified of an abort at most."""
        return self.state is CallState.CLOSED

    def send_headers(self, headers: Headers, end_stream: bool = False) -> None:
        """Send headers at once; with `end_stream` they are the whole answer and close the call."""
        if self.is_closed:
            return
        self.connection.h2.send_headers(self.stream_id, headers, end_stream=end_stream)
        if end_stream:
            self.connection.forget(self)
        self.connection.wake()

    def send(
        self,
        message: bytes,
        on_sent: Callable[[], None] | None = None,
        half_close: bool = False,
        may_leave: Callable[[], bool] | None = None,
    ) -> None:
        """Queue a message, without its prefix, and send what the windows allow.

        `on_sent` is called once flow control has let the complete message go, which may be at once. With
        `half_close` nothing may follow it. `may_leave` is asked once the windows and the machine have let all
        before the message go; if it answers False it has closed the call.
        """
        if self.is_closed:
            return
        self.queue.append(QueuedMessage(encode_message(message), on_sent, may_leave))
        if half_close and self.state is CallState.OPEN:
            self.state = CallState.HALF_CLOSING
        self.send_queued()

    def finish(self, trailers: Headers) -> None:
        """Close the call with these trailers once all that is queued has been sent."""
        if self.state is CallState.OPEN:
            self.state = CallState.HALF_CLOSING
            self.trailers = trailers
            self.send_queued()

    def reset(self) -> None:
        """Close the call at once with RST_STREAM."""
        if not self.is_closed:
            self.connection.reset(self)

    def mark_closed(self) -> None:
        """Record that the call is over; called by the connection."""
        self.state = CallState.CLOSED

    def acknowledge(self, flow_controlled_bytes: int) -> None:
        """Open the peer's flow-control window again by bytes that have been passed on."""
        self.connection.acknowledge(self, flow_controlled_bytes)

    def send_queued(self) -> None:
        """Send as much as the flow-control windows and the connection's outbox take."""
        has_sent = False
        while self.queue and not self.is_closed and self.connection.can_write and self._send_piece():
            has_sent = True
        if not self.queue and self.trailers is not None and not self.is_closed:
            self.connection.h2.send_headers(self.stream_id, self.trailers, end_stream=True)
            self.connection.forget(self)
            has_sent = True
        # The connection's task calls this: woken without need it would run in every turn and keep a core busy
        if has_sent:
            self.connection.wake()

    def _send_piece(self) -> bool:
        """Send one DATA frame of the first queued message; False if the flow-control window is used up."""
        h2, message = self.connection.h2, self.queue[0]
        window = min(h2.local_flow_control_window(self.stream_id), h2.max_outbound_frame_size)
        if window <= 0 or not self._may_leave(message):
            return False
        is_complete = len(message.data) <= window
        end_stream = is_complete and len(self.queue) == 1 and self._half_closes_with_message
        h2.send_data(self.stream_id, message.data[:window], end_stream=end_stream)
        if end_stream:
            self.state = CallState.HALF_CLOSED
        if is_complete:
            self.queue.popleft()
        else:
            message.data = message.data[window:]
        self.connection.flush()
        if is_complete and message.on_sent:
            message.on_sent()
        return True

    def _may_leave(self, message: QueuedMessage) -> bool:
        """Whether the message's first byte may leave now, or has left already."""
        if message.may_leave is None:
            return True
        self.connection.flush()  # the call's headers, which the machine may not take
        if not self.connection.can_write or not message.may_leave():
            return False
        message.may_leave = None
        return True

    @property
    def _half_closes_with_message(self) -> bool:
        """Whether END_STREAM goes with the last message, not with trailers behind it."""
        return self.state is CallState.HALF_CLOSING and self.trailers is None
