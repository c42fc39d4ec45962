"""Parser processes that are slow, end or are killed; many requests at once; and the snapshot file."""

import json
import os
import signal
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from query_gateway.net.loop import Loop
from query_gateway.parsing.frames import (
    ParseRequest,
    ParseResponse,
    decode_request,
    decode_response,
    encode_frame,
    take_frame,
)
from query_gateway.parsing.parsers import (
    MAX_FAILED_STARTS,
    MAX_WAIT_S,
    MAX_WAITING,
    PARSE_TIMEOUT_S,
    QUARANTINE_S,
    ParserPool,
)
from query_gateway.parsing.service import Classification, ClassificationRequest, StatementService
from query_gateway.parsing.snapshot_store import SnapshotStore
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement, normalize
from tests.statements import KEYS
from tests.test_statements_cache import digest

RULES = Rules(keys=KEYS)


def shape(n: int = 0) -> NormalizedStatement:
    return normalize(f"SELECT a{n} FROM lending_7.loans WHERE member = 1")


def ready_pool(slot_count: int = 1) -> ParserPool:
    pool = ParserPool(slot_count)
    for slot in pool.slots:
        pool.starting(slot, 0.0)
        pool.ready(slot)
    return pool


# ---- the parser pool without processes


def test_a_request_for_a_shape_that_is_being_read_joins() -> None:
    pool, results = ready_pool(), list[ParseResult | None]()
    assert all(pool.add(shape(), 0.0, results.append) for _ in range(3))
    [slot] = pool.assign(0.0)
    pending = slot.pending
    assert pool.add(shape(), 0.1, results.append) and pool.assign(0.1) == []
    assert pending and pool.completed(slot) is pending
    assert len(pending.callbacks) == 4 and not pool.pending


def test_a_parse_beyond_its_budget_is_killed_and_rests_for_longer_each_time() -> None:
    """A parse exceeds its timeout, again and again for the same statement.

    If it were parsed at each retry of its client, it would occupy the parsers and delay all other statements.
    The parser is killed, and the statement is rejected unparsed for a quarantine time that doubles with each
    killed parser.
    """
    pool = ready_pool()
    now, durations = 0.0, []
    for _ in range(3):
        pool.add(shape(), now, lambda result: None)
        [slot] = pool.assign(now)
        pending = slot.pending
        assert pool.overdue(now + PARSE_TIMEOUT_S - 0.01) == [] and pool.overdue(
            now + PARSE_TIMEOUT_S + 0.01
        ) == [slot]
        assert pending and pool.lost(slot, "it takes too long to parse", now) is pending
        rejected = pool.quarantined(shape(), now)
        assert rejected and not rejected.is_parsed and rejected.is_write
        duration = pool.quarantine[shape().fingerprint].duration
        assert pool.quarantined(shape(), now + duration + 0.01) is None
        durations.append(duration)
        now += duration + 1
        pool.starting(slot, now)
        pool.ready(slot)
    assert durations == [QUARANTINE_S, 2 * QUARANTINE_S, 4 * QUARANTINE_S]


def test_what_waits_is_bounded_and_rejected_in_time() -> None:
    """No parser becomes ready while statements arrive.

    The queue would grow without bound, and clients would wait until their deadline. Beyond MAX_WAITING a
    statement is not accepted, and one that has waited MAX_WAIT_S is rejected so that its client can retry.
    """
    pool = ParserPool(1)  # not ready yet
    pool.starting(pool.slots[0], 0.0)
    accepted = [pool.add(shape(n), 0.0, lambda result: None) for n in range(MAX_WAITING + 10)]
    assert sum(accepted) == MAX_WAITING
    deadline = pool.next_deadline()
    assert deadline is not None and deadline <= MAX_WAIT_S
    assert len(pool.expire(MAX_WAIT_S + 0.01)) == MAX_WAITING and not pool.pending


def test_a_parser_that_never_comes_up_is_started_now_and_then_only() -> None:
    """Parser processes end before they are ready, one after the other.

    Restarted at once each time, they would occupy a core without any result. After MAX_FAILED_STARTS in a
    row each start is delayed, until a parser becomes ready.
    """
    pool = ParserPool(1)
    for _ in range(MAX_FAILED_STARTS):
        assert pool.restart_delay == 0.0
        pool.starting(pool.slots[0], 0.0)
        pool.lost(pool.slots[0], "a parser ended", 0.0)
    assert pool.restart_delay > 0
    pool.ready(pool.slots[0])
    assert pool.restart_delay == 0.0


def test_frames_survive_any_cut() -> None:
    """The socket delivers frames cut at any byte, or a frame whose length field is too large.

    A reader that expects complete frames would decode parts of them, and would wait for ever on a wrong
    length. A frame is taken only once it is complete, and a length beyond the limit is an error.
    """
    encoded = encode_frame(ParseRequest(1, ["select", "#"], 1)) + encode_frame(
        ParseResponse(2, ParseResult(True, reason="é"))
    )
    for cut in range(len(encoded) + 1):
        buffer, frames = bytearray(), []
        for part in (encoded[:cut], encoded[cut:]):
            buffer += part
            while frame := take_frame(buffer):
                frames.append(frame)
        assert (
            decode_request(frames[0]).tokens == ["select", "#"]
            and decode_response(frames[1]).request_number == 2
        )
    with pytest.raises(ValueError):
        take_frame(bytearray(b"\xff\xff\xff\xff"))


