"""Per-key ordering: the queries of a key in the order of their arrival, and the quarantine of keys."""

from dataclasses import dataclass, field

from query_gateway.model.records import QueryState


@dataclass(slots=True)
class KeyQueues:
    """A first-in, first-out queue for each key of a class whose queries run one at a time."""

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

    def is_next(self, query: QueryState, now: int) -> bool:
        """Whether a query may run by its key: as the first, and its first attempt not in quarantine.

        One that is not ordered by its key always may.
        """
        if not query.is_key_ordered:
            return True
        key = query.request.key or ""
        released = query.attempt_count > 0 or now >= self.quarantined_until.get(key, 0)
        return self.queues[key][0] is query and released

    def quarantine(self, query: QueryState, until: int) -> None:
        """Hold up the next query of a key until a clock time: an attempt of this one may still run."""
        if query.request.key and query.settings.ordered_by_key:
            self.quarantined_until[query.request.key] = until

    def weight_lost_behind(self, query: QueryState, now: int) -> float:
        """Weight that those behind the first of a key lose if it runs now; 0 if `query` is not the first."""
        queue = self.queues[query.request.key or ""]
        ahead, lost = 0.0, 0.0
        for other in queue[1:] if queue and queue[0] is query else ():
            slack = other.due_at - now - other.run_time - ahead
            lost += other.priority_weight * (1 - other.settings.late_weight) * (0 < slack <= query.run_time)
            ahead += other.run_time * (slack > 0)
        return lost
