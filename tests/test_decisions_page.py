"""The page of decisions lists every decision module, and names only modules and constants that exist."""

import re
import tomllib
from pathlib import Path

from query_gateway.model.actions import EndReason

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/decisions.md").read_text()


def policy_modules() -> list[Path]:
    """The decision modules that the deploy file lists."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    return [ROOT / name for name in deploy["policy"] if not name.endswith("__init__.py")]


def module_of(name: str) -> Path:
    """The file of a module that the page names."""
    folder = ROOT / "query_gateway"
    return folder / name if "/" in name else folder / "policy" / name


def rows() -> list[list[str]]:
    """The cells of each decision on the page."""
    lines = [line for line in PAGE.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("decision", "---")]


def test_every_decision_module_is_on_the_page() -> None:
    missing = [path.name for path in policy_modules() if f"`{path.name}`" not in PAGE]
    assert not missing


def test_every_module_and_test_on_the_page_exists() -> None:
    for row in rows():
        assert len(row) == 5, row
        modules = re.findall(r"`([a-z_/]+\.py)`", row[1])
        assert modules and all(module_of(name).exists() for name in modules), row
        tests = re.findall(r"`(test_\w+)`", row[4])
        assert tests and all((ROOT / f"tests/{name}.py").exists() for name in tests), row


def test_every_constant_on_the_page_stands_in_the_module_beside_it() -> None:
    for row in rows():
        source = module_of(re.findall(r"`([a-z_/]+\.py)`", row[1])[0]).read_text()
        for constant in re.findall(r"`([A-Z][A-Z_]+)`", row[3]):
            assert re.search(rf"^{constant}\b", source, re.MULTILINE), (row[0], constant)


def test_every_constant_of_a_decision_is_on_the_page() -> None:
    """Costs of routing stand there as a group."""
    for path in policy_modules():
        constants = re.findall(r"^([A-Z][A-Z_]+)\b", path.read_text(), re.MULTILINE)
        for constant in constants:
            grouped = path.name == "routing.py" and constant.endswith("_COST")
            private = path.name == "scheduler.py" and constant in ("HANDLERS", "IGNORED")
            general = path.name == "repetition.py" and constant in ("NO_DEADLINE", "NEVER")
            assert grouped or private or general or f"`{constant}`" in PAGE, (path.name, constant)


def test_every_reason_of_an_end_is_on_the_page() -> None:
    assert not [reason.value for reason in EndReason if f"`{reason.value}`" not in PAGE]
