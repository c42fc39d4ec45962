"""The values of this package: rules, parse results and decisions."""

from typing import Literal

import msgspec


class KeyRule(msgspec.Struct, frozen=True):
    """How loads of some tables are keyed. `table` is a glob over schema and name, right-aligned."""

    table: str
    column: str = ""  # empty: all loads of these tables run under one key
    type: Literal["any", "integer", "text"] = "any"

    @property
    def has_single_key(self) -> bool:
        """Whether all loads of these tables share one key."""
        return not self.column

    @property
    def key_namespace(self) -> str:
        """Separates its keys from those of other rules; the same on every gateway."""
        return f"{self.table.casefold()}\0{self.column.casefold()}"


class Rules(msgspec.Struct, frozen=True):
    """How statements are classified. Class names are those of the platform's configuration."""

    dialect: str = "postgres"
    lookup: str = "lookup"  # class names
    report: str = "report"
    load: str | None = "load"  # None: writes are rejected
    aggregates: bool = True  # a read with one is a report
    windows: bool = True  # so is one with a window function
    unselective: bool = True  # so is one whose predicates select no rows by equality or IN
    sort_rows: int = 1_000  # a sort with a LIMIT up to this makes no report
    joins: int = 3  # a read with more joins is a report
    pure: tuple[str, ...] = ()  # functions known to write nothing, beside the built-in ones
    keys: tuple[KeyRule, ...] = ()
    mismatch: Literal["refuse", "load"] = "refuse"  # for a write that its client labels as a read
    most_length: int = 16_384  # characters of a statement


class LiteralReference(msgspec.Struct, frozen=True, array_like=True):
    """Where a value of the key stands: the slot of its literal, and the sign and cast before it."""

    slot: int  # index into the literals of the normalized statement
    negative: bool = False
    cast: Literal["", "integer", "text"] = ""


class ParseResult(msgspec.Struct, frozen=True, array_like=True):
    """What a full parse found in a normalized statement; it holds for every text that normalizes to it."""

    is_write: bool
    is_report: bool = False
    reason: str = ""  # why it counts as a write, or why it is rejected
    key_rule_index: int = -1  # of a load: its key rule in `Rules.keys`; -1: no key can be found
    key_references: tuple[LiteralReference, ...] = ()  # all must have one value
    is_parsed: bool = True  # False: rejected whatever its class
    verb: str = ""  # of a write of known kind: insert, update, delete, merge
    lacks_key_rule: bool = False  # such a write, of a table that no key rule covers


class Decision(msgspec.Struct, frozen=True):
    """What is decided about one statement. `reason`: why it is rejected or counts as a write."""

    class_name: str | None  # None: it is rejected
    is_write: bool
    is_idempotent: bool  # whether it may be retried
    key: str | None
    reason: str
    is_accepted: bool
