"""What the tests of statements share: the corpus, and a classifier that parses in this process."""

from collections.abc import Iterator
from pathlib import Path

from query_gateway.statements.classifier import Classifier, turned_down
from query_gateway.statements.lexer import Unclear
from query_gateway.statements.messages import Judgement, KeyRule, Rules
from query_gateway.statements.reader import DIALECTS, Reader

CORPUS = Path(__file__).parent / "corpus"
KEYS = (KeyRule("lending_*.loans", "member"),)


class Whole:
    """A classifier with its reader beside it, for one dialect."""

    def __init__(self, rules: Rules, room: int = 10_000) -> None:
        self.classifier = Classifier(rules, room=room)
        self.reader = Reader(rules)

    def judge(self, sql: str, named: str | None = None, key: str | None = None, *bound: object) -> Judgement:
        try:
            shape = self.classifier.shape(sql)
        except Unclear as why:
            return turned_down(why)
        known = self.classifier.known(shape) or self.classifier.learn(shape, self.reader.read(shape))
        return self.classifier.judge(known, shape, named, key, bound)


def in_dialects(**more: object) -> dict[str, Whole]:
    return {d: Whole(Rules(dialect=d, keys=KEYS, **more)) for d in DIALECTS}  # type: ignore[arg-type]


def corpus(name: str) -> Iterator[tuple[str, str]]:
    """Dialect and the rest of each line; a line for `any` comes once for each dialect."""
    for line in (CORPUS / f"{name}.sql").read_text().splitlines():
        dialect, _, rest = line.partition("|")
        for one in DIALECTS if dialect == "any" else (dialect,):
            yield one, rest
