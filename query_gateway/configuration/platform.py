"""The configuration, read once: the platform's JSON, and an operator's file where there is one."""

import json
import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network
from pathlib import Path
from typing import TYPE_CHECKING, Any

from query_gateway.bgp.session import BgpSettings
from query_gateway.configuration.settings_parser import SettingsError, settings_of
from query_gateway.discovery.endpoint_list import (
    EndpointListAnswer,
    EndpointListError,
    ZoneAndKindNames,
    parse_answer,
)
from query_gateway.forwarder.messages import RequestClass, RequestClasses
from query_gateway.model.settings import Idempotency, Settings
from query_gateway.net.stream import address_of

if TYPE_CHECKING:
    from query_gateway.configuration import schema
    from query_gateway.statements.messages import Rules

MOST_CLASSES = 64
MAY_LACK = frozenset(("aim-stretch", "in-turn", "bound-to", "stays-in"))  # of a class: the wire's page
PER_CLASS = ("parallelism", "loads", "waits-for-loads")  # lists with a value for each class


class ConfigurationError(Exception):
    """What is wrong with the configuration, in one line."""


@dataclass(slots=True, frozen=True)
class Configuration:
    name: str
    listen_address: tuple[str, int]
    admin_address: tuple[str, int] | None  # the second address
    seed: int
    max_descriptors: int
    discovery_address: str
    initial_endpoints: EndpointListAnswer
    settings: Settings
    zones_and_kinds: ZoneAndKindNames
    classes: RequestClasses
    streams_per_connection: int  # attempts on one connection
    dial_timeout: float  # seconds
    connection_idle_timeout: float
    max_open_requests: int
    setting_paths: frozenset[str]  # all that the file states; a new one must state as much


@dataclass(slots=True, frozen=True)
class StatementSettings:
    """How statements are read: the rules, and what the reading takes."""

    rules: "Rules"
    covers_http: bool = False
    max_shapes: int = 10_000
    parser_count: int = 2
    snapshot_path: str = ""


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """What an operator's file turns on; nothing on the platform."""

    flight_address: tuple[str, int] | None = None
    query_class: str = "lookup"
    update_class: str = "load"
    bgp: BgpSettings | None = None
    planner_addresses: tuple[
        tuple[str, int], ...
    ] = ()  # where each listens, if they are processes of their own
    forwarder_count: int = 1
    statements: StatementSettings | None = None


def keys_of(value: Any, path: str = "") -> frozenset[str]:
    """The paths of all keys; of a list of objects, those that stand in each. Events are no settings."""
    if isinstance(value, dict):
        parts = {f"{path}.{key}" if path else str(key): told for key, told in value.items()}
        inner = (keys_of(told, at) for at, told in parts.items() if not at.startswith("known."))
        return frozenset(parts).union(*inner)
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        each = [keys_of(v, f"{path}[]") for v in value]
        return each[0].intersection(*each[1:])
    return frozenset()


def check_kept(old: Configuration, new: Configuration) -> None:
    """A file at SIGHUP must state all that the one in force does: no default stands in for what it lacks."""
    lacking = sorted(
        key for key in old.setting_paths - new.setting_paths
        if not (key.startswith("settings.services[].") and key.rpartition(".")[2] in MAY_LACK)
    )  # fmt: skip
    if lacking:
        raise ConfigurationError(f"{lacking[0]} is missing")


def _positive(value: Any, what: str, whole: bool = False) -> None:
    if type(value) not in (int, float) or not 0 < value < math.inf or (whole and value != int(value)):
        raise ConfigurationError(f"{what} is no positive number")


def _check_figures(settings: Any) -> None:
    """What a lenient reader would let pass: true, 0, a string or no number where a figure must stand."""
    services = settings["services"]
    names = [s["name"] for s in services]
    if len(set(names)) < len(names) or len(names) > MOST_CLASSES or not all(type(n) is str for n in names):
        raise ConfigurationError(f"the classes need names of their own, and there may be {MOST_CLASSES}")
    for service in services:
        for key in ("aim", "give-up"):
            _positive(service[key], f"{key} of class {service['name']}")
    _positive(settings["limits"]["max-attempts"], "max-attempts", True)
    for key in PER_CLASS:
        told = settings.get("family-info", {}).get(key)
        if told is not None and len(told) != len(names):
            raise ConfigurationError(f"{key} has no value for each class")


