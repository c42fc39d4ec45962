"""Writes the requests of a connection's attempts, each as late as possible.

A request in an output buffer cannot be withdrawn, and its time budget becomes outdated. Therefore a request
is encoded for each try to write it, and buffered only once the kernel has accepted its first byte. Until then
its attempt can be withdrawn, and right before each try `AttemptHandle.may_be_written` decides whether the
request may still be sent.
"""

from collections.abc import Callable

from query_gateway.engine_protocol.attempt_table import AttemptTable
from query_gateway.engine_protocol.open_attempt import OpenAttempt, encode_attempt
from query_gateway.model.events import OutcomeCode
from query_gateway.net.stream import Stream


class RequestWriter:
    """Writes the unwritten requests of an attempt table."""

    def __init__(
        self, attempts: AttemptTable, clock: Callable[[], int], on_attempt_ended: Callable[[str], None]
    ) -> None:
        """`clock` returns nanoseconds; `on_attempt_ended` gets the id of an attempt that may not be sent."""
        self.attempts = attempts
        self.clock = clock
        self.on_attempt_ended = on_attempt_ended

    def write_waiting(self, stream: Stream) -> None:
        """Write the waiting requests, oldest first, as long as the kernel accepts them at once."""
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
        """End an attempt that may no longer be written."""
        if self.attempts.open.get(entry.client_request_id) is entry:
            self.attempts.remove(entry.client_request_id, may_respond=False)
            self.on_attempt_ended(entry.client_request_id)
        entry.attempt.on_ended(OutcomeCode.NOT_SENT)
