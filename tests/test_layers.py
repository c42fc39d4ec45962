"""Imports point down, from the wires to the model; what is off is not loaded.

Two kinds of tests: what the source says, where an import counts wherever it stands, also in a function or for
type checking; and what an interpreter has loaded after an import, through however many modules.
"""

import ast
import subprocess
import sys
from collections.abc import Collection, Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "query_gateway"

# The wires and what they need: above the forwarder, below what starts and joins the parts
WIRE_ROOMS = (
    "admin", "bgp", "configuration", "discovery", "engine_protocol", "flight", "http", "net", "parsing",
    "rpc", "statements",
)  # fmt: skip
# Rules that the scheduler plans by and the forwarder enforces: pure functions of settings and times
SHARED_RULES = ("policy.key_quarantine", "policy.recovery_ramp", "policy.repetition")
# Planner modules that connect processes; all others of the planner know no socket
PLANNER_IPC_MODULES = ("planner.ipc", "planner.process", "planner.supervisor")

WIRES = tuple(
    f"query_gateway.{part}"
    for part in ("net", "http", "engine_protocol", "discovery", "admin", "flight", "rpc", "bgp", "lifecycle")
)
ABOVE_THE_CORE = tuple(
    f"query_gateway.{part}"
    for part in ("statements", "parsing", "configuration", "gateway", "cli", "simulator_adapter")
)
# What reads a clock, opens a socket or a process, or speaks a wire
FORBIDDEN_LIBRARIES = (
    "socket", "select", "selectors", "ssl", "time", "datetime", "signal", "subprocess", "threading",
    "multiprocessing", "asyncio", "h11", "h2", "hyperframe", "google", "click", "pydantic", "msgspec",
    "sqlglot",
)  # fmt: skip
FORBIDDEN = (*FORBIDDEN_LIBRARIES, *WIRES, *ABOVE_THE_CORE)

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


def modules() -> list[str]:
    """Every module by its name below the package; a room's own is its name alone."""
    paths = sorted(path.relative_to(PACKAGE).with_suffix("") for path in PACKAGE.rglob("*.py"))
    return [".".join(path.parts).removesuffix("__init__").strip(".") for path in paths if path.parts]


def room_of(module: str) -> str:
    return module.split(".")[0]


def core_modules() -> list[str]:
    """The modules that know no socket, clock or wire."""
    return [
        module
        for module in modules()
        if room_of(module) in ("model", "policy", "forwarder", "planner")
        and module not in PLANNER_IPC_MODULES
    ]


def imported_names(module: str) -> Iterator[str]:
    """The full names that a module imports from anywhere, wherever in its source."""
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


def imported_rooms(module: str) -> set[str]:
    """The other rooms that a module imports from, and the shared rules by their full names."""
    prefix = "query_gateway."
    names = [name.removeprefix(prefix) for name in imported_names(module) if name.startswith(prefix)]
    return {shared_rule_of(name) or room_of(name) for name in names} - {room_of(module)}


def shared_rule_of(name: str) -> str | None:
    """The shared rule that an imported name stands for or stands in, if any."""
    return next((rule for rule in SHARED_RULES if among({name}, (rule,))), None)


def allowed_rooms(module: str) -> set[str] | None:
    """The rooms and shared rules that a module may import from, besides its own room; None: any."""
    room = room_of(module)
    if room in ("model", "net"):
        return set()
    if room in WIRE_ROOMS:
        return {"model", "forwarder", *WIRE_ROOMS}
    core = {
        "policy": {"model"} if module in SHARED_RULES else {"model", *SHARED_RULES},
        "forwarder": {"model", *SHARED_RULES},
        "planner": {"model", "policy", *SHARED_RULES},
    }
    if module in PLANNER_IPC_MODULES:
        return {*core["planner"], "net"}
    return core.get(room)  # absent: what starts, joins and ends the parts


def test_imports_between_rooms_point_down() -> None:
    """Wires to the forwarder, forwarder and planner to the model, the policy to the model alone.

    The forwarder enforces some rules that the scheduler plans by; of the policy it imports just those.
    """
    found = {module: imported_rooms(module) for module in modules()}
    assert {"http", "forwarder", "policy", "model"} <= {room_of(module) for module in found}
    upward = {
        module: rooms - allowed
        for module, rooms in found.items()
        if (allowed := allowed_rooms(module)) is not None and not rooms <= allowed
    }
    assert not upward


