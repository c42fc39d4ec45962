"""The form of both files: every fault with its location, not only the first.

Loaded only where an operator's file is named or a file is checked, as it needs pydantic. The modules
`platform` and `operator_file` decode the files after this check. Keys that differ from our names are aliases.
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
    """A table of the operator's file: an unknown key is a fault."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Flight(Table):
    """The Flight SQL front, and the classes of its queries and updates."""

    listen: Address
    query_class: Name = "lookup"
    update_class: Name = "load"


class Processes(Table):
    """Planners and forwarders as processes of their own."""

    planners: Annotated[list[Address], Field(min_length=1, max_length=16)]
    forwarders: Annotated[int, Field(ge=1, le=16)] = 1


class Bgp(Table):
    """The BGP session, and the networks that it announces. Times are in seconds."""

    peer: Address
    asn: AsNumber
    peer_asn: AsNumber
    identifier: Ipv4Address
    next_hop: Ipv4Address
    networks: Annotated[list[Ipv4Network], Field(min_length=1, max_length=200)]
    hold_time: Annotated[int, Field(alias="hold", ge=0, lt=65_536)] = 90
    reconnect_delay: Annotated[float, Field(alias="again", gt=0)] = 5.0


class Reports(Table):
    """Which reads are reports; the rest are lookups."""

    aggregates: bool = True
    windows: bool = True
    unselective: bool = True
    sort_rows: Annotated[int, Field(ge=0, le=1_000_000_000)] = 1_000
    joins: Annotated[int, Field(ge=0, le=1_000)] = 3


class Key(Table):
    """How loads of some tables are keyed: by a column, or all under one key."""

    table: Annotated[str, Field(pattern=r"^[^.\s]+(\.[^.\s]+){0,2}$", max_length=200)]
    column: Annotated[str, Field(max_length=200)] = ""
    is_single: Annotated[bool, Field(alias="whole")] = False  # all loads of the table have one key
    type: Literal["any", "integer", "text"] = "any"

    def faults(self, dialect: str) -> Iterator[str]:
        """What contradicts itself, or does not go with the dialect."""
        if self.is_single == bool(self.column):
            yield "needs a column, or whole = true, and not both"
        if self.column and self.type == "any" and dialect in ("mysql", "sqlite"):
            yield f"needs type: {dialect} compares texts and numbers in its own way"


class Statements(Table):
    """How bare SQL is classified and keyed."""

    dialect: Literal["ansi", "postgres", "mysql", "duckdb", "sqlite", "trino"] = "postgres"
    lookup: Name = "lookup"
    report: Name = "report"
    load: Annotated[str, Field(max_length=200)] = "load"  # empty: writes are rejected
    mismatch: Literal["refuse", "load"] = "refuse"
    covers_http: Annotated[bool, Field(alias="web")] = False  # the platform's front, too
    pure_functions: Annotated[list[Name], Field(max_length=1_000)] = []
    reports: Reports = Reports()
    keys: Annotated[list[Key], Field(max_length=256)] = []
    max_length: Annotated[int, Field(alias="most_length", ge=100, le=65_536)] = 16_384  # characters
    max_shapes: Annotated[int, Field(alias="shapes", ge=100, le=1_000_000)] = 10_000
    parser_count: Annotated[int, Field(alias="parsers", ge=1, le=16)] = 2
    snapshot_path: Annotated[str, Field(alias="snapshot", max_length=1_000)] = ""  # of learned costs


class OperatorFile(Table):
    """The operator's file: each table turns on what it names."""

    flight: Flight | None = None
    processes: Processes | None = None
    bgp: Bgp | None = None
    statements: Statements | None = None


def _describe(error: ValidationError) -> list[str]:
    """Each fault as `location: what`."""
    faults = []
    for details in error.errors():
        location = ".".join(str(part) for part in details["loc"]) or "the file"
        if details["type"] == "missing":
            text = "is missing"
        elif details["type"] == "extra_forbidden":
            text = "is not known"
        else:
            text = details["msg"].removeprefix("Value error, ")
        faults.append(f"{location}: {text}")
    return faults


def find_operator_faults(raw: Any) -> list[str]:
    """Every fault of the form of an operator's file, `location: what`, in the file's order."""
    try:
        file = OperatorFile.model_validate(raw)
    except ValidationError as error:
        return _describe(error)
    faults = []
    if file.bgp and file.bgp.hold_time in (1, 2):
        faults.append("bgp.hold: is 0 or at least 3")
    if file.statements:
        for index, key in enumerate(file.statements.keys):
            faults += [f"statements.keys.{index}: {fault}" for fault in key.faults(file.statements.dialect)]
    return faults


# ---- the platform's configuration


class PlatformTable(BaseModel):
    """A part of the platform's file, which may hold more than what is checked here."""

    model_config = ConfigDict(extra="ignore", strict=True, frozen=True)


Nanoseconds = Annotated[int | float, Field(gt=0)]


class RequestClass(PlatformTable):
    """A class of requests."""

    name: Name
    latency_objective: Annotated[Nanoseconds, Field(alias="aim")]
    timeout: Annotated[Nanoseconds, Field(alias="give-up")]
    idempotency: Annotated[Literal["idempotent", "deduplicated", "at_most_once"], Field(alias="repeat")] = (
        "idempotent"
    )
    weight: Annotated[int | float, Field(alias="worth", ge=0)] = 1.0


class SettingsLimits(PlatformTable):
    """The limits in the settings."""

    max_attempts: Annotated[int, Field(alias="max-attempts", gt=0)]
    streams_per_connection: Annotated[int, Field(alias="streams-per-conn", gt=0)] = 32
    dial_timeout: Annotated[int, Field(alias="dial-timeout", gt=0)] = 250_000_000  # nanoseconds
    max_open_requests: Annotated[int, Field(alias="most-held", gt=0)] = 30_000


class SettingsTable(PlatformTable):
    """The settings of the site."""

    classes: Annotated[list[RequestClass], Field(alias="services", min_length=1, max_length=64)]
    limits: SettingsLimits


class ProcessLimits(PlatformTable):
    """What the platform grants the process."""

    max_descriptors: Annotated[int, Field(alias="sockets", ge=32)] = 1_024


class PlatformFile(PlatformTable):
    """The platform's file."""

    listen_address: Annotated[Address, Field(alias="listen")]
    admin_address: Annotated[Address | None, Field(alias="ops")] = None
    discovery_address: Annotated[Address, Field(alias="journal")]
    limits: ProcessLimits = ProcessLimits()
    initial_endpoints: Annotated[dict[str, Any], Field(alias="known")]
    settings: SettingsTable


def find_configuration_faults(raw: Any) -> list[str]:
    """Every fault of the form of the platform's file; `parse_configuration` checks the rest."""
    try:
        PlatformFile.model_validate(raw)
    except ValidationError as error:
        return _describe(error)
    return []
