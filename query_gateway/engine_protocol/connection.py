"""One connection to an engine: dialled on demand, many attempts in flight at once."""

import contextlib
import math
from collections.abc import Generator
from typing import TYPE_CHECKING

from query_gateway.engine_protocol import frames
from query_gateway.engine_protocol.liveness import (
    SUSPECT_INTERVALS,
    UNRESPONSIVE_INTERVALS,
    ConnectionLiveness,
)
from query_gateway.engine_protocol.open_attempt import OpenAttempt, encode_attempt
from query_gateway.engine_protocol.response_handler import ResponseHandler
from query_gateway.forwarder.messages import AttemptHandle, Endpoint
from query_gateway.model.events import OutcomeCode
from query_gateway.net.loop import Task
from query_gateway.net.stream import Reason, Stream, address_of

if TYPE_CHECKING:
    from query_gateway.engine_protocol.pool import ConnectionPool

MAX_CANCELLED_IDS = 4_096  # ids of attempts whose late responses may still come; then the connection retires
MAX_OUTBOX_BYTES = 4_194_304  # that an engine may leave unread before it gets no more
REDIAL_SECONDS = 0.02  # until a dial that our own machine could not make is made again


class EngineConnection:
    """One connection and the attempts in flight on it; owns its stream.

    It is dialling until `established`, then takes attempts until it is `retired` or its stream is over.
    Every attempt it was given ends once, by `finish` or with the connection, unless it is withdrawn or
    cancelled before. Times are loop times in seconds.
    """

    def __init__(self, pool: "ConnectionPool", engine: str, endpoint: Endpoint) -> None:
        """Begin to dial; raises OSError when no descriptor is left."""
        self.pool, self.loop, self.engine = pool, pool.loop, engine
        self.open: dict[str, OpenAttempt] = {}  # by client id, oldest first
        # Those of which nothing has been written: it is encoded as it leaves, so that its budget is true then
        self.unwritten: dict[str, OpenAttempt] = {}
        self.cancelled_ids: dict[str, None] = {}
        self.retired = False  # takes no more attempts, closes after the last
        # Whether requests are written as they are given. It follows the stream's `connected`: in between,
        # requests still queue for the coroutine, so that each is written only once
        self.established = False
        self.last_used_at = self.loop.now()
        self.liveness = ConnectionLiveness(self.last_used_at)
        self.decoder = frames.FrameDecoder()
        self.responses = ResponseHandler(self)
        self.dial_deadline = self.loop.now() + pool.dial_timeout
        self.address = endpoint.addresses["web"]
        self.stream = self._dial()
        self.task: Task = self.loop.spawn(self._run())

    def can_take(self, client_request_id: str) -> bool:
        """Whether one more attempt fits, and no response to an earlier one of its request can reach it."""
        now = self.loop.now()
        if self.established:
            # A request that is written behind the engine's close would count as possibly executed
            self.stream.read_available()
        stale = not self.open and now - self.last_used_at > self.pool.idle_timeout
        if self.retired or self.stream.is_over or stale or len(self.stream.outbox) > MAX_OUTBOX_BYTES:
            return False
        if self.established and now >= (self._response_deadline(SUSPECT_INTERVALS) or math.inf):
            return False
        if self.decoder.partial and not self.open:
            return False  # its response would be appended to half a line that belongs to nothing
        return (
            len(self.open) < self.pool.streams_per_connection
            and client_request_id not in self.open
            and client_request_id not in self.cancelled_ids
        )

    def send(self, attempt: AttemptHandle) -> None:
        """Start an attempt, at once or when the connection is established."""
        self.last_used_at = self.loop.now()
        client_request_id = attempt.request.client_request_id
        self.open[client_request_id] = self.unwritten[client_request_id] = OpenAttempt(
            attempt, self.last_used_at
        )
        if self.established:
            self._write_waiting()
        self.task.wake()  # its response deadline runs from now

    def _write_waiting(self) -> None:
        """Write the requests that wait, as long as the machine takes them at once."""
        while self.unwritten and not self.stream.outbox and not self.stream.is_over:
            client_request_id = next(iter(self.unwritten))
            entry = self.unwritten.pop(client_request_id)
            if not entry.attempt.may_be_written():
                self._end_unsent(client_request_id, entry)
            elif self.stream.write_if_taken(encode_attempt(entry.attempt, self.pool.clock())):
                self.stream.call_when_sent(entry.on_request_sent)
            else:
                self.unwritten = {client_request_id: entry, **self.unwritten}
                return

    def _end_unsent(self, client_request_id: str, entry: OpenAttempt) -> None:
        """End an attempt that must not be written any more."""
        if self.open.get(client_request_id) is entry:
            del self.open[client_request_id]
            self.pool.by_client_request_id.pop(client_request_id, None)
        entry.attempt.on_ended(OutcomeCode.NOT_SENT)

    def withdraw(self, client_request_id: str) -> bool:
        """Remove an attempt if not a byte of it has left; whether that was so."""
        if self.unwritten.pop(client_request_id, None) is None:
            return False
        del self.open[client_request_id]
        self.task.wake()
        return True

    def cancel(self, client_request_id: str) -> None:
        """Stop an attempt; its late responses change nothing."""
        if self.open.pop(client_request_id, None) is None:
            return
        if self.unwritten.pop(client_request_id, None) is None:
            # A second copy of this end must not reach the next attempt
            self._remember_cancelled(client_request_id)
            self.stream.write(frames.encode_stop(client_request_id))
        self.task.wake()

    def _remember_cancelled(self, client_request_id: str) -> None:
        self.cancelled_ids[client_request_id] = None
        self.retired |= len(self.cancelled_ids) > MAX_CANCELLED_IDS

    def set_priority(self, client_request_id: str, priority: int) -> None:
        """Change an attempt's priority at the engine, if it is there already."""
        if client_request_id in self.open and client_request_id not in self.unwritten:
            self.stream.write(frames.encode_priority(client_request_id, priority))

    def finish(self, client_request_id: str, outcome: OutcomeCode) -> None:
        """End an attempt with its outcome."""
        entry = self.open.pop(client_request_id)
        if outcome is not OutcomeCode.OK:
            self._remember_cancelled(client_request_id)
        self.pool.by_client_request_id.pop(client_request_id, None)
        self.last_used_at = self.loop.now()
        entry.attempt.on_ended(outcome)

    def fail_malformed(self, client_request_id: str) -> None:
        """End an attempt whose response cannot be read, and retire: the next one may be as unreadable."""
        self.retired = True
        self.finish(client_request_id, OutcomeCode.ERROR)

    # ---- the coroutine

    def _run(self) -> Generator[float | None, None, None]:
        reason, outcome = Reason.FAULT, OutcomeCode.RESET
        try:
            failure = yield from self._connect()
            if failure:
                # Where our own machine could not dial the engine is not at fault
                outcome = OutcomeCode.NOT_SENT if self.stream.is_local_failure else OutcomeCode.CONNECT_FAILED
                reason = failure
            else:
                reason = yield from self._serve()
        finally:
            self.stream.close(reason)
            self.pool.forget(self)
            for entry in list(self.open.values()):
                # A request that had not been sent completely never ran, and the engine is not at fault for it
                sent_or_dialling = entry.request_sent or not self.established
                entry.attempt.on_ended(outcome if sent_or_dialling else OutcomeCode.NOT_SENT)
            self.open.clear()
            self.unwritten.clear()

    def _connect(self) -> Generator[float | None, None, Reason | None]:
        """Wait for the dial and write what waits for it; a reason if the dial failed or is not needed."""
        while not self.stream.connected:
            if self.loop.now() >= self.dial_deadline:
                return Reason.DIAL_TIMEOUT
            if not self.open:
                return Reason.ABANDONED
            if self.stream.is_local_failure:
                yield from self._dial_again()
            elif self.stream.eof:
                return Reason.DIAL_REFUSED
            else:
                yield self.dial_deadline
        self.established = True
        self._write_waiting()
        self.liveness.on_bytes(self.loop.now(), self.decoder.partial)
        return None

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
            if self.stream.inbox and not self._read_responses():
                return Reason.MALFORMED_RESPONSE
            self._write_waiting()
            if self.stream.eof:
                return Reason.RESET if self.stream.reset else Reason.PEER_CLOSED
            deadline = self._response_deadline(UNRESPONSIVE_INTERVALS)
            if deadline and self.loop.now() >= deadline:
                return Reason.UNRESPONSIVE
            if not self.open:
                if self.retired:
                    return Reason.REPLACED
                deadline = self.last_used_at + self.pool.idle_timeout
                if self.loop.now() >= deadline:
                    return Reason.IDLE
            yield deadline

    def _read_responses(self) -> bool:
        """Handle what was read; False if the connection is of no more use."""
        self.liveness.on_bytes(self.loop.now(), self.decoder.partial)
        try:
            received = self.decoder.feed(self.stream.take_inbox())
        except frames.FrameError:
            return False
        for frame in received:
            self.responses.handle(frame)
        if received:
            self.liveness.on_frame()
        return self._end_overlong_responses()

    def _response_deadline(self, progress_intervals: float) -> float | None:
        """Until when a byte must come; None if none is due."""
        progress_wait = self.pool.progress_interval * progress_intervals
        return self.liveness.deadline(self.open.values(), self.decoder.partial, progress_wait)

    def _end_overlong_responses(self) -> bool:
        """End attempts whose response began too long ago; False if an incomplete frame did."""
        latest_start = self.liveness.latest_response_start
        for client_request_id, entry in list(self.open.items()):
            if entry.last_page_at is not None and entry.response_started_at <= latest_start:
                self.fail_malformed(client_request_id)
        return not (self.decoder.partial and self.liveness.last_frame_end_at <= latest_start)
