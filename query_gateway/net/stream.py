"""Connections: non-blocking TCP with bounded buffers; each that ends leaves one line with a code."""

import errno
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from ipaddress import IPv4Address

from query_gateway.net.log import log
from query_gateway.net.loop import IN, OUT, Loop

CHUNK = 65_536
INBOX = 262_144  # bytes read ahead of who takes them; then reading rests
ACCEPTS = 32  # connections taken in one turn of the loop, whose end frees the descriptors of what was closed
FULL_REST = 0.1  # seconds that the listener rests when descriptors are out


class Reason(Enum):
    """Why a connection ended; the on-call page explains each code."""

    PEER_CLOSED = "peer-closed"
    RESET = "reset"
    IDLE = "idle"
    DONE = "done"
    BAD_REQUEST = "bad-request"
    SLOW_REQUEST = "slow-request"
    SLOW_READER = "slow-reader"
    ABANDONED = "abandoned"
    TOO_MANY = "too-many"
    STOPPING = "stopping"
    DRAINED = "drained"
    TRANSFERRED = "transferred"
    DIAL_REFUSED = "dial-refused"
    DIAL_TIMEOUT = "dial-timeout"
    MALFORMED_RESPONSE = "malformed-response"
    UNRESPONSIVE = "unresponsive"
    REPLACED = "replaced"
    RESYNC = "resync"
    HOLD_EXPIRED = "hold-expired"
    NOTIFIED = "notified"
    FAULT = "fault"


def address_of(text: str) -> tuple[str, int]:
    """An IPv4 address and a port: guards the loop, as a name would have to be looked up."""
    host, mark, port = text.rpartition(":")
    if not mark or not port.isdigit() or len(port) > 5 or int(port) > 65_535:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return str(IPv4Address(host)), int(port)


class Mark:
    """Bytes put behind others in an outbox: where they end, and who is called once they have left."""

    __slots__ = ("end", "size", "callback")

    def __init__(self, end: int, size: int, call: Callable[[], None]) -> None:
        self.end, self.size, self.callback = end, size, call


