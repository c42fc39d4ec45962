"""One connection to an engine: dialled on demand, many attempts in flight at once.

    DIALLING --establish: the dial succeeded----------------------------------> ESTABLISHED
    DIALLING --close: the dial failed, or no attempt waits for it any longer--> CLOSED
    ESTABLISHED --close: idle, the engine closed, or it is unresponsive-------> CLOSED
    ESTABLISHED --close: bytes that are no frames, or a frame that does not end-> CLOSED
    ESTABLISHED --retire: an invalid result, or one that takes too long-------> RETIRED
    ESTABLISHED --retire: too many attempts whose late responses may come-----> RETIRED
    DIALLING, ESTABLISHED --retire: the engine drains, restarts or moves------> RETIRED
    RETIRED --close: no attempt is left, or for a cause of ESTABLISHED--------> CLOSED

Unreadable bytes close the connection at once, logged as `malformed-response`, and end every attempt on it. An
invalid result ends its own attempt alone, as an error; the others go on, and the connection closes after the
last, logged as `replaced` like every retired one.
"""

import contextlib
import math
from collections.abc import Callable, Generator
from enum import Enum
from typing import Final, Protocol

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.attempt_table import AttemptTable
from query_gateway.engine_protocol.liveness import (
    SUSPECT_INTERVALS,
    UNRESPONSIVE_INTERVALS,
    ConnectionLiveness,
)
from query_gateway.engine_protocol.request_writer import RequestWriter
from query_gateway.engine_protocol.response_handler import ResponseHandler
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.model.events import OutcomeCode
from query_gateway.net.loop import Loop, Task
from query_gateway.net.stream import Reason, Stream, address_of

MAX_OUTBOX_BYTES: Final = 4_194_304  # that an engine may leave unread before it gets no more
REDIAL_SECONDS: Final = 0.02  # until a dial that our own machine could not make is made again


class ConnectionState(Enum):
    """How far a connection has come; none of the transitions leads back."""

    DIALLING = "dialling"  # attempts wait for the dial
    # Requests are written as they are given. This follows the stream's `connected` by up to a turn of the
    # loop: in between, requests still wait for the coroutine, so that each is written only once
    ESTABLISHED = "established"
    RETIRED = "retired"  # it takes no more attempts and closes after the last
    CLOSED = "closed"


class ConnectionOwner(Protocol):
    """The pool as its connections know it. Durations are in seconds."""

    loop: Loop
    clock: Callable[[], int]  # nanoseconds, as the requests' deadlines are
    streams_per_connection: int
    dial_timeout: float
    idle_timeout: float
    progress_interval: float  # of engines' progress reports; 0: they report none

    def on_attempt_ended(self, client_request_id: str) -> None:
        """An attempt is no longer in flight on the connection that it was given."""

    def on_connection_closed(self, connection: "EngineConnection") -> None:
        """The connection has ended; the attempts on it end next."""


