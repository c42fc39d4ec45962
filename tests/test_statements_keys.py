"""Keys of loads: loads that write one value of the key column get one key, however the value is spelt."""

import sqlite3

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.statements.messages import KeyRule, Rules
from tests.statements import KEYS, LocalClassifier, classifiers_by_dialect
from tests.test_statements_corpus import engine

WHOLE = classifiers_by_dialect()
POSTGRES = WHOLE["postgres"]


def key(sql: str, classifier: LocalClassifier = POSTGRES, *parameters: object) -> str | None:
    return classifier.judge(sql, None, None, *parameters).key


DELETE = "DELETE FROM lending_7.loans WHERE member = "


@pytest.mark.parametrize("spelt", [
    "42", "'42'", "' 42 '", "042", "42.0", "4.2e1", "'42.00'", "+42", "CAST(42 AS BIGINT)", "'42'::int",
    "CAST('42' AS TEXT)", "(42)", "- - 42", "\'\uff14\uff12\'",
])  # fmt: skip
def test_one_value_has_one_key_however_it_is_spelt(spelt: str) -> None:
    decision = POSTGRES.judge(DELETE + spelt)
    assert decision.key in (key(DELETE + "42"), None)
    assert (
        decision.key
        or "whole" in decision.reason
        or "predicate" in decision.reason
        or "sign" in decision.reason
    )


@pytest.mark.parametrize("one, other", [
    ("'abc'", "'ABC'"), ("'abc'", "'abc  '"), ("'Kagi\u0161o'", "'kagiso'"), ("'stra\u00dfe'", "'STRASSE'"),
    ("'e\u0301'", "'\u00e9'"),
])  # fmt: skip
def test_texts_that_some_collation_holds_equal_share_a_key(one: str, other: str) -> None:
    assert key(DELETE + one) == key(DELETE + other) is not None


def test_other_values_have_other_keys() -> None:
    keys = {key(f"{DELETE}{n}") for n in range(2_000)}
    assert len(keys) == 2_000 and all(k and len(k) == 16 and int(k, 16) >= 0 for k in keys)


def test_a_key_is_the_same_on_every_gateway_and_day() -> None:
    assert key(DELETE + "42") == "1dcc58982fa48171"


def test_a_rule_by_text_takes_no_numbers_and_one_by_integer_no_texts() -> None:
    text = LocalClassifier(Rules(dialect="mysql", keys=(KeyRule("lending_*.loans", "member", "text"),)))
    number = LocalClassifier(Rules(dialect="mysql", keys=(KeyRule("lending_*.loans", "member", "integer"),)))
    assert key(DELETE + "'042'", text) != key(DELETE + "'42'", text)
    assert key(DELETE + "42", text) is None and key(DELETE + "'42x'", number) is None
    assert key(DELETE + "CAST(42 AS TEXT)", text) in (None, key(DELETE + "'42'", text))
    assert key(DELETE + "'042'", number) == key(DELETE + "42", number)


def test_a_whole_table_runs_under_one_key_without_exception() -> None:
    rules = (KeyRule("lending_*.titles"), KeyRule("lending_*.*", "member"))
    classifier = LocalClassifier(Rules(keys=rules))
    keys = {
        key(sql, classifier)
        for sql in (
            "DELETE FROM lending_7.titles", "UPDATE lending_7.titles SET member = 3 WHERE member = 2",
            "INSERT INTO lending_7.titles VALUES (1), (2)", "DELETE FROM titles WHERE member = 42",
            "INSERT INTO lending_7.titles SELECT * FROM lending_7.loans",
        )
    }  # fmt: skip
    assert len(keys) == 1 and None not in keys
    assert key("DELETE FROM lending_7.loans WHERE member = 1", classifier) not in keys


def test_a_table_under_two_rules_is_turned_down() -> None:
    classifier = LocalClassifier(
        Rules(keys=(KeyRule("lending_*.loans", "member"), KeyRule("*.loans", "title")))
    )
    assert "several key rules" in classifier.judge(DELETE + "42").reason


def test_parameters_count_by_their_values() -> None:
    assert key(DELETE + "?", POSTGRES, 42) == key(DELETE + "$1", POSTGRES, "42") == key(DELETE + "42")
    assert key(DELETE + "? AND title = ?", POSTGRES, 42, 7) == key(DELETE + "42")
    assert key(DELETE + "$2", POSTGRES, 1, 42) == key(DELETE + "42")
    for parameters in ((), (None,), (True,), (4.5,), (b"42",)):
        assert key(DELETE + "?", POSTGRES, *parameters) is None


def test_a_client_s_own_key_counts_only_where_no_rule_speaks_of_the_table() -> None:
    client_key = "0" * 16
    assert POSTGRES.judge(DELETE + "42", "load", client_key).key == key(DELETE + "42")
    assert POSTGRES.judge("DELETE FROM lending_7.fines WHERE id = 1", "load", client_key).key == client_key
    unproven = "DELETE FROM lending_7.fines WHERE f(id) = 1"
    for sql in ("DELETE FROM lending_7.loans", "CALL close_day()", unproven):
        assert not POSTGRES.judge(sql, "load", client_key).is_accepted
    assert not POSTGRES.judge("DELETE FROM lending_7.fines WHERE id = 1", None, client_key).is_accepted


