"""The form of an operator's file, checked whole: every fault with its place, not only the first.

Loaded only where such a file is named. `query_gateway.configuration.platform` turns what is checked here into
its own values.
"""

from collections.abc import Iterable
from ipaddress import IPv4Address, IPv4Network
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from query_gateway.net.stream import address_of

Address = Annotated[str, AfterValidator(lambda text: address_of(text) and text)]
Name = Annotated[str, Field(min_length=1, max_length=200)]


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Flight(Table):
    listen: Address
    query_class: Name = "lookup"
    update_class: Name = "load"


class Processes(Table):
    planners: Annotated[list[Address], Field(min_length=1, max_length=16)]
    forwarders: Annotated[int, Field(ge=1, le=16)] = 1


class Bgp(Table):
    peer: Address
    asn: Annotated[int, Field(gt=0, lt=2**32)]
    peer_asn: Annotated[int, Field(gt=0, lt=2**32)]
    identifier: Annotated[str, AfterValidator(lambda text: IPv4Address(text) and text)]
    next_hop: Annotated[str, AfterValidator(lambda text: IPv4Address(text) and text)]
    networks: Annotated[
        list[Annotated[str, AfterValidator(lambda text: IPv4Network(text) and text)]],
        Field(min_length=1, max_length=200),
    ]
    hold: Annotated[int, Field(ge=0, lt=65_536)] = 90
    again: Annotated[float, Field(gt=0)] = 5.0


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
    whole: bool = False
    type: Literal["any", "integer", "text"] = "any"

    def faults(self, dialect: str) -> Iterable[str]:
        if self.whole == bool(self.column):
            yield "needs a column, or whole = true, and not both"
        if self.column and self.type == "any" and dialect in ("mysql", "sqlite"):
            yield f"needs type: {dialect} compares texts and numbers in its own way"


class Statements(Table):
    dialect: Literal["ansi", "postgres", "mysql", "duckdb", "sqlite", "trino"] = "postgres"
    lookup: Name = "lookup"
    report: Name = "report"
    load: Annotated[str, Field(max_length=200)] = "load"  # empty: writes are turned down
    mismatch: Literal["refuse", "load"] = "refuse"
    web: bool = False  # the platform's front, too, turns down writes under a class that may run twice
    pure_functions: Annotated[list[Name], Field(max_length=1_000)] = []
    reports: Reports = Reports()
    keys: Annotated[list[Key], Field(max_length=256)] = []
    most_length: Annotated[int, Field(ge=100, le=65_536)] = 16_384
    shapes: Annotated[int, Field(ge=100, le=1_000_000)] = 10_000
    parsers: Annotated[int, Field(ge=1, le=16)] = 2
    snapshot: Annotated[str, Field(max_length=1_000)] = ""  # a file that keeps what was learned of costs


class File(Table):
    flight: Flight | None = None
    processes: Processes | None = None
    bgp: Bgp | None = None
    statements: Statements | None = None


def _told(bad: ValidationError) -> list[str]:
    told = []
    for fault in bad.errors():
        place = ".".join(str(part) for part in fault["loc"]) or "the file"
        text = "is missing" if fault["type"] == "missing" else fault["msg"].removeprefix("Value error, ")
        told.append(f"{place}: {'is not known' if fault['type'] == 'extra_forbidden' else text}")
    return told


def faults_of(raw: Any) -> list[str]:
    """Every fault of the form, `place: what`, in the file's order; an empty list if there is none."""
    told: list[str] = []
    try:
        file = File.model_validate(raw)
    except ValidationError as bad:
        return _told(bad)
    if file.bgp and file.bgp.hold in (1, 2):
        told.append("bgp.hold: is 0 or at least 3")
    if file.statements:
        for at, key in enumerate(file.statements.keys):
            told += [f"statements.keys.{at}: {fault}" for fault in key.faults(file.statements.dialect)]
    return told


# ---- the platform's configuration: the form of what must stand there; what it adds is read past


class Given(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True, frozen=True, populate_by_name=True)


Nanoseconds = Annotated[int | float, Field(gt=0)]


class Service(Given):
    name: Name
    aim: Nanoseconds
    give_up: Annotated[Nanoseconds, Field(alias="give-up")]
    repeat: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    worth: Annotated[int | float, Field(ge=0)] = 1.0


class SiteLimits(Given):
    max_attempts: Annotated[int, Field(alias="max-attempts", gt=0)]
    streams_per_conn: Annotated[int, Field(alias="streams-per-conn", gt=0)] = 32
    dial_timeout: Annotated[int, Field(alias="dial-timeout", gt=0)] = 250_000_000
    most_held: Annotated[int, Field(alias="most-held", gt=0)] = 30_000


class Site(Given):
    services: Annotated[list[Service], Field(min_length=1, max_length=64)]
    limits: SiteLimits


class Limits(Given):
    sockets: Annotated[int, Field(ge=32)] = 1_024


class Configuration(Given):
    listen: Address
    ops: Address | None = None
    journal: Address
    limits: Limits = Limits()
    known: dict[str, Any]
    settings: Site


def faults_of_configuration(raw: Any) -> list[str]:
    """Every fault of the configuration's form that can be told apart; `config_of` checks the rest."""
    try:
        Configuration.model_validate(raw)
    except ValidationError as bad:
        return _told(bad)
    return []