# ---- with processes


@pytest.fixture
def service() -> Iterator[StatementService]:
    loop = Loop()
    service = StatementService(loop, RULES, ("lookup", "report"), parsers=1)
    yield service
    service.stop()
    loop.close()
    assert loop.faults == 0


def classify(service: StatementService, sql: str, requested_class: str | None = None) -> Classification:
    """Classifies one statement. Retries, as a client would, while there is no decision."""
    for _ in range(100):
        answers: list[Classification] = []
        service.classify(ClassificationRequest(sql, requested_class), answers.append)
        while not answers:
            service.loop.turn()
        if answers[0].decision is not None:
            return answers[0]
    raise AssertionError("no answer")


def class_of(classification: Classification) -> str | None:
    assert classification.decision
    return classification.decision.class_name


READ = "SELECT due FROM lending_7.loans WHERE member = 42"


def test_a_miss_is_read_elsewhere_and_a_hit_at_once(service: StatementService) -> None:
    assert class_of(classify(service, READ)) == "lookup"
    answers: list[Classification] = []
    service.classify(ClassificationRequest(READ.replace("42", "43")), answers.append)
    assert answers and class_of(answers[0]) == "lookup"
    assert service.classifier.shapes.hits >= 1


def test_a_parser_that_is_killed_costs_its_own_shape_a_while_and_no_other(service: StatementService) -> None:
    """A parser process hangs in a parse; the test stops it with SIGSTOP.

    All statements queued behind it would wait for it. The process is killed after the timeout and replaced;
    the statement that it parsed is in quarantine, other shapes are classified as before.
    """
    assert class_of(classify(service, READ)) == "lookup"
    process = service.supervisor.processes[0]
    os.kill(process.child.pid, signal.SIGSTOP)  # as unresponsive as in an endless parse
    timed_out = classify(service, "SELECT title FROM lending_7.loans WHERE member = 42")
    assert (
        timed_out.decision and not timed_out.decision.is_accepted and "too long" in timed_out.decision.reason
    )
    assert service.supervisor.pool.timed_out_count == 1
    assert class_of(classify(service, "SELECT copy FROM lending_7.loans WHERE member = 42")) == "lookup"
    assert class_of(classify(service, READ)) == "lookup"
    quarantined = classify(service, "SELECT title FROM lending_7.loans WHERE member = 42")
    assert quarantined.decision and not quarantined.decision.is_accepted
    service.supervisor.pool.quarantine.clear()  # instead of waiting until it ends
    assert class_of(classify(service, "SELECT title FROM lending_7.loans WHERE member = 42")) == "lookup"


def test_a_parser_that_dies_is_replaced(service: StatementService) -> None:
    """A parser process is killed from outside.

    The gateway would reject every new shape if it kept the dead process. The end of its socket is noticed,
    and another process takes its place.
    """
    assert class_of(classify(service, READ)) == "lookup"
    service.supervisor.processes[0].child.kill()
    assert class_of(classify(service, "SELECT copy FROM lending_7.loans WHERE member = 42")) in (
        "lookup",
        None,
    )
    assert class_of(classify(service, "SELECT title FROM lending_7.loans WHERE member = 42")) == "lookup"


def test_a_crowd_that_asks_for_one_shape_is_answered_together(service: StatementService) -> None:
    classify(service, READ)
    answers: list[Classification] = []
    for n in range(50):
        text = f"SELECT copy FROM lending_7.loans WHERE member = {n}"
        service.classify(ClassificationRequest(text), answers.append)
    while len(answers) < 50:
        service.loop.turn()
    assert {class_of(answer) for answer in answers} == {"lookup"}
    assert len({answer.fingerprint for answer in answers}) == 1


def test_new_rules_are_read_by_from_then_on(service: StatementService) -> None:
    assert class_of(classify(service, READ)) == "lookup"
    service.update_rules(Rules(keys=KEYS, lookup="quick"), ("quick", "report"))
    assert class_of(classify(service, READ)) == "quick"
    service.update_rules(service.classifier.rules, ("report",))
    classification = classify(service, READ)
    assert classification.decision and not classification.decision.is_idempotent


EXPENSIVE_STATEMENTS = [
    "SELECT " + "(" * 31 + "1" + ")" * 31,
    "SELECT " + "CASE WHEN 1 = 1 THEN " * 30 + "1" + " END" * 30,
    "SELECT " + " + ".join("a" for _ in range(900)),
    "SELECT " + " AND ".join(f"a = {n}" for n in range(450)) + " FROM lending_7.loans",
    "SELECT " + "NOT " * 1_900 + "a",
    "SELECT " + "- " * 1_900 + "1",
    "SELECT * FROM " + ", ".join(f"t{n}" for n in range(900)),
    "SELECT 1 " + "UNION ALL SELECT 1 " * 600,
    "SELECT a FROM t WHERE x IN (" + ", ".join(f"{n}, b" for n in range(480)) + ")",
    "WITH " + ", ".join(f"c{n} AS (SELECT 1)" for n in range(250)) + " SELECT 1",
    "SELECT " + "f(a, " * 30 + "1" + ")" * 30,
    "SELECT a" + "::int" * 900,
    "SELECT a" + " -> 'b'" * 900,
    "SELECT a" + "[1]" * 480,
    "SELECT '" + "x" * 16_000 + "'",
    "SELECT " + "a." * 900 + "a",
]


