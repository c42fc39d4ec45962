"""Shared by the statement tests: the corpus, and a classifier that parses in the test process."""

from collections.abc import Iterator
from pathlib import Path

from query_gateway.statements.classifier import Classifier, rejected_decision
from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.messages import ClientTerms, Decision, KeyRule, Rules
from query_gateway.statements.reader import DIALECTS, Reader

CORPUS = Path(__file__).parent / "corpus"
KEYS = (KeyRule("lending_*.loans", "member"),)


class LocalClassifier:
    """A classifier and its reader in one process, for one dialect."""

    def __init__(self, rules: Rules, capacity: int = 10_000) -> None:
        self.classifier = Classifier(rules, capacity=capacity)
        self.reader = Reader(rules)

    def judge(
        self,
        sql: str,
        requested_class: str | None = None,
        requested_key: str | None = None,
        *parameters: object,
    ) -> Decision:
        try:
            shape = self.classifier.normalize(sql)
        except UnsupportedStatementError as error:
            return rejected_decision(error)
        cached = self.classifier.cached(shape) or self.classifier.learn(shape, self.reader.read(shape))
        return self.classifier.decide(cached, shape, ClientTerms(requested_class, requested_key, parameters))


def classifiers_by_dialect(**rules: object) -> dict[str, LocalClassifier]:
    return {
        dialect: LocalClassifier(Rules(dialect=dialect, keys=KEYS, **rules))  # type: ignore[arg-type]
        for dialect in DIALECTS
    }


def corpus(name: str) -> Iterator[tuple[str, str]]:
    """Yield the dialect and the remaining text of each line of a corpus file; `any` yields every dialect."""
    for line in (CORPUS / f"{name}.sql").read_text().splitlines():
        dialect, _, rest = line.partition("|")
        for line_dialect in DIALECTS if dialect == "any" else (dialect,):
            yield line_dialect, rest
