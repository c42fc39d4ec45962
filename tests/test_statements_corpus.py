"""Reads and writes told apart: over a corpus, over mutations of it, and against what SQLite really does."""

import re
import sqlite3

from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.lexer import tokenize
from query_gateway.statements.normalizer import normalize
from tests.statements import LocalClassifier, corpus, in_dialects

WHOLE = in_dialects()
WRITES = [*corpus("writes"), *((d, rest.split("|", 1)[1]) for d, rest in corpus("loads"))]
READS = [(d, sql, cls) for cls in ("lookup", "report") for d, sql in corpus(f"{cls}s")]
DERANDOMIZED = settings(derandomize=True, deadline=None, max_examples=600)

COMMENTS = ["", " ", "\n", "\t ", " /* desk */ ", " -- so\n", " /* DELETE FROM x; */ "]


def test_the_corpus_is_large_and_no_write_in_it_may_run_twice() -> None:
    assert len(set(WRITES)) + len(READS) >= 400
    for dialect, sql in WRITES:
        told = WHOLE[dialect].judge(sql)
        assert told.is_write and not told.is_idempotent, (dialect, sql, told)


def test_what_is_turned_down_says_why() -> None:
    for dialect, sql in corpus("writes"):
        told = WHOLE[dialect].judge(sql)
        assert not told.is_accepted and told.class_name is None and told.reason, (dialect, sql, told)


def test_reads_come_into_their_class() -> None:
    wrong = [(d, sql) for d, sql, cls in READS if WHOLE[d].judge(sql).class_name != cls]
    assert len(wrong) <= 0.03 * len(READS), wrong


def test_loads_get_the_key_that_they_touch() -> None:
    for dialect, line in corpus("loads"):
        value, _, sql = line.partition("|")
        told = WHOLE[dialect].judge(sql)
        plain = WHOLE[dialect].judge(f"DELETE FROM lending_1.loans WHERE member = '{value}'")
        assert told.class_name == "load" and told.key == plain.key and told.key, (dialect, sql, told)


# ---- mutations


def pieces(sql: str) -> list[str] | None:
    try:
        return tokenize(sql)
    except UnsupportedStatementError:
        return None


def respelled(draw: st.DrawFn, found: list[str]) -> str:
    """The same tokens with other comments, spaces and case between and in them, and other literals."""
    out: list[str] = []
    for token in found:
        if token[0].isalpha() and token[-1] != "'":
            token = draw(st.sampled_from([token, token.upper(), token.lower(), token.title()]))
        elif token[0] == "'" and draw(st.integers(0, 9)) == 0:
            token = draw(st.sampled_from(["''", "'it''s'", "'; DELETE FROM x'", "'/*'", "'--'", token]))
        out += [token, draw(st.sampled_from(COMMENTS[1:])) if out or token else ""]
    return "".join(out)


@st.composite
def mutated_writes(draw: st.DrawFn) -> tuple[str, str]:
    dialect, sql = draw(st.sampled_from(WRITES))
    found = pieces(sql)
    if found and draw(st.booleans()):
        sql = respelled(draw, found)
    plain = sql.rstrip("; \n")
    around = draw(st.sampled_from([
        "{}", "({})", "WITH a AS (SELECT 1) {}", "WITH a AS ({}) SELECT * FROM a", "SELECT * FROM ({}) AS x",
        "EXPLAIN ANALYZE {}", "EXPLAIN (ANALYZE) {}", "SELECT 1; {}", "{}; SELECT 1", "SELECT 1 UNION {}",
        "SELECT 1 WHERE EXISTS ({})", "{} UNION ALL SELECT 1", "/* SELECT */ {}", "-- SELECT 1\n{}",
        "SELECT ({})", "SELECT * FROM lending_7.loans WHERE member IN ({})",
    ]))  # fmt: skip
    if found and len(found) < 3:
        around = "{}"  # a lone word in parentheses is the name of a column, which writes nothing
    return dialect, around.format(plain)


