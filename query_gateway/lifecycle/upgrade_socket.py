"""The Unix socket in $TMPDIR at which a successor finds its predecessor, and the connection between them.

The name `mothknot-HOST-PORT`, after the address that clients reach, is a stored form: an earlier version of
this program looks for it and listens at it. A file that nobody listens at is a dead predecessor's.
"""

import contextlib
import os
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from query_gateway.lifecycle.upgrade_messages import (
    MAX_DESCRIPTORS,
    MAX_PACKET_BYTES,
    Hello,
    Packet,
    UpgradeMessage,
    UpgradeMessageError,
    decode_offer,
    decode_packet,
    encode,
)
from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

SOCKET_NAME = "mothknot-{host}-{port}"
OFFER_TIMEOUT = 2.0  # seconds in which a predecessor must answer
PENDING_SUCCESSORS = 4  # connections that may wait to be accepted

Received = TypeVar("Received")


@dataclass(slots=True)
class InheritedState:
    """What a predecessor offers: its listeners by front, its learned state, and the connection to it."""

    connection: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)
    scheduler_state: Any = None
    statement_costs: Any = None


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
    """The name under which this process makes its socket, before it takes the place at `path`."""
    return f"{path}.{os.getpid()}"


def listen_beside(path: str) -> socket.socket:
    """A listener under this process's private name.

    Renamed to `path` it takes that place in one step: a successor never finds no gateway there.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(private_path(path))
        sock.bind(private_path(path))
        os.chmod(private_path(path), 0o600)
        sock.listen(PENDING_SUCCESSORS)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def is_served(path: str) -> bool:
    """Whether a gateway listens at this path."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        return sock.connect_ex(path) == 0


def claim(path: str) -> socket.socket:
    """Listen at the path for a gateway that cannot be upgraded, so that no other takes its place.

    The caller closes the socket at its end.
    """
    sock = listen_beside(path)
    os.rename(private_path(path), path)
    return sock


def request_inherited_state(path: str) -> InheritedState | None:
    """Request a predecessor's state; None if there is no predecessor, or if it ends meanwhile.

    Blocks for `OFFER_TIMEOUT` at most: nothing else runs in this process yet.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(OFFER_TIMEOUT)
    try:
        sock.connect(path)
        sock.send(encode(Hello()))
        data, descriptors, _, _ = socket.recv_fds(sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        offer = decode_offer(data)
        by_front = dict(zip(offer.fronts, listeners, strict=True))
    except (OSError, ValueError, UpgradeMessageError) as error:
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log("upgrade", f"no predecessor to follow: {error!r}")
        sock.close()
        return None
    for listener in listeners:
        listener.setblocking(False)
    sock.setblocking(False)
    return InheritedState(sock, by_front, offer.scheduler_state, offer.statement_costs)


@dataclass(slots=True, frozen=True)
class ConnectionHandler(Generic[Received]):
    """What one end does with what comes: `on_message` owns the descriptors that it is handed."""

    decode: Callable[[Packet], Received]
    on_message: Callable[[Received, list[int]], None]
    on_closed: Callable[[], None]


class UpgradeConnection(Generic[Received]):
    """One end of the connection between the two processes; it owns its socket."""

    def __init__(self, loop: Loop, sock: socket.socket, handler: ConnectionHandler[Received]) -> None:
        """`sock` does not block."""
        self.loop, self.sock, self.handler = loop, sock, handler
        self.closed = False
        loop.watch(sock, IN, self._on_readable)

    def send(self, message: UpgradeMessage, descriptors: Sequence[int] = ()) -> bool:
        """Send a message; False if the other end takes nothing now."""
        if self.closed:
            return False
        try:
            socket.send_fds(self.sock, [encode(message)], descriptors)
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        return True

    def _on_readable(self) -> None:
        while not self.closed:
            try:
                data, descriptors, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                return self.close()
            if not data:
                return self.close()
            try:
                packet = decode_packet(data)
            except UpgradeMessageError:
                close_descriptors(descriptors)
                return self.close()
            self.handler.on_message(self.handler.decode(packet), descriptors)

    def close(self) -> None:
        """End the connection and notify the handler; a second call changes nothing."""
        if not self.closed:
            self.closed = True
            self.loop.dispose(self.sock)
            self.handler.on_closed()


def close_descriptors(descriptors: Sequence[int]) -> None:
    """Close descriptors that came with a packet and that nobody wants."""
    for descriptor in descriptors:
        os.close(descriptor)
