"""One BGP session: connects, keeps itself up, announces our service addresses while we are ready."""

from collections.abc import Generator
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network

from query_gateway.bgp import messages as m
from query_gateway.net.log import log
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream

DIAL = 5.0  # seconds for a connection to come up
OPENING = 240.0  # the hold time until the peer has named its own (RFC 4271, 8.2.2)
LINGER = 1.0


@dataclass(slots=True, frozen=True)
class Settings:
    peer: tuple[str, int]
    asn: int
    peer_asn: int
    identifier: IPv4Address
    next_hop: IPv4Address
    networks: tuple[IPv4Network, ...]
    hold: int = 90
    again: float = 5.0  # seconds before a new connection


class Session:
    def __init__(self, loop: Loop, settings: Settings) -> None:
        self.loop, self.s = loop, settings
        self.ready = self.stopped = False
        self.up = self.announced = False
        self.wide = False
        self.hold = OPENING
        self.task: Task = loop.spawn(self._run())

    def announce(self, ready: bool) -> None:
        """Our addresses are reached here from now on, or no longer."""
        self.ready = ready
        self.task.wake()

    def stop(self) -> None:
        """Withdraw and end the session."""
        self.ready, self.stopped = False, True
        self.task.wake()

    @property
    def quiet(self) -> bool:
        return self.task.done

    def _run(self) -> Generator[float | None, None, None]:
        while not self.stopped:
            who = f"bgp {self.s.peer[0]}:{self.s.peer[1]}"
            self.up = self.announced = False
            try:
                stream = Stream.dial(self.loop, self.s.peer, who, lambda: self.task.wake())
            except OSError as bad:  # out of descriptors
                log("bgp", f"cannot dial: {bad.strerror}")
            else:
                stream.close((yield from self._session(stream)))
            self.up = self.announced = False
            until = self.loop.now() + self.s.again
            while not self.stopped and self.loop.now() < until:
                yield until

    def _session(self, stream: Stream) -> Generator[float | None, None, Reason]:
        until = self.loop.now() + DIAL
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if self.stopped:
                return Reason.STOPPING
            if self.loop.now() >= until:
                return Reason.DIAL_TIMEOUT
            yield until
        stream.write(m.open_(self.s.asn, self.s.hold, self.s.identifier))
        try:
            return (yield from self._talk(stream))
        except m.Malformed as bad:
            log("bgp", f"sent NOTIFICATION {bad.code}/{bad.subcode}")
            stream.write(m.notification(bad.code, bad.subcode, bad.data))
            return (yield from self._linger(stream, Reason.NOTIFIED))

    def _talk(self, stream: Stream) -> Generator[float | None, None, Reason]:
        decoder = m.Decoder()
        opened = False
        self.hold = OPENING
        heard = spoke = self.loop.now()
        while True:
            if stream.inbox:
                for message in decoder.feed(stream.take_inbox()):
                    heard = self.loop.now()
                    if isinstance(message, m.Notification):
                        log("bgp", f"got NOTIFICATION {message.code}/{message.subcode}")
                        return Reason.NOTIFIED
                    if not opened:
                        self._opened(message)
                        opened = True
                        stream.write(m.keepalive())
                        spoke = heard
                    elif isinstance(message, m.Open):
                        raise m.Malformed(m.STATE_ERROR, 0)
                    elif not self.up:
                        if not isinstance(message, m.Keepalive):
                            raise m.Malformed(m.STATE_ERROR, 0)
                        self.up = True
                        log("bgp", "session is up")
            if stream.eof:
                return Reason.RESET if stream.reset else Reason.PEER_CLOSED
            now = self.loop.now()
            if self.hold and now >= heard + self.hold:
                raise m.Malformed(m.HOLD_EXPIRED, 0)
            self._tell(stream)
            if self.stopped:
                stream.write(m.notification(m.CEASE, 2))  # administrative shutdown
                return (yield from self._linger(stream, Reason.STOPPING))
            if opened and self.hold and now >= spoke + self.hold / 3:
                stream.write(m.keepalive())
                spoke = now
            due = [heard + self.hold, *([spoke + self.hold / 3] if opened else [])]
            yield min(due) if self.hold else None

    def _opened(self, message: m.Message) -> None:
        if not isinstance(message, m.Open):
            raise m.Malformed(m.STATE_ERROR, 0)
        if message.asn != self.s.peer_asn:
            raise m.Malformed(m.OPEN_ERROR, 2)
        if message.identifier == self.s.identifier:
            raise m.Malformed(m.OPEN_ERROR, 3)
        self.hold = float(min(self.s.hold, message.hold))
        self.wide = message.wide

    def _tell(self, stream: Stream) -> None:
        if not self.up or self.announced == self.ready:
            return
        self.announced = self.ready
        if self.ready:
            inner = self.s.asn == self.s.peer_asn
            stream.write(m.announce(self.s.networks, self.s.asn, self.s.next_hop, self.wide, inner))
        else:
            stream.write(m.withdraw(self.s.networks))
        log("bgp", "addresses announced" if self.ready else "addresses withdrawn")

    def _linger(self, stream: Stream, reason: Reason) -> Generator[float | None, None, Reason]:
        """Guards our last message: a close with unread input would reset the connection under it."""
        yield from stream.close_gracefully(LINGER)
        return reason
