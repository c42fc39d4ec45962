"""Normalizes statements: the tokens with literals replaced by placeholders, and the literals in order.

Two texts normalize to the same tokens only if they differ in nothing but literals, parameters, the length of
lists of literals, the number of VALUES rows of one pattern, white space, comments, trailing semicolons or the
case of unquoted words. Column ordinals after BY are kept, because they are not values. A number of rows after
LIMIT becomes 1, or `sort_rows` + 1 if it exceeds `sort_rows`, as this decides whether some reads are reports.

The parser reads only the normalized statement (`NormalizedStatement.canonical`), never the original text, so
a parse result cannot depend on what was replaced. The code is optimized for speed: every statement passes it.
"""

from hashlib import blake2b
from typing import NamedTuple

from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.lexer import (
    MAX_LENGTH,
    OPERATORS,
    PUNCTUATION,
    check_depth,
    tokenize,
    unsupported_reason,
)

DIGITS = frozenset("0123456789")
NUMBER, STRING, PARAMETER = "#", "$", "?"  # placeholders for literals; no other normalized token equals one
SLOTS = frozenset((NUMBER, STRING, PARAMETER))
FIRST_NUMBER = 7_000_000  # the number in slot n is FIRST_NUMBER + n in the canonical text
ROW_LIMIT_WORDS = frozenset(("limit", "first", "next", "top"))  # keywords before a number of rows
BY_LIST_TERMINATORS = frozenset((
    "by", "having", "limit", "offset", "fetch", "order", "group", "window", "union", "except", "intersect",
    "select", "qualify", "rows", "range", "for", "from", "where",
))  # fmt: skip
CONSTANT_WORDS = frozenset(("null", "true", "false", "default"))  # kept in rows of VALUES
FINGERPRINT_BYTES = 16
# Bounds of the cache from tokens to their normalized form. Words are added on first use; when the cache is
# full, all words are dropped.
MAX_CACHED_TOKENS = 8_192
MAX_CACHED_TOKEN_LENGTH = 40  # characters
_FIXED_TOKENS = {mark: mark for mark in PUNCTUATION} | {
    op: one[0] for op, one in OPERATORS.items() if one == (op,)
}
for _context_dependent in ("?", ":", ";"):
    _FIXED_TOKENS.pop(_context_dependent, None)
_cached_tokens: dict[str, str] = dict(_FIXED_TOKENS)

SEPARATOR = "\0"  # between the pieces of an operator run; never part of a token
UNNUMBERED = "?"  # the literal of a positional parameter before numbering

Literal = str | list[str]  # as written; a list for an IN list or a column of VALUES rows


class NormalizedStatement(NamedTuple):
    """The tokens shared by all statements of one shape, and the literals of one such statement."""

    fingerprint: bytes  # digest of the tokens, FINGERPRINT_BYTES long
    tokens: list[str]
    literals: list[Literal]  # by slot

    @property
    def name(self) -> str:
        """The fingerprint in hexadecimal, for display."""
        return self.fingerprint.hex()

    def canonical(self) -> str:
        """Return the text to parse, in which each literal is replaced by one that encodes its slot."""
        parts, slot = [], 0
        for token in self.tokens:
            if token in SLOTS:
                parts.append(_slot_literal(token, slot))
                slot += 1
            else:
                parts.append(token)
        return " ".join(parts)


def _slot_literal(kind: str, slot: int) -> str:
    if kind == NUMBER:
        return str(FIRST_NUMBER + slot)
    return f"'s{slot}'" if kind == STRING else f":p{slot}"


def normalize(text: str, sort_rows: int = 1_000, max_length: int = MAX_LENGTH) -> NormalizedStatement:
    """Normalize one statement; trailing semicolons are removed.

    Raises UnsupportedStatementError.
    """
    tokens = tokenize(text, max_length)
    while tokens and tokens[-1] == ";":
        tokens.pop()
    if not tokens:
        raise UnsupportedStatementError("empty")
    check_depth(text, tokens)
    literals: list[Literal] = []
    out = _replace_literals(tokens, sort_rows, literals)
    fingerprint = blake2b(" ".join(out).encode(), digest_size=FINGERPRINT_BYTES).digest()
    return NormalizedStatement(fingerprint, out, literals)


