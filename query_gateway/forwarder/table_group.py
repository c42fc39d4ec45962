"""The table group of a statement: the number at the end of the name of the schema that it reads or writes."""

import re

TOKEN = re.compile(
    r"""
    (?P<skip>\s+|--[^\n]*|/\*)
  | (?P<string>[eE]'(?:[^'\\]|\\.|'')*'?|'(?:[^']|'')*'?)
  | (?P<dollar>\$(?P<tag>(?:[A-Za-z_]\w*)?)\$)
  | "(?P<quoted>(?:[^"]|"")*)"?
  | `(?P<ticked>(?:[^`]|``)*)`?
  | (?P<word>[^\W\d][\w$]*)
  | (?P<number>\d[\w.]*)
  | (?P<mark>.)
    """,
    re.VERBOSE | re.DOTALL,
)
BEFORE_TABLE = {"from", "join", "into", "update", "table", "using", "only", "truncate", "overwrite"}
AFTER_TABLES = {"where", "group", "order", "set", "select", "having", "limit", "values"}
GROUP = re.compile(r".*_(\d{1,9})", re.DOTALL)

Token = tuple[str, str]  # kind (name, key for an unquoted name, mark) and text


def _past_comment(text: str, at: int) -> int:
    """The end of a block comment whose opening ends at `at`; such comments nest."""
    depth = 1
    for found in re.finditer(r"/\*|\*/", text[at:]):
        depth += 1 if found.group() == "/*" else -1
        if depth == 0:
            return at + found.end()
    return len(text)


def tokens(text: str) -> list[Token]:
    out: list[Token] = []
    at = 0
    while found := TOKEN.match(text, at):
        at = found.end()
        kind, piece = found.lastgroup, found.group()
        if piece == "/*":
            at = _past_comment(text, at)
        elif found["dollar"]:
            end = text.find(piece, at)
            at = len(text) if end < 0 else end + len(piece)
        elif found["quoted"] is not None:
            out.append(("name", found["quoted"].replace('""', '"')))
        elif found["ticked"] is not None:
            out.append(("name", found["ticked"].replace("``", "`")))
        elif kind == "word":
            out.append(("word", piece))
        elif kind == "mark":
            out.append(("mark", piece))
        elif kind in ("string", "number"):
            out.append(("value", ""))
    return out


def _names(found: list[Token]) -> list[tuple[list[str], bool]]:
    """Every dotted name with its parts, and whether it stands where a table does."""
    names: list[tuple[list[str], bool]] = []
    at, table = 0, False  # `table`: the next name is a table's
    listing = False  # within a list of tables, where a comma brings another
    while at < len(found):
        kind, text = found[at]
        if kind == "mark":
            table = listing if text == "," else False
            listing = listing and text not in "()"
            at += 1
            continue
        parts = [text]
        while at + 2 < len(found) and found[at + 1] == ("mark", ".") and found[at + 2][0] in ("name", "word"):
            parts.append(found[at + 2][1])
            at += 2
        at += 1
        if kind == "word" and len(parts) == 1 and text.lower() in BEFORE_TABLE:
            table, listing = True, text.lower() == "from"
            continue
        if kind == "word" and len(parts) == 1 and text.lower() in AFTER_TABLES:
            listing = False
        if len(parts) > 1 and kind != "value":
            names.append((parts, table))
        table = False
    return names


def table_group(statement: str) -> int | None:
    """The first table's group; a name elsewhere (a column's) counts only if no table has one."""
    names = _names(tokens(statement))
    for table in (True, False):
        for parts, in_place in names:
            if in_place is not table:
                continue
            schema = parts[-2] if table else parts[0]
            found = GROUP.fullmatch(schema)
            if found:  # `staging` has no number, so it never counts
                return int(found[1])
    return None
