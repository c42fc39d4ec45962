"""Statements read by the fronts: writes under a wrong label, keys from the text, harm, death of a parser."""

import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.flight as fl
import pytest

from query_gateway.configuration.platform import (
    ConfigurationError,
    OperatorSettings,
    StatementSettings,
    operator_of,
)
from query_gateway.flight.server import FlightClass, query_of
from query_gateway.forwarder.messages import Verdict
from query_gateway.gateway import Gateway
from query_gateway.net.loop import Loop
from query_gateway.parsing.service import Classification, StatementService
from query_gateway.statements.messages import Decision, Rules
from tests.stand_ins import Engine, config, post
from tests.statements import KEYS
from tests.test_flight import Node, ask, client, command, gateway, load, options

READ = "SELECT a FROM lending_7.loans WHERE member = 42"
DELETE = "DELETE FROM lending_7.loans WHERE member = 42"
RULES = Rules(keys=KEYS)
ON = StatementSettings(RULES, covers_http=True, parser_count=1)


@pytest.fixture
def nodes() -> Iterator[tuple[Node, Node]]:
    both = Node(), Node()
    yield both
    for node in both:
        node.go_on.set()
        node.shutdown()


def ran(*nodes: Node) -> Counter[str]:
    return sum((n.ran + n.loads for n in nodes), Counter())


def held(gate: Gateway, attribute: str) -> set[Any]:
    """What the desk's exchanges hold now."""
    return {getattr(e.request, attribute) for e in list(gate.forwarder.exchanges.values())}