@pytest.mark.parametrize(
    "sql", EXPENSIVE_STATEMENTS, ids=[str(number) for number in range(len(EXPENSIVE_STATEMENTS))]
)
def test_a_statement_built_to_be_slow_is_answered_and_the_next_one_too(
    service: StatementService, sql: str
) -> None:
    """A client sends a statement that is built to make a parser slow, deep or large.

    Parsed on the loop, it would block all requests. In a parser process, it is classified or rejected within
    the parse timeout, and the next statement is classified as usual.
    """
    assert classify(service, sql).decision is not None
    assert class_of(classify(service, READ)) == "lookup"


# ---- the snapshot file


FIXTURES = Path(__file__).parent / "fixtures"  # its README describes how the files were made
STORED_SNAPSHOT = FIXTURES / "statement-costs.snapshot"


def test_a_snapshot_of_the_version_before_gives_the_same_estimates() -> None:
    expected = json.loads((FIXTURES / "statement-costs.estimates.json").read_text())
    costs = CostEstimates()
    assert costs.restore(SnapshotStore(str(STORED_SNAPSHOT)).load())
    assert len(expected["costs"]) == 210 and len(expected["needs"]) == 14
    for number, class_name, table_group, cost_ns in expected["costs"]:
        assert costs.cost_ns(digest(number), class_name, table_group) == cost_ns
    for number, memory_mb in expected["needs"]:
        assert costs.memory_mb(digest(number)) == memory_mb


def test_the_same_contents_are_written_as_the_version_before_wrote_them(tmp_path: Path) -> None:
    costs = CostEstimates()
    assert costs.restore(SnapshotStore(str(STORED_SNAPSHOT)).load())
    rewritten = SnapshotStore(str(tmp_path / "costs"))
    assert rewritten.save(costs.snapshot())
    assert rewritten.path.read_bytes() == STORED_SNAPSHOT.read_bytes()


def test_the_same_outcomes_are_stored_as_the_version_before_stored_them(tmp_path: Path) -> None:
    random, costs = Random(20), CostEstimates()
    for n in range(12):
        for _ in range(3 + 3 * n):
            run_time_ns = int((n + 1) * 8_000_000 * random.lognormvariate(0, 0.3))
            class_name, group = "report" if n % 4 == 0 else "lookup", None if n % 5 == 0 else n % 3
            costs.observe(digest(n), class_name, group, run_time_ns, 1.5 * n)
    store = SnapshotStore(str(tmp_path / "costs"))
    assert store.save(costs.snapshot()) and store.path.read_bytes() == STORED_SNAPSHOT.read_bytes()


def test_a_file_is_whole_or_counts_as_none(tmp_path: Path) -> None:
    """A snapshot file is cut at any byte, or one bit in it has changed.

    Estimates restored from such a file could be wrong for any shape. Length and digest are checked, so a
    damaged file counts as absent, and the next save replaces it.
    """
    store = SnapshotStore(str(tmp_path / "costs"))
    assert store.load() is None
    assert store.save({"a": 1}) and store.load() == {"a": 1}
    complete = store.path.read_bytes()
    for position in range(len(complete)):
        store.path.write_bytes(complete[:position])
        assert store.load() is None
        flipped = bytes([complete[position] ^ 1])
        store.path.write_bytes(complete[:position] + flipped + complete[position + 1 :])
        assert store.load() in (None, {"a": 1})
    assert store.save({"a": 2}) and store.load() == {"a": 2}
    assert list(tmp_path.iterdir()) == [store.path]


def test_a_disk_that_fails_costs_the_snapshot_alone(tmp_path: Path) -> None:
    """The folder of the snapshot does not exist.

    An error raised by the periodic save would count as a fault of the loop. The save returns False, and the
    gateway goes on without a stored snapshot.
    """
    assert not SnapshotStore(str(tmp_path / "missing" / "costs")).save({"a": 1})


def test_what_was_learned_outlives_a_restart(tmp_path: Path) -> None:
    path, costs = str(tmp_path / "costs"), []
    for _ in range(2):
        loop = Loop()
        service = StatementService(loop, RULES, ("lookup", "report"), parsers=1)
        service.restore(path)
        costs.append(service.classifier.costs.cost_ns(shape().fingerprint, "lookup", 7))
        for _ in range(10):
            service.classifier.costs.observe(shape().fingerprint, "lookup", 7, 50_000_000)
        service.stop()
        loop.close()
    assert costs[0] is None and costs[1] and 30_000_000 < costs[1] < 80_000_000
