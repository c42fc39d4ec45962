"""gRPC over HTTP/2, sans-IO h2 on our streams: calls with bounded buffers and flow control end to end."""

from collections import deque
from collections.abc import Callable, Generator

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream

WINDOW = 262_144  # bytes of a call that may be under way to us and not yet passed on
MESSAGE = 16_777_216  # bytes of one message
CALLS = 1_000  # calls at once on a connection
HELLO_TIME = 2.0  # seconds in which a client's connection must have said something
IDLE_TIME = 300.0  # and after which one without a call is closed
READER_TIME = 30.0  # and in which the rest of its last answer must have been read
LINGER = 1.0
OUT = 1_048_576  # bytes a connection may keep for a peer that does not read, before calls wait

OK, CANCELLED, INVALID, DEADLINE, EXHAUSTED, UNIMPLEMENTED, INTERNAL = 0, 1, 3, 4, 8, 12, 13
Headers = list[tuple[str, str]]


class BadCall(Exception):
    """What the peer sent in a call cannot be used."""


class Messages:
    """Length-prefixed messages out of the bytes of one call."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        out = []
        while len(self.buffer) >= 5:
            length = int.from_bytes(self.buffer[1:5], "big")
            if self.buffer[0]:
                raise BadCall("compressed messages were not agreed on")
            if length > MESSAGE:
                raise BadCall("a message is too long")
            if len(self.buffer) < 5 + length:
                break
            out.append(bytes(self.buffer[5 : 5 + length]))
            del self.buffer[: 5 + length]
        return out


def framed(message: bytes) -> bytes:
    return b"\0" + len(message).to_bytes(4, "big") + message


class Handler:
    """What a call's owner is told; each owner overrides what it needs."""

    def headers(self, headers: dict[str, str]) -> None: ...

    def message(self, data: bytes, size: int) -> None: ...

    def ended(self) -> None:
        """The peer has sent all that it will."""

    def broken(self, never_ran: bool) -> None:
        """The call was reset or its connection ended."""


class Call:
    def __init__(self, wire: "Wire", number: int, handler: Handler) -> None:
        self.wire, self.number, self.handler = wire, number, handler
        self.incoming = Messages()
        self.headers: dict[str, str] = {}
        self.out: deque[tuple[bytes, Callable[[], None] | None]] = deque()
        self.closing: Headers | bool | None = None  # trailers to end with, or True for a bare end
        self.over = False

    def send(self, message: bytes, left: Callable[[], None] | None = None, last: bool = False) -> None:
        """Queue a message; `left` is called when flow control has let it go. `last`: nothing follows."""
        if not self.over:
            self.out.append((framed(message), left))
            if last and self.closing is None:
                self.closing = True
            self.wire.pump(self)

    def finish(self, trailers: Headers | None = None) -> None:
        if not self.over and self.closing is None:
            self.closing = trailers or True
            self.wire.pump(self)

    def reset(self) -> None:
        if not self.over:
            self.over = True
            self.wire.reset(self)

    def taken(self, size: int) -> None:
        """So many of the peer's bytes have gone on: it may send as many more."""
        self.wire.acknowledge(self, size)


