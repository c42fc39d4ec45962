"""The journal's client: asks for what comes after the last event held, again and again."""

import json
from collections.abc import Callable, Generator
from random import Random
from typing import Any

import h11

from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.net.stream import Reason, Stream, address_of

WAIT_MS = 2_000  # how long a call may be held: short, so that a journal that went silent is soon noticed
LATE = 0.8  # seconds past that after which the connection counts as dead
DIAL = 0.5
AGAIN = (0.1, 0.2)  # seconds before a new connection, at first and at most, by half less or more: many
# gateways whose watches break in one moment shall not come back in one
HURRY = 0.8  # seconds for the answer to a call that is not to be held
ANSWER = 4_194_304  # bytes of one answer


class EndpointWatchClient:
    """`take` gets each answer's JSON, and whether it tells the event that we hold last once more; it returns
    the last position held.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        position: int,
        take: Callable[[Any, bool], int],
        caught_up: Callable[[], None] | None = None,
        seed: int = 0,
    ) -> None:
        """With `caught_up` the first calls are not held, until one is answered."""
        self.loop, self.address, self.position, self.on_update = loop, address, position, take
        self.on_caught_up = caught_up
        self.stopped = self.moved = False
        self.heard = self.lost = False  # an answer came; and its connection broke since
        self.random, self.again = Random(seed), AGAIN[0]
        self.task = loop.spawn(self._run())

    def stop(self) -> None:
        self.stopped = True
        self.task.wake()

    def set_address(self, address: str) -> None:
        """Ask elsewhere from now on; the numbers of the events go on."""
        if address != self.address:
            self.address, self.moved = address, True
            self.task.wake()

    def _run(self) -> Generator[float | None, None, None]:
        while not self.stopped:
            self.moved = False
            try:
                stream = Stream.dial(
                    self.loop, address_of(self.address), f"journal {self.address}", lambda: self.task.wake()
                )
            except OSError as bad:  # out of descriptors
                log("journal", f"cannot dial: {bad.strerror}")
            else:
                reason = yield from self._talk(stream)
                stream.close(reason)
                self.lost = self.heard and reason is not Reason.DONE
            until = self.loop.now() + self.again * (0.5 + self.random.random())
            self.again = min(2 * self.again, AGAIN[1])
            while not self.stopped and not self.moved and self.loop.now() < until:
                yield until

    def _talk(self, stream: Stream) -> Generator[float | None, None, Reason]:
        until = self.loop.now() + DIAL
        while not stream.connected:
            if stream.eof:
                return Reason.DIAL_REFUSED
            if self.stopped or self.moved:
                return Reason.STOPPING if self.stopped else Reason.REPLACED
            if self.loop.now() >= until:
                return Reason.DIAL_TIMEOUT
            yield until
        http = h11.Connection(h11.CLIENT)
        while True:
            wait = 1 if self.on_caught_up else WAIT_MS
            held, asked_at = self.position, self.loop.now()
            # Guards against a service that began anew and has passed our number: it shows by that event
            again = self.lost and held > 0
            path = f"/journal?tail={held - again}&max_wait={wait}"
            ask = h11.Request(method="GET", target=path, headers=[("Host", self.address)])
            stream.write((http.send(ask) or b"") + (http.send(h11.EndOfMessage()) or b""))
            try:
                body = yield from self._answer(stream, http)
                if isinstance(body, Reason):
                    return body
                self.position = self.on_update(json.loads(body), again)
                self.heard, self.lost = True, False
                caught_up, self.on_caught_up = self.on_caught_up, None
                if caught_up:
                    caught_up()
            except Exception as bad:  # guards the feed: no answer, however odd, may end it for good
                log("journal", f"unusable answer: {bad!r}")
                return Reason.MALFORMED_RESPONSE
            idle = self.position == held and not caught_up and not again
            if self.position < held or (idle and self.loop.now() < asked_at + AGAIN[0]):
                return Reason.RESYNC  # guards the service, and us, against asking without a rest
            self.again = AGAIN[0]
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return Reason.DONE
            http.start_next_cycle()

    def _answer(self, stream: Stream, http: h11.Connection) -> Generator[float | None, None, Reason | bytes]:
        until = self.loop.now() + (HURRY if self.on_caught_up else WAIT_MS / 1000 + LATE)
        body = bytearray()
        status = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if stream.inbox:
                    http.receive_data(stream.take_inbox())
                elif stream.eof:
                    return Reason.RESET if stream.reset else Reason.PEER_CLOSED
                elif self.stopped or self.moved:
                    return Reason.STOPPING if self.stopped else Reason.REPLACED
                elif self.loop.now() >= until:
                    return Reason.UNRESPONSIVE
                else:
                    yield until
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > ANSWER:
                    return Reason.MALFORMED_RESPONSE
            elif isinstance(event, h11.EndOfMessage):
                if status != 200:
                    return Reason.MALFORMED_RESPONSE
                return bytes(body)
            else:
                return Reason.PEER_CLOSED
