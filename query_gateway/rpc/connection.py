"""One HTTP/2 connection that carries gRPC calls, on either side; h2 keeps the protocol's state.

    (dialling) --> serving --drain, GOAWAY of either side--> draining --last call closed--> ended
                      |                                          |
                      `------- connection lost, protocol broken, close() ------------------> ended

Connections of clients are drained as well when they have been idle for `IDLE_TIMEOUT_S`. A connection that
ends aborts the calls that are still open.
"""

import contextlib
from collections.abc import Generator

import h2.config
import h2.connection
import h2.errors
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream
from query_gateway.rpc.call import Call, CallHandler, Headers
from query_gateway.rpc.peer_events import CallAcceptor, PeerEventHandler

CALL_WINDOW_BYTES = 262_144  # of one call that may be under way to us and not yet passed on
CONNECTION_WINDOW_INCREMENT_BYTES = 16 * CALL_WINDOW_BYTES
MAX_CONCURRENT_CALLS = 1_000  # on one connection
MAX_HEADER_LIST_BYTES = 65_536
FIRST_BYTES_TIMEOUT_S = 2.0  # in which a client's connection must have sent something
IDLE_TIMEOUT_S = 300.0  # after which a client's connection without a call is closed
SLOW_READER_TIMEOUT_S = 30.0  # in which a client must have read the rest of its last answer
HALF_CLOSE_TIMEOUT_S = 1.0  # in which a client must close its side after we have closed ours
MAX_OUTBOX_BYTES = 1_048_576  # kept for a client that does not read, before its calls wait

Steps = Generator[float | None, None, None]


