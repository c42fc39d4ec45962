"""Listening sockets: accept in bounded batches, pause, and shared or inherited sockets."""

import errno
import socket
from collections.abc import Callable

from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

BACKLOG = 1024  # connections that the machine holds until they are accepted
# Connections accepted in one event: descriptors of closed ones are freed only at the end of the loop's turn
MAX_ACCEPTS_PER_EVENT = 32
ACCEPT_RETRY_SECONDS = 0.1  # pause of the listener when descriptors are out


class Listener:
    """Accepts connections in order and hands each on; owns the listening socket.

    `paused` accepts nothing for now, `closed` nothing ever again.
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
        self.loop, self.on_accept, self.closed, self.paused = loop, on_accept, False, False
        self.socket = inherited or self._listening_socket(address, shared)
        self.address: tuple[str, int] = self.socket.getsockname()
        if not inherited:
            self.resume()

    @staticmethod
    def _listening_socket(address: tuple[str, int], shared: bool) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        sock.setblocking(False)
        return sock

    def resume(self) -> None:
        """Accept connections, from now on or again."""
        self.paused = False
        self._listen()

    def pause(self) -> None:
        """Accept nothing for now; connections that wait in the backlog stay there."""
        self.paused = True
        if not self.closed:
            self.loop.watch(self.socket, 0, self._ready)

    def _ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept one connection; False if none waits or none can be accepted now."""
        try:
            sock, (host, port) = self.socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in (errno.ECONNABORTED, errno.EINTR, errno.EPROTO):
                return True
            # Out of descriptors: not watched until some may be free, as the event would fire at every poll
            log("accept", f"cannot accept: {error.strerror}")
            self.loop.watch(self.socket, 0, self._ready)
            self.loop.call_at(self.loop.now() + ACCEPT_RETRY_SECONDS, self._listen)
            return False
        self.on_accept(sock, f"{host}:{port}")
        return True

    def _listen(self) -> None:
        if not self.closed and not self.paused:
            self.loop.watch(self.socket, IN, self._ready)

    def release(self) -> None:
        """Stop accepting and leave the backlog to the other process that has this socket."""
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.socket)

    def close(self) -> None:
        """Accept what waits in the backlog, then stop."""
        while not self.closed and self._accept():
            pass
        if self.closed:
            return
        self.closed = True
        self.loop.dispose(self.socket)