def _no_number(text: str) -> Any:
    raise ValueError(f"{text} is no number")


def flatten(value: Any, path: str = "") -> list[str]:
    """Nested JSON as the path=value words of the simulator's first message."""
    if isinstance(value, dict):
        return [w for k, v in value.items() for w in flatten(v, f"{path}.{k}" if path else str(k))]
    if isinstance(value, list) and any(isinstance(v, dict) for v in value):
        words = [f"{path}.count={len(value)}"]
        return words + [w for i, v in enumerate(value) for w in flatten(v, f"{path}.{i}")]
    if isinstance(value, list):
        return [f"{path}={','.join(_plain(v) for v in value)}"]
    return [f"{path}={_plain(value)}"]


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return "-"
    return str(value).replace(" ", "_").replace(",", "_")


def config_of(raw: Any, environ: Mapping[str, str]) -> Configuration:
    try:
        settings_raw, limits = raw["settings"], raw.get("limits", {})
        ops = environ.get("ROUTER_OPS") or raw.get("ops")
        _check_figures(settings_raw)
        settings = settings_of(flatten(settings_raw))
        settings.check()
        services = settings_raw["services"]
        site_limits = settings_raw.get("limits", {})
        zones, kinds = settings_raw.get("zones", []), settings_raw.get("flavors", [])
        names = ZoneAndKindNames([str(z) for z in zones], [str(k) for k in kinds])
        initial_endpoints = parse_answer(raw["known"], names)
        address_of(str(raw["journal"]))
        config = Configuration(
            name=str(raw.get("name") or environ.get("ROUTER_NAME", "gateway")),
            listen_address=address_of(str(environ.get("ROUTER_LISTEN") or raw["listen"])),
            admin_address=address_of(str(ops)) if ops else None,
            seed=int(str(raw.get("seed", "0")), 16) % 2**63,
            max_descriptors=int(limits.get("sockets", 1024)),
            discovery_address=str(raw["journal"]),
            initial_endpoints=initial_endpoints,
            settings=settings,
            zones_and_kinds=names,
            classes={
                str(s["name"]): RequestClass(i, s.get("repeat") == "deduplicated", bool(s.get("in-turn")))
                for i, s in enumerate(services)
            },
            streams_per_connection=int(site_limits.get("streams-per-conn", 32)),
            dial_timeout=int(site_limits.get("dial-timeout", 250_000_000)) / 1e9,
            connection_idle_timeout=int(site_limits.get("conn-idle", 15_000_000_000)) / 1e9,
            max_open_requests=int(site_limits.get("most-held", 30_000)),
            setting_paths=keys_of(raw),
        )
    except SettingsError as bad:
        raise ConfigurationError(str(bad)) from None
    except EndpointListError as bad:
        raise ConfigurationError(f"known: {bad}") from None
    except KeyError as bad:
        raise ConfigurationError(f"{bad.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise ConfigurationError(f"a value is unusable ({bad})") from None
    if (
        config.max_descriptors < 32
        or config.streams_per_connection < 1
        or config.max_open_requests < 1
        or config.dial_timeout <= 0
    ):
        raise ConfigurationError("limits leave no room to work in")
    if config.admin_address == config.listen_address and config.listen_address[1]:
        raise ConfigurationError("ops is the clients' address")
    return config


def raw_of(path: str) -> Any:
    """What a configuration file holds, not yet checked."""
    try:
        return json.loads(Path(path).read_text(), parse_constant=_no_number)
    except OSError as bad:
        raise ConfigurationError(f"{path}: {bad.strerror}") from None
    except (ValueError, RecursionError) as bad:
        raise ConfigurationError(f"{path} is not JSON ({bad})") from None


def read(environ: Mapping[str, str]) -> Configuration:
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationError("ROUTER_CONFIG names no file")
    return config_of(raw_of(path), environ)


def _bgp_of(told: "schema.Bgp") -> BgpSettings:
    return BgpSettings(
        peer=address_of(told.peer),
        asn=told.asn,
        peer_asn=told.peer_asn,
        identifier=IPv4Address(told.identifier),
        next_hop=IPv4Address(told.next_hop),
        networks=tuple(IPv4Network(n) for n in told.networks),
        hold_time=told.hold,
        reconnect_delay=told.again,
    )


def _statements_of(told: "schema.Statements") -> "StatementSettings":
    from query_gateway.statements.messages import KeyRule, Rules

    rules = Rules(
        dialect=told.dialect, lookup=told.lookup, report=told.report, load=told.load or None,
        aggregates=told.reports.aggregates, windows=told.reports.windows, joins=told.reports.joins,
        unselective=told.reports.unselective, sort_rows=told.reports.sort_rows,
        pure=tuple(told.pure_functions), mismatch=told.mismatch, most_length=told.most_length,
        keys=tuple(KeyRule(key.table, key.column, key.type) for key in told.keys),
    )  # fmt: skip
    return StatementSettings(rules, told.web, told.shapes, told.parsers, told.snapshot)


def reading_of(raw: Any) -> StatementSettings | None:
    """The table `statements` of an operator's file that has no faults."""
    from query_gateway.configuration import schema

    told = schema.File.model_validate(raw).statements
    return _statements_of(told) if told else None


def faults_of_operator(raw: Any, config: Configuration | None) -> list[str]:
    """Every fault of an operator's file: its form, and what does not go with the configuration."""
    from query_gateway.configuration import schema

    told = schema.faults_of(raw)
    if told:
        return told
    file = schema.File.model_validate(raw)
    if config is None:
        return []
    named: dict[str, str] = {}
    if file.flight:
        named["flight.query_class"] = file.flight.query_class
        named["flight.update_class"] = file.flight.update_class
    if file.statements:
        s = file.statements
        named |= {"statements.lookup": s.lookup, "statements.report": s.report}
        named |= {"statements.load": s.load} if s.load else {}
        if not file.flight and not s.web:
            told.append("statements: no front reads statements: it needs [flight], or web = true")
    for place, name in named.items():
        if name not in config.classes:
            told.append(f"{place}: names class {name!r}, which the settings lack")
        elif place in ("statements.lookup", "statements.report", "statements.load"):
            safe = name in safe_classes(config)
            if safe is (place == "statements.load"):
                may = "may" if safe else "may not"
                told.append(f"{place}: names class {name!r}, whose requests {may} run twice")
    if config.admin_address and file.processes and file.processes.forwarders > 1:
        told.append("processes.forwarders: the second address needs one forwarder: figures are not added up")
    return told


def safe_classes(config: Configuration) -> frozenset[str]:
    """The classes whose requests may run twice."""
    classes = config.settings.classes
    return frozenset(
        n for n, told in config.classes.items() if classes[told.index].idempotency is Idempotency.IDEMPOTENT
    )


def operator_of(raw: Any, config: Configuration) -> OperatorSettings:
    from query_gateway.configuration import schema

    faults = faults_of_operator(raw, config)
    if faults:
        more = f" (and {len(faults) - 1} more: see `query-gateway check`)" if len(faults) > 1 else ""
        raise ConfigurationError(f"the operator's file: {faults[0]}{more}")
    file = schema.File.model_validate(raw)
    flight, processes = file.flight, file.processes
    return OperatorSettings(
        flight_address=address_of(flight.listen) if flight else None,
        query_class=flight.query_class if flight else "lookup",
        update_class=flight.update_class if flight else "load",
        bgp=_bgp_of(file.bgp) if file.bgp else None,
        planner_addresses=tuple(address_of(a) for a in processes.planners) if processes else (),
        forwarder_count=processes.forwarders if processes else 1,
        statements=_statements_of(file.statements) if file.statements else None,
    )


def read_operator(environ: Mapping[str, str], config: Configuration) -> OperatorSettings:
    """The file that MOTHKNOT_OPERATOR names, if it names one."""
    path = environ.get("MOTHKNOT_OPERATOR")
    return operator_of(raw_of_operator(path), config) if path else OperatorSettings()


def raw_of_operator(path: str) -> Any:
    """What an operator's file holds, not yet checked."""
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as bad:
        raise ConfigurationError(f"{path}: {bad.strerror}") from None
    except ValueError as bad:
        raise ConfigurationError(f"{path} is not TOML ({bad})") from None