class GrpcConnection:
    """One connection with its open calls. It owns the stream and closes it when it ends.

    Set `on_call` on the server's side before the stream is started: it is called for each new call and
    returns the call's handler. Times are loop times in seconds.
    """

    def __init__(self, loop: Loop, stream: Stream, is_client: bool) -> None:
        """Send the connection preface and start the connection's task; a client's stream may still dial."""
        self.loop, self.stream, self.is_client = loop, stream, is_client
        self.h2 = _new_h2_connection(is_client)
        self.calls: dict[int, Call] = {}  # the open calls by their stream id
        self.on_call: CallAcceptor | None = None
        # An engine's call waits in its own queue, not behind others in the outbox: so it can be withdrawn
        self.max_outbox_bytes = 1 if is_client else MAX_OUTBOX_BYTES
        self.draining = False  # no call is begun any more, here or by the peer; open calls go on
        self.has_received = False
        self.last_received_at = loop.now()
        self.peer_events = PeerEventHandler(self)
        self.end_reason = Reason.STOPPING  # why the connection ends once it has drained
        self.h2.initiate_connection()  # first of all: calls may be opened before the task has its turn
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_INCREMENT_BYTES)
        self.flush()
        # A client's cancel is a frame, which must be read before an attempt may leave for its call
        self.task: Task = loop.spawn(self._run(), is_urgent=not is_client)
        stream.on_activity = self.task.wake

    # ---- for the owner of the connection

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way in either direction, what has just arrived included."""
        self.stream.read_available()
        return not (self.calls or self.stream.inbox or self.stream.outbox)

    def open_call(self, headers: Headers, handler: CallHandler) -> Call | None:
        """Begin a call on the client's side; None if the connection or the peer takes no further call."""
        if self.draining or self.stream.is_over or not self.stream.connected:
            return None
        try:
            stream_id = self.h2.get_next_available_stream_id()
            self.h2.send_headers(stream_id, headers)
        except (h2.exceptions.ProtocolError, h2.exceptions.NoAvailableStreamIDError):
            return None
        call = self.calls[stream_id] = Call(self, stream_id, handler)
        self.wake()
        return call

    def send_goaway(self) -> None:
        """Notify the client that no further call is accepted; the connection ends once its open calls have.

        The frame is built here: h2 accepts nothing more for the open calls once it has sent a GOAWAY itself,
        while RFC 9113 section 6.8 lets them go on.
        """
        if not self.draining and not self.stream.is_over:
            self.flush()
            self.stream.write(GoAwayFrame(0, last_stream_id=self.peer_events.newest_stream_id).serialize())
        self.drain()

    def drain(self) -> None:
        """Begin and take no further call; the connection ends once its open calls have."""
        self.draining = True
        self.wake()

    def close(self, reason: Reason) -> None:
        """Close the connection at once; its task then aborts the open calls."""
        self.stream.close(reason)
        self.wake()

    # ---- for its calls (`CallConnection`)

    @property
    def can_write(self) -> bool:
        """Whether the outbox takes more from the calls."""
        return len(self.stream.outbox) < self.max_outbox_bytes

    def wake(self) -> None:
        """Give the connection's task its turn."""
        self.task.wake()

    def flush(self) -> None:
        """Write what h2 has ready."""
        if data := self.h2.data_to_send():
            self.stream.write(data)

    def forget(self, call: Call) -> None:
        """Close a call and drop what it has queued."""
        call.mark_closed()
        call.queue.clear()
        self.calls.pop(call.stream_id, None)

    def reset(self, call: Call) -> None:
        """Close a call and send RST_STREAM with CANCEL."""
        self.forget(call)
        if not self.stream.is_over:
            with contextlib.suppress(h2.exceptions.ProtocolError):  # the peer has ended it meanwhile
                self.h2.reset_stream(call.stream_id, h2.errors.ErrorCodes.CANCEL)
            self.wake()

    def acknowledge(self, call: Call, flow_controlled_bytes: int) -> None:
        """Open the flow-control windows of the call and of the connection again by so many bytes."""
        if flow_controlled_bytes and not self.stream.is_over:
            self.h2.acknowledge_received_data(flow_controlled_bytes, call.stream_id)
            self.wake()

    # ---- the connection's task

    def _run(self) -> Steps:
        reason = Reason.FAULT
        try:
            while not self.stream.connected and not self.stream.eof:
                yield None
            reason = yield from self._serve()
        finally:
            self.draining = True
            self._abort_calls()
            self.stream.close(reason)

    def _serve(self) -> Generator[float | None, None, Reason]:
        while True:
            if self.stream.inbox and not self._receive():
                return Reason.MALFORMED_RESPONSE if self.is_client else Reason.BAD_REQUEST
            for call in list(self.calls.values()):
                call.send_queued()
            self.flush()
            if self.stream.is_over:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if self.draining and not self.calls:
                if not self.is_client:
                    yield from self._deliver_last_answer()
                return self.end_reason
            deadline = self._idle_deadline()
            if deadline is None or self.loop.now() < deadline:
                yield deadline
            elif not self.has_received:
                return Reason.UNRESPONSIVE
            else:
                self._end_idle_connection()

    def _idle_deadline(self) -> float | None:
        """When a client's connection without a call ends (loop time); None: it stays.

        Clients that connect and send nothing, or never close, would use up the file descriptors, and other
        clients could not connect any more.
        """
        if self.calls or self.is_client:
            return None
        return self.last_received_at + (IDLE_TIMEOUT_S if self.has_received else FIRST_BYTES_TIMEOUT_S)

    def _end_idle_connection(self) -> None:
        """Drain, unless a call has just arrived; one that crosses the GOAWAY is refused as never run."""
        self.stream.read_available()
        if not self.stream.inbox:
            self.end_reason = Reason.IDLE
            self.send_goaway()

    def _deliver_last_answer(self) -> Steps:
        """Send all of the outbox, then half-close.

        A socket that is closed over unsent or unread bytes sends a reset, and the client loses the end of its
        last answer. So the close waits until the outbox is empty and the client has closed its side.
        """
        deadline = self.loop.now() + SLOW_READER_TIMEOUT_S
        while self.stream.outbox and not self.stream.reset and self.loop.now() < deadline:
            self.stream.take_inbox()
            yield deadline
        yield from self.stream.close_gracefully(HALF_CLOSE_TIMEOUT_S)

    def _abort_calls(self) -> None:
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            call.mark_closed()
            # A peer acts on a call only when its message has arrived completely
            never_ran = self.peer_events.is_refused(call) or not self.stream.connected or bool(call.queue)
            call.handler.on_aborted(never_ran)

    def _receive(self) -> bool:
        """Handle what has arrived; False if the peer broke the protocol."""
        self.has_received, self.last_received_at = True, self.loop.now()
        try:
            for event in self.h2.receive_data(self.stream.take_inbox()):
                self.peer_events.handle(event)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError):
            self.flush()  # h2 has a GOAWAY ready that names the error
            return False
        return True


def _new_h2_connection(is_client: bool) -> h2.connection.H2Connection:
    connection = h2.connection.H2Connection(
        h2.config.H2Configuration(client_side=is_client, header_encoding="utf-8")
    )
    # An attribute of the h2 library, which sends these settings in the connection preface
    connection.local_settings = h2.settings.Settings(
        client=is_client,
        initial_values={
            h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: CALL_WINDOW_BYTES,
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CONCURRENT_CALLS,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            **({h2.settings.SettingCodes.ENABLE_PUSH: 0} if is_client else {}),
        },
    )
    return connection
