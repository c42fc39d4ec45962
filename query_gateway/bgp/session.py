"""One BGP session: connects, sends keepalives, announces the service addresses while the gateway is ready.

The states (RFC 4271 section 8.2.2):

    IDLE --reconnect delay--> CONNECT --connected, OPEN sent--> OPEN_SENT
    OPEN_SENT --OPEN received, KEEPALIVE sent--> OPEN_CONFIRM --KEEPALIVE received--> ESTABLISHED
    any --connection ended, hold timer expired, NOTIFICATION sent or received--> IDLE
"""

from collections.abc import Generator
from enum import Enum

from query_gateway.bgp.messages import (
    ADMINISTRATIVE_SHUTDOWN,
    UNSPECIFIC,
    BgpProtocolError,
    ErrorCode,
    Keepalive,
    Message,
    MessageDecoder,
    Notification,
    Open,
    OpenError,
    encode_announcement,
    encode_keepalive,
    encode_notification,
    encode_open,
    encode_withdrawal,
)
from query_gateway.bgp.settings import BgpSettings
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream

CONNECT_TIMEOUT_S = 5.0  # for the TCP connection to be established
INITIAL_HOLD_TIME_S = 240.0  # until the peer's OPEN has been received (RFC 4271 section 8.2.2)
LINGER_TIME_S = 1.0  # for the peer to read our last message
KEEPALIVES_PER_HOLD_TIME = 3


class SessionState(Enum):
    """The states of RFC 4271 section 8.2.2 except Active, as this speaker never listens."""

    IDLE = "idle"  # no connection; the next attempt follows after the reconnect delay
    CONNECT = "connect"  # waiting for the TCP connection
    OPEN_SENT = "open-sent"  # waiting for the peer's OPEN
    OPEN_CONFIRM = "open-confirm"  # waiting for the KEEPALIVE that confirms our OPEN
    ESTABLISHED = "established"  # UPDATE messages may be sent