class EngineConnection:
    """One connection and the attempts in flight on it; owns its stream.

    Every attempt it was given ends once, by `finish` or with the connection, unless it is withdrawn or
    cancelled before. Times are loop times in seconds.
    """

    def __init__(self, owner: ConnectionOwner, engine: str, endpoint: Endpoint) -> None:
        """Begin to dial; raises OSError when no descriptor is left."""
        self.owner, self.loop, self.engine = owner, owner.loop, engine
        self.state = ConnectionState.DIALLING
        self.attempts = AttemptTable()
        self.last_used_at = self.loop.now()
        self.liveness = ConnectionLiveness(self.last_used_at)
        self.writer = RequestWriter(self.attempts, owner.clock, owner.on_attempt_ended)
        self.responses = ResponseHandler(self.attempts, self.liveness, self)
        self.dial_deadline = self.loop.now() + owner.dial_timeout
        self.address = endpoint.addresses["web"]
        self.stream = self._dial()
        self.task: Task = self.loop.spawn(self._run())

    # ---- attempts

    def can_take(self, client_request_id: str) -> bool:
        """Whether one more attempt fits, and no response to an earlier one of its request can reach it."""
        if self.state is ConnectionState.ESTABLISHED:
            # A request that is written behind the engine's close would count as possibly executed
            self.stream.read_available()
        return (
            len(self.attempts.open) < self.owner.streams_per_connection
            and self.attempts.is_unused(client_request_id)
            and self._is_usable(self.loop.now())
        )

    def _is_usable(self, now: float) -> bool:
        """Whether attempts may be given to this connection at all."""
        if self.state is ConnectionState.RETIRED or self.stream.is_over:
            return False
        if len(self.stream.outbox) > MAX_OUTBOX_BYTES:
            return False
        if not self.attempts.open:
            if now - self.last_used_at > self.owner.idle_timeout:
                return False  # the engine may close it at any moment
            if self.responses.decoder.partial:
                return False  # its response would be appended to half a line that belongs to nothing
        is_established = self.state is ConnectionState.ESTABLISHED
        return not is_established or now < (self._response_deadline(SUSPECT_INTERVALS) or math.inf)

    @property
    def is_idle(self) -> bool:
        """Whether it is established and no attempt is on it."""
        return self.state is ConnectionState.ESTABLISHED and not self.attempts.open

    def send(self, attempt: AttemptHandle) -> None:
        """Start an attempt, at once or when the connection is established."""
        self.last_used_at = self.loop.now()
        self.attempts.add(attempt, self.last_used_at)
        if self.state is ConnectionState.ESTABLISHED:
            self.writer.write_waiting(self.stream)
        self.task.wake()  # its response deadline runs from now

    def withdraw(self, client_request_id: str) -> bool:
        """Remove an attempt if not a byte of it has left; whether that was so."""
        if not self.attempts.withdraw(client_request_id):
            return False
        self.task.wake()
        return True

    def cancel(self, client_request_id: str) -> None:
        """Stop an attempt; its late responses change nothing."""
        if self.attempts.cancel(client_request_id):
            self._retire_if_full()
            self.stream.write(frames.encode_stop(client_request_id))
        self.task.wake()

    def set_priority(self, client_request_id: str, priority: int) -> None:
        """Change an attempt's priority at the engine, if it is there already."""
        attempts = self.attempts
        if client_request_id in attempts.open and client_request_id not in attempts.unwritten:
            self.stream.write(frames.encode_priority(client_request_id, priority))

    def retire(self) -> None:
        """Take no more attempts, and close after the last."""
        self._retire()
        self.task.wake()

    def _retire(self) -> None:
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.RETIRED

    def _retire_if_full(self) -> None:
        if self.attempts.is_full_of_ended_ids:
            self._retire()

    # ---- commands of the response handler, see `ResponseActions`

    def write(self, data: bytes) -> None:
        """Send a line to the engine."""
        self.stream.write(data)

    def finish(self, client_request_id: str, outcome: OutcomeCode) -> None:
        """End an attempt with its outcome."""
        may_respond = outcome is not OutcomeCode.OK
        entry = self.attempts.remove(client_request_id, may_respond)
        if may_respond:
            self._retire_if_full()
        self.owner.on_attempt_ended(client_request_id)
        self.last_used_at = self.loop.now()
        entry.attempt.on_ended(outcome)

    def fail_malformed(self, client_request_id: str) -> None:
        """End an attempt whose result is invalid or takes too long, and retire: the next may be as bad."""
        self._retire()
        self.finish(client_request_id, OutcomeCode.ERROR)

    # ---- the coroutine

    def _run(self) -> Generator[float | None, None, None]:
        reason, outcome = Reason.FAULT, OutcomeCode.RESET
        try:
            if failure := (yield from self._connect()):
                # An engine that our own machine could not dial is not at fault
                is_local = self.stream.is_local_failure
                outcome = OutcomeCode.NOT_SENT if is_local else OutcomeCode.CONNECT_FAILED
                reason = failure
            else:
                reason = yield from self._serve()
        finally:
            self._close(reason, outcome)

    def _connect(self) -> Generator[float | None, None, Reason | None]:
        """Wait for the dial and write what waits for it; a reason if the dial failed or is not needed."""
        while not self.stream.connected:
            if self.loop.now() >= self.dial_deadline:
                return Reason.DIAL_TIMEOUT
            if not self.attempts.open:
                return Reason.ABANDONED
            if self.stream.is_local_failure:
                yield from self._dial_again()
            elif self.stream.eof:
                return Reason.DIAL_REFUSED
            else:
                yield self.dial_deadline
        self._establish()
        return None

    def _establish(self) -> None:
        if self.state is ConnectionState.DIALLING:
            self.state = ConnectionState.ESTABLISHED
        self.writer.write_waiting(self.stream)
        self.liveness.on_bytes(self.loop.now(), self.responses.decoder.partial)

    def _dial_again(self) -> Generator[float | None, None, None]:
        """Wait a moment and dial once more: our machine had no port, route or buffer just now."""
        retry_at = min(self.loop.now() + REDIAL_SECONDS, self.dial_deadline)
        while self.loop.now() < retry_at:
            yield retry_at
        with contextlib.suppress(OSError):  # no descriptor is left: the next round tries again
            failed, self.stream = self.stream, self._dial()
            failed.close(Reason.DIAL_FAILED)

    def _dial(self) -> Stream:
        description = f"engine {self.engine} {self.address}"
        return Stream.dial(self.loop, address_of(self.address), description, lambda: self.task.wake())

    def _serve(self) -> Generator[float | None, None, Reason]:
        """Handle responses until the connection ends; the reason."""
        while True:
            if self.stream.inbox:
                try:
                    self.responses.receive(self.stream.take_inbox(), self.loop.now())
                except frames.FrameError:
                    return Reason.MALFORMED_RESPONSE
            self.writer.write_waiting(self.stream)
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            deadline = self._response_deadline(UNRESPONSIVE_INTERVALS)
            if deadline and self.loop.now() >= deadline:
                return Reason.UNRESPONSIVE
            if not self.attempts.open:
                if self.state is ConnectionState.RETIRED:
                    return Reason.REPLACED
                deadline = self.last_used_at + self.owner.idle_timeout
                if self.loop.now() >= deadline:
                    return Reason.IDLE
            yield deadline

    def _response_deadline(self, progress_intervals: float) -> float | None:
        """Until when a byte must come; None if none is due."""
        progress_wait = self.owner.progress_interval * progress_intervals
        return self.liveness.deadline(self.attempts, self.responses.decoder.partial, progress_wait)

    def _close(self, reason: Reason, outcome: OutcomeCode) -> None:
        """End the connection, and all attempts on it with this outcome.

        A request that has not been sent completely never runs, and the engine is not at fault for it; while
        dialling nothing is sent, and the outcome is that of the dial.
        """
        was_dialling = self.state is ConnectionState.DIALLING
        self.state = ConnectionState.CLOSED
        self.stream.close(reason)
        self.owner.on_connection_closed(self)
        for entry in self.attempts.clear():
            entry.attempt.on_ended(outcome if entry.request_sent or was_dialling else OutcomeCode.NOT_SENT)
