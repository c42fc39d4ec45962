"""One HTTP/2 connection for gRPC calls, client or server side; h2 implements the protocol's state machine.

    (dialling) --> serving --drain, GOAWAY of either side--> draining --last call closed--> ended
                      |                                          |
                      `------- connection lost, protocol error, close() -------------------> ended

A server-side connection, which is one from a client, is also drained if it has no open calls and has received
nothing for `IDLE_TIMEOUT_S`. The end of a connection aborts its open calls.
"""

import contextlib
from collections.abc import Generator, Iterator
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream
from query_gateway.rpc.call import Call, CallHandler, CallState, Headers
from query_gateway.rpc.header_block_limit import CLIENT_PREFACE, HeaderBlockLimit
from query_gateway.rpc.peer_events import CallAcceptor, PeerEventHandler

CALL_WINDOW_BYTES = 262_144  # per call: received or in transit, and not yet forwarded
CONNECTION_WINDOW_INCREMENT_BYTES = 16 * CALL_WINDOW_BYTES
MAX_CONCURRENT_CALLS = 1_000  # per connection
MAX_HEADER_LIST_BYTES = 65_536
MAX_HEADER_BLOCK_BYTES = MAX_HEADER_LIST_BYTES + 4_096  # of one call, encoded, with its frames
FIRST_BYTES_TIMEOUT_S = 2.0  # until a client must have sent its first bytes
IDLE_TIMEOUT_S = 300.0  # without data, after which a client's connection without calls is closed
# For a client to read the rest of a call's response, or of what is unsent when its connection closes
SLOW_READER_TIMEOUT_S = 30.0
HALF_CLOSE_TIMEOUT_S = 1.0  # for a client to close its side after the gateway has closed its own
MAX_BYTES_PER_STEP = 1_024  # passed to h2 at a time; may contain a hundred frames
MAX_OUTBOX_BYTES = 1_048_576  # unsent, per connection of a client; further data stays queued in its calls

TaskGenerator = Generator[float | None, None, None]


@dataclass(slots=True, frozen=True)
class FailedCall:
    """A call that was closed because it could not continue, and whose handler is not told yet."""

    call: Call
    never_ran: bool  # the peer cannot have processed the call


