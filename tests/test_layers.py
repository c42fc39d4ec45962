"""The core and the statements know no socket, clock or wire; what is off is not loaded."""

import subprocess
import sys

WIRES = tuple(
    f"query_gateway.{part}"
    for part in ("net", "http", "engine_protocol", "discovery", "admin", "flight", "rpc", "bgp", "lifecycle")
)
FORBIDDEN = ("socket", "select", "time", "h11", "h2", "google", *WIRES)
CORE = (
    "forwarder.class_numbers", "forwarder.counters", "forwarder.exchange", "forwarder.messages",
    "forwarder.readiness", "forwarder.table_group", "planner.learned_state", "planner.planner",
)  # fmt: skip

STATEMENTS = (
    "cache", "classifier", "costs", "lexer", "limits", "messages", "normalizer", "purity", "sketch", "values",
)  # fmt: skip


def loaded(*modules: str) -> set[str]:
    """What importing them loads, in an interpreter of its own."""
    code = (
        "import sys; before = set(sys.modules)\n"
        f"import {', '.join(modules)}\n"
        "print(*(set(sys.modules) - before))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return set(done.stdout.split())


def among(names: set[str], forbidden: tuple[str, ...]) -> set[str]:
    return {name for name in names if any(name == f or name.startswith(f + ".") for f in forbidden)}


def test_the_core_imports_no_wire() -> None:
    found = loaded(*(f"query_gateway.{part}" for part in CORE))
    assert "query_gateway.forwarder.exchange" in found and not among(found, FORBIDDEN)


def test_the_statements_import_no_wire_and_the_gateway_s_part_no_parser() -> None:
    found = loaded(*(f"query_gateway.statements.{part}" for part in STATEMENTS))
    wires = (*WIRES, "query_gateway.parsing", "h11", "h2", "google")
    assert "query_gateway.statements.classifier" in found and not among(found, (*wires, "sqlglot"))
    assert not among(loaded("query_gateway.statements.reader"), wires)
    assert not among(loaded("query_gateway.parsing.service"), ("sqlglot",))


def test_what_is_off_is_not_loaded() -> None:
    off = tuple(
        f"query_gateway.{part}"
        for part in ("statements", "parsing", "configuration.schema", "cli", "flight", "rpc")
    )
    found = loaded("query_gateway.__main__")
    assert "query_gateway.gateway" in found
    assert not among(found, (*off, "sqlglot", "pydantic", "msgspec", "click"))


def test_the_rpc_layer_knows_no_front() -> None:
    above = (
        *(wire for wire in WIRES if wire not in ("query_gateway.net", "query_gateway.rpc")),
        "query_gateway.forwarder",
        "google",
    )
    assert not among(loaded("query_gateway.rpc.grpc"), above)
