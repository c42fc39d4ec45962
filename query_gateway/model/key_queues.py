"""Per-key ordering: the queries of a key in the order of their arrival, and the keys in quarantine."""

from dataclasses import dataclass, field

from query_gateway.model.records import QueryState


@dataclass(slots=True)
class KeyQueues:
    """A first-in, first-out queue for each key of a class whose queries run one at a time.

    `quarantined_until` keeps its entries after their end; a later quarantine of the key replaces the entry.
    """

    queues: dict[str, list[QueryState]] = field(default_factory=dict)
    quarantined_until: dict[str, int] = field(default_factory=dict)  # by key: clock time, nanoseconds

    def add(self, key: str, query: QueryState) -> None:
        """Put a query at the end of its key's queue."""
        self.queues.setdefault(key, []).append(query)

    def remove(self, query: QueryState) -> None:
        """Take a query out of its key's queue, if it stands in one; an empty queue goes."""
        key = query.request.key
        if key in self.queues:
            self.queues[key] = [other for other in self.queues[key] if other is not query]
            if not self.queues[key]:
                del self.queues[key]
