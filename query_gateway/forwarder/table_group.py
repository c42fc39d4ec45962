"""The table group of a statement: the number at the end of the name of the schema that it reads or writes.

A scanner for SQL that is not parsed further: it skips comments and string literals, finds dotted names, and
knows from the words around them which ones are the names of tables.
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

# The kind and the text of a token: a plain tuple, as one is made for every word of every statement
Token = tuple[str, str]
_NAME = "name"  # a quoted name
_WORD = "word"  # a keyword or a name without quotes
_MARK = "mark"  # any other character
_VALUE = "value"  # a literal, whose text does not matter
_DOT = (_MARK, ".")


class _DottedName(NamedTuple):
    """A name of two or more parts, and whether it stands where a table's name does."""

    parts: list[str]
    is_table: bool


def _end_of_comment(text: str, start: int) -> int:
    """The end of a block comment whose opening mark ends at `start`; such comments nest."""
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
    """The tokens of a statement without its space and comments; what is not closed goes on to the end."""
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
    """The parts of the name that begins at a position, with the dots between them taken off."""
    parts = [tokens[position][1]]
    while position + 2 < len(tokens) and tokens[position + 1] == _DOT:
        kind, text = tokens[position + 2]
        if kind not in (_NAME, _WORD):
            break
        parts.append(text)
        position += 2
    return parts


def _dotted_names(tokens: list[Token]) -> list[_DottedName]:
    """Every dotted name of a statement, in order."""
    names: list[_DottedName] = []
    position = 0
    table_follows = False  # whether the next name is a table's
    in_table_list = False  # whether another table's name follows a comma
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
    """The first table's group; a name elsewhere (a column's) counts only if no table has one."""
    names = _dotted_names(_tokenize(statement))
    table_schemas = [name.parts[-2] for name in names if name.is_table]
    other_schemas = [name.parts[0] for name in names if not name.is_table]
    for schema in (*table_schemas, *other_schemas):
        if match := _SCHEMA_WITH_GROUP.fullmatch(schema):
            return int(match[1])
    return None