class GrpcConnection:
    """One connection with its open calls; owns the stream and closes it when the connection ends.

    A server must set `on_call`, which is called for each new call and returns the call's handler, before the
    connection's task runs. Times are loop times in seconds.
    """

    def __init__(self, loop: Loop, stream: Stream, is_client: bool) -> None:
        """Send the preface and start the connection's task; with `is_client`, `stream` may be dialling."""
        self.loop, self.stream, self.is_client = loop, stream, is_client
        self.h2 = _new_h2_connection(is_client)
        self.calls: dict[int, Call] = {}  # the open calls, by stream id
        self._failed_calls: list[FailedCall] = []  # closed by `fail_call`; their handlers do not know yet
        self.on_call: CallAcceptor | None = None
        # Calls to engines wait in their own queues, not in the shared outbox, so that they can be withdrawn
        self.max_outbox_bytes = 1 if is_client else MAX_OUTBOX_BYTES
        self.draining = False  # neither side opens further calls; open calls continue
        self.has_received = False
        self.last_received_at = loop.now()
        self.peer_events = PeerEventHandler(self)
        self._header_block_limit = HeaderBlockLimit(
            MAX_HEADER_BLOCK_BYTES, 0 if is_client else len(CLIENT_PREFACE)
        )
        self.end_reason = Reason.STOPPING  # logged when the connection ends after draining
        self.h2.initiate_connection()  # now, as calls may be opened before the task runs
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_INCREMENT_BYTES)
        self.flush()
        # Urgent on the server side: if a client cancels a call, its frame must be handled before an attempt
        # for the call is sent to an engine
        self.task: Task = loop.spawn(self._run(), is_urgent=not is_client)
        stream.on_activity = self.task.wake

    # ---- for the owner of the connection

    @property
    def is_idle(self) -> bool:
        """Whether there are no calls and no buffered data, after reading the data that has arrived."""
        self.stream.read_available()
        return not (self.calls or self.stream.inbox or self.stream.outbox)

    def open_call(self, headers: Headers, handler: CallHandler) -> Call | None:
        """Open a call to the peer; None if the connection or the peer accepts no further calls."""
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
        """Tell the client that no further calls are accepted; the connection ends after its open calls.

        The frame is encoded here and not by h2, which rejects all further frames of open calls once it has
        sent a GOAWAY, whereas RFC 9113 section 6.8 lets these calls complete.
        """
        if not self.draining and not self.stream.is_over:
            self.flush()
            self.stream.write(GoAwayFrame(0, last_stream_id=self.peer_events.newest_stream_id).serialize())
        self.drain()

    def drain(self) -> None:
        """Open and accept no further calls; the connection ends after its open calls."""
        self.draining = True
        self.wake()

    def close(self, reason: Reason) -> None:
        """Close the stream at once; the connection's task then aborts the open calls."""
        self.stream.close(reason)
        self.wake()

    # ---- for the calls (`CallConnection`)

    @property
    def can_write(self) -> bool:
        """Whether the outbox has room for more data from the calls."""
        return len(self.stream.outbox) < self.max_outbox_bytes

    def wake(self) -> None:
        """Schedule the connection's task."""
        self.task.wake()

    def flush(self) -> None:
        """Write the frames that h2 has encoded to the stream."""
        if data := self.h2.data_to_send():
            self.stream.write(data)

    def remove_call(self, call: Call) -> None:
        """Mark a call as closed, discard its queue and remove it from the open calls."""
        call.mark_closed()
        call.queue.clear()
        self.calls.pop(call.stream_id, None)

    def reset(self, call: Call) -> None:
        """Close a call and send RST_STREAM with the error code CANCEL."""
        self.remove_call(call)
        if not self.stream.is_over:
            with contextlib.suppress(h2.exceptions.ProtocolError):  # the peer has already closed the stream
                self.h2.reset_stream(call.stream_id, h2.errors.ErrorCodes.CANCEL)
            self.wake()

    def fail_call(self, call: Call) -> None:
        """Close a call that cannot continue; the connection's task then aborts it at its handler.

        The handler is not told at once, as it may be the caller.
        """
        if call.is_closed:
            return
        # A peer processes a call only after it has received the complete message
        self._failed_calls.append(FailedCall(call, never_ran=self.is_client and bool(call.queue)))
        self.reset(call)
        self.wake()

    def acknowledge(self, call: Call, flow_controlled_bytes: int) -> None:
        """Return flow-control credit for received bytes on both the call and the connection."""
        if flow_controlled_bytes and not self.stream.is_over:
            self.h2.acknowledge_received_data(flow_controlled_bytes, call.stream_id)
            self.wake()

    # ---- the connection's task

    def _run(self) -> TaskGenerator:
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
            if self.stream.inbox and not (yield from self._receive()):
                return Reason.MALFORMED_RESPONSE if self.is_client else Reason.BAD_REQUEST
            for call in list(self.calls.values()):
                with self._ending_only(call):
                    call.send_queued()
            self._abort_failed_calls()
            self.flush()
            if self.stream.inbox and not self.stream.closed:
                continue
            if self.stream.is_over:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if self.draining and not self.calls:
                if not self.is_client:
                    yield from self._deliver_last_response()
                return self.end_reason
            deadline = self._idle_deadline()
            if deadline is None or self.loop.now() < deadline:
                yield deadline
            elif not self.has_received:
                return Reason.UNRESPONSIVE
            else:
                self._end_idle_connection()

    def _idle_deadline(self) -> float | None:
        """Return the loop time at which a client's connection without calls is closed; None: no limit.

        Without this limit, clients that send nothing or never close would exhaust the file descriptors, and
        other clients could no longer connect.
        """
        if self.calls or self.is_client:
            return None
        return self.last_received_at + (IDLE_TIMEOUT_S if self.has_received else FIRST_BYTES_TIMEOUT_S)

    def _end_idle_connection(self) -> None:
        """Drain, unless data has just arrived.

        A call that the client sends before it receives the GOAWAY is refused, so the client knows that the
        call has not run.
        """
        self.stream.read_available()
        if not self.stream.inbox:
            self.end_reason = Reason.IDLE
            self.send_goaway()

    def _deliver_last_response(self) -> TaskGenerator:
        """Send the rest of the outbox, then half-close and wait for the client to close its side.

        Closing a socket with unsent or unread bytes causes a TCP reset, and the client loses the end of its
        last response. So the close waits until the outbox is empty and the client has closed its side, for
        at most SLOW_READER_TIMEOUT_S and HALF_CLOSE_TIMEOUT_S.
        """
        deadline = self.loop.now() + SLOW_READER_TIMEOUT_S
        while self.stream.outbox and not self.stream.reset and self.loop.now() < deadline:
            self.stream.take_inbox()
            yield deadline
        yield from self.stream.close_gracefully(HALF_CLOSE_TIMEOUT_S)

    @contextlib.contextmanager
    def _ending_only(self, call: Call) -> Iterator[None]:
        """Contain an unexpected exception in the work for one call, which ends that call."""
        try:
            yield
        except Exception as error:
            self._fail_for_fault(call, error)

    def _handle_event(self, event: h2.events.Event) -> None:
        """Handle an event; an unexpected exception ends the connection only if the event is not of a call."""
        try:
            self.peer_events.handle(event)
        except Exception as error:
            call = self.peer_events.call_of(event)  # a new call is open only since the event was handled
            if call is None:
                raise
            self._fail_for_fault(call, error)

    def _fail_for_fault(self, call: Call, error: Exception) -> None:
        log("fault", f"unexpected exception while handling a call: {error!r}")
        self.loop.faults += 1
        with contextlib.suppress(Exception):
            call.handler.on_fault()
        if call.state is CallState.OPEN:
            self.fail_call(call)

    def _abort_failed_calls(self) -> None:
        while self._failed_calls:
            failed = self._failed_calls.pop(0)
            with self._ending_only(failed.call):
                failed.call.handler.on_aborted(failed.never_ran)

    def _abort_calls(self) -> None:
        calls, self.calls = list(self.calls.values()), {}
        self._abort_failed_calls()
        for call in calls:
            call.mark_closed()
            # A peer processes a call only after it has received the complete message
            never_ran = self.peer_events.is_refused(call) or not self.stream.connected or bool(call.queue)
            with self._ending_only(call):
                call.handler.on_aborted(never_ran)

    def _receive(self) -> Generator[float | None, None, bool]:
        """Handle up to `MAX_BYTES_PER_STEP` of the received data; False if the peer violated the protocol.

        Pauses before if this connection keeps the loop busy, or is about to in a turn that is already late.
        """
        paused_tasks = self.loop.paused_tasks
        has_much_input = len(self.stream.inbox) > MAX_BYTES_PER_STEP
        if paused_tasks.is_pause_due() or (has_much_input and paused_tasks.is_turn_late()):
            yield from self._pause()
        self.has_received, self.last_received_at = True, self.loop.now()
        data = self.stream.take_inbox(MAX_BYTES_PER_STEP)
        if self._header_block_limit.exceeded_by(data):
            self.stream.write(GoAwayFrame(0, error_code=h2.errors.ErrorCodes.ENHANCE_YOUR_CALM).serialize())
            return False
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.flush()  # the GOAWAY with the error code, which h2 has encoded
            return False
        for event in events:
            self._handle_event(event)
        return True

    def _pause(self) -> Generator[float | None, None, None]:
        """Let the loop serve others, as this connection keeps it busy.

        Meanwhile the data of a client that is not decoded yet counts as unread, so that no request that
        arrived later overtakes one in it that has the same key.
        """
        if not self.is_client:
            arrival = self.stream.arrivals.peek(self.stream.bytes_consumed + 1, self.loop.now())
            self.loop.watermark.hold(self, arrival.latest)
        try:
            yield from self.loop.paused_tasks.pause(self.task)
        finally:
            self.loop.watermark.release(self)


def _new_h2_connection(is_client: bool) -> h2.connection.H2Connection:
    connection = h2.connection.H2Connection(
        h2.config.H2Configuration(client_side=is_client, header_encoding=None)
    )
    # h2 sends the settings in this attribute with the connection preface
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