class Stream:
    """One connection. `woken` is called whenever something came, went out, or ended."""

    def __init__(
        self, loop: Loop, sock: socket.socket, what: str, woken: Callable[[], None] = lambda: None
    ) -> None:
        self.loop, self.sock, self.description, self.on_activity = loop, sock, what, woken
        self.inbox, self.outbox = bytearray(), bytearray()
        self.bytes_queued = 0  # bytes ever put in the outbox
        self.marks: deque[Mark] = deque()
        self.connected = True
        self.eof = self.reset = self.closed = self.read_paused = False
        self.dial_refused = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.mask = IN

    @classmethod
    def dial(cls, loop: Loop, address: tuple[str, int], what: str, woken: Callable[[], None]) -> "Stream":
        stream = cls(loop, socket.socket(), what, woken)
        stream.connected = False
        code = stream.sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            stream.eof = stream.dial_refused = True
        else:
            stream.mask = IN | OUT
            loop.watch(stream.sock, stream.mask, stream._ready)
        return stream

    def start(self) -> None:
        self.loop.watch(self.sock, self.mask, self._ready)

    @property
    def is_over(self) -> bool:
        return self.closed or self.eof

    def _ready(self) -> None:
        if self.closed:
            return
        if not self.connected and not self._check_connected():
            return
        if self.outbox:
            self._flush()
        if not self.eof and not self.read_paused:
            self._read()
        self._update_mask()
        self.on_activity()

    def _check_connected(self) -> bool:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.eof = self.dial_refused = True
            self._update_mask()
            self.on_activity()
            return False
        try:
            self.sock.getpeername()
        except OSError:
            return False
        self.connected = True
        return True

    def _read(self) -> bool:
        """Whether anything was there, be it the end."""
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return False
        except OSError:
            self.eof = self.reset = True
            return True
        if not data:
            self.eof = True
        self.inbox += data
        self.read_paused = len(self.inbox) >= INBOX
        return True

    def read_available(self) -> None:
        """Take in what has come since the loop last asked, before a decision that it would change."""
        had, was = len(self.inbox), self.eof
        while self.connected and not (self.eof or self.closed or self.read_paused) and self._read():
            pass  # on to the end behind the bytes, if that has come, too
        if self.eof is not was or len(self.inbox) > had:
            self._update_mask()
            self.on_activity()

    def _update_mask(self) -> None:
        """Ask epoll for what can still happen, so that a level held does not spin the loop."""
        if self.closed:
            return
        mask = (0 if self.eof or self.read_paused else IN) | (OUT if self.outbox or not self.connected else 0)
        if self.eof and self.reset:
            mask = 0
        if mask != self.mask:
            self.mask = mask
            self.loop.watch(self.sock, mask, self._ready)

    def take_inbox(self) -> bytes:
        data = bytes(self.inbox)
        self.inbox.clear()
        if self.read_paused:
            self.read_paused = False
            self._update_mask()
        return data

    def write(self, data: bytes) -> None:
        if self.closed or self.reset:
            return
        if self.outbox or not self.connected:
            self._queue(data)
        else:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.eof = self.reset = True
                self._update_mask()
                self.on_activity()
                return
            if sent < len(data):
                self._queue(data[sent:])
        self._update_mask()

    def _queue(self, data: bytes) -> None:
        self.outbox += data
        self.bytes_queued += len(data)

    def call_when_sent(self, call: Callable[[], None], size: int = 0) -> Mark | None:
        """Call once all that was written so far is with the machine; never, if the connection ends first.

        What is returned takes the last `size` bytes back, as long as none of them has left.
        """
        if self.outbox or not self.connected:
            self.marks.append(mark := Mark(self.bytes_queued, size, call))
            return mark
        if not self.reset and not self.closed:
            call()
        return None

    def withdraw(self, mark: Mark) -> bool:
        """Whether the bytes under a mark were all still here; then they never leave."""
        at = mark.end - mark.size - (self.bytes_queued - len(self.outbox))
        if at < 0 or mark not in self.marks:
            return False
        del self.outbox[at : at + mark.size]
        self.bytes_queued -= mark.size
        self.marks.remove(mark)
        for other in self.marks:
            if other.end > mark.end:
                other.end -= mark.size
        self._update_mask()
        return True

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self.outbox)
        except BlockingIOError:
            return
        except OSError:
            self.eof = self.reset = True
            self.bytes_queued -= len(self.outbox)
            self.outbox.clear()
            self.marks.clear()
            return
        del self.outbox[:sent]
        while self.marks and self.marks[0].end <= self.bytes_queued - len(self.outbox):
            self.marks.popleft().callback()

    def half_close(self) -> None:
        """Nothing more is sent; what the peer still sends is read, lest it destroys our last bytes."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.eof = self.reset = True

    def close(self, reason: Reason, more: str = "") -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.dispose(self.sock)
        log("end", f"{self.description} {reason.value}{' ' + more if more else ''}")


class Listener:
    """Accepts all that has come, in order, and hands each connection on."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        taken: Callable[[socket.socket, str], None],
        shared: bool = False,
        given: socket.socket | None = None,
    ) -> None:
        """`given`: a listener that another process of ours has; nothing is accepted there before `begin`."""
        self.loop, self.on_accept, self.closed, self.paused = loop, taken, False, False
        self.socket = given or socket.socket()
        if not given:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:  # with other processes of ours
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.socket.bind(address)
            self.socket.listen(1024)
            self.socket.setblocking(False)
        self.address: tuple[str, int] = self.socket.getsockname()
        if not given:
            self.resume()

    def resume(self) -> None:
        self.paused = False
        self._listen()

    def pause(self) -> None:
        """Accept nothing for now, yet keep what waits there alive."""
        self.paused = True
        if not self.closed:
            self.loop.watch(self.socket, 0, self._ready)

    def _ready(self) -> None:
        for _ in range(ACCEPTS):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Take one; False if none is there or can be taken now."""
        try:
            sock, (host, port) = self.socket.accept()
        except BlockingIOError:
            return False
        except OSError as fault:
            if fault.errno in (errno.ECONNABORTED, errno.EINTR, errno.EPROTO):
                return True
            # Out of descriptors: what waits is taken when some are free; guards against a loop that spins
            log("accept", f"cannot accept: {fault.strerror}")
            self.loop.watch(self.socket, 0, self._ready)
            self.loop.call_at(self.loop.now() + FULL_REST, self._listen)
            return False
        self.on_accept(sock, f"{host}:{port}")
        return True

    def _listen(self) -> None:
        if not self.closed and not self.paused:
            self.loop.watch(self.socket, IN, self._ready)

    def release(self) -> None:
        """Accept nothing more: what waits is for the other process that has this listener."""
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.socket)

    def close(self) -> None:
        while not self.closed and self._accept():
            pass
        if self.closed:
            return
        self.closed = True
        self.loop.dispose(self.socket)
