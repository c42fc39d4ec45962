"""The Unix socket in $TMPDIR at which a successor finds its predecessor.

The name `mothknot-HOST-PORT`, after the address that clients reach, is a stored form: an earlier version of
this program looks for it and listens at it. A process that is killed leaves the file behind; a successor that
cannot connect to it starts without a predecessor and replaces it.
"""

import contextlib
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

SOCKET_NAME = "mothknot-{host}-{port}"
MAX_WAITING_SUCCESSORS = 4  # connections that may wait to be accepted


def upgrade_socket_path(environ: Mapping[str, str], listen_address: tuple[str, int]) -> str | None:
    """Where predecessor and successor meet, or None where no socket can be made there."""
    folder = environ.get("TMPDIR")
    if not folder:
        return None
    host, port = listen_address
    path = os.path.join(folder, SOCKET_NAME.format(host=host, port=port))
    try:
        listen_beside(path).close()
        os.unlink(private_path(path))
    except OSError as error:
        log("upgrade", f"not possible in $TMPDIR: {error.strerror or error}")
        return None
    return path


def private_path(path: str) -> str:
    """The name under which this process makes its socket, before it is renamed to `path`."""
    return f"{path}.{os.getpid()}"


def listen_beside(path: str) -> socket.socket:
    """A listening socket under this process's private name.

    Renamed to `path` it replaces another process's socket in one step, so that at no moment a successor finds
    no gateway there.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(private_path(path))
        sock.bind(private_path(path))
        os.chmod(private_path(path), 0o600)
        sock.listen(MAX_WAITING_SUCCESSORS)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def is_served(path: str) -> bool:
    """Whether a gateway listens at this path."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        return sock.connect_ex(path) == 0


def reserve_path(path: str) -> socket.socket:
    """Listen at the path for a gateway that cannot be upgraded, so that no other starts at its address.

    The caller closes the socket at its end.
    """
    sock = listen_beside(path)
    os.rename(private_path(path), path)
    return sock


@dataclass(slots=True, frozen=True)
class FileIdentity:
    """Which file a path names: another process may have put its own in the place of ours."""

    device: int
    inode: int


def _identity_of(path: str) -> FileIdentity:
    """Raises OSError if there is no such file."""
    found = os.stat(path)
    return FileIdentity(found.st_dev, found.st_ino)


class UpgradeListener:
    """Listens for a successor; owns the socket and, while it is this process's, the file at the path."""

    def __init__(self, loop: Loop, path: str, on_connected: Callable[[socket.socket], None]) -> None:
        """Nothing is opened before `claim_path`. `on_connected` owns the socket that it is given."""
        self.loop, self.path, self.on_connected = loop, path, on_connected
        self.socket: socket.socket | None = None
        self.identity: FileIdentity | None = None  # of the socket's file

    def claim_path(self) -> None:
        """Listen at the path, also where a successor that has died had replaced our socket."""
        try:
            if self.socket is None:
                self._listen()
            elif self._identity_at_path() != self.identity:
                self.loop.dispose(self.socket)
                self.socket = None
                self._listen()
        except OSError as error:
            log("upgrade", f"cannot be found by a successor: {error.strerror}")

    def _listen(self) -> None:
        self.socket = listen_beside(self.path)
        self.loop.watch(self.socket, IN, self._on_readable)
        self.identity = _identity_of(private_path(self.path))
        os.rename(private_path(self.path), self.path)

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
        """Remove the file, unless it is another process's by now; the socket closes with the process."""
        if self.identity and self._identity_at_path() == self.identity:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
