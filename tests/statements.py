"""What the tests of statements share: the corpus, and a classifier that parses in this process."""

from collections.abc import Iterator
from pathlib import Path

from query_gateway.statements.classifier import Classifier, rejected_decision
from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.messages import Decision, KeyRule, Rules
from query_gateway.statements.reader import DIALECTS, Reader

CORPUS = Path(__file__).parent / "corpus"
KEYS = (KeyRule("lending_*.loans", "member"),)


class LocalClassifier:
    """A classifier with its reader beside it, for one dialect."""

    def __init__(self, rules: Rules, capacity: int = 10_000) -> None:
        self.classifier = Classifier(rules, capacity=capacity)
        self.reader = Reader(rules)

    def judge(self, sql: str, named: str | None = None, key: str | None = None, *bound: object) -> Decision:
        try:
            shape = self.classifier.normalize(sql)
        except UnsupportedStatementError as why:
            return rejected_decision(why)
        known = self.classifier.cached(shape) or self.classifier.learn(shape, self.reader.read(shape))
        return self.classifier.decide(known, shape, named, key, bound)


def in_dialects(**more: object) -> dict[str, LocalClassifier]:
    return {
        dialect: LocalClassifier(Rules(dialect=dialect, keys=KEYS, **more))  # type: ignore[arg-type]
        for dialect in DIALECTS
    }


def corpus(name: str) -> Iterator[tuple[str, str]]:
    """Dialect and the rest of each line; a line for `any` comes once for each dialect."""
    for line in (CORPUS / f"{name}.sql").read_text().splitlines():
        dialect, _, rest = line.partition("|")
        for one in DIALECTS if dialect == "any" else (dialect,):
            yield one, rest