def modules_in_circles(imports: dict[str, set[str]]) -> set[str]:
    """The modules that import each other, directly or around a circle of several."""
    left = dict(imports)
    while True:
        lowest = {module for module, below in left.items() if not below & left.keys()}
        highest = left.keys() - set().union(*left.values())
        if not lowest | highest:
            return set(left)
        left = {module: below for module, below in left.items() if module not in lowest | highest}


def imports_between_modules(package: Path) -> dict[str, set[str]]:
    """What each module below a package imports of the others, by full names; a package is its `__init__`."""
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
    """The module that an imported name is, or stands in."""
    return next((each for each in (name, name.rpartition(".")[0]) if each in known_modules), None)


@pytest.mark.parametrize("package", ["query_gateway", "bench"])
def test_no_modules_import_each_other(package: str) -> None:
    """Also where an import is for type checking alone: within a package, too, there is one direction."""
    assert modules_in_circles(imports_between_modules(PACKAGE.parent / package)) == set()


def test_shared_rules_know_settings_and_times_but_no_state() -> None:
    """They import no decision and no record of the scheduler, so that either caller may ask them."""
    allowed = ("query_gateway.model.endpoints", "query_gateway.model.events", "query_gateway.model.settings")
    for rule in SHARED_RULES:
        named = {name for name in imported_names(rule) if name.startswith("query_gateway.")}
        assert named == among(named, allowed), rule


def test_no_two_rooms_of_wires_import_each_other() -> None:
    """Not around a circle of several, either."""
    rooms = {
        room: {name for module in modules() if room_of(module) == room for name in imported_rooms(module)}
        for room in WIRE_ROOMS
    }
    while bottom := {room for room, below in rooms.items() if not below & rooms.keys()}:
        rooms = {room: below for room, below in rooms.items() if room not in bottom}
    assert not rooms


def test_the_core_s_source_names_no_socket_clock_or_wire() -> None:
    core = core_modules()
    assert {"forwarder.exchange", "planner.planner", "planner.ipc_codec", "policy.scheduler"} <= set(core)
    named = {module: among(set(imported_names(module)), FORBIDDEN) for module in core}
    assert not {module: names for module, names in named.items() if names}


def test_the_core_imports_no_wire() -> None:
    found = loaded(*(f"query_gateway.{module}" for module in core_modules()))
    assert "query_gateway.forwarder.exchange" in found and not among(found, FORBIDDEN)


def test_the_forwarder_loads_no_planner_and_of_the_policy_the_shared_rules_alone() -> None:
    def loaded_with(room: str) -> set[str]:
        return loaded(*(f"query_gateway.{module}" for module in core_modules() if room_of(module) == room))

    model, policy = loaded_with("model"), loaded_with("policy")
    forwarder, planner = loaded_with("forwarder"), loaded_with("planner")
    assert not among(model, ("query_gateway.policy", "query_gateway.forwarder", "query_gateway.planner"))
    assert not among(policy, ("query_gateway.forwarder", "query_gateway.planner"))
    shared = {"query_gateway.policy", *(f"query_gateway.{rule}" for rule in SHARED_RULES)}
    assert among(forwarder, ("query_gateway.policy", "query_gateway.planner")) <= shared
    assert not among(planner, ("query_gateway.forwarder",))


def test_the_statements_import_no_wire_and_the_gateway_s_part_no_parser() -> None:
    found = loaded(*(f"query_gateway.statements.{part}" for part in STATEMENTS))
    wires = (*WIRES, "query_gateway.parsing", "h11", "h2", "google")
    assert "query_gateway.statements.classifier" in found and not among(found, (*wires, "sqlglot"))
    assert not among(loaded("query_gateway.statements.reader"), wires)
    assert not among(loaded("query_gateway.parsing.service"), ("sqlglot",))


def test_what_is_off_is_not_loaded() -> None:
    off = tuple(
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
    assert not among(found, (*off, "sqlglot", "pydantic", "msgspec", "click"))


def test_the_rpc_layer_knows_no_front() -> None:
    above = (
        *(wire for wire in WIRES if wire not in ("query_gateway.net", "query_gateway.rpc")),
        "query_gateway.forwarder",
        "google",
    )
    assert not among(loaded("query_gateway.rpc.connection", "query_gateway.rpc.status"), above)
