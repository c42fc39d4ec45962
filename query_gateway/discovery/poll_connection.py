"""One HTTP connection to the discovery service: polls go out, the bodies of the answers come back."""

from collections.abc import Callable, Generator
from typing import Any

import h11

from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

MAX_ANSWER_BYTES = 4_194_304
HTTP_OK = 200


class PollConnection:
    """Polls over a connected stream, which its owner closes."""

    def __init__(self, loop: Loop, stream: Stream, interruption: Callable[[], Reason | None]) -> None:
        """`interruption` says why the connection must end before the next answer, if it must."""
        self.loop, self.stream, self.interruption = loop, stream, interruption
        self._http = h11.Connection(h11.CLIENT)

    def send_poll(self, host: str, position: int, hold_ms: int) -> None:
        """Poll for the events behind `position`; the service may hold the poll for so long."""
        target = f"/journal?tail={position}&max_wait={hold_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.stream.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def start_next_poll(self) -> bool:
        """Whether another poll may be sent after the answer; False if the service closes the connection."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def read_answer(self, timeout_at: float) -> Generator[float | None, None, Reason | bytes]:
        """The body of an answer, or why the connection must end if there is none.

        Raises h11.RemoteProtocolError if the service breaks the protocol.
        """
        body = bytearray()
        status = 0
        while True:
            event = yield from self._next_event(timeout_at)
            if isinstance(event, Reason):
                return event
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    return Reason.MALFORMED_RESPONSE
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body) if status == HTTP_OK else Reason.MALFORMED_RESPONSE
            else:
                return Reason.PEER_CLOSED

    def _next_event(self, timeout_at: float) -> Generator[float | None, None, Any]:
        """The next h11 event, or a Reason if none can come any more."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.stream.inbox:
                self._http.receive_data(self.stream.take_inbox())
            elif self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            elif interruption := self.interruption():
                return interruption
            elif self.loop.now() >= timeout_at:
                return Reason.UNRESPONSIVE
            else:
                yield timeout_at
