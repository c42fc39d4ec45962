"""Listening sockets, possibly shared or inherited, which accept connections in bounded batches."""

import errno
import select
import socket
from collections.abc import Callable
from enum import Enum

from query_gateway.net.descriptors import describe_descriptors
from query_gateway.net.errors import BACKLOG_CONNECTION_ERRORS
from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop
from query_gateway.net.retry import retry_at_start

BACKLOG = 1024  # connections that the kernel queues until they are accepted
# Connections accepted per event. Bounded because descriptors of closed connections are freed only at the end
# of the loop turn
MAX_ACCEPTS_PER_EVENT = 32
MAX_IMMEDIATE_RETRIES = 3  # of a failed accept, as the next call may succeed
ACCEPT_RETRY_SECONDS = 0.02  # pause of the listener while descriptors or buffers are exhausted
CLOSE_TIMEOUT_SECONDS = 2.0  # for emptying the backlog when a listener closes, if accept keeps failing


class ListenerState(Enum):
    """Which connections a listener accepts."""

    INHERITED = "inherited"  # none yet: another process accepts on the same socket
    LISTENING = "listening"
    RELEASED = "released"  # none while another process accepts on the same socket; may resume
    CLOSING = "closing"  # only those already in the backlog
    CLOSED = "closed"  # none, for good


