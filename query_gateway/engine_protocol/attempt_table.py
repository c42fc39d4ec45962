"""The attempts in flight on one connection, from their assignment until their end.

    unwritten --take_unwritten, then written------------> written
    unwritten --withdraw: it never ran------------------> removed
    written --remove: its result is complete------------> removed
    written --cancel, or remove with `may_respond`------> removed, but its id is kept

The id of an attempt is kept on its connection as long as late responses to it may still come.
"""

from typing import Final

from query_gateway.engine_protocol.open_attempt import OpenAttempt
from query_gateway.forwarder.messages import AttemptHandle

MAX_ENDED_IDS: Final = 4_096  # that one connection keeps


class AttemptTable:
    """Attempts by the client's request id, which engines know them by, the oldest first."""

    def __init__(self) -> None:
        """Begin without attempts."""
        self.open: dict[str, OpenAttempt] = {}
        # Those of which nothing has been written. A request is encoded as it leaves: the time that its client
        # still waits is part of it, and would be too long after a wait in a buffer
        self.unwritten: dict[str, OpenAttempt] = {}
        self.responding: dict[str, OpenAttempt] = {}  # those whose response has begun
        # Attempts that ended without a complete result. A late response would count for the next attempt
        # under the same id, so that one uses another connection
        self.ended_ids: dict[str, None] = {}

    @property
    def is_full_of_ended_ids(self) -> bool:
        """Whether more ids are kept than a connection may have."""
        return len(self.ended_ids) > MAX_ENDED_IDS

    def is_unused(self, client_request_id: str) -> bool:
        """Whether no attempt under this id is in flight, and no response to an earlier one may still come."""
        return client_request_id not in self.open and client_request_id not in self.ended_ids

    def add(self, attempt: AttemptHandle, now: float) -> None:
        """Take an attempt, of which nothing has been written."""
        client_request_id = attempt.request.client_request_id
        entry = OpenAttempt(attempt, client_request_id, now)
        self.open[client_request_id] = self.unwritten[client_request_id] = entry

    def take_unwritten(self) -> OpenAttempt:
        """The oldest attempt that is unwritten, which now counts as being written."""
        return self.unwritten.pop(next(iter(self.unwritten)))

    def put_back(self, entry: OpenAttempt) -> None:
        """Nothing of the attempt was written after all: it is the oldest unwritten one again."""
        self.unwritten = {entry.client_request_id: entry, **self.unwritten}

    def note_response(self, entry: OpenAttempt, now: float) -> None:
        """Note that the response to an attempt has begun, at a loop time."""
        entry.on_response_started(now)
        self.responding[entry.client_request_id] = entry

    def withdraw(self, client_request_id: str) -> bool:
        """Remove an attempt if it is unwritten; whether that was so."""
        if self.unwritten.pop(client_request_id, None) is None:
            return False
        del self.open[client_request_id]
        return True

    def cancel(self, client_request_id: str) -> bool:
        """Remove an attempt; whether its engine may have it and has to be notified of that."""
        if self.open.pop(client_request_id, None) is None:
            return False
        self.responding.pop(client_request_id, None)
        if self.unwritten.pop(client_request_id, None) is not None:
            return False
        self.ended_ids[client_request_id] = None
        return True

    def remove(self, client_request_id: str, may_respond: bool) -> OpenAttempt:
        """Remove an attempt that is in flight; `may_respond`: late responses to it may still come."""
        entry = self.open.pop(client_request_id)
        self.responding.pop(client_request_id, None)
        if may_respond:
            self.ended_ids[client_request_id] = None
        return entry

    def clear(self) -> list[OpenAttempt]:
        """Remove and return all attempts in flight, as their connection ends."""
        entries = list(self.open.values())
        self.open.clear()
        self.unwritten.clear()
        self.responding.clear()
        return entries
