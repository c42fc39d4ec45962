"""The Unix socket in $TMPDIR at which a successor finds its predecessor.

The file is named `mothknot-HOST-PORT` after the clients' address. The name must not change, because earlier
versions of this program use it, both as predecessor and as successor. A process that is killed leaves the
file behind; a successor that cannot connect to it starts without a predecessor and replaces it.
"""

import contextlib
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

SOCKET_NAME = "mothknot-{host}-{port}"
ACCEPT_BACKLOG = 4  # connections in the accept queue


def upgrade_socket_path(environ: Mapping[str, str], listen_address: tuple[str, int]) -> str | None:
    """The path of the upgrade socket, or None if no socket can be created in $TMPDIR."""
    directory = environ.get("TMPDIR")
    if not directory:
        return None
    host, port = listen_address
    path = os.path.join(directory, SOCKET_NAME.format(host=host, port=port))
    try:
        listen_at_temporary_path(path).close()
        os.unlink(temporary_path(path))
    except OSError as error:
        log("upgrade", f"disabled, as $TMPDIR cannot hold the socket: {error.strerror or error}")
        return None
    return path


def temporary_path(path: str) -> str:
    """The path at which this process creates its socket before it renames it to `path`."""
    return f"{path}.{os.getpid()}"


def listen_at_temporary_path(path: str) -> socket.socket:
    """Return a listening socket at this process's temporary path.

    The rename to `path` then replaces another process's socket atomically, so that a successor always finds a
    gateway there.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path(path))
        sock.bind(temporary_path(path))
        os.chmod(temporary_path(path), 0o600)
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def is_served(path: str) -> bool:
    """Whether a gateway listens at `path`."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        return sock.connect_ex(path) == 0


def reserve_path(path: str) -> socket.socket:
    """Listen at `path`, which belongs to the listen address of a gateway that cannot be upgraded.

    `is_served` is then true, so that no other gateway of several processes starts at that address. The caller
    owns the socket and closes it when the gateway ends.
    """
    sock = listen_at_temporary_path(path)
    os.rename(temporary_path(path), path)
    return sock


@dataclass(slots=True, frozen=True)
class FileIdentity:
    """Identifies the file at a path, to detect that another process has replaced it."""

    device: int
    inode: int


def _identity_of(path: str) -> FileIdentity:
    """Return the identity of the file at `path`. Raises OSError if there is no such file."""
    status = os.stat(path)
    return FileIdentity(status.st_dev, status.st_ino)


class UpgradeListener:
    """Listens for a successor; owns the socket and, unless another process replaces it, its file."""

    def __init__(self, loop: Loop, path: str, on_connected: Callable[[socket.socket], None]) -> None:
        """Open no socket before `claim_path`. `on_connected` takes ownership of the socket passed to it."""
        self.loop, self.path, self.on_connected = loop, path, on_connected
        self.socket: socket.socket | None = None
        self.identity: FileIdentity | None = None  # of the socket's file

    def claim_path(self) -> None:
        """Listen at the path; listens again if a successor that has died had replaced this socket's file."""
        try:
            if self.socket is None:
                self._listen()
            elif self._identity_at_path() != self.identity:
                self.loop.dispose(self.socket)
                self.socket = None
                self._listen()
        except OSError as error:
            log("upgrade", f"cannot listen for a successor: {error.strerror}")

    def _listen(self) -> None:
        self.socket = listen_at_temporary_path(self.path)
        self.loop.watch(self.socket, IN, self._on_readable)
        self.identity = _identity_of(temporary_path(self.path))
        os.rename(temporary_path(self.path), self.path)

    def _identity_at_path(self) -> FileIdentity | None:
        with contextlib.suppress(OSError):
            return _identity_of(self.path)
        return None

    def _on_readable(self) -> None:
        assert self.socket
        with contextlib.suppress(OSError):
            sock, _ = self.socket.accept()
            sock.setblocking(False)
            self.on_connected(sock)

    def close(self) -> None:
        """Remove the file unless another process has replaced it; the socket closes with the process."""
        if self.identity and self._identity_at_path() == self.identity:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
