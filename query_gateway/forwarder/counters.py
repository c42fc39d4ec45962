"""What has happened since the process started, counted where it happens."""

from dataclasses import dataclass, field

from query_gateway.forwarder.messages import EarlyRejection, Verdict


@dataclass(slots=True)
class Counters:
    """The counters of one process; the admin server renders them.

    `answers` has an entry for every class that was ever configured: a class that is removed keeps its counts.
    """

    answers: dict[str, dict[Verdict, int]] = field(default_factory=dict)
    early_rejections: dict[EarlyRejection, int] = field(
        default_factory=lambda: dict.fromkeys(EarlyRejection, 0)
    )
    forwards: int = 0  # attempts written completely to engines
    reloads_applied: int = 0  # configuration reloads that took effect
    reloads_rejected: int = 0  # and those that were not accepted

    def add_class(self, class_name: str) -> None:
        """Add a class with no answers yet; one that is there keeps its counts."""
        self.answers.setdefault(class_name, dict.fromkeys(Verdict, 0))

    def count_answer(self, class_name: str, verdict: Verdict) -> None:
        """Count one final answer to a request of a class."""
        self.add_class(class_name)
        self.answers[class_name][verdict] += 1

    def total(self, verdict: Verdict) -> int:
        """The number of answers with a verdict, over all classes."""
        return sum(counts[verdict] for counts in self.answers.values())
