"""The hot upgrade protocol: a running process (the predecessor) is replaced by a new one (the successor).

While both run, they serve the same addresses; this period is the overlap. They communicate over one Unix
socket connection:

    step                                      accepts clients        answers requests
    1  the successor starts and sends hello   predecessor            predecessor
    2  the predecessor sends its offer        predecessor            predecessor
    3  the successor sends ready              both, from one queue   the process that accepted the client
    4  SIGTERM to the predecessor, which      successor              successor; the predecessor answers its
       sends draining                                                open requests
    5  the predecessor transfers its idle     successor              as in step 4
       connections, and exits when all its
       requests are answered

The offer holds the listening sockets, so from step 2 on both processes share one accept queue. If SIGTERM
comes before step 3 and a successor connects by the end of the grace period, the predecessor keeps accepting
clients, also beyond that period, until the successor is ready; only then does it release its listeners and
send draining. If the successor is still not ready when the predecessor aborts its open requests, the
predecessor accepts the clients in the queue, rejects their requests and closes its listeners. A successor
that has received the offer still holds the same sockets, so the queue stays open, and new clients wait there
until the successor accepts.

A successor that starts after the predecessor has closed its listeners is offered none and binds the addresses
itself. Steps 3 to 5 are the same, so that requests with a key wait for the predecessor.

If the predecessor dies, its open requests are lost and their clients see a reset connection. The successor
detects the closed connection and serves alone. If it is not ready yet, it starts to accept at once, so that
clients in the accept queue are served. If the predecessor dies before step 2, the successor starts as without
a predecessor, with no learned state.

If the successor dies, its open requests and the connections transferred to it are lost. The predecessor
serves alone and waits for another successor; after SIGTERM it continues with a normal shutdown.

The states of the successor as seen by its predecessor:

    ABSENT --connects--> CONNECTED --hello, offer sent--> STARTING --ready--> READY
       ^                     |                               |                  |
       +---------------------+-------- connection ends ------+------------------+

A successor has no such states for its predecessor, only the connection (`predecessor`), or None. The states
and connections are lost with the process. A process that is killed leaves its socket file behind, and the
next process of this gateway replaces the file.
"""

import socket
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from query_gateway.lifecycle.inherited_state import InheritedState
from query_gateway.lifecycle.upgrade_connection import (
    ConnectionHandler,
    UpgradeConnection,
    close_descriptors,
)
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
from query_gateway.lifecycle.upgrade_socket import UpgradeListener
from query_gateway.net.log import log
from query_gateway.net.loop import Loop


class SuccessorState(Enum):
    """The startup progress of the successor; see the state diagram in the module docstring."""

    ABSENT = "absent"  # no process is connected
    CONNECTED = "connected"  # the successor has not requested the offer yet
    STARTING = "starting"  # the successor has been sent the offer, and does not accept clients yet
    READY = "ready"  # the successor accepts clients


@dataclass(slots=True, frozen=True)
class OfferWithListeners:
    """An offer with its listening sockets, in the order of `message.fronts`."""

    message: Offer
    listeners: tuple[socket.socket, ...]


