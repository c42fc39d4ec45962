"""Arrival merge: the requests of a key that come by several forwarders, in the order of their arrival.

Each forwarder passes its own requests on in that order, but an earlier one may still be unread at another. So
a request waits until all other forwarders have replied that they have passed on whatever came before it. A
forwarder that disconnects is not waited for.

Inputs  requests with a key, and the replies of forwarders
Answer  the requests that the planner may be notified of, those of a key by their arrival
"""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from query_gateway.model.events import Request

Forwarder = TypeVar("Forwarder")


@dataclass(slots=True)
class _Entry(Generic[Forwarder]):
    forwarder: Forwarder
    request: Request
    waits_for: set[Forwarder]  # those whose reply is missing


class ArrivalMerge(Generic[Forwarder]):
    """The requests that wait for replies; knows no connection."""

    def __init__(
        self, query: Callable[[Forwarder, Request], None], on_released: Callable[[Request], None]
    ) -> None:
        """`query` asks a forwarder to reply once it has passed on all that came before a request."""
        self.query = query
        self.on_released = on_released
        self._entries: dict[int, _Entry[Forwarder]] = {}  # by request id

    def add(self, forwarder: Forwarder, request: Request, others: Collection[Forwarder]) -> None:
        """Take a request that a forwarder has passed on; `others` are those that are connected beside it."""
        self._entries[request.request_id] = _Entry(forwarder, request, set(others))
        for other in others:
            self.query(other, request)
        self._release()

    def on_reply(self, forwarder: Forwarder, request_id: int) -> None:
        """A forwarder has passed on all that came before a request."""
        if entry := self._entries.get(request_id):
            entry.waits_for.discard(forwarder)
            self._release()

    def remove(self, request_id: int) -> None:
        """Forget a request that has ended; harmless if it does not wait."""
        if self._entries.pop(request_id, None):
            self._release()

    def on_disconnected(self, forwarder: Forwarder) -> None:
        """Forget a forwarder's requests, and wait for its replies no longer."""
        self._entries = {key: entry for key, entry in self._entries.items() if entry.forwarder != forwarder}
        for entry in self._entries.values():
            entry.waits_for.discard(forwarder)
        self._release()

    def _release(self) -> None:
        for entry in list(self._due()):
            del self._entries[entry.request.request_id]
            self.on_released(entry.request)

    def _due(self) -> Iterator[_Entry[Forwarder]]:
        """Those with all replies, behind no earlier one of their key that lacks one."""
        blocked_keys = set[str | None]()
        for entry in sorted(self._entries.values(), key=lambda entry: entry.request.received_at):
            key = entry.request.key
            if entry.waits_for:
                blocked_keys.add(key)
            elif key not in blocked_keys:
                yield entry