def test_reads_get_their_class_without_a_label(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        assert ask(gate, READ).read_all().num_rows == 3
        assert ask(gate, "SELECT a FROM lending_7.loans").read_all().num_rows == 3
        served = {name: told[Verdict.SERVED] for name, told in gate.forwarder.counters.answers.items()}
    assert served == {"lookup": 1, "report": 1, "load": 0}


def test_an_unlabelled_delete_through_doget_is_a_load_with_its_key(nodes: tuple[Node, Node]) -> None:
    for node in nodes:
        node.go_on.clear()
    with gateway(*nodes, statements=ON) as gate:
        reader = ask(gate, DELETE)
        reader.read_chunk()
        assert held(gate, "class_name") == {"load"} and held(gate, "key") == {"1dcc58982fa48171"}
        [once] = held(gate, "idempotency_key")
        assert len(once) == 32
        for node in nodes:
            node.go_on.set()
        reader.read_all()
    assert ran(*nodes) == {DELETE: 1}


@pytest.mark.parametrize("sql", [
    DELETE, "DELETE FROM lending_7.loans WHERE broken = 1", "SELECT nextval('broken')", "SELECT broken()",
    "SELECT 1; DELETE FROM broken", "WITH a AS (DELETE FROM broken RETURNING *) SELECT * FROM a",
    "SELECT '\\' broken", "INSERT INTO broken VALUES (1)",
])  # fmt: skip
@pytest.mark.parametrize("label", ["lookup", "report"])
def test_a_write_labelled_as_a_read_reaches_no_engine_on_either_front(
    nodes: tuple[Node, Node], sql: str, label: str
) -> None:
    engines = Engine(script={sql: ["error"] * 9}), Engine(script={sql: ["error"] * 9})
    with gateway(*nodes, web=engines, statements=ON) as gate:
        with pytest.raises(pa.ArrowInvalid):
            ask(gate, sql, x_class=label).read_all()
        status, body, _ = post(gate, label, sql)
        assert status == 400 and body["failure"]
        assert post(gate, label, READ)[0] == 200 and ask(gate, READ, x_class=label).read_all().num_rows == 3
    assert sql not in ran(*nodes) and not any(sql in engine.statements for engine in engines)
    for engine in engines:
        engine.close()


def test_both_fronts_mixed_send_no_labelled_write_anywhere_and_double_no_load() -> None:
    nodes, engines = (Node(), Node()), (Engine(), Engine())
    with gateway(*nodes, web=engines, statements=ON) as gate:
        told: Counter[str] = Counter()
        lock = threading.Lock()

        def one(front: str, at: int) -> None:
            read, write = READ.replace("42", str(at)), DELETE.replace("42", str(at))
            if front == "flight":
                good = ask(gate, read).read_all().num_rows == 3
                wrote = load(gate, write, f"{at:016x}") != b""
                with pytest.raises(pa.ArrowInvalid):
                    ask(gate, write, x_class="lookup").read_all()
            else:
                good = post(gate, "lookup", read)[0] == 200
                wrote = post(gate, "load", write)[0] == 200
                assert post(gate, "lookup", write)[0] == 400
            with lock:
                told.update({"read": good, "load": wrote, "refused": 1})

        threads = [threading.Thread(target=one, args=(f, n)) for n in range(12) for f in ("web", "flight")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        assert told == {"read": 24, "load": 24, "refused": 24}
    loads = sum((n.loads for n in nodes), Counter())
    web = Counter(s for e in engines for s in e.statements if s.startswith("DELETE"))
    assert set(loads.values()) == set(web.values()) == {1} and len(loads) == len(web) == 12
    for node in nodes:
        node.shutdown()
    for engine in engines:
        engine.close()


def test_two_loads_of_one_key_never_run_at_once_whatever_their_spelling(nodes: tuple[Node, Node]) -> None:
    """The clients name other keys; the text's own counts."""
    spelt = [DELETE, DELETE.replace("42", "'42'"), 'DELETE FROM "lending_7"."loans" WHERE "member" = 42.0']
    running: set[str] = set()
    most = 0
    lock = threading.Lock()

    def put(self: Node, context: Any, descriptor: Any, reader: Any, writer: Any) -> None:
        nonlocal most
        name = f"{id(context)}"
        with lock:
            running.add(name)
            most = max(most, len(running))
        time.sleep(0.05)
        with lock:
            running.discard(name)
        writer.write(pa.py_buffer(b"\x08\x05"))

    original, Node.do_put = Node.do_put, put  # type: ignore[method-assign]
    try:
        with gateway(*nodes, statements=ON) as gate:
            rows = [f"{n:016x}" for n in range(9)]
            calls = [threading.Thread(target=load, args=(gate, spelt[n % 3], rows[n])) for n in range(9)]
            for call in calls:
                call.start()
            for call in calls:
                call.join(30)
            assert gate.forwarder.counters.answers["load"][Verdict.SERVED] == 9
    finally:
        Node.do_put = original  # type: ignore[method-assign]
    assert most == 1


def test_an_update_under_a_class_that_may_run_twice_is_turned_down(nodes: tuple[Node, Node]) -> None:
    """Where nothing is read, too: the call itself says that it changes something."""
    for reading in (None, ON):
        with gateway(*nodes, statements=reading) as gate:
            meta = options(x_class="lookup")
            writer, reader = client(gate).do_put(command("CommandStatementUpdate", READ), pa.schema([]), meta)
            writer.done_writing()
            with pytest.raises(pa.ArrowInvalid):
                reader.read()
                writer.close()
    assert not ran(*nodes)


def test_a_shape_that_fails_everywhere_is_held_and_others_are_not(nodes: tuple[Node, Node]) -> None:
    third = Node()
    with gateway(*nodes, third, statements=ON) as gate:
        assert gate.statements
        broken = "SELECT broken FROM lending_7.loans WHERE member = {}"
        limits = gate.statements.classifier.limits
        for n in range(6):  # three attempts each, at engines that the module picks
            if not limits.limited_count:
                with pytest.raises(pa.ArrowInvalid, match="Overloaded"):
                    ask(gate, broken.format(n)).read_all()
        assert limits.limited_count == 1
        [digest] = limits.records
        for _ in range(20):  # as many as are let in run already
            limits.query_started(digest)
        with pytest.raises(pa.ArrowInvalid, match="run already"):
            ask(gate, broken.format(2)).read_all()
        assert ask(gate, READ).read_all().num_rows == 3
    third.shutdown()


def test_costs_are_learned_on_the_way(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        assert gate.statements
        for n in range(8):
            ask(gate, READ.replace("42", str(n))).read_all()
        costs = gate.statements.classifier.costs
        [digest] = costs.shapes
        told = costs.cost_ns(digest, "lookup", 7)
        assert told and 0 < told < 5_000_000_000
        assert costs.cost_ns(b"0" * 16, "lookup", 7) == told


class Telling(fl.ServerMiddlewareFactory):  # type: ignore[misc]
    """An engine's figures of each call, in its headers."""

    def start_call(self, info: Any, headers: Any) -> Any:
        return Figures()


class Figures(fl.ServerMiddleware):  # type: ignore[misc]
    def sending_headers(self) -> dict[str, str]:
        return {"x-work-ms": "700", "x-used-mb": "96.5"}


def test_what_an_engine_tells_of_work_and_memory_is_learned() -> None:
    node = Node(middleware={"telling": Telling()})
    with gateway(node, statements=ON) as gate:
        assert gate.statements
        for n in range(8):
            ask(gate, READ.replace("42", str(n))).read_all()
        costs = gate.statements.classifier.costs
        [digest] = costs.shapes
        assert 500_000_000 < (costs.cost_ns(digest, "lookup", 7) or 0) < 1_000_000_000
        assert 70 < costs.memory_mb(digest) < 140
    node.shutdown()


def test_a_successor_takes_over_what_was_learned(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        for n in range(8):
            ask(gate, READ.replace("42", str(n))).read_all()
        told = json.loads(json.dumps(gate.offer()[0]))
        assert gate.statements
        costs = gate.statements.classifier.costs
    legacy = told["statements"]
    loop = Loop()
    successor = StatementService(loop, RULES, ("lookup", "report"), parsers=1)
    successor.restore("", legacy)
    [digest] = costs.shapes
    usual = successor.classifier.costs.cost_ns(digest, "lookup", 7)
    successor.stop()
    loop.close()
    assert usual is not None and usual == costs.cost_ns(digest, "lookup", 7)


def test_the_gateway_lives_on_while_parsers_die(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        assert gate.statements
        assert ask(gate, READ).read_all().num_rows == 3
        for n in range(3):
            for process in list(gate.statements.supervisor.processes.values()):
                process.child.kill()
            known = READ.replace("42", str(n))  # its shape is: no parser is needed
            assert ask(gate, known).read_all().num_rows == 3
            until = time.monotonic() + 20
            while time.monotonic() < until:
                try:
                    fresh = f"SELECT b{n} FROM lending_7.loans WHERE member = 1"
                    assert ask(gate, fresh).read_all().num_rows == 3
                    break
                except pa.ArrowInvalid:  # refused while no parser is up, or lost with one
                    gate.loop.call_soon(gate.statements.supervisor.pool.quarantine.clear)
            else:
                raise AssertionError("no parser came back")


def test_a_client_that_leaves_before_its_statement_is_read_leaves_nothing(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        assert gate.statements
        statements = gate.statements
        ask(gate, READ).read_all()
        reader = client(gate)
        told = command("CommandStatementQuery", "SELECT c FROM t WHERE a = 1")
        info = reader.get_flight_info(told, options())
        original = statements.supervisor.pool.assign
        statements.supervisor.pool.assign = lambda now: []  # type: ignore[method-assign]  # nothing is read for now
        with pytest.raises(fl.FlightTimedOutError):
            reader.do_get(info.endpoints[0].ticket, options(seconds=0.2)).read_all()
        statements.supervisor.pool.assign = original  # type: ignore[method-assign]
        gate.loop.call_soon(statements.supervisor._dispatch)
        assert ask(gate, READ).read_all().num_rows == 3
        assert not gate.forwarder.exchanges
    assert "SELECT c FROM t WHERE a = 1" not in ran(*nodes)


def test_a_key_made_by_the_gateway_belongs_to_one_request() -> None:
    c = FlightClass(2, True, True, 10**10, False)
    judged = Classification(Decision("load", True, False, "0" * 16, "insert", True))
    sql = "INSERT INTO a (b) VALUES (1)"
    queries = [query_of(sql, "load", c, {}, 0, True, judged) for _ in range(2)]
    assert {q.key for q in queries} == {"0" * 16}
    assert len({q.idempotency_key for q in queries}) == 2 and {
        len(q.idempotency_key or "") for q in queries
    } == {32}
    named = query_of(sql, "load", c, {"x-txn-key": "f" * 32}, 0, True, judged)
    assert named.idempotency_key == "f" * 32


def test_new_rules_come_with_sighup_and_bad_ones_change_nothing(
    nodes: tuple[Node, Node], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The way of a real reload: the operator's file is read again, checked, and taken whole or not at all."""
    path = tmp_path / "operator.toml"
    table = '[flight]\nlisten = "127.0.0.1:0"\n[statements]\n{}\n'
    monkeypatch.setenv("MOTHKNOT_OPERATOR", str(path))
    with gateway(*nodes, statements=ON) as gate:
        gate.read_again = lambda: gate.config
        count = "SELECT count(*) FROM lending_7.loans"

        def reload(text: str) -> None:
            path.write_text(table.format(text))
            done = threading.Event()
            gate.loop.call_soon(gate.reload)
            gate.loop.call_soon(done.set)
            assert done.wait(10)

        def served() -> dict[str, int]:
            for _ in range(50):  # while the parsers start anew it is told to come back
                try:
                    ask(gate, count).read_all()
                    break
                except pa.ArrowInvalid:
                    time.sleep(0.1)
            return {name: told[Verdict.SERVED] for name, told in gate.forwarder.counters.answers.items()}

        assert served() == {"lookup": 0, "report": 1, "load": 0}
        reload('dialect = "oracle"')
        assert gate.forwarder.counters.reloads_rejected == 1 and served() == {
            "lookup": 0,
            "report": 2,
            "load": 0,
        }
        reload('load = "lookup"')
        assert gate.forwarder.counters.reloads_rejected == 2
        reload("[statements.reports]\naggregates = false\nunselective = false")
        assert gate.forwarder.counters.reloads_applied == 1 and served() == {
            "lookup": 1,
            "report": 2,
            "load": 0,
        }
        slower = replace(gate.config.settings, max_retry_after=400_000_000)
        gate.read_again = lambda: replace(gate.config, settings=slower)
        reload("")  # new settings and the first rules again, in one
        assert gate.forwarder.counters.reloads_applied == 2 and served() == {
            "lookup": 1,
            "report": 3,
            "load": 0,
        }


def test_the_figures_tell_of_statements(nodes: tuple[Node, Node]) -> None:
    with gateway(*nodes, statements=ON) as gate:
        for sql in (READ, READ, "SELECT 1; SELECT 2"):
            try:
                ask(gate, sql).read_all()
            except pa.ArrowInvalid:
                continue
        told = dict(line.rsplit(" ", 1) for line in gate.figures())
    assert told["svc_statement_hits_total"] == "1" and told["svc_statement_misses_total"] == "1"
    assert told["svc_statement_turned_down_total"] == "1" and told["svc_statement_shapes"] == "1"


@pytest.mark.parametrize("table, place", [
    ({"dialect": "oracle"}, "statements.dialect"),
    ({"lookup": "nothing"}, "statements.lookup"),
    ({"lookup": "load"}, "statements.lookup"),
    ({"load": "report"}, "statements.load"),
    ({"keys": [{"table": "a b"}]}, "statements.keys.0.table"),
    ({"keys": [{"table": "a.b"}]}, "statements.keys.0"),
    ({"keys": [{"table": "a.b", "column": "c", "whole": True}]}, "statements.keys.0"),
    ({"dialect": "mysql", "keys": [{"table": "a.b", "column": "c"}]}, "statements.keys.0"),
    ({"parsers": 0}, "statements.parsers"),
    ({"shapes": "many"}, "statements.shapes"),
    ({"reports": {"sort_rows": -1}}, "statements.reports.sort_rows"),
    ({"colour": "red"}, "statements.colour"),
])  # fmt: skip
def test_a_bad_table_is_turned_down_with_its_place(table: dict[str, Any], place: str) -> None:
    with pytest.raises(ConfigurationError) as bad:
        operator_of({"flight": {"listen": "127.0.0.1:0"}, "statements": table}, config([]))
    assert place in str(bad.value) and "\n" not in str(bad.value)


def test_a_table_that_no_front_uses_is_turned_down() -> None:
    with pytest.raises(ConfigurationError, match="no front reads statements"):
        operator_of({"statements": {}}, config([]))
    assert operator_of({"statements": {"web": True}}, config([])).statements
    assert operator_of({}, config([])) == OperatorSettings()
