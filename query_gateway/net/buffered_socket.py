"""Buffered reading and writing on one non-blocking socket, with the state of its connection.

    connecting --dial succeeded--> connected --peer closed--> eof --.
        |                              |                            |-- close --> closed
        `--------- dial failed, connection broken -------> eof -----'

The flags show which: `connected`, `eof` (nothing more will be read; with `reset` nothing will be written
either), `closed`. Each changes once at most. After an `eof` without `reset` the peer may still read what is
written.
"""

import contextlib
import socket
from collections.abc import Callable

from query_gateway.net.arrivals import ArrivalLog, ArrivalTime
from query_gateway.net.dial import dial_result
from query_gateway.net.errors import LOCAL_DIAL_FAILURES, NOTHING_THERE, is_momentary
from query_gateway.net.loop import IN, OUT, Loop
from query_gateway.net.outbox import Outbox
from query_gateway.net.tcp_info import seconds_since_last_data

READ_SIZE_BYTES = 65_536
MAX_INBOX_BYTES = 262_144  # read ahead of the consumer; beyond it reading pauses


class BufferedSocket:
    """One TCP connection with an inbox and an outbox; owns its socket, which `Stream` dials and closes."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_activity: Callable[[], None],
        waiting_since: float | None,
    ) -> None:
        """Take over an accepted connection, or one that is about to be dialled; see `Stream`."""
        self.loop, self.sock, self.on_activity = loop, sock, on_activity
        self.inbox, self.outbox = bytearray(), Outbox()
        self.arrivals = ArrivalLog(waiting_since)
        self._is_accepted = True  # its peer's time runs, so the times of arrival are kept
        self.bytes_consumed = 0  # of those that have come
        self._awaits_writable = False  # `try_write` could write nothing
        self.connected = True
        self.eof = self.reset = self.closed = False
        self.is_local_failure = False  # the dial failed for want of something of our own machine
        self.read_paused = False  # the inbox is full
        sock.setblocking(False)
        # May fail while the machine is short of buffers; the connection works without it, with later writes
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = IN

    def start(self) -> None:
        """Begin to read an accepted connection."""
        self.loop.watch(self.sock, self.mask, self._ready)
        if self.arrivals.unread_since is not None:
            # Only what is there already has waited; what comes later has not
            self.read_available()
            self.arrivals.unread_since = None

    @property
    def is_over(self) -> bool:
        """Whether nothing more will be read, whoever ended it."""
        return self.closed or self.eof

    def _fail_dial(self, error: int) -> None:
        self.eof = True
        self.is_local_failure = error in LOCAL_DIAL_FAILURES

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

    # ---- the read side

    def _read_event(self) -> None:
        """Read what the machine reported: once, or until nothing is left where the watermark is awaited."""
        if not self._is_accepted or not self.loop.watermark.is_awaited:
            self._read()
            return
        while not (self.eof or self.closed or self.read_paused) and self._read():
            pass

    def _read(self) -> bool:
        """Read once; whether anything was there, be it the end of the connection."""
        # Before the read: what comes behind it must not count as the time of what is read
        waited = seconds_since_last_data(self.sock) if self._is_accepted else None
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except OSError as error:
            if is_momentary(error):
                if error.errno not in NOTHING_THERE and self._is_accepted:
                    self.loop.watermark.mark_turn_incomplete()
                return False
            self.eof = self.reset = True
            return True
        if not data:
            self.eof = True
        self.inbox += data
        if self._is_accepted:
            more_waits = len(data) >= READ_SIZE_BYTES
            self.arrivals.record_read(len(data), self._arrival_time(waited), more_waits)
        self.read_paused = len(self.inbox) >= MAX_INBOX_BYTES
        if self.read_paused:
            self.arrivals.unread_since = self.loop.now()
        return True

    def _arrival_time(self, waited: float | None) -> ArrivalTime:
        """When what was read just now had come; the newest data has waited for so many seconds, if known."""
        now = self.loop.now()
        # It may have waited as long as the loop had no time for it
        earliest = now - self.loop.lag()
        latest = earliest if waited is None else now - waited
        return ArrivalTime(min(earliest, latest), latest)

    def read_available(self) -> None:
        """Read what has arrived since the last poll, for a decision that depends on it."""
        size_before, eof_before = len(self.inbox), self.eof
        while self.connected and not (self.eof or self.closed or self.read_paused) and self._read():
            pass  # until nothing is left, so that an end behind the bytes is found, too
        if self.eof is not eof_before or len(self.inbox) > size_before:
            self._update_mask()
            self.on_activity()

    def take_inbox(self) -> bytes:
        """Remove and return what was read; reading goes on if it was paused."""
        data = bytes(self.inbox)
        self.inbox.clear()
        self.bytes_consumed += len(data)
        if self.read_paused:
            self.read_paused = False
            self._update_mask()
        return data

    # ---- the write side

    def write(self, data: bytes) -> None:
        """Send now what the machine takes and queue what remains; dropped once the connection has ended."""
        if self.closed or self.reset:
            return
        if self.outbox or not self.connected:
            self.outbox.append(data)
        elif (sent := self._send(data)) is not None and sent < len(data):
            self.outbox.append(data[sent:])
        self._update_mask()

    def try_write(self, data: bytes) -> bool:
        """Write if the machine takes at least the first byte now; what remains is queued. Whether it did.

        If not, nothing is written: `on_activity` is called when it may be tried again, or the connection has
        ended. For a message that the caller checks just before it leaves, as queued it could become outdated.
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
        """Call once the machine has taken all that was written; never, if the connection ends first."""
        if self.outbox or not self.connected:
            self.outbox.call_when_sent(callback)
        elif not self.reset and not self.closed:
            callback()

    def _send(self, data: bytes | bytearray) -> int | None:
        """How many bytes the machine takes now; None if the connection is broken."""
        try:
            return self.sock.send(data)
        except OSError as error:
            if is_momentary(error):
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
        """Send no more, but keep reading: see `close_gracefully`."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.eof = self.reset = True

    def _update_mask(self) -> None:
        """Watch only for what can still happen: level-triggered epoll would wake the loop in each turn."""
        if self.closed:
            return
        writes = bool(self.outbox) or not self.connected or self._awaits_writable
        mask = (0 if self.eof or self.read_paused else IN) | (OUT if writes else 0)
        if self.eof and self.reset:
            mask = 0
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock, mask, self._ready)
