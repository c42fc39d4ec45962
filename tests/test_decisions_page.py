"""docs/decisions.md lists every policy module, constant and end reason, and names nothing that is missing."""

import re
import tomllib
from pathlib import Path

from query_gateway.model.actions import EndReason

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/decisions.md").read_text()


def policy_modules() -> list[Path]:
    """The policy modules in the deploy file, without package files."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    return [ROOT / name for name in deploy["policy"] if not name.endswith("__init__.py")]


def module_path(name: str) -> Path:
    """The path of a module as the page names it: in the policy package unless the name has a folder."""
    folder = ROOT / "query_gateway"
    return folder / name if "/" in name else folder / "policy" / name


def decision_rows() -> list[list[str]]:
    """The cells of each row of the page's tables, without header and separator rows."""
    lines = [line for line in PAGE.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("decision", "---")]


def test_every_decision_module_is_on_the_page() -> None:
    missing = [path.name for path in policy_modules() if f"`{path.name}`" not in PAGE]
    assert not missing


def test_every_module_and_test_on_the_page_exists() -> None:
    for row in decision_rows():
        assert len(row) == 5, row
        modules = re.findall(r"`([a-z_/]+\.py)`", row[1])
        assert modules and all(module_path(name).exists() for name in modules), row
        tests = re.findall(r"`(test_\w+)`", row[4])
        assert tests and all((ROOT / f"tests/{name}.py").exists() for name in tests), row


def test_every_constant_on_the_page_stands_in_the_module_beside_it() -> None:
    for row in decision_rows():
        source = module_path(re.findall(r"`([a-z_/]+\.py)`", row[1])[0]).read_text()
        for constant in re.findall(r"`([A-Z][A-Z_]+)`", row[3]):
            assert re.search(rf"^{constant}\b", source, re.MULTILINE), (row[0], constant)


def test_every_constant_of_a_decision_is_on_the_page() -> None:
    """Routing costs are listed as a group; tables of handlers and general sentinels need no entry."""
    for path in policy_modules():
        constants = re.findall(r"^([A-Z][A-Z_]+)\b", path.read_text(), re.MULTILINE)
        for constant in constants:
            is_grouped = path.name == "routing.py" and constant.endswith("_COST")
            is_private = path.name == "scheduler.py" and constant in ("HANDLERS", "IGNORED")
            is_general = path.name == "repetition.py" and constant in ("NO_DEADLINE", "NEVER")
            assert is_grouped or is_private or is_general or f"`{constant}`" in PAGE, (path.name, constant)


def test_every_reason_of_an_end_is_on_the_page() -> None:
    assert not [reason.value for reason in EndReason if f"`{reason.value}`" not in PAGE]
