"""Reads distinguished from writes: a corpus, mutations of it, and a comparison with what SQLite executes."""

import re
import sqlite3

from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.lexer import tokenize
from query_gateway.statements.normalizer import normalize
from tests.statements import LocalClassifier, classifiers_by_dialect, corpus

WHOLE = classifiers_by_dialect()
WRITES = [*corpus("writes"), *((dialect, line.split("|", 1)[1]) for dialect, line in corpus("loads"))]
READS = [
    (dialect, sql, class_name)
    for class_name in ("lookup", "report")
    for dialect, sql in corpus(f"{class_name}s")
]
DERANDOMIZED = settings(derandomize=True, deadline=None, max_examples=600)

COMMENTS = ["", " ", "\n", "\t ", " /* desk */ ", " -- so\n", " /* DELETE FROM x; */ "]


def test_the_corpus_is_large_and_no_write_in_it_may_run_twice() -> None:
    assert len(set(WRITES)) + len(READS) >= 400
    for dialect, sql in WRITES:
        decision = WHOLE[dialect].judge(sql)
        assert decision.is_write and not decision.is_idempotent, (dialect, sql, decision)


def test_what_is_turned_down_says_why() -> None:
    for dialect, sql in corpus("writes"):
        decision = WHOLE[dialect].judge(sql)
        assert not decision.is_accepted and decision.class_name is None and decision.reason, (
            dialect,
            sql,
            decision,
        )


def test_reads_come_into_their_class() -> None:
    misclassified = [
        (dialect, sql)
        for dialect, sql, class_name in READS
        if WHOLE[dialect].judge(sql).class_name != class_name
    ]
    assert len(misclassified) <= 0.03 * len(READS), misclassified


def test_loads_get_the_key_that_they_touch() -> None:
    for dialect, line in corpus("loads"):
        value, _, sql = line.partition("|")
        decision = WHOLE[dialect].judge(sql)
        plain = WHOLE[dialect].judge(f"DELETE FROM lending_1.loans WHERE member = '{value}'")
        assert decision.class_name == "load" and decision.key == plain.key and decision.key, (
            dialect,
            sql,
            decision,
        )


# ---- mutations


def pieces(sql: str) -> list[str] | None:
    try:
        return tokenize(sql)
    except UnsupportedStatementError:
        return None


def respelled(draw: st.DrawFn, tokens: list[str]) -> str:
    """The same tokens with other comments and white space between them, other case and other literals."""
    parts: list[str] = []
    for token in tokens:
        if token[0].isalpha() and token[-1] != "'":
            token = draw(st.sampled_from([token, token.upper(), token.lower(), token.title()]))
        elif token[0] == "'" and draw(st.integers(0, 9)) == 0:
            token = draw(st.sampled_from(["''", "'it''s'", "'; DELETE FROM x'", "'/*'", "'--'", token]))
        parts += [token, draw(st.sampled_from(COMMENTS[1:])) if parts or token else ""]
    return "".join(parts)


@st.composite
def mutated_writes(draw: st.DrawFn) -> tuple[str, str]:
    dialect, sql = draw(st.sampled_from(WRITES))
    tokens = pieces(sql)
    if tokens and draw(st.booleans()):
        sql = respelled(draw, tokens)
    statement = sql.rstrip("; \n")
    template = draw(st.sampled_from([
        "{}", "({})", "WITH a AS (SELECT 1) {}", "WITH a AS ({}) SELECT * FROM a", "SELECT * FROM ({}) AS x",
        "EXPLAIN ANALYZE {}", "EXPLAIN (ANALYZE) {}", "SELECT 1; {}", "{}; SELECT 1", "SELECT 1 UNION {}",
        "SELECT 1 WHERE EXISTS ({})", "{} UNION ALL SELECT 1", "/* SELECT */ {}", "-- SELECT 1\n{}",
        "SELECT ({})", "SELECT * FROM lending_7.loans WHERE member IN ({})",
    ]))  # fmt: skip
    if tokens and len(tokens) < 3:
        template = "{}"  # a single word in parentheses is a column name, which writes nothing
    return dialect, template.format(statement)


@given(mutated_writes())
@settings(derandomize=True, deadline=None, max_examples=1_500)
def test_no_mutation_of_a_write_may_run_twice(case: tuple[str, str]) -> None:
    dialect, sql = case
    told = WHOLE[dialect].judge(sql)
    assert not told.is_idempotent, (sql, told)


@st.composite
def mutated_reads(draw: st.DrawFn) -> tuple[str, str, str, str]:
    dialect, sql, class_name = draw(st.sampled_from([read for read in READS if pieces(read[1])]))
    tokens = pieces(sql)
    assert tokens
    return dialect, sql, class_name, respelled(draw, tokens)


