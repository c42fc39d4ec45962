"""Finds the table group of a statement: the numeric suffix of the name of the schema that it reads or writes.

This is a scanner for SQL that is not fully parsed. It skips comments and string literals, finds dotted names,
and tells from the preceding keywords which of them are table names.
"""

import re
from typing import NamedTuple

_TOKEN = re.compile(
    r"""
    (?P<skip>\s+|--[^\n]*|/\*)
  | (?P<string>[eE]'(?:[^'\\]|\\.|'')*'?|'(?:[^']|'')*'?)
  | (?P<dollar>\$(?P<tag>(?:[A-Za-z_]\w*)?)\$)
  | "(?P<quoted>(?:[^"]|"")*)"?
  | `(?P<backquoted>(?:[^`]|``)*)`?
  | (?P<word>[^\W\d][\w$]*)
  | (?P<number>\d[\w.]*)
  | (?P<mark>.)
    """,
    re.VERBOSE | re.DOTALL,
)
_WORDS_BEFORE_TABLE = {"from", "join", "into", "update", "table", "using", "only", "truncate", "overwrite"}
_WORDS_AFTER_TABLES = {"where", "group", "order", "set", "select", "having", "limit", "values"}
_SCHEMA_WITH_GROUP = re.compile(r".*_(\d{1,9})", re.DOTALL)

# The kind and the text of a token; a plain tuple for speed, as there is one for every word of every statement
Token = tuple[str, str]
_NAME = "name"  # a quoted name
_WORD = "word"  # a keyword or an unquoted name
_MARK = "mark"  # any other character, such as punctuation
_VALUE = "value"  # a literal; its text is not kept
_DOT = (_MARK, ".")


class _DottedName(NamedTuple):
    """A name of two or more parts, and whether it is in the position of a table name."""

    parts: list[str]
    is_table: bool


def _end_of_comment(text: str, start: int) -> int:
    """The end of a block comment whose opening delimiter ends at `start`; block comments nest."""
    depth = 1
    for mark in re.finditer(r"/\*|\*/", text[start:]):
        depth += 1 if mark.group() == "/*" else -1
        if depth == 0:
            return start + mark.end()
    return len(text)


def _end_of_dollar_string(text: str, start: int, delimiter: str) -> int:
    """The end of a dollar-quoted string whose opening delimiter ends at `start`."""
    end = text.find(delimiter, start)
    return len(text) if end < 0 else end + len(delimiter)


def _tokenize(text: str) -> list[Token]:
    """The tokens of a statement without white space and comments; unterminated tokens extend to the end."""
    tokens: list[Token] = []
    position = 0
    while match := _TOKEN.match(text, position):
        position = match.end()
        kind, piece = match.lastgroup, match.group()
        if piece == "/*":
            position = _end_of_comment(text, position)
        elif match["dollar"]:
            position = _end_of_dollar_string(text, position, piece)
        elif match["quoted"] is not None:
            tokens.append((_NAME, match["quoted"].replace('""', '"')))
        elif match["backquoted"] is not None:
            tokens.append((_NAME, match["backquoted"].replace("``", "`")))
        elif kind == "word":
            tokens.append((_WORD, piece))
        elif kind == "mark":
            tokens.append((_MARK, piece))
        elif kind in ("string", "number"):
            tokens.append((_VALUE, ""))
    return tokens


def _dotted_parts(tokens: list[Token], position: int) -> list[str]:
    """The parts of the dotted name that starts at a position."""
    parts = [tokens[position][1]]
    while position + 2 < len(tokens) and tokens[position + 1] == _DOT:
        kind, text = tokens[position + 2]
        if kind not in (_NAME, _WORD):
            break
        parts.append(text)
        position += 2
    return parts


def _dotted_names(tokens: list[Token]) -> list[_DottedName]:
    """The dotted names of a statement, in order."""
    names: list[_DottedName] = []
    position = 0
    table_follows = False  # whether the next name is a table name
    in_table_list = False  # whether a comma is followed by another table name
    while position < len(tokens):
        kind, text = tokens[position]
        position += 1
        if kind == _MARK:
            table_follows = in_table_list if text == "," else False
            in_table_list = in_table_list and text not in "()"
            continue
        if position < len(tokens) and tokens[position] == _DOT:
            parts = _dotted_parts(tokens, position - 1)
            position += 2 * (len(parts) - 1)
            if len(parts) > 1 and kind != _VALUE:
                names.append(_DottedName(parts, table_follows))
            is_keyword = len(parts) == 1 and kind == _WORD
        else:
            is_keyword = kind == _WORD
        keyword = text.lower() if is_keyword else ""
        table_follows = keyword in _WORDS_BEFORE_TABLE
        if table_follows:
            in_table_list = keyword == "from"
        elif keyword in _WORDS_AFTER_TABLES:
            in_table_list = False
    return names


def table_group(statement: str) -> int | None:
    """The group of the first table that has one, else of the first other name (such as a column) with one."""
    names = _dotted_names(_tokenize(statement))
    table_schemas = [name.parts[-2] for name in names if name.is_table]
    other_schemas = [name.parts[0] for name in names if not name.is_table]
    for schema in (*table_schemas, *other_schemas):
        if match := _SCHEMA_WITH_GROUP.fullmatch(schema):
            return int(match[1])
    return None
