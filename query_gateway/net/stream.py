"""Connections: non-blocking TCP with bounded buffers; each that ends leaves one log line with a code."""

import contextlib
import errno
import socket
from collections.abc import Callable, Generator
from enum import Enum
from ipaddress import IPv4Address

from query_gateway.net.arrivals import ArrivalLog
from query_gateway.net.errors import LOCAL_DIAL_FAILURES, is_momentary
from query_gateway.net.log import log
from query_gateway.net.loop import IN, OUT, Loop
from query_gateway.net.outbox import Outbox

READ_SIZE_BYTES = 65_536
MAX_INBOX_BYTES = 262_144  # read ahead of the consumer; beyond it reading pauses
# A connect that was interrupted goes on, as one that is in progress
DIAL_UNDER_WAY = (0, errno.EINPROGRESS, errno.EINTR)


class Reason(Enum):
    """Why a connection ended; `docs/on-call.md` says what to do about each code."""

    PEER_CLOSED = "peer-closed"  # the peer closed; normal between requests
    RESET = "reset"  # the peer reset the connection, as a process that dies does
    IDLE = "idle"  # we closed a connection that was unused for its idle timeout
    DONE = "done"  # we closed after the last answer, as the protocol asked
    BAD_REQUEST = "bad-request"  # a client sent what cannot be accepted, or too much ahead of its answer
    SLOW_REQUEST = "slow-request"  # a request was not complete within its timeout
    SLOW_READER = "slow-reader"  # a client did not read its answer within the timeout
    ABANDONED = "abandoned"  # the client left before its answer, or nothing waited for the dial any longer
    TOO_MANY = "too-many"  # evicted, or not accepted, at the limit on connections
    STOPPING = "stopping"  # one side ends gracefully and nothing is open here: a shutdown, or a GOAWAY
    DRAINED = "drained"  # draining: the client was sent to another gateway
    TRANSFERRED = "transferred"  # hot upgrade: the successor goes on with the connection
    DIAL_REFUSED = "dial-refused"  # the peer refused our connection
    DIAL_FAILED = "dial-failed"  # our own machine had no port, route or buffer for it; it is dialled again
    DIAL_TIMEOUT = "dial-timeout"  # our connection did not come up within the dial timeout
    MALFORMED_RESPONSE = "malformed-response"  # a peer that we dialled broke its protocol
    UNRESPONSIVE = "unresponsive"  # the peer sent nothing when something was due
    REPLACED = "replaced"  # the peer drains, restarted or moved, or the connection was retired
    RESYNC = "resync"  # the endpoint list is fetched from its start, or answers bring nothing new at once
    NOTIFIED = "notified"  # a BGP NOTIFICATION was sent (also as the hold timer expired) or received
    FAULT = "fault"  # an error in our own code


def address_of(text: str) -> tuple[str, int]:
    """Decode `ADDRESS:PORT`; raises ValueError for anything but an IPv4 address and a port.

    Host names are not accepted: looking them up would block the loop.
    """
    host, mark, port = text.rpartition(":")
    if not mark or not port.isdigit() or len(port) > 5 or int(port) > 65_535:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return str(IPv4Address(host)), int(port)