def test_a_write_under_a_safe_class_is_refused_or_runs_as_a_load() -> None:
    decision = POSTGRES.judge(DELETE + "42", "lookup")
    assert not decision.is_accepted and "lookup" in decision.reason
    as_load = LocalClassifier(Rules(keys=KEYS, mismatch="load"))
    decision = as_load.judge(DELETE + "42", "lookup")
    assert (
        decision.is_accepted
        and decision.class_name == "load"
        and not decision.is_idempotent
        and decision.key == key(DELETE + "42")
    )
    assert not LocalClassifier(Rules(keys=KEYS, load=None)).judge(DELETE + "42").is_accepted


# ---- the key of a statement compared with the rows that SQLite changes

VALUES = st.sampled_from(
    ["0", "1", "2", "'1'", "01", "1.0", "9", "'9'", "NULL", "1.5", "(SELECT 1)", "title", "-1", "- 1"]
)
LISTS = st.lists(VALUES, min_size=1, max_size=3).map(", ".join)
CONDITIONS = st.one_of(
    VALUES.map(lambda v: f"member = {v}"), VALUES.map(lambda v: f"{v} = loans.member"),
    LISTS.map(lambda v: f"member IN ({v})"), VALUES.map(lambda v: f"title = {v}"),
    VALUES.map(lambda v: f"(member = {v})"),
    st.sampled_from(["1 = 1", "member > 1", "NOT member = 1", "member = 1 = 0"]),
)  # fmt: skip
JOINS = st.sampled_from(["AND", "OR", "= 0 AND"])
WHERES = st.recursive(CONDITIONS, lambda w: st.tuples(w, JOINS, w).map(" ".join), max_leaves=3)
SETS = st.one_of(
    st.just("due = 2"), VALUES.map(lambda v: f"member = {v}"), VALUES.map(lambda v: f"due = 3, member = {v}"),
    VALUES.map(lambda v: f'due = {v}'), VALUES.map(lambda v: f'"Member" = {v}'),
)  # fmt: skip
UPSERT = " ON CONFLICT ({}) DO UPDATE SET due = 9"
CONFLICTS = st.sampled_from(
    ["", " ON CONFLICT DO NOTHING", UPSERT.format("member, title"), UPSERT.format("id")]
)
ROWS = st.lists(st.tuples(VALUES, VALUES), min_size=1, max_size=3)
LOADS = st.one_of(
    st.builds("DELETE FROM lending_7.loans WHERE {}".format, WHERES),
    st.builds("UPDATE lending_7.loans SET {} WHERE {}".format, SETS, WHERES),
    st.builds("UPDATE lending_7.loans AS l SET due = 7 WHERE {}".format, WHERES),
    st.builds(
        lambda verb, rows, more: f"{verb} INTO lending_7.loans (member, id) VALUES "
        + ", ".join(f"({a}, {b})" for a, b in rows) + more,
        st.sampled_from(["INSERT", "INSERT OR REPLACE", "INSERT OR IGNORE", "REPLACE"]), ROWS, CONFLICTS,
    ),
    st.builds(
        "INSERT INTO lending_7.loans (title, member) SELECT {}, {} FROM lending_7.loans WHERE {}".format,
        VALUES, VALUES, WHERES,
    ),
    st.builds("INSERT INTO lending_7.loans (title, member) SELECT *, {} FROM (SELECT 5)".format, VALUES),
)  # fmt: skip


def touched(sql: str) -> set[object] | None:
    """The `member` values, old and new, of the rows that a load changes; None if SQLite rejects the load."""
    database = engine()
    try:
        before = set(database.execute("SELECT * FROM lending_7.loans").fetchall())
        database.execute(sql)
        after = set(database.execute("SELECT * FROM lending_7.loans").fetchall())
    except (sqlite3.Error, sqlite3.Warning):
        return None
    finally:
        database.close()
    return {row[1] for row in before ^ after}


@given(LOADS)
@settings(derandomize=True, deadline=None, max_examples=2_500)
def test_a_keyed_load_touches_rows_of_its_key_alone(sql: str) -> None:
    sqlite = WHOLE["sqlite"]
    told = sqlite.judge(sql)
    members = touched(sql) if told.is_accepted else None
    for member in members or ():
        assert key(f"{DELETE}{member!r}", sqlite) == told.key, (sql, members, told)


def test_the_generated_loads_are_no_idle_exercise() -> None:
    """The test above would pass without a check if no generated statement were accepted or changed a row.

    At least 40 of the 400 generated statements must be accepted and change rows.
    """
    found: list[str] = []

    @given(LOADS)
    @settings(derandomize=True, deadline=None, max_examples=400, database=None)
    def collect(sql: str) -> None:
        if WHOLE["sqlite"].judge(sql).is_accepted and touched(sql):
            found.append(sql)

    collect()
    assert len(found) >= 40
