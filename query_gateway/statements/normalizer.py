"""Normalized statements: a statement's tokens with the literals replaced, and those literals in order.

Two texts normalize to one statement only if they differ in literals, in the length of lists of literals, in
rows of VALUES of one form, in white space, comments or the case of unquoted words. Two kinds of numbers are
kept, as they are no values: numbers of columns after BY, and whether a number after LIMIT is above
`sort_rows`, on which a rule depends.

The parser reads the normalized statement, never the text (`NormalizedStatement.canonical`), so a decision
cannot depend on what was replaced. Every statement passes here, so the code is written for speed.
"""

from hashlib import blake2b
from typing import NamedTuple

from query_gateway.statements.errors import UnsupportedStatementError
from query_gateway.statements.lexer import (
    MARKS,
    MAX_LENGTH,
    OPERATORS,
    check_depth,
    tokenize,
    unsupported_reason,
)

DIGITS = frozenset("0123456789")
NUMBER, STRING, PARAMETER = "#", "$", "?"  # in place of a literal; no token of a text looks like these
SLOTS = frozenset((NUMBER, STRING, PARAMETER))
FIRST_NUMBER = 7_000_000  # the parser reads the number of slot n as FIRST_NUMBER + n
ROW_LIMIT_WORDS = frozenset(("limit", "first", "next", "top"))  # before a number of rows
BY_LIST_TERMINATORS = frozenset((
    "by", "having", "limit", "offset", "fetch", "order", "group", "window", "union", "except", "intersect",
    "select", "qualify", "rows", "range", "for", "from", "where",
))  # fmt: skip
CONSTANT_WORDS = frozenset(("null", "true", "false", "default"))  # values of a row, but no literals
FINGERPRINT_BYTES = 16
# Tokens with their normalized form; words are added as they come, and all words are dropped at this number
MAX_CACHED_TOKENS = 8_192
MAX_CACHED_TOKEN_LENGTH = 40  # characters
_FIXED_TOKENS = {mark: mark for mark in MARKS} | {op: one[0] for op, one in OPERATORS.items() if one == (op,)}
for _special in ("?", ":", ";"):
    _FIXED_TOKENS.pop(_special, None)
_cached_tokens: dict[str, str] = dict(_FIXED_TOKENS)

SEPARATOR = "\0"  # between the pieces of an operator run; no token holds it
UNNUMBERED = "?"  # the literal of a positional parameter until all are known

Literal = str | list[str]  # as written; of a list or of rows of VALUES, one for each


class NormalizedStatement(NamedTuple):
    """The tokens that all texts of one shape share, and the literals of one of them."""

    fingerprint: bytes  # FINGERPRINT_BYTES long, over the tokens
    tokens: list[str]
    literals: list[Literal]  # by slot

    @property
    def name(self) -> str:
        """The fingerprint in hexadecimal, as it is printed."""
        return self.fingerprint.hex()

    def canonical(self) -> str:
        """The text that is parsed: each literal replaced by one that holds its slot."""
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
    """The normalized form of one statement; closing semicolons are left out.

    Raises UnsupportedStatementError.
    """
    tokens = tokenize(text, max_length)
    while tokens and tokens[-1] == ";":
        tokens.pop()
    if not tokens:
        raise UnsupportedStatementError("empty")
    check_depth(text, tokens)
    literals: list[Literal] = []
    out = _fold(tokens, sort_rows, literals)
    fingerprint = blake2b(" ".join(out).encode(), digest_size=FINGERPRINT_BYTES).digest()
    return NormalizedStatement(fingerprint, out, literals)


def _fold(tokens: list[str], sort_rows: int, literals: list[Literal]) -> list[str]:
    """The tokens with the literals replaced, which are appended to `literals`.

    `map` looks all tokens up at C speed; only tokens that are not cached are visited one by one. An empty
    text in `out` stands for a token that is left out.
    """
    out: list[str | None] = list(map(_cached_tokens.get, tokens))
    needs_split = False  # a token is left out, or an element holds several pieces
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
            needs_split = _fold_word(tokens, position, out, literals, sort_rows) or needs_split
        else:
            needs_split = _fold_symbol(tokens, position, out, literals) or needs_split
    if UNNUMBERED in literals:
        _number_parameters(literals)
    if needs_split:
        out = [piece for token in out if token for piece in token.split(SEPARATOR)]
    return out  # type: ignore[return-value]  # no element is None any more


