"""The protocol of a hot upgrade: a predecessor passes its listeners and idle connections to its successor.

Both run side by side for a while. The order of the steps keeps every client served:

1. The successor says hello; the predecessor answers with its listeners and its learned state, and both share
   the descriptors of one gateway from then on, and the slow-start budget once the successor is ready.
2. The successor says ready once it takes requests, and listens for a successor of its own.
3. The predecessor, at SIGTERM, says that it leaves, transfers every idle connection, and answers what is
   open. If either process dies, the other end of the connection shows it, and the survivor goes on alone.
"""

import contextlib
import os
import socket
from typing import Protocol

from query_gateway.lifecycle.upgrade_messages import (
    ClientTransfer,
    Draining,
    FromPredecessor,
    FromSuccessor,
    Hello,
    Offer,
    Ready,
    decode_from_predecessor,
    decode_from_successor,
)
from query_gateway.lifecycle.upgrade_socket import (
    ConnectionHandler,
    InheritedState,
    UpgradeConnection,
    close_descriptors,
    listen_beside,
    private_path,
)
from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop

SocketIdentity = tuple[int, int]  # device and inode


class UpgradeHost(Protocol):
    """What the protocol needs from the gateway."""

    def offer(self) -> tuple[Offer, list[socket.socket]]:
        """What a successor inherits, and the listeners; these stay the gateway's."""

    def begin_overlap(self) -> None:
        """Another process of this gateway runs."""

    def end_overlap(self) -> None:
        """The other process has ended."""

    def receive_connection(self, sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """A client's connection comes over, and is the gateway's from now on."""

    def on_successor_ready(self) -> None:
        """The successor takes requests."""

    def on_predecessor_draining(self) -> None:
        """The predecessor takes no more requests."""


class HotUpgrade:
    """This process's part: successor at its start, later perhaps the predecessor of another."""

    host: UpgradeHost

    def __init__(self, loop: Loop, path: str) -> None:
        """`path`: the socket where the two meet. Nothing is opened before `start` and `announce_ready`."""
        self.loop, self.path = loop, path
        self.listener: socket.socket | None = None
        self.socket_identity: SocketIdentity | None = None  # of the listener's file
        self.predecessor: UpgradeConnection[FromPredecessor] | None = None
        self.successor: UpgradeConnection[FromSuccessor] | None = None
        self.successor_ready = False

    def start(self, host: UpgradeHost, inherited: InheritedState | None) -> None:
        """Join the gateway; with an inherited state listen to the predecessor."""
        self.host = host
        if inherited:
            handler = ConnectionHandler(
                decode_from_predecessor, self._on_predecessor_message, self._on_predecessor_ended
            )
            self.predecessor = UpgradeConnection(self.loop, inherited.connection, handler)

    def announce_ready(self) -> None:
        """Notify the predecessor that this process takes requests, and listen for a successor."""
        if self.predecessor:
            self.predecessor.send(Ready())
        self._claim_path()

    def notify_draining(self) -> None:
        """Tell the successor that this process takes no more requests."""
        if self.successor:
            self.successor.send(Draining())

    def transfer(self, sock: socket.socket, peer: str, has_sent_request: bool) -> bool:
        """Pass an idle connection on; False if that cannot be done now, and the connection stays here."""
        connection = self.successor if self.successor_ready else None
        return connection is not None and connection.send(
            ClientTransfer(peer, has_sent_request), [sock.fileno()]
        )

    def close(self) -> None:
        """The end of this process: the socket's file goes, unless it is another's by now."""
        if self.socket_identity and self._identity_at_path() == self.socket_identity:
            with contextlib.suppress(OSError):
                os.unlink(self.path)

    # ---- the place where a successor looks

    def _claim_path(self) -> None:
        try:
            if self.listener is None:
                self.listener = listen_beside(self.path)
                self.loop.watch(self.listener, IN, self._on_successor_connects)
                found = os.stat(private_path(self.path))
                self.socket_identity = found.st_dev, found.st_ino
                os.rename(private_path(self.path), self.path)
            elif self._identity_at_path() != self.socket_identity:  # a successor that died had the place
                self.loop.dispose(self.listener)
                self.listener = None
                self._claim_path()
        except OSError as error:
            log("upgrade", f"cannot be found by a successor: {error.strerror}")

    def _identity_at_path(self) -> SocketIdentity | None:
        with contextlib.suppress(OSError):
            found = os.stat(self.path)
            return found.st_dev, found.st_ino
        return None

    # ---- as the predecessor

    def _on_successor_connects(self) -> None:
        assert self.listener
        with contextlib.suppress(OSError):
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            if self.successor:  # one at a time; the other finds the clients' address in use and ends
                sock.close()
                return
            handler = ConnectionHandler(
                decode_from_successor, self._on_successor_message, self._on_successor_ended
            )
            self.successor = UpgradeConnection(self.loop, sock, handler)

    def _on_successor_message(self, message: FromSuccessor, descriptors: list[int]) -> None:
        close_descriptors(descriptors)  # a successor has none to pass
        if self.successor is None:
            return
        match message:
            case Hello():
                self._send_offer(self.successor)
            case Ready():
                log("upgrade", "the successor is ready")
                self.successor_ready = True
                self.host.on_successor_ready()
            case _:
                self.successor.close()

    def _send_offer(self, successor: UpgradeConnection[FromSuccessor]) -> None:
        offer, listeners = self.host.offer()
        if not successor.send(offer, [listener.fileno() for listener in listeners]):
            successor.close()
            return
        log("upgrade", "a successor starts")
        self.host.begin_overlap()

    def _on_successor_ended(self) -> None:
        log("upgrade", "the successor has ended")
        self.successor, self.successor_ready = None, False
        self.host.end_overlap()
        self._claim_path()

    # ---- as the successor

    def _on_predecessor_message(self, message: FromPredecessor, descriptors: list[int]) -> None:
        match message, descriptors:
            case ClientTransfer(peer, has_sent_request), [descriptor]:
                self.host.receive_connection(socket.socket(fileno=descriptor), peer, has_sent_request)
            case Draining(), _:
                close_descriptors(descriptors)
                self.host.on_predecessor_draining()
            case _:
                close_descriptors(descriptors)

    def _on_predecessor_ended(self) -> None:
        log("upgrade", "the predecessor has ended")
        self.predecessor = None
        self.host.end_overlap()
