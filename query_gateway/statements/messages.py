"""The values of this package: what the rules say, what a parse found, what becomes of a statement."""

from typing import Literal

import msgspec


class KeyRule(msgspec.Struct, frozen=True):
    """How loads of some tables are keyed. `table` is a glob over schema and name, right-aligned."""

    table: str
    column: str = ""  # empty: all loads of these tables run under one key
    type: Literal["any", "integer", "text"] = "any"

    @property
    def whole(self) -> bool:
        return not self.column

    @property
    def domain(self) -> str:
        """What parts its keys from those of other rules; the same on every gateway."""
        return f"{self.table.casefold()}\0{self.column.casefold()}"


class Rules(msgspec.Struct, frozen=True):
    dialect: str = "postgres"
    lookup: str = "lookup"  # class names
    report: str = "report"
    load: str | None = "load"  # None: writes are turned down
    aggregates: bool = True  # a read with one is a report
    windows: bool = True
    unselective: bool = True  # and one whose predicates pick no rows by equality or IN
    sort_rows: int = 1_000  # a sort of no more rows, by its LIMIT, makes no report
    joins: int = 3  # nor do so many joins
    pure: tuple[str, ...] = ()  # functions known to write nothing, beside the built-in ones
    keys: tuple[KeyRule, ...] = ()
    mismatch: Literal["refuse", "load"] = "refuse"  # of a write that its client calls a read
    most_length: int = 16_384


class Ref(msgspec.Struct, frozen=True, array_like=True):
    """Where a value of the key stands: the slot of its literal, its sign, and what it is cast to."""

    slot: int
    negative: bool = False
    cast: Literal["", "integer", "text"] = ""


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """What a full parse found of a shape; it holds for every text of that shape."""

    writes: bool
    report: bool = False
    reason: str = ""  # why it counts as a write, or why it is turned down
    rule: int = -1  # of a load: the place of its key rule
    refs: tuple[Ref, ...] = ()  # all must have one value
    parsed: bool = True  # False: turned down whatever its class
    verb: str = ""  # of a write of known kind: insert, update, delete, merge
    uncovered: bool = False  # such a write, of a table that no key rule speaks of


class Judgement(msgspec.Struct, frozen=True):
    """What becomes of one statement. `reason` says why it is turned down or counts as a write."""

    cls: str | None
    writes: bool
    repeatable: bool
    key: str | None
    reason: str
    taken: bool
