"""Statements parsed by the gateway: mislabelled writes, keys from the text, limits, parsers that end."""

import contextlib
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

from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import (
    OperatorSettings,
    StatementSettings,
    parse_operator_settings,
)
from query_gateway.configuration.settings_parser import parse_settings
from query_gateway.flight.messages import FlightMethod
from query_gateway.flight.requests import FlightStatement, decode_request
from query_gateway.forwarder.messages import RequestClass, Verdict
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.upgrade_messages import encode
from query_gateway.net.loop import Loop
from query_gateway.parsing.service import Classification, StatementService
from query_gateway.statements.messages import Decision, Rules
from tests.flight_client import FlightTestClient, call_headers, encode_ticket
from tests.stand_ins import SETTINGS, Engine, config, flatten_settings, post
from tests.statements import KEYS
from tests.test_flight import FlightEngine, client, command, gateway, options, run_query, run_update
from tests.test_local import until

READ = "SELECT a FROM lending_7.loans WHERE member = 42"
DELETE = "DELETE FROM lending_7.loans WHERE member = 42"
RULES = Rules(keys=KEYS)
ON = StatementSettings(RULES, covers_http=True, parser_count=1)
EnginePair = tuple[FlightEngine, FlightEngine]


@pytest.fixture
def flight_engines() -> Iterator[EnginePair]:
    engines = FlightEngine(), FlightEngine()
    yield engines
    for engine in engines:
        engine.may_continue.set()
        engine.shutdown()


def executed_statements(*flight_engines: FlightEngine) -> Counter[str]:
    return sum((engine.ran + engine.loads for engine in flight_engines), Counter())


def values_in_flight(gate: Gateway, attribute: str) -> set[Any]:
    """The values of an attribute over all requests in flight in the forwarder."""
    return {getattr(exchange.request, attribute) for exchange in list(gate.forwarder.exchanges.values())}


def test_reads_get_their_class_without_a_label(flight_engines: EnginePair) -> None:
    with gateway(*flight_engines, statements=ON) as gate:
        assert run_query(gate, READ).read_all().num_rows == 3
        assert run_query(gate, "SELECT a FROM lending_7.loans").read_all().num_rows == 3
        served = {name: answers[Verdict.SERVED] for name, answers in gate.forwarder.counters.answers.items()}
    assert served == {"lookup": 1, "report": 1, "load": 0}


def test_unlabelled_delete_through_doget_runs_as_a_load_with_its_key(
    flight_engines: EnginePair,
) -> None:
    for engine in flight_engines:
        engine.may_continue.clear()
    with gateway(*flight_engines, statements=ON) as gate:
        reader = run_query(gate, DELETE)
        reader.read_chunk()
        assert values_in_flight(gate, "class_name") == {"load"} and values_in_flight(gate, "key") == {
            "1dcc58982fa48171"
        }
        [idempotency_key] = values_in_flight(gate, "idempotency_key")
        assert len(idempotency_key) == 32
        for engine in flight_engines:
            engine.may_continue.set()
        reader.read_all()
    assert executed_statements(*flight_engines) == {DELETE: 1}


@pytest.mark.parametrize("sql", [
    DELETE, "DELETE FROM lending_7.loans WHERE broken = 1", "SELECT nextval('broken')", "SELECT broken()",
    "SELECT 1; DELETE FROM broken", "WITH a AS (DELETE FROM broken RETURNING *) SELECT * FROM a",
    "SELECT '\\' broken", "INSERT INTO broken VALUES (1)",
])  # fmt: skip
@pytest.mark.parametrize("label", ["lookup", "report"])
def test_write_labelled_as_a_read_reaches_no_engine_over_http_or_flight(
    flight_engines: EnginePair, sql: str, label: str
) -> None:
    """A client sends a statement that writes, or that cannot be classified, under a class of reads.

    Requests of such a class may run twice, so the write could be applied twice. The statement is rejected
    before it is forwarded, on both fronts, and reads under the same label are still served.
    """
    http_engines = Engine(script={sql: ["error"] * 9}), Engine(script={sql: ["error"] * 9})
    with gateway(*flight_engines, web=http_engines, statements=ON) as gate:
        with pytest.raises(pa.ArrowInvalid):
            run_query(gate, sql, x_class=label).read_all()
        status, body, _ = post(gate, label, sql)
        assert status == 400 and body["failure"]
        assert (
            post(gate, label, READ)[0] == 200
            and run_query(gate, READ, x_class=label).read_all().num_rows == 3
        )
    assert sql not in executed_statements(*flight_engines) and not any(
        sql in http_engine.statements for http_engine in http_engines
    )
    for http_engine in http_engines:
        http_engine.close()