class Listener:
    """Accepts connections in order and passes each to its callback; owns the listening socket.

    INHERITED --resume--> LISTENING --close--> CLOSING --backlog empty, or `CLOSE_TIMEOUT_SECONDS`--> CLOSED
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
        """Listen on `address` and call `on_accept` with each socket and its peer's ADDRESS:PORT.

        `shared`: other processes may listen on the same address. `inherited`: a listening socket that another
        process has open as well; nothing is accepted on it before `resume`. Raises OSError if the socket
        cannot be opened.
        """
        self.loop, self.on_accept = loop, on_accept
        self.state = ListenerState.INHERITED if inherited else ListenerState.LISTENING
        # Loop time since which connections may be in the backlog; None: it was empty when last checked
        self._waiting_since: float | None = None
        self._close_deadline = 0.0  # loop time
        # Called if no descriptor is left for a connection in the backlog; returns whether some will be freed
        self.on_descriptors_exhausted: Callable[[], bool] = lambda: False
        self.accept_failures = 0  # accept calls that failed for lack of a resource of this process or host
        self._consecutive_failures = 0
        self._failing_since: float | None = None  # loop time of the first failure since the last success
        self.socket = inherited or retry_at_start(lambda: self._listening_socket(address, shared))
        self.address: tuple[str, int] = self.socket.getsockname()
        if inherited:
            self._record_waiting()  # some connections may already be in the backlog
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
        """Start to accept connections on an inherited or released socket; no effect in other states."""
        if self.state in (ListenerState.INHERITED, ListenerState.RELEASED):
            self.state = ListenerState.LISTENING
            self._listen_again()

    @property
    def closed(self) -> bool:
        """Whether the listener has stopped accepting, for good or until a released one resumes."""
        return self.state in (ListenerState.RELEASED, ListenerState.CLOSED)

    @property
    def waiting_since(self) -> float | None:
        """Loop time since which a connection accepted now may have waited; None: at most the loop's lag."""
        return self._waiting_since

    def _record_waiting(self) -> None:
        """Record that connections may be in the backlog until it is found empty."""
        self.loop.watermark.backlogged.add(self)
        if self._waiting_since is None:
            self._waiting_since = self.loop.now() - self.loop.lag()

    def _record_empty_backlog(self) -> None:
        """Record that the backlog is empty, which completes the close of a listener that is CLOSING."""
        self.loop.watermark.backlogged.discard(self)
        self._waiting_since = None
        if self.state is ListenerState.CLOSING:
            self._finish_closing()

    def _has_waiting_connection(self) -> bool:
        """Whether the backlog holds a connection; works even if accept would fail."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        try:
            return bool(poll.poll(0))
        except OSError:
            return True  # unknown; assume so

    def _ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._accept():
                return
        if self._has_waiting_connection():
            self._record_waiting()
        else:
            self._record_empty_backlog()

    def _accept(self) -> bool:
        """Accept one connection; return False if the backlog is empty or accept cannot succeed now."""
        try:
            sock, (host, port) = self.socket.accept()
        except BlockingIOError:
            self._record_success()
            self._record_empty_backlog()
            return False
        except OSError as error:
            if error.errno in BACKLOG_CONNECTION_ERRORS:
                return True
            # Without a free descriptor, accept fails even if the backlog is empty
            if not self._has_waiting_connection():
                self._record_empty_backlog()
                return False
            self._record_failure(error)
            if self._consecutive_failures <= MAX_IMMEDIATE_RETRIES:
                return True
            if error.errno == errno.EMFILE and self._reclaim_descriptors():
                self._record_waiting()  # descriptors are freed at the end of this turn; the next turn accepts
            else:
                self._retry_accept_later()
            return False
        self._record_success()
        try:
            self.on_accept(sock, f"{host}:{port}")
        except OSError as error:
            # The set-up of this connection failed; those behind it in the backlog are still accepted
            log("accept", f"cannot set up connection from {host}:{port}: {error.strerror}")
            sock.close()
        return True

    def _reclaim_descriptors(self) -> bool:
        """Try to free descriptors; return whether some are freed at the end of the turn."""
        return self.state is ListenerState.LISTENING and self.on_descriptors_exhausted()

    def _record_failure(self, error: OSError) -> None:
        self.accept_failures += 1
        self._consecutive_failures += 1
        if self._failing_since is None:
            self._failing_since = self.loop.now()
            log("accept", f"cannot accept: {error.strerror}; {describe_descriptors()}")

    def _record_success(self) -> None:
        self._consecutive_failures = 0
        if self._failing_since is not None:
            log("accept", f"accepts again after {self.loop.now() - self._failing_since:.3f} s")
            self._failing_since = None

    def _retry_accept_later(self) -> None:
        """Pause accepting for `ACCEPT_RETRY_SECONDS`, as descriptors or buffers are exhausted.

        The socket is not watched meanwhile: it would be ready in every turn, and the loop would never sleep.
        """
        self._record_waiting()
        self._consecutive_failures = 0
        now = self.loop.now()
        if self.state is ListenerState.LISTENING:
            self.loop.watch(self.socket, 0, self._ready)
            self.loop.call_at(now + ACCEPT_RETRY_SECONDS, self._listen_again)
        elif now < self._close_deadline:
            self.loop.call_at(now + ACCEPT_RETRY_SECONDS, self._accept_backlog)
        else:
            self._finish_closing()

    def _listen_again(self) -> None:
        """Listen after a pause; checks for an empty backlog first, as epoll does not report one."""
        if self.state is not ListenerState.LISTENING:
            return
        if not self._has_waiting_connection():
            self._record_empty_backlog()
        self._listen()

    def _listen(self) -> None:
        if self.state is ListenerState.LISTENING:
            self.loop.watch(self.socket, IN, self._ready)

    def release(self) -> None:
        """Stop accepting and leave the backlog to the other process that has this socket open.

        The socket stays open here as well; otherwise clients in the backlog would be reset if that process
        died.
        """
        if self.state is ListenerState.LISTENING:
            self.state = ListenerState.RELEASED
            self.loop.watermark.backlogged.discard(self)
            self.loop.watch(self.socket, 0, self._ready)

    def close(self) -> None:
        """Accept the connections in the backlog, then stop.

        The kernel has established the connections in the backlog, and their clients may have sent requests;
        closing the listening socket would reset them. If accept fails temporarily, the state therefore stays
        CLOSING until they are accepted, for at most `CLOSE_TIMEOUT_SECONDS`.
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
