"""What has happened since the process started, counted where it happens."""

from dataclasses import dataclass, field

from query_gateway.forwarder.messages import Verdict


@dataclass(slots=True)
class Counters:
    """`answers` has a line for every class there ever was here: one that is dropped keeps its figures."""

    answers: dict[str, dict[Verdict, int]] = field(default_factory=dict)
    forwards: int = 0  # attempts written whole to engines
    reloads_applied: int = 0  # configurations taken at SIGHUP
    reloads_rejected: int = 0  # and turned down

    def add_class(self, class_name: str) -> None:
        self.answers.setdefault(class_name, dict.fromkeys(Verdict, 0))

    def count_answer(self, class_name: str, verdict: Verdict) -> None:
        self.add_class(class_name)
        self.answers[class_name][verdict] += 1

    def total(self, verdict: Verdict) -> int:
        return sum(counts[verdict] for counts in self.answers.values())