@given(mutated_writes())
@settings(derandomize=True, deadline=None, max_examples=1_500)
def test_no_mutation_of_a_write_may_run_twice(case: tuple[str, str]) -> None:
    dialect, sql = case
    told = WHOLE[dialect].judge(sql)
    assert not told.is_idempotent, (sql, told)


@st.composite
def mutated_reads(draw: st.DrawFn) -> tuple[str, str, str, str]:
    dialect, sql, cls = draw(st.sampled_from([r for r in READS if pieces(r[1])]))
    found = pieces(sql)
    assert found
    return dialect, sql, cls, respelled(draw, found)


@given(mutated_reads())
@DERANDOMIZED
def test_reads_keep_their_class_and_shape_however_they_are_spelt(case: tuple[str, str, str, str]) -> None:
    dialect, plain, cls, sql = case
    told = WHOLE[dialect].judge(sql)
    assert told.class_name == cls, (sql, told)
    assert normalize(sql).fingerprint == normalize(plain).fingerprint


# ---- a hit never says what a full parse would not


def full_parse(whole: LocalClassifier, sql: str) -> tuple[bool, bool, bool, str]:
    """What the text's own tree says; only where its key stands is told by slots, which it has none of."""
    plan = whole.reader.read(whole.classifier.normalize(sql), sql)
    return plan.is_write, plan.is_report, plan.is_parsed, plan.verb


@st.composite
def any_statement(draw: st.DrawFn) -> tuple[str, str]:
    dialect, sql = draw(st.sampled_from([*WRITES, *((d, s) for d, s, _ in READS)]))
    numbers = st.sampled_from(["0", "1", "7", "999", "1000", "1001", "1e9", "3.5", "7000001"])
    out = re.sub(r"(?<![\w$.'])\d+(?![\w.'])", lambda _: draw(numbers), sql)
    texts = ["'x'", "'s1'", "'$.a'", "''"]
    out = re.sub(r"'[\w .%-]*'", lambda m: draw(st.sampled_from([m.group(), *texts])), out)
    return dialect, out


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


# ---- against an engine that really runs them

WRITES_OF = r"SQLITE_(CREATE|DROP|ALTER|INSERT|UPDATE|DELETE|ATTACH|DETACH|PRAGMA|TRANSACTION|REINDEX)"
WRITING = {getattr(sqlite3, name) for name in dir(sqlite3) if re.match(WRITES_OF, name)}


def engine() -> sqlite3.Connection:
    db = sqlite3.connect(":memory:", isolation_level=None)
    db.execute("ATTACH ':memory:' AS lending_7")
    db.execute(
        "CREATE TABLE lending_7.loans"
        " (id INTEGER PRIMARY KEY, member, title, due, renewed, UNIQUE (member, title))"
    )
    db.execute("CREATE TABLE lending_7.titles (id INTEGER PRIMARY KEY, title, author, year, copies)")
    rows = [(member, title) for member in range(5) for title in range(3)]
    db.executemany("INSERT INTO lending_7.loans (member, title, due) VALUES (?, ?, 1)", rows)
    return db


SOUP = """
select from where and or not in exists union all ( ) , , * = < 1 2 'x' lending_7.loans lending_7.titles
l member title due id delete insert into update set values with a as limit order by group returning replace
drop table pragma begin ; -- /* */ explain case when then end count max is null having distinct join on
"""


@st.composite
def soups(draw: st.DrawFn) -> str:
    reads = [s for d, s, _ in READS if d == "sqlite"]
    sql = draw(st.sampled_from(reads + [s for d, s in WRITES if d == "sqlite"]))
    words = sql.split(" ")
    for _ in range(draw(st.integers(0, 3))):
        at = draw(st.integers(0, len(words)))
        words[at : at + draw(st.integers(0, 1))] = draw(st.lists(st.sampled_from(SOUP.split()), max_size=3))
    return " ".join(words)


@given(soups())
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
