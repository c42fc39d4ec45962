"""Non-blocking TCP connections with bounded buffers; the end of each is logged with a reason code."""

import socket
from collections.abc import Callable, Generator
from enum import Enum
from ipaddress import IPv4Address

from query_gateway.net.buffered_socket import BufferedSocket
from query_gateway.net.dial import begin_dial
from query_gateway.net.log import log
from query_gateway.net.loop import IN, OUT, Loop


class Reason(Enum):
    """Why a connection ended; `docs/on-call.md` describes what to do about each code."""

    PEER_CLOSED = "peer-closed"  # the peer closed; normal between requests
    RESET = "reset"  # the peer reset the connection, for example because its process died
    IDLE = "idle"  # closed here after it was unused for its idle timeout
    DONE = "done"  # closed here after the last answer, as the protocol requires
    BAD_REQUEST = "bad-request"  # a client sent invalid input, or too much input ahead of its answer
    SLOW_REQUEST = "slow-request"  # a request was not complete within its timeout
    # A client did not read its answer within the timeout, or a forwarder or planner process its IPC messages
    SLOW_READER = "slow-reader"
    ABANDONED = "abandoned"  # the client left before its answer, or a dial was no longer needed
    TOO_MANY = "too-many"  # evicted or not accepted at the connection limit
    STOPPING = "stopping"  # graceful end by one side with no request open: a shutdown, or a GOAWAY
    DRAINED = "drained"  # draining: the client was directed to another gateway
    TRANSFERRED = "transferred"  # hot upgrade: the successor has taken over the connection
    DIAL_REFUSED = "dial-refused"  # the peer refused the connection
    DIAL_FAILED = "dial-failed"  # this host lacked a port, route or buffer; the dial is retried
    DIAL_TIMEOUT = "dial-timeout"  # the connection was not established within the dial timeout
    # A peer that is not a client violated its protocol: one that was dialled, or a forwarder that connected
    # to its planner process
    MALFORMED_RESPONSE = "malformed-response"
    UNRESPONSIVE = "unresponsive"  # the peer did not send within the time limit
    REPLACED = "replaced"  # the peer drains, restarted or changed its address, or the connection was retired
    # The discovery service's answer has a gap, so that a snapshot is needed, or shows that its numbering was
    # reset, or came early with nothing new; the next poll waits for the backoff
    RESYNC = "resync"
    NOTIFIED = "notified"  # a BGP NOTIFICATION was received or sent (also when the hold timer expires)
    FAULT = "fault"  # an error in the gateway's code


def address_of(text: str) -> tuple[str, int]:
    """Decode `ADDRESS:PORT`; raises ValueError for anything but an IPv4 address and a port.

    Host names are rejected, because resolving them would block the loop.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or len(port) > 5 or int(port) > 65_535:
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return str(IPv4Address(host)), int(port)


class Stream(BufferedSocket):
    """One TCP connection, from accept or dial to its close with a reason code; owns its socket."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        description: str,
        on_activity: Callable[[], None] = lambda: None,
        waiting_since: float | None = None,
    ) -> None:
        """`on_activity` is called whenever bytes were read or sent, or the connection ended.

        `description` identifies the peer in the log by its role, its name if it has one, and its address.
        `waiting_since`: loop time since which the first bytes to be read may have been waiting.
        """
        super().__init__(loop, sock, on_activity, waiting_since)
        self.description = description

    @classmethod
    def dial(
        cls, loop: Loop, address: tuple[str, int], description: str, on_activity: Callable[[], None]
    ) -> "Stream":
        """Start to connect; raises OSError if no descriptor is left.

        The caller must limit the time until `connected`. Bytes written before are sent once connected.
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
        """Shut down the sending side and discard input until the peer closes, for at most `seconds`.

        Coroutines run this before `close`. A close with unread input sends a reset (RFC 1122 section
        4.2.2.13), which makes the peer lose the last bytes sent if it has not read them yet.
        """
        self.half_close()
        deadline = self.loop.now() + seconds
        while not self.eof and self.loop.now() < deadline:
            self.take_inbox()
            yield deadline

    def close(self, reason: Reason, details: str = "") -> None:
        """Close at the end of the loop turn and log the reason; further calls have no effect."""
        if self.closed:
            return
        self.closed = True
        if self._is_accepted:
            self.take_inbox()  # counted as held in memory
        self.loop.dispose(self.sock)
        log("end", f"{self.description} {reason.value}{' ' + details if details else ''}")
