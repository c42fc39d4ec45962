"""Merges the requests of a key that arrive through several forwarders into arrival order.

Each forwarder passes its own requests on in arrival order, but an earlier request may still be unread at
another forwarder. A request therefore waits until all other forwarders have replied that they have passed on
every request that arrived before it. A forwarder that disconnects is not waited for.

Input:   requests with a key, and the replies of forwarders
Result:  requests of which the planner may be notified, those of a key in arrival order
"""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from query_gateway.model.events import Request

Forwarder = TypeVar("Forwarder")


@dataclass(slots=True)
class _WaitingRequest(Generic[Forwarder]):
    forwarder: Forwarder
    request: Request
    waits_for: set[Forwarder]  # forwarders that have not replied yet


class ArrivalMerge(Generic[Forwarder]):
    """Holds the requests that wait for replies. Any hashable value may denote a forwarder."""

    def __init__(
        self, send_query: Callable[[Forwarder, Request], None], on_released: Callable[[Request], None]
    ) -> None:
        """`send_query` asks a forwarder to reply once it has passed on all requests before the given one."""
        self.send_query = send_query
        self.on_released = on_released
        self._entries: dict[int, _WaitingRequest[Forwarder]] = {}  # by request id

    def add(self, forwarder: Forwarder, request: Request, others: Collection[Forwarder]) -> None:
        """Add a request that `forwarder` has passed on; `others` are the other connected forwarders."""
        self._entries[request.request_id] = _WaitingRequest(forwarder, request, set(others))
        for other in others:
            self.send_query(other, request)
        self._release()

    def on_reply(self, forwarder: Forwarder, request_id: int) -> None:
        """Record that a forwarder has passed on all requests before the given one."""
        if entry := self._entries.get(request_id):
            entry.waits_for.discard(forwarder)
            self._release()

    def remove(self, request_id: int) -> None:
        """Remove a request that has ended; does nothing if it is not waiting."""
        if self._entries.pop(request_id, None):
            self._release()

    def on_disconnected(self, forwarder: Forwarder) -> None:
        """Remove the requests of a forwarder, and stop waiting for its replies."""
        self._entries = {key: entry for key, entry in self._entries.items() if entry.forwarder != forwarder}
        for entry in self._entries.values():
            entry.waits_for.discard(forwarder)
        self._release()

    def _release(self) -> None:
        for entry in list(self._releasable()):
            del self._entries[entry.request.request_id]
            self.on_released(entry.request)

    def _releasable(self) -> Iterator[_WaitingRequest[Forwarder]]:
        """The entries that have all replies and follow no earlier entry of their key that lacks a reply."""
        blocked_keys = set[str | None]()
        for entry in sorted(self._entries.values(), key=lambda entry: entry.request.received_at):
            key = entry.request.key
            if entry.waits_for:
                blocked_keys.add(key)
            elif key not in blocked_keys:
                yield entry
