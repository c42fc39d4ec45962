"""The operator's file, which enables the optional parts of the gateway: reading, validation and decoding.

The file is TOML. `schema` validates its structure and is imported only if such a file is used.
"""

import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network
from pathlib import Path
from typing import TYPE_CHECKING, Any

from query_gateway.bgp.settings import BgpSettings
from query_gateway.configuration.errors import ConfigurationError, ConfigurationFileError
from query_gateway.configuration.platform import Configuration, idempotent_classes
from query_gateway.net.log import log
from query_gateway.net.stream import address_of

if TYPE_CHECKING:
    from query_gateway.configuration import schema
    from query_gateway.statements.messages import Rules

OPERATOR_FILE_VARIABLE = "QUERY_GATEWAY_OPERATOR_FILE"
DEPRECATED_OPERATOR_FILE_VARIABLE = "MOTHKNOT_OPERATOR"


@dataclass(slots=True, frozen=True)
class StatementSettings:
    """The classification of statements: its rules, and the resources of the parser processes."""

    rules: "Rules"
    covers_http: bool = False  # the HTTP front also rejects writes under an idempotent class
    max_shapes: int = 10_000
    parser_count: int = 2
    snapshot_path: str = ""  # file for the learned costs; empty: they are lost when the process ends


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """The optional parts that an operator's file enables; all of them are disabled by default."""

    flight_address: tuple[str, int] | None = None
    query_class: str = "lookup"
    update_class: str = "load"
    bgp: BgpSettings | None = None
    planner_addresses: tuple[tuple[str, int], ...] = ()  # empty: the planner runs in the gateway process
    forwarder_count: int = 1
    statements: StatementSettings | None = None


def _decode_bgp(table: "schema.Bgp") -> BgpSettings:
    return BgpSettings(
        peer=address_of(table.peer),
        asn=table.asn,
        peer_asn=table.peer_asn,
        identifier=IPv4Address(table.identifier),
        next_hop=IPv4Address(table.next_hop),
        networks=tuple(IPv4Network(network) for network in table.networks),
        hold_time=table.hold_time,
        reconnect_delay=table.reconnect_delay,
    )


def _decode_statements(table: "schema.Statements") -> StatementSettings:
    from query_gateway.statements.messages import KeyRule, Rules

    rules = Rules(
        dialect=table.dialect,
        lookup=table.lookup,
        report=table.report,
        load=table.load or None,
        aggregates=table.reports.aggregates,
        windows=table.reports.windows,
        joins=table.reports.joins,
        unselective=table.reports.unselective,
        sort_rows=table.reports.sort_rows,
        pure=tuple(table.pure_functions),
        mismatch=table.mismatch,
        most_length=table.max_length,
        keys=tuple(KeyRule(key.table, key.column, key.type) for key in table.keys),
    )
    return StatementSettings(
        rules,
        covers_http=table.covers_http,
        max_shapes=table.max_shapes,
        parser_count=table.parser_count,
        snapshot_path=table.snapshot_path,
    )


def parse_statement_settings(raw: Any) -> StatementSettings | None:
    """Decode the table `statements` of a valid operator's file; None if the file does not have this table."""
    from query_gateway.configuration import schema

    table = schema.OperatorFile.model_validate(raw).statements
    return _decode_statements(table) if table else None


def find_operator_file_errors(raw: Any, configuration: Configuration | None) -> list[str]:
    """All errors of an operator's file.

    Its tables are checked against each other and against the configuration only if each is valid by itself
    and `configuration` is given.
    """
    from query_gateway.configuration import schema

    errors = schema.find_operator_file_errors(raw)
    if errors or configuration is None:
        return errors
    return list(_consistency_errors(schema.OperatorFile.model_validate(raw), configuration))


def _consistency_errors(file: "schema.OperatorFile", configuration: Configuration) -> Iterator[str]:
    if file.statements and not file.flight and not file.statements.covers_http:
        yield "statements: no front reads statements; add [flight] or set web = true"
    if file.flight:
        yield from _undefined_class_errors("flight.query_class", file.flight.query_class, configuration)
        yield from _undefined_class_errors("flight.update_class", file.flight.update_class, configuration)
    if file.statements:
        yield from _statement_class_errors(file.statements, configuration)
    if configuration.admin_address and file.processes and file.processes.forwarders > 1:
        yield "processes.forwarders: must be 1 with an admin address, as figures are not summed"


def _undefined_class_errors(location: str, name: str, configuration: Configuration) -> Iterator[str]:
    if name not in configuration.classes:
        yield f"{location}: class {name!r} is not defined in the settings"


def _statement_class_errors(table: "schema.Statements", configuration: Configuration) -> Iterator[str]:
    """Check that reads have idempotent classes, and writes a class that is not idempotent."""
    for key, name in (("lookup", table.lookup), ("report", table.report), ("load", table.load)):
        if not name:  # writes have no class and are rejected
            continue
        location = f"statements.{key}"
        if name not in configuration.classes:
            yield from _undefined_class_errors(location, name, configuration)
            continue
        is_idempotent = name in idempotent_classes(configuration)
        if is_idempotent is (key == "load"):
            problem = (
                "is idempotent: its writes could run twice"
                if is_idempotent
                else "is not idempotent: its reads could not be retried"
            )
            yield f"{location}: class {name!r} {problem}"


def parse_operator_settings(raw: Any, configuration: Configuration) -> OperatorSettings:
    """Validate and decode the TOML of an operator's file; raises ConfigurationError with the first error."""
    from query_gateway.configuration import schema

    errors = find_operator_file_errors(raw, configuration)
    if errors:
        more = f" (and {len(errors) - 1} more: run `query-gateway check`)" if len(errors) > 1 else ""
        raise ConfigurationError(f"the operator's file: {errors[0]}{more}")
    file = schema.OperatorFile.model_validate(raw)
    flight, processes = file.flight, file.processes
    return OperatorSettings(
        flight_address=address_of(flight.listen) if flight else None,
        query_class=flight.query_class if flight else "lookup",
        update_class=flight.update_class if flight else "load",
        bgp=_decode_bgp(file.bgp) if file.bgp else None,
        planner_addresses=tuple(address_of(text) for text in processes.planners) if processes else (),
        forwarder_count=processes.forwarders if processes else 1,
        statements=_decode_statements(file.statements) if file.statements else None,
    )


def load_operator_file(path: str) -> Any:
    """Read a TOML file without validating it; raises ConfigurationFileError if that fails."""
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigurationFileError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationFileError(f"{path} is not valid TOML ({error})") from None


def _operator_file_path(environ: Mapping[str, str]) -> str | None:
    """The path from the environment; the deprecated variable is used only if the current one is not set."""
    if path := environ.get(OPERATOR_FILE_VARIABLE):
        return path
    path = environ.get(DEPRECATED_OPERATOR_FILE_VARIABLE)
    if path:
        log(
            "configuration",
            f"{DEPRECATED_OPERATOR_FILE_VARIABLE} is deprecated; use {OPERATOR_FILE_VARIABLE}",
        )
    return path


def read_operator_settings(environ: Mapping[str, str], configuration: Configuration) -> OperatorSettings:
    """Read the file given by QUERY_GATEWAY_OPERATOR_FILE, if it is set; raises ConfigurationError."""
    path = _operator_file_path(environ)
    if not path:
        return OperatorSettings()
    return parse_operator_settings(load_operator_file(path), configuration)