class Stream:
    """One TCP connection with an inbox and an outbox.

    Each of its state flags changes once at most: `connected` when the dial succeeded (accepted connections
    start so); `eof` when nothing more will be read, with `reset` if the connection broke, `dial_refused` if
    it never came up; `closed` when we closed it. Owns its socket from the start to `close`.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        description: str,
        on_activity: Callable[[], None] = lambda: None,
        waiting_since: float | None = None,
    ) -> None:
        """`on_activity` is called whenever something was read or sent, or the connection ended.

        `description` names the peer in the log: its kind, perhaps its name, its address. `waiting_since`:
        loop time since when what is read first may have waited for us.
        """
        self.loop, self.sock, self.description, self.on_activity = loop, sock, description, on_activity
        self.inbox, self.outbox = bytearray(), Outbox()
        self.arrivals = ArrivalLog()
        self._keeps_arrivals = True  # of an accepted connection: its peer's time runs
        self.bytes_taken = 0  # of those that have come
        self._unread_since = waiting_since  # what is read next may have waited since then; None: not long
        self._awaits_writable = False  # `write_if_taken` found no room
        self.connected = True
        self.eof = self.reset = self.closed = False
        self.dial_refused = False
        self.is_local_failure = False  # the dial failed for want of something of our own machine
        self.read_paused = False  # the inbox is full
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # a moment's want of buffers must not cost the connection
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = IN

    @classmethod
    def dial(
        cls, loop: Loop, address: tuple[str, int], description: str, on_activity: Callable[[], None]
    ) -> "Stream":
        """Begin to connect; raises OSError when no descriptor is left.

        The caller bounds the time until `connected`. What is written before is sent once connected.
        """
        stream = cls(loop, socket.socket(), description, on_activity)
        stream.connected = stream._keeps_arrivals = False
        code = stream.sock.connect_ex(address)
        if code not in DIAL_UNDER_WAY:
            stream._fail_dial(code)
        else:
            stream.mask = IN | OUT
            loop.watch(stream.sock, stream.mask, stream._ready)
        return stream

    def start(self) -> None:
        """Begin to read an accepted connection."""
        self.loop.watch(self.sock, self.mask, self._ready)
        if self._unread_since is not None:
            # Only what is there already has waited; what comes later has not
            self.read_available()
            self._unread_since = None

    @property
    def is_over(self) -> bool:
        """Whether nothing more will be read, whoever ended it."""
        return self.closed or self.eof

    def _fail_dial(self, error: int) -> None:
        self.eof = self.dial_refused = True
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
            self._read()
        self._update_mask()
        self.on_activity()

    def _check_connected(self) -> bool:
        if error := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail_dial(error)
            self._update_mask()
            self.on_activity()
            return False
        try:
            is_ours = self.sock.getpeername() == self.sock.getsockname()
        except OSError:
            return False
        if is_ours:
            # On loopback a dial of a port where nobody listens may connect to itself, by that port
            self._fail_dial(errno.ECONNREFUSED)
            self._update_mask()
            self.on_activity()
            return False
        self.connected = True
        return True

    def _read(self) -> bool:
        """Read once; whether anything was there, be it the end of the connection."""
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except OSError as error:
            if is_momentary(error):
                return False
            self.eof = self.reset = True
            return True
        if not data:
            self.eof = True
        self.inbox += data
        if self._keeps_arrivals:
            self._record_arrival(len(data))
        self.read_paused = len(self.inbox) >= MAX_INBOX_BYTES
        if self.read_paused:
            self._unread_since = self.loop.now()
        return True

    def _record_arrival(self, size: int) -> None:
        """Note when what was just read came: it may have waited for the loop, or as we did not read."""
        arrived_at = self.loop.now() - self.loop.lag()
        if self._unread_since is not None:
            arrived_at = min(arrived_at, self._unread_since)
            if size < READ_SIZE_BYTES:  # nothing more waits
                self._unread_since = None
        self.arrivals.record(size, arrived_at)

    def read_available(self) -> None:
        """Read what has arrived since the last poll, before a decision that depends on it."""
        size_before, eof_before = len(self.inbox), self.eof
        while self.connected and not (self.eof or self.closed or self.read_paused) and self._read():
            pass  # until nothing is left, so that an end behind the bytes is found, too
        if self.eof is not eof_before or len(self.inbox) > size_before:
            self._update_mask()
            self.on_activity()

    def _update_mask(self) -> None:
        """Ask epoll only for what can still happen: it is level-triggered and would wake the loop again."""
        if self.closed:
            return
        writes = bool(self.outbox) or not self.connected or self._awaits_writable
        mask = (0 if self.eof or self.read_paused else IN) | (OUT if writes else 0)
        if self.eof and self.reset:
            mask = 0
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock, mask, self._ready)

    def take_inbox(self) -> bytes:
        """Remove and return what was read; reading goes on if it was paused."""
        data = bytes(self.inbox)
        self.inbox.clear()
        self.bytes_taken += len(data)
        if self.read_paused:
            self.read_paused = False
            self._update_mask()
        return data

    def write(self, data: bytes) -> None:
        """Send now what the machine takes and queue the rest; dropped once the connection has ended."""
        if self.closed or self.reset:
            return
        if self.outbox or not self.connected:
            self.outbox.append(data)
        elif (sent := self._send(data)) is not None and sent < len(data):
            self.outbox.append(data[sent:])
        self._update_mask()

    def write_if_taken(self, data: bytes) -> bool:
        """Write if the machine takes at least the first byte now; the rest is queued.

        If not, nothing is written: `on_activity` is called when it may be tried again, or the connection has
        ended. For what must be true as it leaves.
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

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call once the machine has taken all that was written; never, if the connection ends first."""
        if self.outbox or not self.connected:
            self.outbox.call_when_sent(callback)
        elif not self.reset and not self.closed:
            callback()

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

    def close_gracefully(self, seconds: float) -> Generator[float | None, None, None]:
        """Send no more, and discard what the peer still sends until it closes or the time is over.

        For coroutines, ahead of `close`: a close with unread input would be a reset, which can destroy our
        last bytes before the peer has read them.
        """
        self.half_close()
        deadline = self.loop.now() + seconds
        while not self.eof and self.loop.now() < deadline:
            self.take_inbox()
            yield deadline

    def close(self, reason: Reason, details: str = "") -> None:
        """Close at the end of the loop's turn and log the reason; later calls change nothing."""
        if self.closed:
            return
        self.closed = True
        self.loop.dispose(self.sock)
        log("end", f"{self.description} {reason.value}{' ' + details if details else ''}")
