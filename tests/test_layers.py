"""The layers of the package: modules import lower layers only, and optional parts load only if configured.

Some tests parse the source, where every import counts, also inside functions and for type checking. Others
check what an interpreter has loaded after an import, directly or indirectly.
"""

import ast
import subprocess
import sys
from collections.abc import Collection, Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "query_gateway"

# Subpackages for protocols, input and output. They may import the forwarder and each other; the modules that
# compose, start and stop the parts import them
PROTOCOL_SUBPACKAGES = (
    "admin", "bgp", "configuration", "discovery", "engine_protocol", "flight", "http", "net", "parsing",
    "rpc", "statements",
)  # fmt: skip
# Rules that the scheduler applies and the forwarder enforces: pure functions of settings and times
SHARED_RULES = ("policy.key_quarantine", "policy.recovery_ramp", "policy.repetition")
# Planner modules that connect processes; the other planner modules use no sockets
PLANNER_IPC_MODULES = ("planner.ipc", "planner.process", "planner.supervisor")

IO_PACKAGES = tuple(
    f"query_gateway.{part}"
    for part in ("net", "http", "engine_protocol", "discovery", "admin", "flight", "rpc", "bgp", "lifecycle")
)
ABOVE_THE_CORE = tuple(
    f"query_gateway.{part}"
    for part in ("statements", "parsing", "configuration", "gateway", "cli", "simulator_adapter")
)
# Libraries that the core must not import: for clocks, sockets, processes, threads, protocols, data formats,
# SQL and the command line
FORBIDDEN_LIBRARIES = (
    "socket", "select", "selectors", "ssl", "time", "datetime", "signal", "subprocess", "threading",
    "multiprocessing", "asyncio", "h11", "h2", "hyperframe", "google", "click", "pydantic", "msgspec",
    "sqlglot",
)  # fmt: skip
FORBIDDEN = (*FORBIDDEN_LIBRARIES, *IO_PACKAGES, *ABOVE_THE_CORE)

STATEMENTS = (
    "cache", "classifier", "costs", "lexer", "limits", "messages", "normalizer", "purity", "sketch", "values",
)  # fmt: skip