@given(mutated_reads())
@DERANDOMIZED
def test_reads_keep_their_class_and_shape_however_they_are_spelt(case: tuple[str, str, str, str]) -> None:
    dialect, plain, cls, sql = case
    told = WHOLE[dialect].judge(sql)
    assert told.class_name == cls, (sql, told)
    assert normalize(sql).fingerprint == normalize(plain).fingerprint


# ---- a cache hit agrees with a full parse


def full_parse(classifier: LocalClassifier, sql: str) -> tuple[bool, bool, bool, str]:
    """The parse result of a text with its own literals, without the key.

    A key is located by the numbered literals that replace the real ones in the text of a shape.
    """
    result = classifier.reader.read(classifier.classifier.normalize(sql), sql)
    return result.is_write, result.is_report, result.is_parsed, result.verb


@st.composite
def any_statement(draw: st.DrawFn) -> tuple[str, str]:
    dialect, sql = draw(st.sampled_from([*WRITES, *((d, s) for d, s, _ in READS)]))
    numbers = st.sampled_from(["0", "1", "7", "999", "1000", "1001", "1e9", "3.5", "7000001"])
    text = re.sub(r"(?<![\w$.'])\d+(?![\w.'])", lambda _: draw(numbers), sql)
    texts = ["'x'", "'s1'", "'$.a'", "''"]
    text = re.sub(r"'[\w .%-]*'", lambda m: draw(st.sampled_from([m.group(), *texts])), text)
    return dialect, text


@given(any_statement())
@settings(derandomize=True, deadline=None, max_examples=1_500)
def test_a_hit_says_what_a_full_parse_of_that_very_text_says(case: tuple[str, str]) -> None:
    dialect, sql = case
    whole = WHOLE[dialect]
    if pieces(sql) is None or re.match(r"\W*explain", sql, re.I):
        return
    try:
        shape = whole.classifier.normalize(sql)
    except UnsupportedStatementError:
        return
    plan = (
        whole.classifier.cached(shape) or whole.classifier.learn(shape, whole.reader.read(shape))
    ).parse_result
    told = plan.is_write, plan.is_report, plan.is_parsed, plan.verb
    assert told == full_parse(whole, sql), sql


# ---- comparison with an engine that executes the statements

WRITE_ACTION_NAME = (
    r"SQLITE_(CREATE|DROP|ALTER|INSERT|UPDATE|DELETE|ATTACH|DETACH|PRAGMA|TRANSACTION|REINDEX)"
)
WRITING = {getattr(sqlite3, name) for name in dir(sqlite3) if re.match(WRITE_ACTION_NAME, name)}


def engine() -> sqlite3.Connection:
    database = sqlite3.connect(":memory:", isolation_level=None)
    database.execute("ATTACH ':memory:' AS lending_7")
    database.execute(
        "CREATE TABLE lending_7.loans"
        " (id INTEGER PRIMARY KEY, member, title, due, renewed, UNIQUE (member, title))"
    )
    database.execute("CREATE TABLE lending_7.titles (id INTEGER PRIMARY KEY, title, author, year, copies)")
    rows = [(member, title) for member in range(5) for title in range(3)]
    database.executemany("INSERT INTO lending_7.loans (member, title, due) VALUES (?, ?, 1)", rows)
    return database


INSERTED_WORDS = """
select from where and or not in exists union all ( ) , , * = < 1 2 'x' lending_7.loans lending_7.titles
l member title due id delete insert into update set values with a as limit order by group returning replace
drop table pragma begin ; -- /* */ explain case when then end count max is null having distinct join on
"""


@st.composite
def altered_statements(draw: st.DrawFn) -> str:
    reads = [s for d, s, _ in READS if d == "sqlite"]
    sql = draw(st.sampled_from(reads + [s for d, s in WRITES if d == "sqlite"]))
    words = sql.split(" ")
    for _ in range(draw(st.integers(0, 3))):
        at = draw(st.integers(0, len(words)))
        words[at : at + draw(st.integers(0, 1))] = draw(
            st.lists(st.sampled_from(INSERTED_WORDS.split()), max_size=3)
        )
    return " ".join(words)


@given(altered_statements())
@settings(derandomize=True, deadline=None, max_examples=1_500)
def test_sqlite_writes_nothing_for_what_counts_as_a_read(sql: str) -> None:
    told = WHOLE["sqlite"].judge(sql)
    if told.is_write:
        return
    db = engine()
    asked: list[int] = []

    def noted(action: int, *_: object) -> int:
        asked.append(action)
        return sqlite3.SQLITE_OK

    db.set_authorizer(noted)
    try:
        db.execute(sql).fetchall()
    except (sqlite3.Error, sqlite3.Warning):
        pass
    finally:
        db.set_authorizer(None)
        db.close()
    assert not WRITING & set(asked), sql
