"""The command line: `check`, `classify` and `run`; and the pinned dependencies of the package."""

import ast
import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from query_gateway.cli import main
from tests.stand_ins import SETTINGS

ROOT = Path(__file__).parent.parent
RULES = """
[flight]
listen = "127.0.0.1:0"
[statements]
pure_functions = ["lending_7.isbn13", "isbn10"]
[statements.reports]
sort_rows = 50
[[statements.keys]]
table = "lending_*.loans"
column = "member"
[[statements.keys]]
table = "lending_*.titles"
whole = true
"""


@pytest.fixture
def rules(tmp_path: Path) -> str:
    path = tmp_path / "rules.toml"
    path.write_text(RULES)
    return str(path)


def config(tmp_path: Path, **changes: Any) -> str:
    raw = {"listen": "127.0.0.1:9700", "journal": "127.0.0.1:9701", "known": {"pos": 0, "entries": []},
           "settings": SETTINGS} | changes  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    return str(path)


def classify(rules: str, *lines: object) -> list[dict[str, Any]]:
    input_lines = "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines)
    result = CliRunner().invoke(
        main, ["statements", "classify", "--rules", rules, "-"], input=input_lines + "\n"
    )
    assert result.exit_code == 0, result.output
    return [json.loads(line) for line in result.stdout.splitlines()]


def test_classify_prints_an_object_a_line_in_order(rules: str) -> None:
    printed = classify(
        rules,
        {"sql": "SELECT due FROM lending_7.loans WHERE member = 1"},
        {"sql": "select due from lending_7.loans where member = 2 -- again"},
        {"sql": "SELECT count(*) FROM lending_7.loans"},
        {"sql": "DELETE FROM lending_7.loans WHERE member = 1"},
        {"sql": "DELETE FROM lending_7.loans WHERE member = ?", "params": [1]},
        {"sql": "DELETE FROM lending_7.titles"},
        {"sql": "DELETE FROM lending_7.loans WHERE member = 1", "class": "lookup"},
        {"sql": "DELETE FROM lending_7.loans"},
        {"sql": "SELECT 1; SELECT 2"},
        {"sql": "SELECT lending_7.isbn13(1), isbn10(2)"},
        {"sql": "SELECT lending_8.isbn13(1)"},
        {"sql": "SELECT * FROM lending_7.titles LIMIT 50"},
        {"sql": "SELECT * FROM lending_7.titles LIMIT 51"},
        "nonsense", "[]", '{"sql": 5}', '{"sql": "SELECT 1", "class": 5}',
    )  # fmt: skip
    names = "class writes repeatable key group cost_ms shape cached reason"
    assert all(" ".join(line) == names for line in printed)
    assert [line["class"] for line in printed] == [
        "lookup", "lookup", "report", "load", "load", "load", None, None, None, "lookup", None, "lookup",
        "report", None, None, None, None,
    ]  # fmt: skip
    assert [line["cached"] for line in printed[:5]] == [False, True, False, False, False]
    assert printed[0]["shape"] == printed[1]["shape"] and printed[0]["group"] == 7
    assert printed[3]["key"] == printed[4]["key"] and len(printed[3]["key"]) == 16 and printed[5]["key"]
    assert [line["repeatable"] for line in printed[:3]] == [True] * 3
    assert all(not line["repeatable"] for line in printed if line["writes"])
    assert all(line["reason"] for line in printed if line["class"] is None)


def test_classify_needs_no_configuration_and_says_what_is_wrong_with_its_rules(tmp_path: Path) -> None:
    no_table = "[flight]\nlisten = '127.0.0.1:1'"
    dialect = "[statements]\ndialect = 'oracle'"
    for text, error_part in ((dialect, "dialect"), (no_table, "no table"), ("[[[", "TOML")):
        path = tmp_path / "bad.toml"
        path.write_text(text)
        result = CliRunner().invoke(main, ["statements", "classify", "--rules", str(path)], input="")
        assert result.exit_code == 2 and error_part in result.output and len(result.output.splitlines()) == 1


