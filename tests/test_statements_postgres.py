"""Statements classified as reads, checked with PostgreSQL's own grammar (by way of pglast)."""

import re
from typing import Any

import pglast
from hypothesis import given, settings
from hypothesis import strategies as st
from pglast import ast
from pglast.visitors import Visitor

from query_gateway.statements import purity
from tests.test_statements_corpus import READS, WHOLE, WRITES

POSTGRES = WHOLE["postgres"]
INSERTED_WORDS = """
select from where and or not in exists union all ( ) , , * = < > 1 2 'x' lending_7.loans
lending_7.titles l member title due id delete insert into update set values with a as limit order by
group returning for share of nowait table ; -- /* */ explain analyze case when then end count( max(
close_day( nextval( "setval"( is null having distinct join on lateral over partition window w fetch
first rows only tablesample materialized recursive call do copy to program execute prepare lock begin
commit truncate merge using matched cast :: int text [ ] -> ->> || ::regclass ? $1 :a $$ ' " --x
current_date user session_user for update nothing conflict offset using ilike similar escape between
collate
"""

# The functions that the grammar substitutes for AT TIME ZONE, LIKE ... ESCAPE and similar syntax
SYNTAX_FUNCTIONS = {"timezone", "like_escape", "similar_to_escape", "overlaps", "extract", "normalize"}


class EffectsVisitor(Visitor):
    """Collects the nodes of a parsed statement that may write, and the functions that it calls."""

    def __init__(self) -> None:
        super().__init__()
        self.writes: list[str] = []
        self.calls: list[str] = []

    def visit_IntoClause(self, _: Any, node: Any) -> None:  # noqa: N802 - pglast sets the name
        self.writes.append("INTO")

    def visit_LockingClause(self, _: Any, node: Any) -> None:  # noqa: N802 - pglast sets the name
        self.writes.append("lock")

    def visit_InsertStmt(self, _: Any, node: Any) -> None:  # noqa: N802 - pglast sets the name
        self.writes.append("DML")

    visit_UpdateStmt = visit_DeleteStmt = visit_MergeStmt = visit_InsertStmt  # noqa: N815 - as above

    def visit_FuncCall(self, _: Any, node: Any) -> None:  # noqa: N802 - pglast sets the name
        self.calls.append(".".join(part.sval for part in node.funcname).lower())


def possible_writes(sql: str) -> list[str] | None:
    """The reasons why the statement may write in PostgreSQL; None if its grammar rejects the text."""
    try:
        statements = pglast.parse_sql(sql)
    except pglast.parser.ParseError:
        return None
    reasons: list[str] = [] if len(statements) == 1 else ["not one statement"]
    for statement in statements:
        inner = statement.stmt.query if isinstance(statement.stmt, ast.ExplainStmt) else statement.stmt
        if not isinstance(inner, ast.SelectStmt):
            reasons.append(type(inner).__name__)
        visitor = EffectsVisitor()
        visitor(statement)
        reasons += visitor.writes
        pure_functions = purity.PURE_FUNCTIONS | SYNTAX_FUNCTIONS
        reasons += [call for call in visitor.calls if call.removeprefix("pg_catalog.") not in pure_functions]
    return reasons


def check(sql: str) -> bool:
    decision = POSTGRES.judge(sql)
    if decision.is_write:
        return False
    assert not possible_writes(sql), (sql, possible_writes(sql))
    return True


def test_the_corpus_agrees_with_the_grammar() -> None:
    reads = [sql for d, sql, _ in READS if d == "postgres"]
    assert sum(possible_writes(sql) == [] for sql in reads) >= 0.9 * len(reads)
    assert sum(bool(possible_writes(sql)) for d, sql in WRITES if d == "postgres") > 100
    assert all(check(sql) for sql in reads)


@st.composite
def altered_statements(draw: st.DrawFn) -> str:
    known = [sql for d, sql, _ in READS if d == "postgres"] + [sql for d, sql in WRITES if d == "postgres"]
    sql = draw(st.sampled_from(known))
    parts = re.split(r"( |,|\(|\))", sql)
    for _ in range(draw(st.integers(1, 4))):
        position = draw(st.integers(0, len(parts)))
        donor = draw(st.sampled_from(known)).split(" ")
        start = draw(st.integers(0, len(donor)))
        inserted = " ".join(donor[start : start + draw(st.integers(0, 8))])
        if draw(st.booleans()):
            inserted = " ".join(draw(st.lists(st.sampled_from(INSERTED_WORDS.split()), max_size=4)))
        parts[position : position + draw(st.integers(0, 3))] = [" ", inserted, " "]
    return "".join(parts)


@given(altered_statements())
@settings(derandomize=True, deadline=None, max_examples=2_000)
def test_postgres_knows_no_write_in_what_counts_as_a_read(sql: str) -> None:
    check(sql)
