"""One connection to an engine: dialled on demand, with many attempts in flight at once.

    DIALLING --establish: the dial succeeded--------------------------------------> ESTABLISHED
    DIALLING --close: the dial failed, or no attempt waits for it any longer------> CLOSED
    ESTABLISHED --close: idle, closed by the engine, or unresponsive--------------> CLOSED
    ESTABLISHED --close: bytes that are not valid frames, or an overdue frame-----> CLOSED
    ESTABLISHED --retire: an invalid or overdue result----------------------------> RETIRED
    ESTABLISHED --retire: too many attempts whose late responses may still arrive-> RETIRED
    DIALLING, ESTABLISHED --retire: the engine drains, restarts or moves----------> RETIRED
    ESTABLISHED --retire: idle, and its descriptor is needed elsewhere------------> RETIRED
    RETIRED --close: no attempt is left, or a close condition of ESTABLISHED------> CLOSED

Bytes that cannot be decoded close the connection at once, logged as `malformed-response`, and end every
attempt on it. An invalid result ends only its own attempt, as an error; the other attempts continue, and the
connection closes after the last of them, logged as `replaced` like any retired connection.
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

MAX_BYTES_PER_STEP: Final = 16_384  # of an engine's input, between two checks whether a pause is due
MAX_OUTBOX_BYTES: Final = 4_194_304  # of unsent data, above which the connection gets no more attempts
REDIAL_SECONDS: Final = 0.02  # from a dial that failed for lack of a local resource to the next dial


class ConnectionState(Enum):
    """The state of a connection. The module's docstring lists the transitions; no state is entered again."""

    DIALLING = "dialling"  # attempts wait for the dial
    # In this state `send` writes a request at once. The connection's coroutine (`_run`) enters the state up
    # to a loop turn after the stream is `connected`. Until then `send` writes nothing; the coroutine then
    # writes all waiting requests, each of them once
    ESTABLISHED = "established"
    RETIRED = "retired"  # gets no more attempts and closes after the last one
    CLOSED = "closed"


class ConnectionOwner(Protocol):
    """The interface of the pool to its connections. Durations are in seconds."""

    loop: Loop
    clock: Callable[[], int]  # in nanoseconds, like the deadlines of requests
    streams_per_connection: int
    dial_timeout: float
    idle_timeout: float
    progress_interval: float  # between progress notes of an engine; 0: engines send none

    def on_attempt_ended(self, client_request_id: str) -> None:
        """Called when an attempt ends and its connection stays open; its id may then be sent again."""

    def on_connection_closed(self, connection: "EngineConnection") -> None:
        """Called when the connection has ended; its attempts end right after this call."""