def test_http_and_flight_clients_together_forward_no_labelled_write_and_run_no_load_twice() -> None:
    """Clients of both fronts send reads, writes, and writes labelled as reads, all at once.

    A write that is taken for a read could run twice. Each write must run exactly once, and each one labelled
    as a read must be rejected, however the requests of the two fronts interleave.
    """
    flight_engines, http_engines = (FlightEngine(), FlightEngine()), (Engine(), Engine())
    with gateway(*flight_engines, web=http_engines, statements=ON) as gate:
        counts: Counter[str] = Counter()
        lock = threading.Lock()

        def run_one(protocol: str, number: int) -> None:
            read, write = READ.replace("42", str(number)), DELETE.replace("42", str(number))
            if protocol == "flight":
                read_served = run_query(gate, read).read_all().num_rows == 3
                write_served = run_update(gate, write, f"{number:016x}") != b""
                with pytest.raises(pa.ArrowInvalid):
                    run_query(gate, write, x_class="lookup").read_all()
            else:
                read_served = post(gate, "lookup", read)[0] == 200
                write_served = post(gate, "load", write)[0] == 200
                assert post(gate, "lookup", write)[0] == 400
            with lock:
                counts.update({"read": read_served, "load": write_served, "rejected": 1})

        threads = [
            threading.Thread(target=run_one, args=(protocol, number))
            for number in range(12)
            for protocol in ("http", "flight")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        assert counts == {"read": 24, "load": 24, "rejected": 24}
    flight_loads = sum((engine.loads for engine in flight_engines), Counter())
    http_loads = Counter(
        statement
        for http_engine in http_engines
        for statement in http_engine.statements
        if statement.startswith("DELETE")
    )
    assert (
        set(flight_loads.values()) == set(http_loads.values()) == {1}
        and len(flight_loads) == len(http_loads) == 12
    )
    for engine in flight_engines:
        engine.shutdown()
    for http_engine in http_engines:
        http_engine.close()


def test_loads_of_one_key_never_run_at_once_however_the_key_is_spelled(
    flight_engines: EnginePair,
) -> None:
    """Clients send updates of one row under different `x-row` keys, and spell the row's key differently.

    Ordered by the header, the updates would run at once and overtake each other. The key is taken from the
    statement's text, whatever its spelling, so they run one after another.
    """
    spellings = [
        DELETE,
        DELETE.replace("42", "'42'"),
        'DELETE FROM "lending_7"."loans" WHERE "member" = 42.0',
    ]
    running: set[str] = set()
    most_running = 0
    lock = threading.Lock()

    def slow_do_put(self: FlightEngine, context: Any, descriptor: Any, reader: Any, writer: Any) -> None:
        nonlocal most_running
        call_id = f"{id(context)}"
        with lock:
            running.add(call_id)
            most_running = max(most_running, len(running))
        time.sleep(0.05)
        with lock:
            running.discard(call_id)
        writer.write(pa.py_buffer(b"\x08\x05"))

    original, FlightEngine.do_put = FlightEngine.do_put, slow_do_put  # type: ignore[method-assign]
    try:
        with gateway(*flight_engines, statements=ON) as gate:
            rows = [f"{number:016x}" for number in range(9)]
            calls = [
                threading.Thread(target=run_update, args=(gate, spellings[number % 3], rows[number]))
                for number in range(9)
            ]
            for call in calls:
                call.start()
            for call in calls:
                call.join(30)
            assert gate.forwarder.counters.answers["load"][Verdict.SERVED] == 9
    finally:
        FlightEngine.do_put = original  # type: ignore[method-assign]
    assert most_running == 1


def test_update_under_an_idempotent_class_is_rejected(
    flight_engines: EnginePair,
) -> None:
    """A client sends an update through DoPut under a class whose requests may run twice.

    A retry or a hedged request would apply the update twice. The call is rejected before any engine sees it,
    also where statements are not parsed: DoPut marks it as an update.
    """
    for statement_settings in (None, ON):
        with gateway(*flight_engines, statements=statement_settings) as gate:
            call_options = options(x_class="lookup")
            writer, reader = client(gate).do_put(
                command("CommandStatementUpdate", READ), pa.schema([]), call_options
            )
            writer.done_writing()
            with pytest.raises(pa.ArrowInvalid):
                reader.read()
                writer.close()
    assert not executed_statements(*flight_engines)


def test_shape_that_fails_on_every_engine_is_limited_and_others_are_not(
    flight_engines: EnginePair,
) -> None:
    """Every run of one statement shape fails, on each engine that it is sent to.

    Without a limit, requests of that shape could take the capacity of all engines. The shape gets a
    concurrency limit, further requests of the shape are rejected at the limit, and other shapes are served as
    before.
    """
    third = FlightEngine()
    with gateway(*flight_engines, third, statements=ON) as gate:
        assert gate.statements
        broken = "SELECT broken FROM lending_7.loans WHERE member = {}"
        limits = gate.statements.classifier.limits
        for n in range(6):  # three attempts each; the limit needs a failure on each of three engines
            if not limits.limited_count:
                with pytest.raises(pa.ArrowInvalid, match="Overloaded"):
                    run_query(gate, broken.format(n)).read_all()
        assert limits.limited_count == 1
        [digest] = limits.records
        for _ in range(20):  # more queries than the limit admits (`INITIAL_LIMIT`) count as running
            limits.query_started(digest)
        with pytest.raises(pa.ArrowInvalid, match="run already"):
            run_query(gate, broken.format(2)).read_all()
        assert run_query(gate, READ).read_all().num_rows == 3
    third.shutdown()


def test_costs_are_learned_from_finished_queries(flight_engines: EnginePair) -> None:
    with gateway(*flight_engines, statements=ON) as gate:
        assert gate.statements
        for n in range(8):
            run_query(gate, READ.replace("42", str(n))).read_all()
        costs = gate.statements.classifier.costs
        [digest] = costs.shapes
        cost_ns = costs.cost_ns(digest, "lookup", 7)
        assert cost_ns and 0 < cost_ns < 5_000_000_000
        assert costs.cost_ns(b"0" * 16, "lookup", 7) == cost_ns


class MeasurementMiddlewareFactory(fl.ServerMiddlewareFactory):  # type: ignore[misc]
    """Adds the engine's measurements of a call to its response headers."""

    def start_call(self, info: Any, headers: Any) -> Any:
        return MeasurementMiddleware()


class MeasurementMiddleware(fl.ServerMiddleware):  # type: ignore[misc]
    def sending_headers(self) -> dict[str, str]:
        return {"x-work-ms": "700", "x-used-mb": "96.5"}


def test_work_and_memory_reported_by_an_engine_are_learned() -> None:
    engine = FlightEngine(middleware={"measurements": MeasurementMiddlewareFactory()})
    with gateway(engine, statements=ON) as gate:
        assert gate.statements
        for n in range(8):
            run_query(gate, READ.replace("42", str(n))).read_all()
        costs = gate.statements.classifier.costs
        [digest] = costs.shapes
        assert 500_000_000 < (costs.cost_ns(digest, "lookup", 7) or 0) < 1_000_000_000
        assert 70 < costs.memory_mb(digest) < 140
    engine.shutdown()


def test_successor_inherits_learned_costs(flight_engines: EnginePair) -> None:
    with gateway(*flight_engines, statements=ON) as gate:
        for n in range(8):
            run_query(gate, READ.replace("42", str(n))).read_all()
        transferred = json.loads(encode(gate.overlap.offer().message))
        assert gate.statements
        costs = gate.statements.classifier.costs
    loop = Loop()
    successor = StatementService(loop, RULES, ("lookup", "report"), parsers=1)
    successor.restore("", transferred["statements"])
    [digest] = costs.shapes
    inherited_ns = successor.classifier.costs.cost_ns(digest, "lookup", 7)
    successor.stop()
    loop.close()
    assert inherited_ns is not None and inherited_ns == costs.cost_ns(digest, "lookup", 7)


def test_gateway_keeps_serving_while_parser_processes_die(
    flight_engines: EnginePair,
) -> None:
    """The parser processes are killed, three times in a row.

    A statement of a cached shape needs no parser and is served throughout. Others are rejected, so that their
    clients retry, until a new process has started; then they are served again.
    """
    with gateway(*flight_engines, statements=ON) as gate:
        assert gate.statements
        assert run_query(gate, READ).read_all().num_rows == 3
        for n in range(3):
            for process in list(gate.statements.supervisor.processes.values()):
                process.child.kill()
            cached_query = READ.replace("42", str(n))  # of a cached shape: no parser is needed
            assert run_query(gate, cached_query).read_all().num_rows == 3
            deadline = time.monotonic() + 20
            while time.monotonic() < deadline:
                try:
                    uncached_query = f"SELECT b{n} FROM lending_7.loans WHERE member = 1"
                    assert run_query(gate, uncached_query).read_all().num_rows == 3
                    break
                except pa.ArrowInvalid:
                    # Rejected while no parser is ready, or in quarantine after its parser was killed
                    gate.loop.call_soon(gate.statements.supervisor.pool.quarantine.clear)
            else:
                raise AssertionError("no parser became ready within 20 s")


def test_client_that_leaves_before_its_statement_is_parsed_leaves_nothing_behind(
    flight_engines: EnginePair,
) -> None:
    """A client closes its connection while its statement waits for a parser.

    If the statement is parsed after that, it could still be forwarded for a client that has left. The call
    has ended, so nothing is forwarded, no engine gets the statement, and no exchange stays open.
    """
    with gateway(*flight_engines, statements=ON) as gate:
        assert gate.statements and gate.flight_server
        statements, server = gate.statements, gate.flight_server
        run_query(gate, READ).read_all()
        original = statements.supervisor.pool.assign
        # Statements stay in the queue for a parser until `assign` is restored
        statements.supervisor.pool.assign = lambda now: []  # type: ignore[method-assign]
        with contextlib.closing(FlightTestClient(server.listener.address)) as leaving:
            leaving.send_call(call_headers(FlightMethod.DO_GET), encode_ticket("SELECT c FROM t WHERE a = 1"))
            until(lambda: statements.supervisor.pool.pending)
        until(lambda: not any(connection.calls for connection in server.connections))
        statements.supervisor.pool.assign = original  # type: ignore[method-assign]
        gate.loop.call_soon(statements.supervisor._dispatch)
        assert run_query(gate, READ).read_all().num_rows == 3
        assert not gate.forwarder.exchanges
    assert "SELECT c FROM t WHERE a = 1" not in executed_statements(*flight_engines)


def test_idempotency_key_made_by_the_gateway_belongs_to_one_request() -> None:
    load_class = RequestClass(2, parse_settings(flatten_settings(SETTINGS)).classes[2])
    classification = Classification(Decision("load", True, False, "0" * 16, "insert", True))
    insert = FlightStatement(b"INSERT INTO a (b) VALUES (1)", is_update=True, received_at_ns=0)
    queries = [decode_request(insert, "load", load_class, {}, classification) for _ in range(2)]
    assert {query.key for query in queries} == {"0" * 16}
    assert len({query.idempotency_key for query in queries}) == 2 and {
        len(query.idempotency_key or "") for query in queries
    } == {32}
    with_client_key = decode_request(insert, "load", load_class, {"x-txn-key": "f" * 32}, classification)
    assert with_client_key.idempotency_key == "f" * 32
    assert with_client_key.client_has_key and not any(query.client_has_key for query in queries)


def test_reload_applies_new_rules_and_invalid_ones_change_nothing(
    flight_engines: EnginePair, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The operator's file is read again, checked, and applied as a whole or not at all.

    A file with an invalid value must leave the rules in use as they were.
    """
    path = tmp_path / "operator.toml"
    template = '[flight]\nlisten = "127.0.0.1:0"\n[statements]\n{}\n'
    monkeypatch.setenv("QUERY_GATEWAY_OPERATOR_FILE", str(path))
    with gateway(*flight_engines, statements=ON) as gate:
        gate.configuration_reload.sources.read_configuration = lambda: gate.config
        count = "SELECT count(*) FROM lending_7.loans"

        def reload(text: str) -> None:
            path.write_text(template.format(text))
            done = threading.Event()
            gate.loop.call_soon(gate.reload)
            gate.loop.call_soon(done.set)
            assert done.wait(10)

        def served() -> dict[str, int]:
            for _ in range(50):  # rejected while the parsers restart
                try:
                    run_query(gate, count).read_all()
                    break
                except pa.ArrowInvalid:
                    time.sleep(0.1)
            return {
                name: answers[Verdict.SERVED] for name, answers in gate.forwarder.counters.answers.items()
            }

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
        new_settings = replace(gate.config.settings, max_retry_after=400_000_000)
        gate.configuration_reload.sources.read_configuration = lambda: replace(
            gate.config, settings=new_settings
        )
        reload("")  # new settings and the initial rules, in one reload
        assert gate.forwarder.counters.reloads_applied == 2 and served() == {
            "lookup": 1,
            "report": 3,
            "load": 0,
        }


def test_figures_count_statements(flight_engines: EnginePair) -> None:
    with gateway(*flight_engines, statements=ON) as gate:
        for sql in (READ, READ, "SELECT 1; SELECT 2"):
            try:
                run_query(gate, sql).read_all()
            except pa.ArrowInvalid:
                continue
        figures = dict(line.rsplit(" ", 1) for line in gate.gateway_figures.lines())
    assert figures["svc_statement_hits_total"] == "1" and figures["svc_statement_misses_total"] == "1"
    assert figures["svc_statement_turned_down_total"] == "1" and figures["svc_statement_shapes"] == "1"


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
def test_invalid_statements_table_is_rejected_with_its_place(table: dict[str, Any], place: str) -> None:
    with pytest.raises(ConfigurationError) as rejection:
        parse_operator_settings({"flight": {"listen": "127.0.0.1:0"}, "statements": table}, config([]))
    assert place in str(rejection.value) and "\n" not in str(rejection.value)


def test_statements_table_that_no_server_uses_is_rejected() -> None:
    with pytest.raises(ConfigurationError, match="no front reads statements"):
        parse_operator_settings({"statements": {}}, config([]))
    assert parse_operator_settings({"statements": {"web": True}}, config([])).statements
    assert parse_operator_settings({}, config([])) == OperatorSettings()
