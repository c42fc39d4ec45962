"""The attempts in flight on one connection, from their assignment to the connection until their end.

    unwritten --take_unwritten, and the request is written--> written
    unwritten --withdraw or cancel: the attempt has not run-> removed
    unwritten --remove: it may no longer be written---------> removed
    written --remove: the result is complete----------------> removed
    written --cancel, or remove with `may_respond`----------> removed, but its id is kept

After a removal the table keeps the id of an attempt if late responses to it may still arrive.
"""

from typing import Final

from query_gateway.engine_protocol.open_attempt import OpenAttempt
from query_gateway.forwarder.messages import AttemptHandle

MAX_ENDED_IDS: Final = 4_096  # per connection


class AttemptTable:
    """Attempts by client request id, which identifies them to the engine; oldest first."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.open: dict[str, OpenAttempt] = {}
        # Attempts of which no byte has been written. A request contains the client's remaining time, which
        # would be too long after a wait in a buffer, so the request is encoded right before it is sent
        self.unwritten: dict[str, OpenAttempt] = {}
        self.responding: dict[str, OpenAttempt] = {}  # attempts whose response has begun
        # Ids of attempts that ended without a complete result. A late response would be attributed to the
        # next attempt with the same id, so the next attempt uses another connection
        self.ended_ids: dict[str, None] = {}

    @property
    def exceeds_ended_id_limit(self) -> bool:
        """Whether the table keeps more ids of ended attempts than `MAX_ENDED_IDS`."""
        return len(self.ended_ids) > MAX_ENDED_IDS

    def is_unused(self, client_request_id: str) -> bool:
        """Whether no attempt with this id is in flight, and no late response to one may still arrive."""
        return client_request_id not in self.open and client_request_id not in self.ended_ids

    def add(self, attempt: AttemptHandle, now: float) -> None:
        """Add an attempt as unwritten."""
        client_request_id = attempt.request.client_request_id
        entry = OpenAttempt(attempt, client_request_id, now)
        self.open[client_request_id] = self.unwritten[client_request_id] = entry

    def take_unwritten(self) -> OpenAttempt:
        """Return the oldest unwritten attempt, and mark it as being written."""
        return self.unwritten.pop(next(iter(self.unwritten)))

    def put_back(self, entry: OpenAttempt) -> None:
        """Mark an attempt as the oldest unwritten one again, as no byte of it could be written."""
        self.unwritten = {entry.client_request_id: entry, **self.unwritten}

    def note_response(self, entry: OpenAttempt, now: float) -> None:
        """Record that the response to an attempt began at loop time `now`."""
        entry.on_response_started(now)
        self.responding[entry.client_request_id] = entry

    def withdraw(self, client_request_id: str) -> bool:
        """Remove an attempt if it is unwritten; return whether it was."""
        if self.unwritten.pop(client_request_id, None) is None:
            return False
        del self.open[client_request_id]
        return True

    def cancel(self, client_request_id: str) -> bool:
        """Remove an attempt; return whether the engine may have received it and must be told to stop it."""
        if self.open.pop(client_request_id, None) is None:
            return False
        self.responding.pop(client_request_id, None)
        if self.unwritten.pop(client_request_id, None) is not None:
            return False
        self.ended_ids[client_request_id] = None
        return True

    def remove(self, client_request_id: str, may_respond: bool) -> OpenAttempt:
        """Remove an attempt that is in flight; `may_respond`: late responses to it may still arrive."""
        entry = self.open.pop(client_request_id)
        self.responding.pop(client_request_id, None)
        if may_respond:
            self.ended_ids[client_request_id] = None
        return entry

    def clear(self) -> list[OpenAttempt]:
        """Remove and return all attempts in flight, when the connection ends."""
        entries = list(self.open.values())
        self.open.clear()
        self.unwritten.clear()
        self.responding.clear()
        return entries
