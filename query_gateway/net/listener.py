"""Listening sockets: accept in bounded batches, and shared or inherited sockets."""

import errno
import select
import socket
from collections.abc import Callable
from enum import Enum

from query_gateway.net.descriptors import describe_descriptors
from query_gateway.net.errors import CONNECTION_LOST_IN_BACKLOG
from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop
from query_gateway.net.retry import retry_at_start

BACKLOG = 1024  # connections that the machine queues until they are accepted
# Connections accepted in one event: descriptors of closed ones are freed only at the end of the loop's turn
MAX_ACCEPTS_PER_EVENT = 32
MAX_IMMEDIATE_RETRIES = 3  # of an accept that failed: the next call may succeed
ACCEPT_RETRY_SECONDS = 0.02  # pause of the listener when descriptors or buffers stay out
CLOSE_TIMEOUT_SECONDS = 2.0  # for what still waits when a listener closes, if accept fails all the time


class ListenerState(Enum):
    """What a listener accepts."""

    INHERITED = "inherited"  # nothing yet: another process accepts at the same socket
    LISTENING = "listening"
    RELEASED = "released"  # nothing, while another process accepts at the same socket; this one may again
    CLOSING = "closing"  # only what waits already
    CLOSED = "closed"  # nothing ever again


class Listener:
    """Accepts connections in order and passes each to its callback; owns the listening socket.

    INHERITED --resume--> LISTENING --close--> CLOSING --nobody waits, or `CLOSE_TIMEOUT_SECONDS`--> CLOSED
                           |    ^
                       release  resume
                           v    |
                          RELEASED
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_accept: Callable[[socket.socket, str], None],
        shared: bool = False,
        inherited: socket.socket | None = None,
    ) -> None:
        """Listen at `address` and call `on_accept` with each socket and its peer's ADDRESS:PORT.

        `shared`: other processes may listen at the same address. `inherited`: a listening socket that another
        process has as well; nothing is accepted there before `resume`. Raises OSError if it cannot listen.
        """
        self.loop, self.on_accept = loop, on_accept
        self.state = ListenerState.INHERITED if inherited else ListenerState.LISTENING
        # Loop time since when connections may have been waiting; None: none waited at the last look
        self._waiting_since: float | None = None
        self._close_deadline = 0.0  # loop time
        # Called when a connection waits and there is no descriptor for it; returns whether some become free
        self.on_descriptors_exhausted: Callable[[], bool] = lambda: False
        self.accept_failures = 0  # calls of accept that failed for this process's or the machine's sake
        self._failures_in_row = 0
        self._failing_since: float | None = None  # loop time of the first of these without a success since
        self.socket = inherited or retry_at_start(lambda: self._listening_socket(address, shared))
        self.address: tuple[str, int] = self.socket.getsockname()
        if inherited:
            self._record_waiting()  # some may wait already
        else:
            self._listen()

    @staticmethod
    def _listening_socket(address: tuple[str, int], shared: bool) -> socket.socket:
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        return sock

    def resume(self) -> None:
        """Accept connections where another process did so far; else without effect."""
        if self.state in (ListenerState.INHERITED, ListenerState.RELEASED):
            self.state = ListenerState.LISTENING
            self._listen_again()

    @property
    def closed(self) -> bool:
        """Whether nothing is accepted, and will be only if another process ends first."""
        return self.state in (ListenerState.RELEASED, ListenerState.CLOSED)

    @property
    def waiting_since(self) -> float | None:
        """Loop time since when a connection accepted now may have waited; None: not beyond this turn."""
        return self._waiting_since

    def _record_waiting(self) -> None:
        """From now on connections may wait, until the backlog is seen empty."""
        self.loop.watermark.backlogged.add(self)
        if self._waiting_since is None:
            self._waiting_since = self.loop.now() - self.loop.lag()

    def _record_empty_backlog(self) -> None:
        """Nobody waits: with that, a listener that closes is done."""
        self.loop.watermark.backlogged.discard(self)
        self._waiting_since = None
        if self.state is ListenerState.CLOSING:
            self._finish_closing()

    def _has_waiting_connection(self) -> bool:
        """Whether the backlog holds a connection, also while none can be accepted."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        try:
            return bool(poll.poll(0))
        except OSError:
            return True  # not known

    def _ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._accept():
                return
        if self._has_waiting_connection():
            self._record_waiting()
        else:
            self._record_empty_backlog()

    def _accept(self) -> bool:
        """Accept one connection; False if none waits or none can be accepted now."""
        try:
            sock, (host, port) = self.socket.accept()
        except BlockingIOError:
            self._record_success()
            self._record_empty_backlog()
            return False
        except OSError as error:
            if error.errno in CONNECTION_LOST_IN_BACKLOG:
                return True
            # Without a descriptor to give, accept fails before it looks whether anybody waits
            if not self._has_waiting_connection():
                self._record_empty_backlog()
                return False
            self._record_failure(error)
            if self._failures_in_row <= MAX_IMMEDIATE_RETRIES:
                return True
            if error.errno == errno.EMFILE and self._reclaim_descriptors():
                self._record_waiting()  # they are free at the end of the turn, and the next one accepts
            else:
                self._retry_accept_later()
            return False
        self._record_success()
        try:
            self.on_accept(sock, f"{host}:{port}")
        except OSError as error:
            # One connection failed as it was set up. Those behind it in the backlog are accepted all the same
            log("accept", f"cannot serve {host}:{port}: {error.strerror}")
            sock.close()
        return True

    def _reclaim_descriptors(self) -> bool:
        """Whether some become free at the end of the turn."""
        return self.state is ListenerState.LISTENING and self.on_descriptors_exhausted()

    def _record_failure(self, error: OSError) -> None:
        self.accept_failures += 1
        self._failures_in_row += 1
        if self._failing_since is None:
            self._failing_since = self.loop.now()
            log("accept", f"cannot accept: {error.strerror}; {describe_descriptors()}")

    def _record_success(self) -> None:
        self._failures_in_row = 0
        if self._failing_since is not None:
            log("accept", f"accepts again after {self.loop.now() - self._failing_since:.3f} s")
            self._failing_since = None

    def _retry_accept_later(self) -> None:
        """Descriptors or buffers are out: accept again after `ACCEPT_RETRY_SECONDS`.

        Watched meanwhile, the socket would be reported as ready in every turn, and the loop never sleep.
        """
        self._record_waiting()
        self._failures_in_row = 0
        now = self.loop.now()
        if self.state is ListenerState.LISTENING:
            self.loop.watch(self.socket, 0, self._ready)
            self.loop.call_at(now + ACCEPT_RETRY_SECONDS, self._listen_again)
        elif now < self._close_deadline:
            self.loop.call_at(now + ACCEPT_RETRY_SECONDS, self._accept_backlog)
        else:
            self._finish_closing()

    def _listen_again(self) -> None:
        """Listen after a pause. Nobody may wait any more, and then no event will say so."""
        if self.state is not ListenerState.LISTENING:
            return
        if not self._has_waiting_connection():
            self._record_empty_backlog()
        self._listen()

    def _listen(self) -> None:
        if self.state is ListenerState.LISTENING:
            self.loop.watch(self.socket, IN, self._ready)

    def release(self) -> None:
        """Stop accepting and leave the backlog to the other process that has this socket.

        It stays open here, or clients in the backlog would be reset if the other process died.
        """
        if self.state is ListenerState.LISTENING:
            self.state = ListenerState.RELEASED
            self.loop.watermark.backlogged.discard(self)
            self.loop.watch(self.socket, 0, self._ready)

    def close(self) -> None:
        """Accept what waits in the backlog, then stop.

        The machine has completed the connections in the backlog, and their clients may have sent a request: a
        closed listening socket would reset them. So where accept fails for the moment, CLOSING lasts until
        they have been accepted, or for `CLOSE_TIMEOUT_SECONDS`.
        """
        if self.state in (ListenerState.RELEASED, ListenerState.CLOSING, ListenerState.CLOSED):
            return
        self.state = ListenerState.CLOSING
        self.loop.watch(self.socket, 0, self._ready)
        self._close_deadline = self.loop.now() + CLOSE_TIMEOUT_SECONDS
        self._accept_backlog()

    def _accept_backlog(self) -> None:
        while not self.closed and self._accept():
            pass

    def _finish_closing(self) -> None:
        if not self.closed:
            self.state = ListenerState.CLOSED
            self.loop.watermark.backlogged.discard(self)
            self.loop.dispose(self.socket)
