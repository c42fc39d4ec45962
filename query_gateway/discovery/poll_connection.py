"""One HTTP connection to the discovery service: sends polls and reads the bodies of the answers."""

from collections.abc import Callable, Generator
from typing import Any

import h11

from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream

MAX_ANSWER_BYTES = 4_194_304
HTTP_OK = 200


class PollConnection:
    """Polls over a connected stream, which the caller owns and closes."""

    def __init__(self, loop: Loop, stream: Stream, interruption: Callable[[], Reason | None]) -> None:
        """`interruption` returns why the connection must end before the next answer, or None."""
        self.loop, self.stream, self.interruption = loop, stream, interruption
        self._http = h11.Connection(h11.CLIENT)

    def send_poll(self, host: str, position: int, hold_ms: int) -> None:
        """Poll for the events after `position`; the service may delay its answer by `hold_ms`."""
        target = f"/journal?tail={position}&max_wait={hold_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.stream.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def start_next_poll(self) -> bool:
        """Prepare for the next poll after an answer; return False if the service closes the connection."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def read_answer(self, timeout_at: float) -> Generator[float | None, None, Reason | bytes]:
        """Return the body of an answer, or the reason why the connection must end if there is none.

        Raises h11.RemoteProtocolError if the service violates the protocol.
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
        """Return the next h11 event, or a Reason if there will be none."""
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
