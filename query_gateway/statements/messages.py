"""The value types of this package: rules, parse results and decisions."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import msgspec


class KeyRule(msgspec.Struct, frozen=True):
    """How the loads of some tables are keyed.

    `table` is a glob such as `sales.order_*`; its dotted parts are matched from the right, the table's name
    first.
    """

    table: str
    column: str = ""  # empty: all loads of these tables share one key
    type: Literal["any", "integer", "text"] = "any"

    @property
    def has_single_key(self) -> bool:
        """Whether all loads of these tables share one key."""
        return not self.column

    @property
    def key_namespace(self) -> str:
        """Prefix that separates the rule's keys from those of other rules; identical on every gateway."""
        return f"{self.table.casefold()}\0{self.column.casefold()}"


class Rules(msgspec.Struct, frozen=True):
    """How statements are classified. The class names are those of the platform's configuration."""

    dialect: str = "postgres"
    lookup: str = "lookup"  # the default class of reads that are not reports
    report: str = "report"  # the default class of reads that meet a criterion below
    load: str | None = "load"  # the default class of writes; None: writes that need it are rejected
    aggregates: bool = True  # a read with an aggregate is a report
    windows: bool = True  # a read with a window function is a report
    # A read of tables without a selective predicate (equality or IN) is a report if it sorts and has no LIMIT
    # of at most `sort_rows`; if `unselective` is set, also if only one of the two holds
    unselective: bool = True
    sort_rows: int = 1_000
    joins: int = 3  # a read with more joins is a report
    pure: tuple[str, ...] = ()  # additional functions without side effects
    keys: tuple[KeyRule, ...] = ()
    # A write for which the client requests an idempotent class is rejected (`refuse`) or treated as a load
    # (`load`)
    mismatch: Literal["refuse", "load"] = "refuse"
    most_length: int = 16_384  # characters of a statement


@dataclass(slots=True, frozen=True)
class ClientTerms:
    """What a client asks for with its statement, and the classes under which it was sent."""

    requested_class: str | None = None
    requested_key: str | None = None
    parameters: Sequence[object] = ()  # the values bound to the statement's parameters
    # Under the settings that the request keeps; None: those in force
    idempotent_classes: frozenset[str] | None = None


class LiteralReference(msgspec.Struct, frozen=True, array_like=True):
    """The position of a key value: the slot of its literal, and the sign and cast applied to it."""

    slot: int  # index into the literals of the normalized statement
    negative: bool = False
    cast: Literal["", "integer", "text"] = ""


class ParseResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a full parse of a normalized statement, valid for every text that normalizes to it."""

    is_write: bool
    is_report: bool = False
    reason: str = ""  # why the statement is treated as a write, or why it is rejected
    key_rule_index: int = -1  # of a load: index in `Rules.keys`; -1: no key can be determined
    key_references: tuple[LiteralReference, ...] = ()  # all must refer to the same value
    is_parsed: bool = True  # False: rejected in every class
    verb: str = ""  # of a supported write: insert, update, delete or merge
    lacks_key_rule: bool = False  # a supported write to a table that no key rule covers


class Decision(msgspec.Struct, frozen=True):
    """The decision about one statement. `reason`: why it is rejected or treated as a write."""

    class_name: str | None  # None: rejected
    is_write: bool
    is_idempotent: bool  # the statement may run twice
    key: str | None
    reason: str
    is_accepted: bool