class Wire:
    """One HTTP/2 connection, on either side."""

    def __init__(self, loop: Loop, stream: Stream, client: bool) -> None:
        self.loop, self.stream = loop, stream
        config = h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
        self.h2 = h2.connection.H2Connection(config)
        self.h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: CALLS,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: 65_536,
                **({h2.settings.SettingCodes.ENABLE_PUSH: 0} if client else {}),
            },
        )
        self.calls: dict[int, Call] = {}
        # What a client asks waits in its call, not behind others in the buffer: so it can be taken back whole
        self.most = 1 if client else OUT
        self.taken: Callable[[dict[str, str], Call], Handler] | None = None  # server side: a new call
        self.going = False  # the peer takes no more calls
        self.heard = False
        self.used = loop.now()
        self.refused_from = 2**31
        self.newest = 0  # the last call that the peer began
        self.h2.initiate_connection()  # first of all: calls may be opened before the task has its turn
        self.h2.increment_flow_control_window(WINDOW * 16)
        self._flush()
        self.task: Task = loop.spawn(self._run())
        stream.on_activity = self.task.wake

    def _run(self) -> Generator[float | None, None, None]:
        reason = Reason.FAULT
        try:
            while not self.stream.connected and not self.stream.eof:
                yield None
            reason = yield from self._talk()
        finally:
            self.going = True
            calls, self.calls = list(self.calls.values()), {}
            for call in calls:
                call.over = True
                # A message that has not left whole runs nothing
                never_ran = call.number > self.refused_from or not self.stream.connected or bool(call.out)
                call.handler.broken(never_ran)
            self.stream.close(reason)

    def _talk(self) -> Generator[float | None, None, Reason]:
        ended = Reason.STOPPING
        while True:
            if self.stream.inbox:
                self.heard, self.used = True, self.loop.now()
                try:
                    for event in self.h2.receive_data(self.stream.take_inbox()):
                        if isinstance(event, h2.events.ConnectionTerminated):
                            self.going = True
                            self.refused_from = event.last_stream_id or 0
                            for call in [c for n, c in self.calls.items() if n > self.refused_from]:
                                self._forget(call)
                                call.handler.broken(True)
                        else:
                            self._event(event)
                except (h2.exceptions.ProtocolError, UnicodeDecodeError):
                    self._flush()
                    return Reason.MALFORMED_RESPONSE if self.h2.config.client_side else Reason.BAD_REQUEST
            for call in list(self.calls.values()):
                self.pump(call)
            self._flush()
            if self.stream.is_over:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            if self.going and not self.calls:
                if not self.h2.config.client_side:
                    yield from self._last_words()
                return ended
            until = None
            if not self.calls and not self.h2.config.client_side:
                # Guards the descriptors against clients that say nothing, or nothing more
                until = self.used + (IDLE_TIME if self.heard else HELLO_TIME)
                if self.loop.now() >= until:
                    if not self.heard:
                        return Reason.UNRESPONSIVE
                    self.stream.read_available()
                    if not self.stream.inbox:  # guards a call that crosses: it hears that it never ran
                        ended = Reason.IDLE
                        self.go_away()
                    continue
            yield until

    def _last_words(self) -> Generator[float | None, None, None]:
        """Guards the last answer: a close over what has not left, or with unread input, would cut it off."""
        until = self.loop.now() + READER_TIME
        while self.stream.outbox and not self.stream.reset and self.loop.now() < until:
            self.stream.take_inbox()
            yield until
        yield from self.stream.close_gracefully(LINGER)

    @property
    def resting(self) -> bool:
        """Whether nothing is under way here, either way, even now."""
        self.stream.read_available()
        return not (self.calls or self.stream.inbox or self.stream.outbox)

    def _event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived) and self.taken and event.stream_id:
            headers = {str(k): str(v) for k, v in event.headers or []}
            if self.going:  # it crossed our word that we take no more, so the peer knows that it never ran
                self.h2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
                return
            self.newest = event.stream_id
            call = Call(self, event.stream_id, Handler())
            self.calls[call.number] = call
            call.headers = headers
            call.handler = self.taken(headers, call)
            return
        number = getattr(event, "stream_id", None)
        call_or_none = self.calls.get(number) if isinstance(number, int) else None
        if isinstance(event, h2.events.DataReceived) and event.stream_id is not None:
            size = event.flow_controlled_length or 0
            if call_or_none is None or call_or_none.over:
                self.h2.acknowledge_received_data(size, event.stream_id)
            else:
                self._data(call_or_none, event.data or b"", size)
        elif call_or_none is None:
            return
        elif isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
            headers = {str(k): str(v) for k, v in event.headers or []}
            call_or_none.headers |= headers
            call_or_none.handler.headers(headers)
        elif isinstance(event, h2.events.StreamEnded):
            call_or_none.handler.ended()
            if self.h2.config.client_side:
                self._forget(call_or_none)
        elif isinstance(event, h2.events.StreamReset):
            refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
            never_ran = refused or bool(call_or_none.out)
            self._forget(call_or_none)
            call_or_none.handler.broken(never_ran)

    def _data(self, call: Call, data: bytes, size: int) -> None:
        try:
            messages = call.incoming.feed(data)
        except BadCall:
            call.reset()
            call.handler.broken(False)
            return
        # What completes no message is acknowledged at once, or a long one would never come whole
        if not messages:
            call.taken(size)
        for at, message in enumerate(messages):
            call.handler.message(message, size if at == 0 else 0)

    def _forget(self, call: Call) -> None:
        call.over = True
        call.out.clear()
        self.calls.pop(call.number, None)

    def open(self, headers: Headers, handler: Handler) -> Call | None:
        """Client side: begin a call, if the peer takes one more."""
        if self.going or self.stream.is_over or not self.stream.connected:
            return None
        try:
            number = self.h2.get_next_available_stream_id()
            self.h2.send_headers(number, headers)
        except (h2.exceptions.ProtocolError, h2.exceptions.NoAvailableStreamIDError):
            return None
        call = Call(self, number, handler)
        self.calls[number] = call
        self.task.wake()
        return call

    def headers(self, call: Call, headers: Headers, end: bool = False) -> None:
        if call.over:
            return
        self.h2.send_headers(call.number, headers, end_stream=end)
        if end:
            self._forget(call)
        self.task.wake()

    def pump(self, call: Call) -> None:
        """Send as much of a call as its window and the connection let go."""
        while call.out and not call.over and len(self.stream.outbox) < self.most:
            data, left = call.out[0]
            room = min(self.h2.local_flow_control_window(call.number), self.h2.max_outbound_frame_size)
            if room <= 0:
                break
            end = call.closing is True and len(call.out) == 1 and len(data) <= room
            self.h2.send_data(call.number, data[:room], end_stream=end)
            if end:
                call.closing = None
            if len(data) > room:
                call.out[0] = data[room:], left
            else:
                call.out.popleft()
            self._flush()
            if left and len(data) <= room:
                left()
        if not call.out and call.closing is not None and not call.over:
            if call.closing is True:
                self.h2.end_stream(call.number)
                call.closing = None
            else:
                self.h2.send_headers(call.number, call.closing, end_stream=True)  # type: ignore[arg-type]
                self._forget(call)
        self.task.wake()

    def reset(self, call: Call) -> None:
        self._forget(call)
        if not self.stream.is_over:
            self.h2.reset_stream(call.number, h2.errors.ErrorCodes.CANCEL)
            self.task.wake()

    def acknowledge(self, call: Call, size: int) -> None:
        if size and not self.stream.is_over:
            self.h2.acknowledge_received_data(size, call.number)
            self.task.wake()

    def _flush(self) -> None:
        if data := self.h2.data_to_send():
            self.stream.write(data)

    def go_away(self) -> None:
        """Server side: tell the peer that we take no more calls. (h2 itself would end what is open, too.)"""
        if not self.going and not self.stream.is_over:
            self._flush()
            self.stream.write(GoAwayFrame(0, last_stream_id=self.newest).serialize())
        self.leave()

    def leave(self) -> None:
        """Take no more calls here; what is open goes on."""
        self.going = True
        self.task.wake()
