"""Finds the table group of a statement: the numeric suffix of the name of the schema that it addresses.

`TableGroupScanner` is a scanner for SQL that is not fully parsed. It skips comments and string literals,
finds dotted names, and tells from the preceding keywords which of them are table names (`table_names`). It
works on the statement's UTF-8 bytes in small steps, so that a caller can pause between two of them, and keeps
nothing of the statement but the dotted name that it is in. Its time is proportional to the length of the
statement.
"""

import re
from dataclasses import dataclass

from query_gateway.forwarder.table_names import TableNameTracker

TOKENS_PER_STEP = 32
WINDOW_BYTES = 65_536  # of a literal, comment, word or white space that one token covers at most
MAX_VALUES = 256  # literals and marks that one token covers at most
MAX_NAME_BYTES = 4_096  # a longer name has no table group

# A mark, or a literal or comment without parentheses that a mark follows. A run of these changes the state of
# `TableNameTracker` as its marks alone do
_VALUE = rb"""(?:
    [(),;=+*<>]
  | (?: \d[\w.]{0,64}+
      | '[^'()]{0,256}+(?:''[^'()]{0,256}+){0,16}+'
      | [eE]'(?:[^'\\()]|\\[^()]|''){0,256}+'
      | /\*[^*/()]{0,256}+\*/
    )(?=\s{0,64}+[(),;=+*<>])
)"""
# `values` are many tokens at once, such as those of rows. A `word` or `number` is ASCII; a run with other
# characters is `mixed` and split by `_UNICODE_TOKEN`
_TOKEN = re.compile(
    rb"""
    [\s\x1c-\x1f]{0,%(window)d}+
    (?:
    (?P<values>(?:%(value)s\s{0,64}+){1,%(values)d}+)
  | (?P<line_comment>--)
  | (?P<block_comment>/\*)
  | (?P<escape_string>[eE]')
  | (?P<string>')
  | (?P<quoted>")
  | (?P<backquoted>`)
  | (?P<dollar>\$(?:[A-Za-z_][\w\x80-\xff]{0,63}+)?\$)
  | (?P<word>[A-Za-z_][\w$]{0,%(window)d}+(?![\x80-\xff]))
  | (?P<number>\d[\w.]{0,%(window)d}+(?![\x80-\xff]))
  | (?P<mixed>[\w\x80-\xff][\w.$\x80-\xff]{0,%(name)d}+)
  | (?P<dot>\.)
  | (?P<marks>[^\s\x1c-\x1f])
  | (?P<space>)
    )
    """
    % {b"window": WINDOW_BYTES, b"value": _VALUE, b"values": MAX_VALUES, b"name": MAX_NAME_BYTES},
    re.VERBOSE | re.DOTALL,
)
_UNICODE_TOKEN = re.compile(
    r"(?P<space>\s+)|(?P<word>[^\W\d][\w$]*)|(?P<number>\d[\w.]*)|(?P<mark>.)", re.DOTALL
)
_DOLLAR_TAG = re.compile(r"\$\w*\$")
_COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
_DELIMITER_BYTES = 2  # of `/*`, `*/`, and an escaped or doubled character


@dataclass(slots=True, frozen=True)
class _Quote:
    """One kind of quoted text: where its content may end, and whether it is a name."""

    end: re.Pattern[bytes]  # the quotation mark, or the start of an escape sequence
    is_name: bool


_QUOTES = {
    "string": _Quote(re.compile(rb"'"), False),
    "escape_string": _Quote(re.compile(rb"['\\]"), False),
    "quoted": _Quote(re.compile(rb'"'), True),
    "backquoted": _Quote(re.compile(rb"`"), True),
}


