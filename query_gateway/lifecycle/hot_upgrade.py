"""The protocol of a hot upgrade: a running process, the predecessor, is followed by a new one, the successor.

For a while both serve the same addresses; that time is the overlap. They talk over one Unix socket
connection:

    step                                      accepts clients        answers requests
    1  the successor starts and sends hello   predecessor            predecessor
    2  the predecessor sends its offer        predecessor            predecessor
    3  the successor sends ready              both, from one queue   whichever process accepted the client
    4  SIGTERM to the predecessor, which      successor              successor; the predecessor those that it
       sends draining                                                has open
    5  the predecessor transfers its idle     successor              the same
       connections, and exits when all its
       requests are answered

The offer holds the listening sockets, so from step 2 on both processes have the same accept queue. If SIGTERM
comes before step 3, nobody accepts until the successor is ready: clients wait in that queue.

A successor that starts after the predecessor has closed its listeners is offered none: it listens at the
addresses itself. Steps 3 to 5 are the same, so that requests with a key wait for the predecessor.

If the predecessor dies, its open requests die with it: their clients see a reset connection. The successor
sees the end of the connection and serves alone; one that is not ready yet begins to accept at once, so
clients in the accept queue are served. If it dies before step 2, the successor starts as if there had been
none, with nothing learned.

If the successor dies, its open requests and the connections transferred to it die with it. The predecessor
serves alone and waits for another successor; after SIGTERM it goes on with a plain shutdown.

The states of the successor as its predecessor sees them:

    ABSENT --connects--> CONNECTED --hello, offer sent--> STARTING --ready--> READY
       ^                     |                               |                  |
       +---------------------+-------- connection ends ------+------------------+

The predecessor as its successor sees it is a connection (`predecessor`) or None. The state here ends with the
process; the predecessor's socket file outlives a process that is killed, and the next one replaces it.
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
    """How far a process has come that follows this one; see the drawing above."""

    ABSENT = "absent"  # no process is connected
    CONNECTED = "connected"  # it has not requested its offer yet
    STARTING = "starting"  # it has the listening sockets, and accepts nothing yet
    READY = "ready"  # it accepts clients


@dataclass(slots=True, frozen=True)
class OfferWithListeners:
    """An offer, and the listening sockets that go with it in the order of its fronts."""

    message: Offer
    listeners: tuple[socket.socket, ...]


class UpgradeHost(Protocol):
    """What the protocol needs from the gateway."""

    def offer(self) -> OfferWithListeners:
        """What a successor inherits; the listening sockets stay the gateway's."""

    def begin_overlap(self) -> None:
        """Another process of this gateway runs."""

    def end_overlap(self) -> None:
        """The other process has ended."""

    def receive_connection(self, sock: socket.socket, peer: str, has_sent_request: bool) -> None:
        """A client's connection was transferred, and is the gateway's from now on."""

    def on_successor_ready(self) -> None:
        """The successor accepts clients."""

    def on_predecessor_draining(self) -> None:
        """The predecessor accepts no more clients."""


class HotUpgrade:
    """This process's part: successor at its start, later perhaps the predecessor of another.

    Owns the connections to both, and the listening socket by which a successor finds this process.
    """

    host: UpgradeHost

    def __init__(self, loop: Loop, path: str) -> None:
        """`path`: the socket where the two meet. Nothing is opened before `start` and `announce_ready`."""
        self.loop = loop
        self.listener = UpgradeListener(loop, path, self._on_successor_connects)
        self.predecessor: UpgradeConnection[FromPredecessor] | None = None
        self.successor: UpgradeConnection[FromSuccessor] | None = None
        self.successor_state = SuccessorState.ABSENT

    @property
    def successor_ready(self) -> bool:
        """Whether a successor accepts clients."""
        return self.successor_state is SuccessorState.READY

    def start(self, host: UpgradeHost, inherited: InheritedState | None) -> None:
        """Join the gateway; with an inherited state wait for messages of the predecessor."""
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

    def notify_leaving(self) -> None:
        """Notify the successor that this process accepts no more clients."""
        if self.successor:
            self.successor.send(Draining())

    def transfer(self, sock: socket.socket, peer: str, has_sent_request: bool) -> bool:
        """Transfer an idle connection; False if that cannot be done now, and the connection stays here."""
        connection = self.successor if self.successor_ready else None
        return connection is not None and connection.send(
            ClientTransfer(peer, has_sent_request), [sock.fileno()]
        )

    def close(self) -> None:
        """Remove the socket's file at the end of this process, unless another process has replaced it."""
        self.listener.close()

    # ---- as the predecessor

    def _on_successor_connects(self, sock: socket.socket) -> None:
        if self.successor:  # one at a time; the other cannot listen at the clients' address and exits
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
        close_descriptors(descriptors)  # a successor has none to send
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
        """Send the offer; a successor that cannot receive it is disconnected.

        A repeated hello gets another offer and changes no state.
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
        """Any state to ABSENT."""
        log("upgrade", "the successor has ended")
        self.successor, self.successor_state = None, SuccessorState.ABSENT
        self.host.end_overlap()
        # A successor that was ready had put its own socket in the place of ours
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
