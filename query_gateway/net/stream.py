"""Connections: non-blocking TCP with bounded buffers; each that ends leaves one log line with a code."""

import socket
from collections.abc import Callable, Generator
from enum import Enum
from ipaddress import IPv4Address

from query_gateway.net.buffered_socket import BufferedSocket
from query_gateway.net.dial import begin_dial
from query_gateway.net.log import log
from query_gateway.net.loop import IN, OUT, Loop


class Reason(Enum):
    """Why a connection ended; `docs/on-call.md` explains what to do about each code."""

    PEER_CLOSED = "peer-closed"  # the peer closed; normal between requests
    RESET = "reset"  # the peer reset the connection, as a process that dies does
    IDLE = "idle"  # we closed a connection that was unused for its idle timeout
    DONE = "done"  # we closed after the last answer, as the protocol requires
    BAD_REQUEST = "bad-request"  # a client sent what cannot be accepted, or too much ahead of its answer
    SLOW_REQUEST = "slow-request"  # a request was not complete within its timeout
    SLOW_READER = "slow-reader"  # a client did not read its answer within the timeout
    ABANDONED = "abandoned"  # the client left before its answer, or nothing waited for the dial any longer
    TOO_MANY = "too-many"  # evicted, or not accepted, at the limit on connections
    STOPPING = "stopping"  # one side ends gracefully and nothing is open here: a shutdown, or a GOAWAY
    DRAINED = "drained"  # draining: the client was sent to another gateway
    TRANSFERRED = "transferred"  # hot upgrade: the successor goes on with the connection
    DIAL_REFUSED = "dial-refused"  # the peer refused our connection
    DIAL_FAILED = "dial-failed"  # our own machine had no port, route or buffer for it; it is dialled again
    DIAL_TIMEOUT = "dial-timeout"  # our connection did not come up within the dial timeout
    # A peer other than a client broke its protocol: one that we dialled, or a forwarder that connected to
    # its planner process
    MALFORMED_RESPONSE = "malformed-response"
    UNRESPONSIVE = "unresponsive"  # the peer sent nothing when something was due
    REPLACED = "replaced"  # the peer drains, restarted or moved, or the connection was retired
    # The discovery service's answer has a gap, so that the endpoint list is fetched from its start, or shows
    # a reset of its numbering, or came early and brought nothing new; the next poll waits for the backoff
    RESYNC = "resync"
    NOTIFIED = "notified"  # a BGP NOTIFICATION was sent (also as the hold timer expired) or received
    FAULT = "fault"  # an error in our own code


def address_of(text: str) -> tuple[str, int]:
    """Decode `ADDRESS:PORT`; raises ValueError for anything but an IPv4 address and a port.

    Host names are not accepted: looking them up would block the loop.
    """
    host, mark, port = text.rpartition(":")
    if not mark or not port.isdigit() or len(port) > 5 or int(port) > 65_535:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return str(IPv4Address(host)), int(port)


class Stream(BufferedSocket):
    """One TCP connection, from the accept or the dial to its close with a reason; owns its socket."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        description: str,
        on_activity: Callable[[], None] = lambda: None,
        waiting_since: float | None = None,
    ) -> None:
        """`on_activity` is called whenever something was read or sent, or the connection ended.

        `description` names the peer in the log: its kind, perhaps its name, its address. `waiting_since`:
        loop time since when what is read first may have waited for us.
        """
        super().__init__(loop, sock, on_activity, waiting_since)
        self.description = description

    @classmethod
    def dial(
        cls, loop: Loop, address: tuple[str, int], description: str, on_activity: Callable[[], None]
    ) -> "Stream":
        """Begin to connect; raises OSError when no descriptor is left.

        The caller bounds the time until `connected`. What is written before is sent once connected.
        """
        stream = cls(loop, socket.socket(), description, on_activity)
        stream.connected = stream._is_accepted = False
        if error := begin_dial(stream.sock, address):
            stream._fail_dial(error)
        else:
            stream.mask = IN | OUT
            loop.watch(stream.sock, stream.mask, stream._ready)
        return stream

    def close_gracefully(self, seconds: float) -> Generator[float | None, None, None]:
        """Send no more, and discard what the peer still sends until it closes or the time is over.

        For coroutines, before `close`. A close with unread input sends a reset (RFC 1122 section 4.2.2.13),
        and the peer then loses our last bytes if it has not read them yet. Here the input is read first.
        """
        self.half_close()
        deadline = self.loop.now() + seconds
        while not self.eof and self.loop.now() < deadline:
            self.take_inbox()
            yield deadline

    def close(self, reason: Reason, details: str = "") -> None:
        """Close at the end of the loop's turn and log the reason; later calls change nothing."""
        if self.closed:
            return
        self.closed = True
        self.loop.dispose(self.sock)
        log("end", f"{self.description} {reason.value}{' ' + details if details else ''}")