def _fold_word(
    tokens: list[str], position: int, out: list[str | None], literals: list[Literal], sort_rows: int
) -> bool:
    """An unquoted word, with the literals that it governs; returns whether tokens are left out."""
    token = tokens[position]
    if token[-1] == "'":  # e'...' and n'...': without a backslash the same as '...'
        literals.append(token[1:])
        out[position] = STRING
        return False
    normalized = out[position] = token.lower()
    if normalized == "values":
        return _fold_rows(tokens, position + 1, out, literals)
    if normalized == "in":
        return _fold_members(tokens, position + 1, out, literals)
    if normalized == "by":
        _keep_ordinals(tokens, position + 1, out)
    elif normalized in ROW_LIMIT_WORDS:
        _classify_row_limits(tokens, position + 1, out, sort_rows)
    elif len(token) < MAX_CACHED_TOKEN_LENGTH:
        _cache_token(token, normalized)
    return False


def _cache_token(token: str, normalized: str) -> None:
    # Clients that send ever new names would fill the memory; the words in use are soon cached again
    if len(_cached_tokens) >= MAX_CACHED_TOKENS:
        _cached_tokens.clear()
        _cached_tokens.update(_FIXED_TOKENS)
    _cached_tokens[token] = normalized


def _fold_symbol(tokens: list[str], position: int, out: list[str | None], literals: list[Literal]) -> bool:
    """A quoted name, a parameter or a run of operators; returns whether it holds several pieces."""
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
    """Positional parameters are numbered from 0 in the order of the text."""
    number = 0
    for slot, literal in enumerate(literals):
        if literal == UNNUMBERED:
            literals[slot] = f"?{number}"
            number += 1


def _keep_ordinals(tokens: list[str], start: int, out: list[str | None]) -> None:
    """Keep the numbers that stand for a column: items of their own in the list after BY."""
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
    """After LIMIT and similar words only whether a number is within `sort_rows` matters."""
    while position < len(tokens) and tokens[position][0].isdigit():
        out[position] = "1" if float(tokens[position]) <= sort_rows else str(sort_rows + 1)
        if position + 1 >= len(tokens) or tokens[position + 1] != ",":
            return
        position += 2


def _fold_members(tokens: list[str], start: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Fold a list of literals of one kind in parentheses: IN (1, 2, 3) is IN (1)."""
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


class _Row(NamedTuple):
    """One row of VALUES that holds plain literals alone."""

    literals: list[str]
    form: list[str]  # its tokens with the literals replaced
    end: int  # the position after it


def _fold_rows(tokens: list[str], start: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Fold rows of VALUES that have one form: (1, 'a'), (2, 'b') is one row with two literals each."""
    first_row = _read_row(tokens, start)
    if first_row is None:
        return False
    slots: list[list[str]] = [[value] for value in first_row.literals]
    end = first_row.end
    while end < len(tokens) and tokens[end] == ",":
        row = _read_row(tokens, end + 1)
        if row is None or row.form != first_row.form:
            break
        for slot, value in zip(slots, row.literals, strict=True):
            slot.append(value)
        end = row.end
    out[start:end] = [*first_row.form, *[""] * (end - start - len(first_row.form))]
    literals.extend(slots)
    return True


def _read_row(tokens: list[str], start: int) -> _Row | None:
    """The row that starts there; None if it holds more than plain literals."""
    if start >= len(tokens) or tokens[start] != "(":
        return None
    values: list[str] = []
    form = ["("]
    for position in range(start + 1, len(tokens)):
        token = tokens[position]
        if kind := _literal_kind(token):
            values.append(token)
            form.append(kind)
        elif token in (",", "-"):
            form.append(token)
        elif token == ")":
            return _Row(values, [*form, ")"], position + 1)
        elif (constant := token.lower()) in CONSTANT_WORDS:
            form.append(constant)
        else:
            break
    return None


def _literal_kind(token: str) -> str:
    """NUMBER or STRING; empty for anything else. Parameters depend on their position, so they do not fold."""
    initial = token[0]
    if initial.isdigit():
        return NUMBER
    return STRING if initial == "'" else ""