class EngineConnection:
    """One connection and the attempts in flight on it; owns its stream.

    Every assigned attempt ends exactly once, by `finish`, as not sent or with the connection, unless it is
    withdrawn or cancelled before. Times are loop times in seconds.
    """

    def __init__(self, owner: ConnectionOwner, engine: str, endpoint: Endpoint) -> None:
        """Start to dial; raises OSError if no descriptor is available."""
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
        """Whether the connection has room for an attempt, and no late response can bear the attempt's id."""
        if self.state is ConnectionState.ESTABLISHED:
            # Detects a close by the engine that has not been read yet. A request that is written after the
            # close would count as possibly executed
            self.stream.read_available()
        return (
            len(self.attempts.open) < self.owner.streams_per_connection
            and self.attempts.is_unused(client_request_id)
            and self._is_usable(self.loop.now())
        )

    def _is_usable(self, now: float) -> bool:
        """Whether the connection may get any attempts."""
        if self.state is ConnectionState.RETIRED or self.stream.is_over:
            return False
        if len(self.stream.outbox) > MAX_OUTBOX_BYTES:
            return False
        if not self.attempts.open:
            if now - self.last_used_at > self.owner.idle_timeout:
                return False  # the engine may close it at any moment
            if self.responses.decoder.partial:
                # The incomplete frame belongs to no attempt in flight; it may be part of a late response to a
                # cancelled one. If the engine never sends the rest of it, the next response would be decoded
                # as that rest
                return False
        is_established = self.state is ConnectionState.ESTABLISHED
        return not is_established or now < (self._response_deadline(SUSPECT_INTERVALS) or math.inf)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is established and has no attempts in flight."""
        return self.state is ConnectionState.ESTABLISHED and not self.attempts.open

    def send(self, attempt: AttemptHandle) -> None:
        """Send the request of an attempt, at once or when the connection is established."""
        self.last_used_at = self.loop.now()
        self.attempts.add(attempt, self.last_used_at)
        if self.state is ConnectionState.ESTABLISHED:
            self.writer.write_waiting(self.stream)
        self.task.wake()  # so that the coroutine applies the attempt's response deadline, which starts now

    def withdraw(self, client_request_id: str) -> bool:
        """Remove an attempt if no byte of it was written; return whether this was the case."""
        if not self.attempts.withdraw(client_request_id):
            return False
        self.task.wake()
        return True

    def cancel(self, client_request_id: str) -> None:
        """Remove an attempt and tell the engine to stop it; late responses to it are ignored."""
        if self.attempts.cancel(client_request_id):
            self._retire_above_ended_id_limit()
            self.stream.write(frames.encode_stop(client_request_id))
        self.task.wake()

    def set_priority(self, client_request_id: str, priority: int) -> None:
        """Send the changed priority of an attempt, unless its request is unwritten and will contain it."""
        attempts = self.attempts
        if client_request_id in attempts.open and client_request_id not in attempts.unwritten:
            self.stream.write(frames.encode_priority(client_request_id, priority))

    def retire(self) -> None:
        """Accept no more attempts, and close after the last one has ended."""
        self._retire()
        self.task.wake()

    def _retire(self) -> None:
        if self.state is not ConnectionState.CLOSED:
            self.state = ConnectionState.RETIRED

    def _retire_above_ended_id_limit(self) -> None:
        if self.attempts.exceeds_ended_id_limit:
            self._retire()

    # ---- commands of the response handler (`ResponseActions`)

    def write(self, data: bytes) -> None:
        """Send a line to the engine."""
        self.stream.write(data)

    def finish(self, client_request_id: str, outcome: OutcomeCode) -> None:
        """End an attempt with this outcome."""
        may_respond = outcome is not OutcomeCode.OK
        entry = self.attempts.remove(client_request_id, may_respond)
        if may_respond:
            self._retire_above_ended_id_limit()
        self.owner.on_attempt_ended(client_request_id)
        self.last_used_at = self.loop.now()
        entry.attempt.on_ended(outcome)

    def fail_malformed(self, client_request_id: str) -> None:
        """End an attempt whose result is invalid or overdue, and retire.

        Later results on the connection may be invalid or overdue as well.
        """
        self._retire()
        self.finish(client_request_id, OutcomeCode.ERROR)

    # ---- the coroutine

    def _run(self) -> Generator[float | None, None, None]:
        reason, outcome = Reason.FAULT, OutcomeCode.RESET
        try:
            if failure := (yield from self._connect()):
                # A dial that failed for lack of a local resource is not a fault of the engine
                is_local = self.stream.is_local_failure
                outcome = OutcomeCode.NOT_SENT if is_local else OutcomeCode.CONNECT_FAILED
                reason = failure
            else:
                reason = yield from self._serve()
        finally:
            self._close(reason, outcome)

    def _connect(self) -> Generator[float | None, None, Reason | None]:
        """Wait for the dial, then write the waiting requests; return the reason if the connection ends."""
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
        """Dial again after `REDIAL_SECONDS`: the last dial lacked a local port, route or buffer."""
        retry_at = min(self.loop.now() + REDIAL_SECONDS, self.dial_deadline)
        while self.loop.now() < retry_at:
            yield retry_at
        with contextlib.suppress(OSError):  # no descriptor is available: the next call tries again
            failed, self.stream = self.stream, self._dial()
            failed.close(Reason.DIAL_FAILED)

    def _dial(self) -> Stream:
        description = f"engine {self.engine} {self.address}"
        return Stream.dial(self.loop, address_of(self.address), description, lambda: self.task.wake())

    def _serve(self) -> Generator[float | None, None, Reason]:
        """Handle responses until the connection ends; return the reason."""
        while True:
            while self.stream.inbox:
                try:
                    self.responses.receive(self.stream.take_inbox(MAX_BYTES_PER_STEP), self.loop.now())
                except frames.FrameError:
                    return Reason.MALFORMED_RESPONSE
                if self.stream.inbox:
                    yield from self.task.pause_if_due()
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
        """The loop time by which the next byte must arrive, None if none is expected."""
        progress_wait = self.owner.progress_interval * progress_intervals
        return self.liveness.deadline(self.attempts, self.responses.decoder.partial, progress_wait)

    def _close(self, reason: Reason, outcome: OutcomeCode) -> None:
        """End the connection, and all attempts on it.

        An attempt whose request was sent completely ends with `outcome`, any other one as not sent: an engine
        does not run an incomplete request, and is not at fault. If the connection was still dialling, all
        attempts end with `outcome`, which is that of the dial.
        """
        was_dialling = self.state is ConnectionState.DIALLING
        self.state = ConnectionState.CLOSED
        self.stream.close(reason)
        self.owner.on_connection_closed(self)
        for entry in self.attempts.clear():
            entry.attempt.on_ended(outcome if entry.request_sent or was_dialling else OutcomeCode.NOT_SENT)