class UpgradeHost(Protocol):
    """The callbacks through which the protocol uses the gateway."""

    def offer(self) -> OfferWithListeners:
        """Return the state for a successor; the gateway keeps ownership of the listening sockets."""

    def begin_overlap(self) -> None:
        """Handle the start of the overlap with another process of this gateway."""

    def end_overlap(self) -> None:
        """Handle the end of the other process."""

    def receive_connection(self, sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """Take ownership of a transferred client connection; see `ClientTransfer` for the arguments."""

    def on_successor_ready(self) -> None:
        """Handle the ready message: the successor accepts clients."""

    def on_predecessor_draining(self) -> None:
        """Handle the draining message: the predecessor accepts no more clients."""


class HotUpgrade:
    """This process's side of the protocol: first as a successor, later possibly as a predecessor.

    Owns the connections to its predecessor and its successor, and the listening socket at which a successor
    finds this process.
    """

    host: UpgradeHost

    def __init__(self, loop: Loop, path: str) -> None:
        """`path`: the socket path of the gateway. No socket is opened before `start` and `announce_ready`."""
        self.loop = loop
        self.listener = UpgradeListener(loop, path, self._on_successor_connects)
        self.predecessor: UpgradeConnection[FromPredecessor] | None = None
        self.successor: UpgradeConnection[FromSuccessor] | None = None
        self.successor_state = SuccessorState.ABSENT

    @property
    def successor_ready(self) -> bool:
        """Whether a successor is connected and accepts clients."""
        return self.successor_state is SuccessorState.READY

    def start(self, host: UpgradeHost, inherited: InheritedState | None) -> None:
        """Set the host; with an inherited state, start to receive messages from the predecessor."""
        self.host = host
        if inherited:
            handler = ConnectionHandler(
                decode_from_predecessor, self._on_predecessor_message, self._on_predecessor_ended
            )
            self.predecessor = UpgradeConnection(self.loop, inherited.connection, handler)

    def announce_ready(self) -> None:
        """Notify the predecessor that this process accepts clients, and listen for a successor."""
        if self.predecessor:
            self.predecessor.send(Ready())
        self.listener.claim_path()

    def notify_draining(self) -> None:
        """Notify the successor that this process accepts no more clients."""
        if self.successor:
            self.successor.send(Draining())

    def transfer(self, sock: socket.socket, peer: str, has_sent_request: bool) -> bool:
        """Transfer an idle connection; returns False if the successor cannot receive it at the moment."""
        connection = self.successor if self.successor_ready else None
        return connection is not None and connection.send(
            ClientTransfer(peer, has_sent_request), [sock.fileno()]
        )

    def close(self) -> None:
        """Remove the socket file when this process ends, unless another process has replaced it."""
        self.listener.close()

    # ---- as the predecessor

    def _on_successor_connects(self, sock: socket.socket) -> None:
        if self.successor:  # only one at a time; a second one cannot bind the clients' address and exits
            sock.close()
            return
        self._absent_to_connected(sock)

    def _absent_to_connected(self, sock: socket.socket) -> None:
        handler = ConnectionHandler(
            decode_from_successor, self._on_successor_message, self._on_successor_ended
        )
        self.successor = UpgradeConnection(self.loop, sock, handler)
        self.successor_state = SuccessorState.CONNECTED

    def _on_successor_message(self, message: FromSuccessor, descriptors: list[int]) -> None:
        close_descriptors(descriptors)  # no message of a successor carries descriptors
        if self.successor is None:
            return
        match message:
            case Hello():
                self._connected_to_starting(self.successor)
            case Ready():
                self._starting_to_ready()
            case _:
                self.successor.close()

    def _connected_to_starting(self, successor: UpgradeConnection[FromSuccessor]) -> None:
        """Send the offer; disconnect a successor that cannot receive it.

        A repeated hello is answered with another offer and does not change the state.
        """
        offer = self.host.offer()
        if not successor.send(offer.message, [listener.fileno() for listener in offer.listeners]):
            successor.close()
            return
        log("upgrade", "a successor starts")
        if self.successor_state is SuccessorState.CONNECTED:
            self.successor_state = SuccessorState.STARTING
        self.host.begin_overlap()

    def _starting_to_ready(self) -> None:
        log("upgrade", "the successor is ready")
        self.successor_state = SuccessorState.READY
        self.host.on_successor_ready()

    def _on_successor_ended(self) -> None:
        """Transition from any state to ABSENT."""
        log("upgrade", "the successor has ended")
        self.successor, self.successor_state = None, SuccessorState.ABSENT
        self.host.end_overlap()
        # A successor that was ready has replaced this process's socket file with its own
        self.listener.claim_path()

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
