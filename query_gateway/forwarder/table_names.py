"""Follows the tokens of a statement, and finds the first table group among the schemas of its dotted names.

A dotted name is a table name if it follows a keyword such as FROM, or a comma in the list after FROM.
"""

from enum import Enum

_WORDS_BEFORE_TABLE = frozenset(
    (b"from", b"join", b"into", b"update", b"table", b"using", b"only", b"truncate", b"overwrite")
)
_WORDS_AFTER_TABLES = frozenset(
    (b"where", b"group", b"order", b"set", b"select", b"having", b"limit", b"values")
)
_WORD_BEFORE_TABLE_LIST = b"from"
MAX_GROUP_DIGITS = 9


class _NameKind(Enum):
    """What a dotted name begins with."""

    WORD = "word"  # a keyword or an unquoted name
    QUOTED = "quoted"
    VALUE = "value"  # a literal, after which no names count


def _group_of_schema(schema: bytes) -> int | None:
    """The number after the last underscore of a schema's name, or None."""
    _, underscore, digits = schema.decode(errors="replace").rpartition("_")
    if underscore and len(digits) <= MAX_GROUP_DIGITS and digits.isdecimal():
        return int(digits)
    return None


class TableNameTracker:
    """Gets the tokens of a statement in order, without white space and comments.

    Keeps only the current dotted name and what was found.
    """

    def __init__(self) -> None:
        """Start before the first token."""
        self._kind: _NameKind | None = None  # of the dotted name that may continue; None: there is none
        self._first = self._schema = self._last = b""  # its first part, and its last two parts
        self._part_count = 0
        self._is_after_dot = False  # a dot has followed its last part
        self._table_follows = False  # whether the next name is a table name
        self._in_table_list = False  # whether a comma is followed by another table name
        self._table_group: int | None = None
        self._other_group: int | None = None

    @property
    def has_table_group(self) -> bool:
        """Whether a table name with a group was found, so that further tokens do not change the result."""
        return self._table_group is not None

    @property
    def group(self) -> int | None:
        """The group of the first table that has one, else of the first other name that has one."""
        return self._other_group if self._table_group is None else self._table_group

    def add_word(self, text: bytes) -> None:
        """Add an unquoted name or a keyword."""
        self._add_part(_NameKind.WORD, text)

    def add_name(self, text: bytes) -> None:
        """Add a quoted name, given without its quotation marks."""
        self._add_part(_NameKind.QUOTED, text)

    def add_value(self) -> None:
        """Add a literal."""
        self.end()
        self._start_name(_NameKind.VALUE, b"")

    def add_dot(self) -> None:
        """Add a dot."""
        if self._kind is not None and not self._is_after_dot:
            self._is_after_dot = True
        else:
            self.add_marks(b".")

    def add_marks(self, marks: bytes) -> None:
        """Add one or more other characters, such as punctuation."""
        self.end()
        if b"(" in marks or b")" in marks:
            self._in_table_list = False
        self._table_follows = self._in_table_list and marks.endswith(b",")

    def end(self) -> None:
        """End the current dotted name, if there is one: another token follows, or the statement ends."""
        if self._kind is None:
            return
        is_keyword = self._part_count == 1 and self._kind is _NameKind.WORD
        if self._part_count > 1 and self._kind is not _NameKind.VALUE:
            self._record_name()
        keyword = self._last.lower() if is_keyword else b""
        self._table_follows = keyword in _WORDS_BEFORE_TABLE
        if self._table_follows:
            self._in_table_list = keyword == _WORD_BEFORE_TABLE_LIST
        elif keyword in _WORDS_AFTER_TABLES:
            self._in_table_list = False
        if self._is_after_dot:
            self._table_follows = False
        self._kind, self._is_after_dot = None, False

    def _add_part(self, kind: _NameKind, text: bytes) -> None:
        if self._is_after_dot:
            self._schema, self._last = self._last, text
            self._part_count += 1
            self._is_after_dot = False
            return
        self.end()
        self._start_name(kind, text)

    def _start_name(self, kind: _NameKind, text: bytes) -> None:
        self._kind, self._first, self._last, self._part_count = kind, text, text, 1

    def _record_name(self) -> None:
        if self._table_follows:
            if self._table_group is None:
                self._table_group = _group_of_schema(self._schema)
        elif self._other_group is None:
            self._other_group = _group_of_schema(self._first)
