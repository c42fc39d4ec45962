"""Per-key ordering: the queries of each key in arrival order, and the keys in quarantine."""

from dataclasses import dataclass, field

from query_gateway.model.records import QueryState


@dataclass(slots=True)
class KeyQueues:
    """A FIFO queue for each key, with the queries of the classes that run one at a time per key.

    Entries of `quarantined_until` stay after they expire; the next quarantine of the key overwrites them.
    """

    queues: dict[str, list[QueryState]] = field(default_factory=dict)
    quarantined_until: dict[str, int] = field(default_factory=dict)  # by key: clock time, nanoseconds

    def add(self, key: str, query: QueryState) -> None:
        """Append a query to the queue of its key."""
        self.queues.setdefault(key, []).append(query)

    def remove(self, query: QueryState) -> None:
        """Remove a query from the queue of its key, if any; an empty queue is deleted."""
        key = query.request.key
        if key in self.queues:
            self.queues[key] = [other for other in self.queues[key] if other is not query]
            if not self.queues[key]:
                del self.queues[key]