class BgpSession:
    """A session with one peer, which is restarted whenever it ends, until `stop` is called.

    Owns the connection and the task that serves it.
    """

    def __init__(self, loop: Loop, settings: BgpSettings) -> None:
        """Start the session's task on `loop`, which connects to the peer."""
        self.loop, self.settings = loop, settings
        self.state = SessionState.IDLE
        self.ready = self.stopped = False
        self.announced = False  # whether the last UPDATE sent was an announcement
        self.four_octet_asn = False  # whether the peer supports four-octet AS numbers
        self.hold_time = INITIAL_HOLD_TIME_S  # seconds; 0: neither a hold timer nor keepalives
        self.last_received_at = self.last_sent_at = 0.0  # loop times
        self.task: Task = loop.spawn(self._run())

    def announce(self, ready: bool) -> None:
        """Announce the service addresses from now on if `ready`, otherwise withdraw them."""
        self.ready = ready
        self.task.wake()

    def stop(self) -> None:
        """Withdraw the service addresses and end the session."""
        self.ready, self.stopped = False, True
        self.task.wake()

    @property
    def is_established(self) -> bool:
        """Whether the session is established, so that UPDATE messages can be sent."""
        return self.state is SessionState.ESTABLISHED

    @property
    def is_finished(self) -> bool:
        """Whether the session has been stopped and its connection closed."""
        return self.task.done

    def _run(self) -> Generator[float | None, None, None]:
        description = f"bgp {self.settings.peer[0]}:{self.settings.peer[1]}"
        while not self.stopped:
            try:
                stream = Stream.dial(self.loop, self.settings.peer, description, lambda: self.task.wake())
            except OSError as error:  # the file descriptors are exhausted
                log("bgp", f"cannot dial: {error.strerror}")
            else:
                stream.close((yield from self._run_session(stream)))
            self.state, self.announced = SessionState.IDLE, False
            reconnect_at = self.loop.now() + self.settings.reconnect_delay
            while not self.stopped and self.loop.now() < reconnect_at:
                yield reconnect_at

    def _run_session(self, stream: Stream) -> Generator[float | None, None, Reason]:
        failure_reason = yield from self._connect(stream)
        if failure_reason:
            return failure_reason
        stream.write(encode_open(self.settings.asn, self.settings.hold_time, self.settings.identifier))
        self.state, self.hold_time = SessionState.OPEN_SENT, INITIAL_HOLD_TIME_S
        try:
            return (yield from self._serve(stream))
        except BgpProtocolError as error:
            log("bgp", f"sent NOTIFICATION {error.code}/{error.subcode}")
            stream.write(encode_notification(error.code, error.subcode, error.data))
            return (yield from self._linger(stream, Reason.NOTIFIED))

    def _connect(self, stream: Stream) -> Generator[float | None, None, Reason | None]:
        """Wait until the connection is established; return the reason if it fails, else None."""
        self.state = SessionState.CONNECT
        timeout_at = self.loop.now() + CONNECT_TIMEOUT_S
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if self.stopped:
                return Reason.STOPPING
            if self.loop.now() >= timeout_at:
                return Reason.DIAL_TIMEOUT
            yield timeout_at
        return None

    def _serve(self, stream: Stream) -> Generator[float | None, None, Reason]:
        """Handle messages and timers from OPEN_SENT to the end of the session; return the reason."""
        decoder = MessageDecoder()
        self.last_received_at = self.last_sent_at = self.loop.now()
        while True:
            if stream.inbox:
                for message in decoder.feed(stream.take_inbox()):
                    self.last_received_at = self.loop.now()
                    if isinstance(message, Notification):
                        log("bgp", f"received NOTIFICATION {message.code}/{message.subcode}")
                        return Reason.NOTIFIED
                    self._on_message(stream, message)
            if stream.eof:
                return Reason.RESET if stream.reset else Reason.PEER_CLOSED
            now = self.loop.now()
            if self.hold_time and now >= self.last_received_at + self.hold_time:
                raise BgpProtocolError(ErrorCode.HOLD_TIMER_EXPIRED, UNSPECIFIC)
            self._send_update(stream)
            if self.stopped:
                stream.write(encode_notification(ErrorCode.CEASE, ADMINISTRATIVE_SHUTDOWN))
                return (yield from self._linger(stream, Reason.STOPPING))
            self._send_keepalive_if_due(stream, now)
            yield self._next_timer()

    def _on_message(self, stream: Stream, message: Message) -> None:
        """Handle a message other than NOTIFICATION; raises BgpProtocolError if the state forbids it."""
        unexpected = BgpProtocolError(ErrorCode.FINITE_STATE_MACHINE, UNSPECIFIC)
        if self.state is SessionState.OPEN_SENT:
            if not isinstance(message, Open):
                raise unexpected
            self._accept_open(message)
            self.state = SessionState.OPEN_CONFIRM
            stream.write(encode_keepalive())
            self.last_sent_at = self.last_received_at
        elif isinstance(message, Open):
            raise unexpected
        elif self.state is SessionState.OPEN_CONFIRM:
            if not isinstance(message, Keepalive):
                raise unexpected
            self.state = SessionState.ESTABLISHED
            log("bgp", "session established")

    def _accept_open(self, message: Open) -> None:
        if message.asn != self.settings.peer_asn:
            raise BgpProtocolError(ErrorCode.OPEN_MESSAGE, OpenError.BAD_PEER_AS)
        if message.identifier == self.settings.identifier:
            raise BgpProtocolError(ErrorCode.OPEN_MESSAGE, OpenError.BAD_IDENTIFIER)
        self.hold_time = float(min(self.settings.hold_time, message.hold_time))
        self.four_octet_asn = message.four_octet_asn

    def _send_update(self, stream: Stream) -> None:
        """Send an announcement or a withdrawal if the last UPDATE does not match the readiness."""
        if not self.is_established or self.announced == self.ready:
            return
        self.announced = self.ready
        settings = self.settings
        if self.ready:
            internal = settings.asn == settings.peer_asn
            stream.write(
                encode_announcement(
                    settings.networks, settings.asn, settings.next_hop, self.four_octet_asn, internal
                )
            )
        else:
            stream.write(encode_withdrawal(settings.networks))
        log("bgp", "service addresses announced" if self.ready else "service addresses withdrawn")

    @property
    def _next_keepalive_at(self) -> float:
        return self.last_sent_at + self.hold_time / KEEPALIVES_PER_HOLD_TIME

    def _send_keepalive_if_due(self, stream: Stream, now: float) -> None:
        has_received_open = self.state is not SessionState.OPEN_SENT
        if has_received_open and self.hold_time and now >= self._next_keepalive_at:
            stream.write(encode_keepalive())
            self.last_sent_at = now

    def _next_timer(self) -> float | None:
        """Return the loop time of the next hold timer expiry or keepalive; None if both are disabled."""
        if not self.hold_time:
            return None
        hold_expires_at = self.last_received_at + self.hold_time
        if self.state is SessionState.OPEN_SENT:
            return hold_expires_at
        return min(hold_expires_at, self._next_keepalive_at)

    def _linger(self, stream: Stream, reason: Reason) -> Generator[float | None, None, Reason]:
        """Close the connection gracefully, so that the peer can read our last message; return `reason`.

        Closing a socket with unread input causes a TCP reset, which discards data that the peer has not read
        yet, including the NOTIFICATION with the cause. So input is discarded until the peer closes, for at
        most LINGER_TIME_S.
        """
        yield from stream.close_gracefully(LINGER_TIME_S)
        return reason
