"""Writes the requests of a connection's attempts, each as late as possible.

A request in an output buffer cannot be taken back, and the time budget in it gets out of date. So none is
encoded before the machine takes its first byte at once; until then its attempt may be withdrawn, and as the
byte is about to leave the attempt is asked whether it may still be sent (`AttemptHandle.may_be_written`).
"""

from collections.abc import Callable

from query_gateway.engine_protocol.attempt_table import AttemptTable
from query_gateway.engine_protocol.open_attempt import OpenAttempt, encode_attempt
from query_gateway.model.events import OutcomeCode
from query_gateway.net.stream import Stream


class RequestWriter:
    """Writes what waits in an attempt table."""

    def __init__(
        self, attempts: AttemptTable, clock: Callable[[], int], on_attempt_ended: Callable[[str], None]
    ) -> None:
        """`clock` gives nanoseconds; `on_attempt_ended` gets the id of an attempt that must not be sent."""
        self.attempts = attempts
        self.clock = clock
        self.on_attempt_ended = on_attempt_ended

    def write_waiting(self, stream: Stream) -> None:
        """Write the requests that wait, the oldest first, as long as the machine takes them at once."""
        attempts = self.attempts
        while attempts.unwritten and not stream.outbox and not stream.is_over:
            entry = attempts.take_unwritten()
            if not entry.attempt.may_be_written():
                self._end_unsent(entry)
            elif stream.try_write(encode_attempt(entry.attempt, self.clock())):
                stream.call_when_sent(entry.on_request_sent)
            else:
                attempts.put_back(entry)
                return

    def _end_unsent(self, entry: OpenAttempt) -> None:
        """End an attempt that must not be written any more."""
        if self.attempts.open.get(entry.client_request_id) is entry:
            self.attempts.remove(entry.client_request_id, may_respond=False)
            self.on_attempt_ended(entry.client_request_id)
        entry.attempt.on_ended(OutcomeCode.NOT_SENT)