def _replace_literals(tokens: list[str], sort_rows: int, literals: list[Literal]) -> list[str]:
    """Return the normalized tokens; append the literals that they replace to `literals`.

    `map` looks up all tokens at C speed, so only tokens that are not cached are visited one by one. An empty
    string in `out` stands for a removed token.
    """
    out: list[str | None] = list(map(_cached_tokens.get, tokens))
    needs_split = False  # a token is removed, or an element holds several pieces
    index, append = out.index, literals.append
    position = -1
    while True:
        try:
            position = index(None, position + 1)
        except ValueError:
            break
        token = tokens[position]
        initial = token[0]
        if initial in DIGITS:
            append(token)
            out[position] = NUMBER
        elif initial == "'":
            append(token)
            out[position] = STRING
        elif initial.isalpha() or initial == "_":
            needs_split = _normalize_word(tokens, position, out, literals, sort_rows) or needs_split
        else:
            needs_split = _normalize_symbol(tokens, position, out, literals) or needs_split
    if UNNUMBERED in literals:
        _number_parameters(literals)
    if needs_split:
        out = [piece for token in out if token for piece in token.split(SEPARATOR)]
    return out  # type: ignore[return-value]  # no element is None any more


def _normalize_word(
    tokens: list[str], position: int, out: list[str | None], literals: list[Literal], sort_rows: int
) -> bool:
    """Normalize an unquoted word, and the literals after VALUES, IN, BY or a word of ROW_LIMIT_WORDS.

    Returns whether tokens may have been removed.
    """
    token = tokens[position]
    if token[-1] == "'":  # without backslashes, e'...' and n'...' are equal to '...'
        literals.append(token[1:])
        out[position] = STRING
        return False
    normalized = out[position] = token.lower()
    if normalized == "values":
        return _collapse_rows(tokens, position + 1, out, literals)
    if normalized == "in":
        return _collapse_in_list(tokens, position + 1, out, literals)
    if normalized == "by":
        _keep_ordinals(tokens, position + 1, out)
    elif normalized in ROW_LIMIT_WORDS:
        _classify_row_limits(tokens, position + 1, out, sort_rows)
    elif len(token) < MAX_CACHED_TOKEN_LENGTH:
        _cache_token(token, normalized)
    return False


def _cache_token(token: str, normalized: str) -> None:
    # Bounded, as clients that keep sending new names would otherwise exhaust memory. Words in use are soon
    # cached again
    if len(_cached_tokens) >= MAX_CACHED_TOKENS:
        _cached_tokens.clear()
        _cached_tokens.update(_FIXED_TOKENS)
    _cached_tokens[token] = normalized


def _normalize_symbol(
    tokens: list[str], position: int, out: list[str | None], literals: list[Literal]
) -> bool:
    """Normalize a quoted name, parameter or operator run; returns whether `out` may now need a split."""
    token = tokens[position]
    initial = token[0]
    if initial in '"`':
        out[position] = token
        return False
    if initial == "$":
        literals.append(token)
        out[position] = PARAMETER
        return False
    if token == ";":
        raise UnsupportedStatementError("more than one statement")
    pieces = OPERATORS.get(token)
    if not pieces:
        raise UnsupportedStatementError(unsupported_reason(token))
    if pieces[-1] == "?":
        literals.append(UNNUMBERED)
        pieces = (*pieces[:-1], PARAMETER)
    elif pieces[-1] == ":" and position + 1 < len(tokens) and tokens[position + 1].isidentifier():
        literals.append(f":{tokens[position + 1]}")
        out[position + 1] = PARAMETER
        pieces = pieces[:-1]
    elif pieces[0] == "?":
        literals.append(UNNUMBERED)
        pieces = (PARAMETER, *pieces[1:])
    out[position] = SEPARATOR.join(pieces)
    return True


