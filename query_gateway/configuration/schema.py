"""The structure of the operator's and the platform's file as pydantic models, which locate every error.

Imported only if an operator's file is used or a file is checked, as it imports pydantic. `platform` and
`operator_file` decode the files; `operator_file` only after this validation. Keys that differ from the field
names are aliases.
"""

from collections.abc import Iterator
from ipaddress import IPv4Address, IPv4Network
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from query_gateway.net.stream import address_of


def _check_address(text: str) -> str:
    address_of(text)
    return text


def _check_ipv4_address(text: str) -> str:
    IPv4Address(text)
    return text


def _check_ipv4_network(text: str) -> str:
    IPv4Network(text)
    return text


Address = Annotated[str, AfterValidator(_check_address)]  # ADDRESS:PORT
Ipv4Address = Annotated[str, AfterValidator(_check_ipv4_address)]
Ipv4Network = Annotated[str, AfterValidator(_check_ipv4_network)]
Name = Annotated[str, Field(min_length=1, max_length=200)]
AsNumber = Annotated[int, Field(gt=0, lt=2**32)]


class Table(BaseModel):
    """A table of the operator's file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Flight(Table):
    """The Flight SQL front, and the default classes of its queries and updates."""

    listen: Address
    query_class: Name = "lookup"
    update_class: Name = "load"


class Processes(Table):
    """Planners and forwarders that run as separate processes."""

    planners: Annotated[list[Address], Field(min_length=1, max_length=16)]
    forwarders: Annotated[int, Field(ge=1, le=16)] = 1


class Bgp(Table):
    """The BGP session and the networks that it announces. Times are in seconds."""

    peer: Address
    asn: AsNumber
    peer_asn: AsNumber
    identifier: Ipv4Address
    next_hop: Ipv4Address
    networks: Annotated[list[Ipv4Network], Field(min_length=1, max_length=200)]
    hold_time: Annotated[int, Field(alias="hold", ge=0, lt=65_536)] = 90
    reconnect_delay: Annotated[float, Field(alias="again", gt=0)] = 5.0


class Reports(Table):
    """The criteria by which a read is a report; all other reads are lookups."""

    aggregates: bool = True
    windows: bool = True
    unselective: bool = True
    sort_rows: Annotated[int, Field(ge=0, le=1_000_000_000)] = 1_000
    joins: Annotated[int, Field(ge=0, le=1_000)] = 3


class Key(Table):
    """The key rule for loads of the tables that `table` matches: a key from a column, or one key for all."""

    table: Annotated[str, Field(pattern=r"^[^.\s]+(\.[^.\s]+){0,2}$", max_length=200)]
    column: Annotated[str, Field(max_length=200)] = ""
    is_single: Annotated[bool, Field(alias="whole")] = False  # all loads of these tables share one key
    type: Literal["any", "integer", "text"] = "any"

    def consistency_errors(self, dialect: str) -> Iterator[str]:
        """Inconsistencies of the rule, within itself or with the dialect."""
        if self.is_single == bool(self.column):
            yield "needs either a column or whole = true, but not both"
        if self.column and self.type == "any" and dialect in ("mysql", "sqlite"):
            yield f"needs a type: {dialect} has its own rules for comparing strings with numbers"


class Statements(Table):
    """The classification of SQL statements and the key rules."""

    dialect: Literal["ansi", "postgres", "mysql", "duckdb", "sqlite", "trino"] = "postgres"
    lookup: Name = "lookup"
    report: Name = "report"
    load: Annotated[str, Field(max_length=200)] = "load"  # empty: writes are rejected
    mismatch: Literal["refuse", "load"] = "refuse"
    covers_http: Annotated[bool, Field(alias="web")] = False  # also applies to the HTTP front
    pure_functions: Annotated[list[Name], Field(max_length=1_000)] = []
    reports: Reports = Reports()
    keys: Annotated[list[Key], Field(max_length=256)] = []
    max_length: Annotated[int, Field(alias="most_length", ge=100, le=65_536)] = 16_384  # characters
    max_shapes: Annotated[int, Field(alias="shapes", ge=100, le=1_000_000)] = 10_000
    parser_count: Annotated[int, Field(alias="parsers", ge=1, le=16)] = 2
    snapshot_path: Annotated[str, Field(alias="snapshot", max_length=1_000)] = ""  # for the learned costs


class OperatorFile(Table):
    """The operator's file; each table enables an optional part of the gateway."""

    flight: Flight | None = None
    processes: Processes | None = None
    bgp: Bgp | None = None
    statements: Statements | None = None


