"""Event counters since the process started, incremented where the events occur."""

from dataclasses import dataclass, field

from query_gateway.forwarder.messages import EarlyRejection, Verdict


@dataclass(slots=True)
class Counters:
    """The counters of one process, which the admin server exports.

    `answers` has an entry for every class that was ever configured: a retired class keeps its counts.
    """

    answers: dict[str, dict[Verdict, int]] = field(default_factory=dict)
    early_rejections: dict[EarlyRejection, int] = field(
        default_factory=lambda: dict.fromkeys(EarlyRejection, 0)
    )
    forwards: int = 0  # attempts completely written to an engine
    reloads_applied: int = 0  # configuration reloads that took effect
    reloads_rejected: int = 0  # configuration reloads that were rejected

    def add_class(self, class_name: str) -> None:
        """Add a class with zero counts; no effect if it exists."""
        self.answers.setdefault(class_name, dict.fromkeys(Verdict, 0))

    def count_answer(self, class_name: str, verdict: Verdict) -> None:
        """Count a final answer to a request of a class."""
        self.add_class(class_name)
        self.answers[class_name][verdict] += 1

    def total(self, verdict: Verdict) -> int:
        """The number of answers with this verdict over all classes."""
        return sum(counts[verdict] for counts in self.answers.values())