def _number_parameters(literals: list[Literal]) -> None:
    """Number positional parameters from 0 in the order of the text."""
    number = 0
    for slot, literal in enumerate(literals):
        if literal == UNNUMBERED:
            literals[slot] = f"?{number}"
            number += 1


def _keep_ordinals(tokens: list[str], start: int, out: list[str | None]) -> None:
    """Keep column ordinals: numbers that are complete items of the list after BY."""
    depth = 0
    previous = "by"
    for position in range(start, len(tokens)):
        token = tokens[position]
        if token in ("(", "["):
            depth += 1
        elif token in (")", "]"):
            depth -= 1
            if depth < 0:
                return
        elif depth == 0:
            if token[0].isdigit():
                if previous in ("by", ","):
                    out[position] = token
            elif token.lower() in BY_LIST_TERMINATORS:
                return
        previous = token


def _classify_row_limits(tokens: list[str], position: int, out: list[str | None], sort_rows: int) -> None:
    """Replace each number after a word of ROW_LIMIT_WORDS by 1, or by `sort_rows` + 1 if it is greater."""
    while position < len(tokens) and tokens[position][0].isdigit():
        out[position] = "1" if float(tokens[position]) <= sort_rows else str(sort_rows + 1)
        if position + 1 >= len(tokens) or tokens[position + 1] != ",":
            return
        position += 2


def _collapse_in_list(tokens: list[str], start: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Collapse an IN list of literals of one kind to one slot for the list: IN (1, 2, 3) becomes IN (#).

    Returns whether tokens are removed.
    """
    if start >= len(tokens) or tokens[start] != "(":
        return False
    list_kind, values = "", []
    for position in range(start + 1, len(tokens) - 1, 2):
        kind = _literal_kind(tokens[position])
        if not kind or (list_kind and kind != list_kind) or tokens[position + 1] not in (",", ")"):
            return False
        list_kind = kind
        values.append(tokens[position])
        if tokens[position + 1] == ")":
            literals.append(values)
            out[start + 1] = list_kind
            out[start + 2 : position + 1] = [""] * (position - start - 1)
            return position > start + 1
    return False


class _LiteralRow(NamedTuple):
    """One row of VALUES that contains only plain literals and constants."""

    literals: list[str]
    pattern: list[str]  # its tokens with placeholders for the literals
    end: int  # the position after the row


def _collapse_rows(tokens: list[str], start: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Collapse VALUES rows of one pattern: (1, 'a'), (2, 'b') becomes one row with two literals per slot.

    Returns False, without changes, if the first row contains more than plain literals and constants.
    """
    first_row = _read_row(tokens, start)
    if first_row is None:
        return False
    slots: list[list[str]] = [[value] for value in first_row.literals]
    end = first_row.end
    while end < len(tokens) and tokens[end] == ",":
        row = _read_row(tokens, end + 1)
        if row is None or row.pattern != first_row.pattern:
            break
        for slot, value in zip(slots, row.literals, strict=True):
            slot.append(value)
        end = row.end
    out[start:end] = [*first_row.pattern, *[""] * (end - start - len(first_row.pattern))]
    literals.extend(slots)
    return True


def _read_row(tokens: list[str], start: int) -> _LiteralRow | None:
    """Read the row at `start`; None if it contains more than plain literals and constants."""
    if start >= len(tokens) or tokens[start] != "(":
        return None
    values: list[str] = []
    pattern = ["("]
    for position in range(start + 1, len(tokens)):
        token = tokens[position]
        if kind := _literal_kind(token):
            values.append(token)
            pattern.append(kind)
        elif token in (",", "-"):
            pattern.append(token)
        elif token == ")":
            return _LiteralRow(values, [*pattern, ")"], position + 1)
        elif (constant := token.lower()) in CONSTANT_WORDS:
            pattern.append(constant)
        else:
            break
    return None


def _literal_kind(token: str) -> str:
    """Return NUMBER or STRING; empty for other tokens, also for parameters.

    Parameters are not collapsed, as the value bound to one depends on its position.
    """
    initial = token[0]
    if initial.isdigit():
        return NUMBER
    return STRING if initial == "'" else ""