def test_check_prints_every_fault_with_its_location(tmp_path: Path, rules: str) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text('[flight]\nlisten = "nowhere"\ncolour = 3\n[bgp]\nasn = 0\n[statements]\nparsers = 99\n')
    first, second = SETTINGS["services"][:2]  # type: ignore[index]
    services = [first | {"aim": 0}, second | {"repeat": "sometimes"}]
    file = config(tmp_path, journal="x", settings=SETTINGS | {"services": services})
    result = CliRunner().invoke(main, ["check", file, str(bad)])
    assert result.exit_code == 2
    for location in ("flight.listen", "flight.colour", "bgp.asn", "bgp.peer", "statements.parsers", "journal",
                  "settings.services.0.aim", "settings.services.1.repeat"):  # fmt: skip
        assert location in result.output, result.output
    for arguments in ([config(tmp_path), rules], [config(tmp_path), "--operator", rules], [rules]):
        result = CliRunner().invoke(main, ["check", *arguments])
        assert result.exit_code == 0 and result.stdout == "no faults\n"


def test_check_prints_contradictions_between_files(tmp_path: Path, rules: str) -> None:
    settings = SETTINGS | {"services": SETTINGS["services"][:2], "family-info": {}}  # type: ignore[index]
    result = CliRunner().invoke(main, ["check", config(tmp_path, settings=settings), rules])
    assert (
        result.exit_code == 2
        and "statements.load" in result.output
        and "flight.update_class" in result.output
    )


def test_check_prints_files_that_cannot_be_read(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_text("{")
    for file in ("a.json", "missing.json", "missing.toml"):
        result = CliRunner().invoke(main, ["check", str(tmp_path / file)])
        assert result.exit_code == 2 and file in result.output


def test_the_version_is_the_package_s() -> None:
    stated = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["version"]
    assert stated in CliRunner().invoke(main, ["--version"]).output


def test_a_bad_start_is_one_line_and_code_2(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "query_gateway", "run", "--config", str(tmp_path / "missing.json")]
    result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1 and "missing.json" in result.stderr


def test_the_package_pins_what_the_platform_s_build_installs() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    extras = [pin for name, pins in project["optional-dependencies"].items() if name != "all" for pin in pins]
    built = set((ROOT / "requirements.txt").read_text().split())
    assert {*project["dependencies"], *extras} <= built
    assert all("==" in pin for pin in built)


def test_the_deploy_file_s_example_has_no_faults() -> None:
    result = CliRunner().invoke(main, ["check", "example/config.json", "deploy/branches.toml"])
    assert result.exit_code == 0, result.output


def imported_by(path: Path) -> set[str]:
    """The names that a module imports anywhere in its source, also inside functions."""
    tree = ast.parse(path.read_text())
    nodes = [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module]
    names = {f"{node.module}.{alias.name}" for node in nodes for alias in node.names}
    return names | {str(node.module) for node in nodes}


def test_the_process_entry_and_the_command_line_do_not_import_each_other() -> None:
    """Guards against a second load of `__main__`, whose top-level statements and imports would run twice.

    That happens when a module imports `__main__`, so no module may. What the process entry and the command
    line share is in `lifecycle.process`.
    """
    package = ROOT / "query_gateway"
    importers: dict[str, set[str]] = {"__main__": set(), "cli": set(), "lifecycle.process": set()}
    for path in package.rglob("*.py"):
        for name, found in importers.items():
            if f"query_gateway.{name}" in imported_by(path):
                found.add(path.relative_to(package).as_posix())
    assert importers == {
        "__main__": set(),
        "cli": {"__main__.py"},
        "lifecycle.process": {"__main__.py", "cli.py"},
    }


def test_run_names_the_files_for_the_process_and_its_workers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("ROUTER_CONFIG", "unset")
    monkeypatch.setenv("QUERY_GATEWAY_OPERATOR_FILE", "unset")
    monkeypatch.setattr("query_gateway.lifecycle.process.serve", lambda: None)
    result = CliRunner().invoke(main, ["run", "--config", "a.json", "--operator", "b.toml"])
    assert result.exit_code == 0, result.output
    assert (os.environ["ROUTER_CONFIG"], os.environ["QUERY_GATEWAY_OPERATOR_FILE"]) == ("a.json", "b.toml")