class TableGroupScanner:
    """Scans one statement step by step; `group` is the result once `is_done` is set."""

    def __init__(self, statement: bytes) -> None:
        """Start at the beginning of a statement in UTF-8; raises nothing, whatever its text."""
        self._text, self._position = statement, 0
        self._names = TableNameTracker()
        self._comment_depth = 0  # block comments nest
        self._quote: _Quote | None = None  # of the quoted text that the scanner is in
        self._quote_start = 0  # the position of its first byte
        self.is_done = False

    @property
    def group(self) -> int | None:
        """The group of the first table that has one, else of the first other name (such as a column)."""
        return self._names.group

    def step(self) -> None:
        """Scan up to `TOKENS_PER_STEP` further tokens."""
        for _ in range(TOKENS_PER_STEP):
            if self._position >= len(self._text):
                self._quote_ends(self._position)
                self._names.end()
                self.is_done = True
            elif self._names.has_table_group:
                self.is_done = True
            if self.is_done:
                return
            if self._comment_depth:
                self._scan_comment()
            elif self._quote:
                self._scan_quoted(self._quote)
            else:
                self._scan_token()

    def _scan_token(self) -> None:
        match = _TOKEN.match(self._text, self._position)
        if match is None:  # the last alternative of the pattern matches the empty string
            raise AssertionError("the token pattern does not match")
        kind, self._position = match.lastgroup, match.end()
        match kind:
            case "word":
                self._names.add_word(self._name_at(match.start(kind), self._position))
            case "number":
                self._names.add_value()
            case "values" | "marks":
                self._names.add_marks(match[kind].rstrip())
            case "dot":
                self._names.add_dot()
            case "mixed":
                self._scan_mixed(match.start(kind))
            case _:
                self._begin_skipped(match)

    def _begin_skipped(self, match: re.Match[bytes]) -> None:
        """Begin a quoted text or a comment; white space needs nothing more."""
        match match.lastgroup:
            case "string" | "escape_string" | "quoted" | "backquoted" as kind:
                self._quote, self._quote_start = _QUOTES[kind], self._position
            case "block_comment":
                self._comment_depth = 1
            case "line_comment":
                self._skip_past(b"\n")
            case "dollar":
                self._skip_dollar_string(match.start("dollar"), match["dollar"])

    def _skip_past(self, delimiter: bytes) -> None:
        """Continue after the next `delimiter`, or at the end of the statement if there is none."""
        found = self._text.find(delimiter, self._position)
        self._position = len(self._text) if found < 0 else found + len(delimiter)

    def _skip_dollar_string(self, start: int, delimiter: bytes) -> None:
        if _DOLLAR_TAG.fullmatch(delimiter.decode(errors="replace")):
            self._skip_past(delimiter)
        else:
            self._names.add_marks(b"$")
            self._position = start + 1

    def _scan_comment(self) -> None:
        """Continue at the next delimiter of a block comment, or at the end of the window."""
        window_end = self._position + WINDOW_BYTES
        mark = _COMMENT_DELIMITER.search(self._text, self._position, window_end)
        if mark is None:
            # The last byte of the window may be the first byte of a delimiter
            at_end = window_end >= len(self._text)
            self._position = len(self._text) if at_end else window_end - 1
            return
        self._comment_depth += 1 if mark.group() == b"/*" else -1
        self._position = mark.end()

    def _scan_quoted(self, quote: _Quote) -> None:
        """Continue after the next quotation mark or escape sequence, or at the end of the window."""
        window_end = self._position + WINDOW_BYTES
        mark = quote.end.search(self._text, self._position, window_end)
        if mark is None:
            self._position = min(window_end, len(self._text))
            return
        start = mark.start()
        is_doubled = self._text[start : start + _DELIMITER_BYTES] == 2 * mark.group()
        if is_doubled or mark.group() == b"\\":
            self._position = start + _DELIMITER_BYTES
            return
        self._quote_ends(start)
        self._position = start + 1

    def _quote_ends(self, end: int) -> None:
        """Pass the quoted text that ends before `end`, if there is one, to the tracker."""
        quote, self._quote = self._quote, None
        if quote is None:
            return
        if not quote.is_name:
            self._names.add_value()
            return
        mark = self._text[self._quote_start - 1 : self._quote_start]
        self._names.add_name(self._name_at(self._quote_start, end).replace(2 * mark, mark))

    def _name_at(self, start: int, end: int) -> bytes:
        """The bytes of a name; empty if it is too long to have a table group."""
        return self._text[start:end] if end - start <= MAX_NAME_BYTES else b""

    def _scan_mixed(self, start: int) -> None:
        """Split a run with characters outside ASCII, up to what only `_TOKEN` recognizes.

        That is a `$` that is not part of a word, and the letter before an escape string.
        """
        end = self._position
        while end < len(self._text) and self._text[end] & 0xC0 == 0x80:  # within a character of the next run
            end -= 1
        run = self._text[start : max(end, start + 1)].decode(errors="replace")
        for token in _UNICODE_TOKEN.finditer(run):
            kind, piece = token.lastgroup, token.group()
            begins_quote = (
                token.end() == len(run) and piece in ("e", "E") and self._text[end : end + 1] == b"'"
            )
            if piece == "$" or begins_quote:
                self._position = start + len(run[: token.start()].encode())
                return
            if kind == "word":
                self._names.add_word(piece.encode())
            elif kind == "number":
                self._names.add_value()
            elif piece == ".":
                self._names.add_dot()
            elif kind == "mark":
                self._names.add_marks(piece.encode())
        self._position = max(end, start + 1)


def table_group(statement: bytes) -> int | None:
    """Scan a complete statement at once; see `TableGroupScanner.group`."""
    scanner = TableGroupScanner(statement)
    while not scanner.is_done:
        scanner.step()
    return scanner.group
