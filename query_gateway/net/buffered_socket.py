"""Buffered reading and writing on one non-blocking socket, and the state of its connection.

    connecting --dial succeeded--> connected --peer closed--> eof --.
        |                              |                            |-- close --> closed
        `--------- dial failed, connection broken -------> eof -----'

The state is held in the flags `connected`, `eof` (nothing more can be read; with `reset`, nothing can be
written either) and `closed`. Each changes at most once. After an `eof` without `reset`, the peer may still
read what is written.
"""

import contextlib
import socket
from collections.abc import Callable

from query_gateway.net.arrivals import ArrivalLog, ArrivalTime
from query_gateway.net.dial import dial_result
from query_gateway.net.errors import LOCAL_DIAL_ERRORS, WOULD_BLOCK_ERRORS, is_transient
from query_gateway.net.loop import IN, OUT, Loop
from query_gateway.net.outbox import Outbox
from query_gateway.net.receive_budget import MAX_INBOX_BYTES
from query_gateway.net.tcp_info import seconds_since_last_data

READ_SIZE_BYTES = 65_536


class BufferedSocket:
    """One TCP connection with an inbox and an outbox; owns its socket, which `Stream` dials and closes."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_activity: Callable[[], None],
        waiting_since: float | None,
    ) -> None:
        """Take ownership of the socket of an accepted connection, or of one to be dialled; see `Stream`."""
        self.loop, self.sock, self.on_activity = loop, sock, on_activity
        self.inbox, self.outbox = bytearray(), Outbox()
        self.arrivals = ArrivalLog(waiting_since)
        # Whether the connection was accepted, not dialled. Only of accepted ones are arrival times recorded,
        # from which the deadlines of clients count
        self._is_accepted = True
        self.holds_incomplete_request = False  # set by a front while it reads a request
        self.bytes_consumed = 0  # bytes taken out of the inbox so far
        self._awaits_writable = False  # `try_write` wrote nothing, so `on_activity` is due once writable
        self.connected = True
        self.eof = self.reset = self.closed = False
        self.is_local_failure = False  # the dial failed for lack of a resource of this host
        self.read_paused = False  # the inbox is full
        sock.setblocking(False)
        # Setting the option may fail while the host is short of buffers. The connection works without it, but
        # writes may be delayed
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = IN

    def start(self) -> None:
        """Start reading an accepted connection."""
        self.loop.watch(self.sock, self.mask, self._ready)
        if self.arrivals.unread_since is not None:
            # `unread_since` applies only to the bytes that are pending now, not to those that arrive later
            self.read_available()
            self.arrivals.unread_since = None

    @property
    def is_over(self) -> bool:
        """Whether nothing more can be read, whichever side ended the connection."""
        return self.closed or self.eof

    def _fail_dial(self, error: int) -> None:
        self.eof = True
        self.is_local_failure = error in LOCAL_DIAL_ERRORS

    def _ready(self) -> None:
        if self.closed:
            return
        self._awaits_writable = False
        if not self.connected and not self._check_connected():
            return
        if self.outbox:
            self._flush()
        if not self.eof and not self.read_paused:
            self._read_event()
        self._update_mask()
        self.on_activity()

    def _check_connected(self) -> bool:
        error = dial_result(self.sock)
        if error is None:
            return False
        if error:
            self._fail_dial(error)
            self._update_mask()
            self.on_activity()
            return False
        self.connected = True
        return True

    # ---- reading

    def _read_event(self) -> None:
        """Handle a read event: read once, or until nothing is left if a request waits for the watermark."""
        if not self._is_accepted or not self.loop.watermark.is_awaited:
            self._read()
            return
        while not (self.eof or self.closed or self.read_paused) and self._read():
            pass

    def _read(self) -> bool:
        """Read once; return whether there were bytes to read or the connection ended."""
        # The kernel is asked before the read, so that data arriving after the read does not count as the
        # newest of the bytes read
        waited = seconds_since_last_data(self.sock) if self._is_accepted else None
        max_inbox_bytes = self._max_inbox_bytes
        size = max(1, min(READ_SIZE_BYTES, max_inbox_bytes - len(self.inbox)))
        try:
            data = self.sock.recv(size)
        except OSError as error:
            if is_transient(error):
                if error.errno not in WOULD_BLOCK_ERRORS and self._is_accepted:
                    self.loop.watermark.mark_turn_incomplete()
                return False
            self.eof = self.reset = True
            return True
        if not data:
            self.eof = True
        self.inbox += data
        if self._is_accepted:
            self.loop.receive_budget.count(len(data))
            more_waits = len(data) >= size
            self.arrivals.record_read(len(data), self._arrival_time(waited), more_waits)
        self.read_paused = len(self.inbox) >= max_inbox_bytes
        if self.read_paused:
            self.arrivals.unread_since = self.loop.now()
        return True

    @property
    def _max_inbox_bytes(self) -> int:
        """Unconsumed bytes at which reading pauses."""
        if not self._is_accepted:
            return MAX_INBOX_BYTES
        return self.loop.receive_budget.max_inbox_bytes(self.holds_incomplete_request)

    def _arrival_time(self, waited: float | None) -> ArrivalTime:
        """The arrival time of the bytes just read; the newest arrived `waited` seconds ago, if known."""
        now = self.loop.now()
        # The bytes may have been unread for as long as the loop was busy
        earliest = now - self.loop.lag()
        latest = earliest if waited is None else now - waited
        return ArrivalTime(min(earliest, latest), latest)

    def read_available(self) -> None:
        """Read what has arrived since the last poll, for a decision that needs the latest state."""
        size_before, eof_before = len(self.inbox), self.eof
        while self.connected and not (self.eof or self.closed or self.read_paused) and self._read():
            pass  # until nothing is left, so that the end of the connection after the bytes is detected
        if self.eof is not eof_before or len(self.inbox) > size_before:
            self._update_mask()
            self.on_activity()

    def take_inbox(self, max_bytes: int = MAX_INBOX_BYTES + READ_SIZE_BYTES) -> bytes:
        """Remove and return up to `max_bytes` from the inbox; resumes reading if it was paused.

        The default is all that an inbox can hold.
        """
        data = bytes(self.inbox[:max_bytes])
        del self.inbox[:max_bytes]
        self.bytes_consumed += len(data)
        if self._is_accepted:
            self.loop.receive_budget.count(-len(data))
        if self.read_paused:
            self._resume_reading()
        return data

    def _resume_reading(self) -> None:
        """Resume reading, which was paused, if the inbox has room."""
        if len(self.inbox) < self._max_inbox_bytes:
            self.read_paused = False
            self._update_mask()

    def note_complete_request(self) -> None:
        """Let the inbox grow as for a connection whose request is read."""
        self.holds_incomplete_request = False
        if self.read_paused:
            self._resume_reading()

    # ---- writing

    def write(self, data: bytes) -> None:
        """Send what the kernel accepts now and queue the rest; drops `data` if the connection has ended."""
        if self.closed or self.reset:
            return
        if self.outbox or not self.connected:
            self.outbox.append(data)
        elif (sent := self._send(data)) is not None and sent < len(data):
            self.outbox.append(data[sent:])
        self._update_mask()

    def try_write(self, data: bytes) -> bool:
        """Write if the kernel accepts at least the first byte now, and queue the rest; return whether it did.

        If not, nothing is written or queued, and `on_activity` is called when the caller may try again or the
        connection has ended. For messages that must be checked just before they are sent: a queued one could
        become outdated.
        """
        if self.is_over or self.outbox or not self.connected:
            return False
        sent = self._send(data)
        if sent:
            self.outbox.append(data[sent:])
        else:
            self._awaits_writable = not self.is_over
        self._update_mask()
        return bool(sent)

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all bytes written are in the kernel; never, if the connection ends first."""
        if self.outbox or not self.connected:
            self.outbox.call_when_sent(callback)
        elif not self.reset and not self.closed:
            callback()

    def _send(self, data: bytes | bytearray) -> int | None:
        """Send; return how many bytes the kernel accepted, or None if the connection is broken."""
        try:
            return self.sock.send(data)
        except OSError as error:
            if is_transient(error):
                return 0
        self.eof = self.reset = True
        self.on_activity()
        return None

    def _flush(self) -> None:
        sent = self._send(self.outbox.data)
        if sent is None:
            self.outbox.drop()
        else:
            self.outbox.remove_sent(sent)

    def half_close(self) -> None:
        """Shut down the sending side and keep reading; see `Stream.close_gracefully`."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.eof = self.reset = True

    def _update_mask(self) -> None:
        """Watch only for events that can be handled.

        As epoll is level-triggered, other events would wake the loop in every turn.
        """
        if self.closed:
            return
        writes = bool(self.outbox) or not self.connected or self._awaits_writable
        mask = (0 if self.eof or self.read_paused else IN) | (OUT if writes else 0)
        if self.eof and self.reset:
            mask = 0
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock, mask, self._ready)