def _format_errors(exception: ValidationError) -> list[str]:
    """Format each error as `location: message`."""
    errors = []
    for details in exception.errors():
        location = ".".join(str(part) for part in details["loc"]) or "the file"
        if details["type"] == "missing":
            text = "is missing"
        elif details["type"] == "extra_forbidden":
            text = "unknown key"
        else:
            text = details["msg"].removeprefix("Value error, ")
        errors.append(f"{location}: {text}")
    return errors


def find_operator_file_errors(raw: Any) -> list[str]:
    """All errors of an operator's file that show without the configuration, as `location: message`."""
    try:
        file = OperatorFile.model_validate(raw)
    except ValidationError as error:
        return _format_errors(error)
    errors = []
    if file.bgp and file.bgp.hold_time in (1, 2):
        errors.append("bgp.hold: must be 0 or at least 3")
    if file.statements:
        for index, key in enumerate(file.statements.keys):
            errors += [
                f"statements.keys.{index}: {error}"
                for error in key.consistency_errors(file.statements.dialect)
            ]
    return errors


# ---- the configuration of the platform


class PlatformTable(BaseModel):
    """An object in the platform's file; keys that are not declared here are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True, frozen=True)


Nanoseconds = Annotated[int | float, Field(gt=0)]


class RequestClass(PlatformTable):
    """A request class: its durations, its priority weight, and whether its requests may run again."""

    name: Name
    latency_objective: Annotated[Nanoseconds, Field(alias="aim")]
    timeout: Annotated[Nanoseconds, Field(alias="give-up")]
    idempotency: Annotated[Literal["idempotent", "deduplicated", "at_most_once"], Field(alias="repeat")] = (
        "idempotent"
    )
    weight: Annotated[int | float, Field(alias="worth", ge=0)] = 1.0


class SettingsLimits(PlatformTable):
    """The site's limits on attempts, streams per connection, dial time and open requests."""

    max_attempts: Annotated[int, Field(alias="max-attempts", gt=0)]
    streams_per_connection: Annotated[int, Field(alias="streams-per-conn", gt=0)] = 32
    dial_timeout: Annotated[int, Field(alias="dial-timeout", gt=0)] = 250_000_000  # nanoseconds
    max_open_requests: Annotated[int, Field(alias="most-held", gt=0)] = 30_000


class SettingsTable(PlatformTable):
    """The classes and limits in the settings of the site; `parse_settings` checks the other settings."""

    classes: Annotated[list[RequestClass], Field(alias="services", min_length=1, max_length=64)]
    limits: SettingsLimits


class ProcessLimits(PlatformTable):
    """The resource limits that the platform sets for the process."""

    max_descriptors: Annotated[int, Field(alias="sockets", ge=32)] = 1_024


class PlatformFile(PlatformTable):
    """The configuration file of the platform; `parse_configuration` checks what is not declared here."""

    listen_address: Annotated[Address, Field(alias="listen")]
    admin_address: Annotated[Address | None, Field(alias="ops")] = None
    discovery_address: Annotated[Address, Field(alias="journal")]
    limits: ProcessLimits = ProcessLimits()
    initial_endpoints: Annotated[dict[str, Any], Field(alias="known")]
    settings: SettingsTable


def find_configuration_errors(raw: Any) -> list[str]:
    """All structural errors of the platform's file; `parse_configuration` validates the rest."""
    try:
        PlatformFile.model_validate(raw)
    except ValidationError as error:
        return _format_errors(error)
    return []