def loaded(*modules: str) -> set[str]:
    """The names of all modules that a new interpreter loads to import the given ones."""
    code = (
        "import sys; before = set(sys.modules)\n"
        f"import {', '.join(modules)}\n"
        "print(*(set(sys.modules) - before))"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return set(completed.stdout.split())


def within(names: set[str], packages: tuple[str, ...]) -> set[str]:
    return {name for name in names if any(name == p or name.startswith(p + ".") for p in packages)}


def modules() -> list[str]:
    """Every module by its name relative to the package; an `__init__` has its subpackage's name."""
    paths = sorted(path.relative_to(PACKAGE).with_suffix("") for path in PACKAGE.rglob("*.py"))
    return [".".join(path.parts).removesuffix("__init__").strip(".") for path in paths if path.parts]


def subpackage_of(module: str) -> str:
    return module.split(".")[0]


def core_modules() -> list[str]:
    """The modules of the core, which use no socket, clock or protocol."""
    return [
        module
        for module in modules()
        if subpackage_of(module) in ("model", "policy", "forwarder", "planner")
        and module not in PLANNER_IPC_MODULES
    ]


def imported_names(module: str) -> Iterator[str]:
    """The full names that a module imports anywhere in its source."""
    path = PACKAGE / (module.replace(".", "/") + ".py")
    if not path.exists():
        path = PACKAGE / module.replace(".", "/") / "__init__.py"
    return names_imported_by(path)


def names_imported_by(path: Path) -> Iterator[str]:
    """The full names that a source file imports, also in a function or for type checking."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path} has a relative import, which these tests do not follow"
            assert node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def imported_subpackages(module: str) -> set[str]:
    """The other subpackages that a module imports from; a shared rule stands as in `SHARED_RULES`."""
    prefix = "query_gateway."
    names = [name.removeprefix(prefix) for name in imported_names(module) if name.startswith(prefix)]
    return {shared_rule_of(name) or subpackage_of(name) for name in names} - {subpackage_of(module)}


def shared_rule_of(name: str) -> str | None:
    """The shared rule that an imported name is, or belongs to, if any."""
    return next((rule for rule in SHARED_RULES if within({name}, (rule,))), None)


def allowed_imports(module: str) -> set[str] | None:
    """The subpackages and shared rules that a module may import besides its own subpackage; None: any."""
    subpackage = subpackage_of(module)
    if subpackage in ("model", "net"):
        return set()
    if subpackage in PROTOCOL_SUBPACKAGES:
        return {"model", "forwarder", *PROTOCOL_SUBPACKAGES}
    core = {
        "policy": {"model"} if module in SHARED_RULES else {"model", *SHARED_RULES},
        "forwarder": {"model", *SHARED_RULES},
        "planner": {"model", "policy", *SHARED_RULES},
    }
    if module in PLANNER_IPC_MODULES:
        return {*core["planner"], "net"}
    return core.get(subpackage)  # None for modules that compose, start and stop the parts


def test_imports_between_rooms_point_down() -> None:
    """Guards against a lower layer that depends on a higher one.

    Protocols may import the forwarder and the model. The forwarder, the planner and the policy may import the
    model. The planner may also import the policy, of which the forwarder may import only the shared rules.
    """
    found = {module: imported_subpackages(module) for module in modules()}
    assert {"http", "forwarder", "policy", "model"} <= {subpackage_of(module) for module in found}
    upward = {
        module: subpackages - allowed
        for module, subpackages in found.items()
        if (allowed := allowed_imports(module)) is not None and not subpackages <= allowed
    }
    assert not upward


def modules_in_import_cycles(imports: dict[str, set[str]]) -> set[str]:
    """The modules that import each other, directly or indirectly, or lie between such cycles."""
    remaining = dict(imports)
    while True:
        lowest = {module for module, below in remaining.items() if not below & remaining.keys()}
        highest = remaining.keys() - set().union(*remaining.values())
        if not lowest | highest:
            return set(remaining)
        remaining = {module: below for module, below in remaining.items() if module not in lowest | highest}


def imports_between_modules(package: Path) -> dict[str, set[str]]:
    """The imports between modules of a package, by full names; an `__init__` has its package's name."""
    top = package.parent
    paths = {".".join(path.relative_to(top).with_suffix("").parts): path for path in package.rglob("*.py")}
    names = {name.removesuffix(".__init__"): path for name, path in paths.items()}
    return {
        name: {
            found for used in names_imported_by(path) if (found := module_of(used, names)) and found != name
        }
        for name, path in names.items()
    }


def module_of(name: str, known_modules: Collection[str]) -> str | None:
    """The module that an imported name is, or is defined in."""
    return next((each for each in (name, name.rpartition(".")[0]) if each in known_modules), None)


@pytest.mark.parametrize("package", ["query_gateway", "bench"])
def test_no_modules_import_each_other(package: str) -> None:
    """Guards against import cycles, including those through imports for type checking only."""
    assert modules_in_import_cycles(imports_between_modules(PACKAGE.parent / package)) == set()


def test_shared_rules_know_settings_and_times_but_no_state() -> None:
    """Guards against shared rules that depend on the scheduler's state, which the forwarder does not have."""
    allowed = ("query_gateway.model.endpoints", "query_gateway.model.events", "query_gateway.model.settings")
    for rule in SHARED_RULES:
        imported = {name for name in imported_names(rule) if name.startswith("query_gateway.")}
        assert imported == within(imported, allowed), rule


def test_no_two_rooms_of_wires_import_each_other() -> None:
    """Guards against import cycles between protocol subpackages, direct or indirect."""
    subpackages = {
        subpackage: {
            name
            for module in modules()
            if subpackage_of(module) == subpackage
            for name in imported_subpackages(module)
        }
        for subpackage in PROTOCOL_SUBPACKAGES
    }
    while lowest := {
        subpackage for subpackage, below in subpackages.items() if not below & subpackages.keys()
    }:
        subpackages = {
            subpackage: below for subpackage, below in subpackages.items() if subpackage not in lowest
        }
    assert not subpackages


def test_the_core_s_source_names_no_socket_clock_or_wire() -> None:
    core = core_modules()
    assert {"forwarder.exchange", "planner.planner", "planner.ipc_codec", "policy.scheduler"} <= set(core)
    forbidden = {module: within(set(imported_names(module)), FORBIDDEN) for module in core}
    assert not {module: names for module, names in forbidden.items() if names}


def test_the_core_imports_no_wire() -> None:
    found = loaded(*(f"query_gateway.{module}" for module in core_modules()))
    assert "query_gateway.forwarder.exchange" in found and not within(found, FORBIDDEN)


def test_the_forwarder_loads_no_planner_and_of_the_policy_the_shared_rules_alone() -> None:
    def loaded_with(subpackage: str) -> set[str]:
        return loaded(
            *(f"query_gateway.{module}" for module in core_modules() if subpackage_of(module) == subpackage)
        )

    model, policy = loaded_with("model"), loaded_with("policy")
    forwarder, planner = loaded_with("forwarder"), loaded_with("planner")
    assert not within(model, ("query_gateway.policy", "query_gateway.forwarder", "query_gateway.planner"))
    assert not within(policy, ("query_gateway.forwarder", "query_gateway.planner"))
    shared = {"query_gateway.policy", *(f"query_gateway.{rule}" for rule in SHARED_RULES)}
    assert within(forwarder, ("query_gateway.policy", "query_gateway.planner")) <= shared
    assert not within(planner, ("query_gateway.forwarder",))


def test_the_statements_import_no_wire_and_the_gateway_s_part_no_parser() -> None:
    found = loaded(*(f"query_gateway.statements.{part}" for part in STATEMENTS))
    io_packages = (*IO_PACKAGES, "query_gateway.parsing", "h11", "h2", "google")
    assert "query_gateway.statements.classifier" in found and not within(found, (*io_packages, "sqlglot"))
    assert not within(loaded("query_gateway.statements.reader"), io_packages)
    assert not within(loaded("query_gateway.parsing.service"), ("sqlglot",))


def test_what_is_off_is_not_loaded() -> None:
    optional_parts = tuple(
        f"query_gateway.{part}"
        for part in (
            "statements",
            "parsing",
            "configuration.schema",
            "cli",
            "flight",
            "rpc",
            "bgp.session",
            "bgp.messages",
        )
    )
    found = loaded("query_gateway.__main__")
    assert "query_gateway.gateway" in found
    assert not within(found, (*optional_parts, "sqlglot", "pydantic", "msgspec", "click"))


def test_the_rpc_layer_knows_no_front() -> None:
    higher_layers = (
        *(package for package in IO_PACKAGES if package not in ("query_gateway.net", "query_gateway.rpc")),
        "query_gateway.forwarder",
        "google",
    )
    assert not within(loaded("query_gateway.rpc.connection", "query_gateway.rpc.status"), higher_layers)
