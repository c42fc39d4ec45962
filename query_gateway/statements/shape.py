"""A statement's shape: its tokens with the literals folded away, and those literals in order.

Two texts have one shape only if they differ in literals, in the length of lists of literals, in rows of
VALUES of one form, in white space, comments or the case of unquoted words. Numbers that are no values stay:
those that stand for a column after BY, and after LIMIT whether they are above `sort_rows`, which the rules
ask for.

The parser reads the shape, never the text (`Shape.canonical`), so a verdict cannot depend on what was
folded.
"""

from hashlib import blake2b
from typing import NamedTuple

from query_gateway.statements.lexer import (
    MARKS,
    MOST_LENGTH,
    OPERATORS,
    Unclear,
    check_depth,
    tokens,
    why_unclear,
)

DIGITS = frozenset("0123456789")
NUMBER, STRING, PARAMETER = "#", "$", "?"  # what stands for a literal; no token of a text looks so
SLOTS = frozenset((NUMBER, STRING, PARAMETER))
FIRST_NUMBER = 7_000_000  # the literal of slot n is written as the number n above this, for the parser
TOP = frozenset(("limit", "first", "next", "top"))  # before a number of rows
BY_ENDS = frozenset((
    "by", "having", "limit", "offset", "fetch", "order", "group", "window", "union", "except", "intersect",
    "select", "qualify", "rows", "range", "for", "from", "where",
))  # fmt: skip
# Tokens that stand for themselves; words are added as they come, as many as this before all go
MOST_KNOWN = 8_192
_PLAIN = {mark: mark for mark in MARKS} | {op: one[0] for op, one in OPERATORS.items() if one == (op,)}
for _special in ("?", ":", ";"):
    _PLAIN.pop(_special, None)
_known: dict[str, str] = dict(_PLAIN)

PART = "\0"  # between the pieces of an operator run; no token holds it

Literal = str | list[str]  # as written; of a list or of rows of VALUES, one for each


class Shape(NamedTuple):
    digest: bytes  # 16 bytes
    folded: list[str]
    literals: list[Literal]  # by slot

    @property
    def name(self) -> str:
        return self.digest.hex()

    def canonical(self) -> str:
        """The text that is parsed: each literal replaced by one that tells its slot."""
        out, slot = [], 0
        for token in self.folded:
            if token in SLOTS:
                if token == NUMBER:
                    out.append(str(FIRST_NUMBER + slot))
                else:
                    out.append(f"'s{slot}'" if token == STRING else f":p{slot}")
                slot += 1
            else:
                out.append(token)
        return " ".join(out)


def _fold(found: list[str], sort_rows: int) -> tuple[list[str], list[Literal]]:
    """Known tokens in one pass of the interpreter's own, the rest one by one; "" stands for what is left
    out.
    """
    out: list[str | None] = list(map(_known.get, found))
    literals: list[Literal] = []
    at, parameters, cut = -1, 0, False  # `cut`: something is left out, or holds several pieces
    index, append = out.index, literals.append
    while True:
        try:
            at = index(None, at + 1)
        except ValueError:
            break
        token = found[at]
        first = token[0]
        if first in DIGITS:
            append(token)
            out[at] = NUMBER
        elif first == "'":
            append(token)
            out[at] = STRING
        elif first.isalpha() or first == "_":
            if token[-1] == "'":  # e'...' and n'...': without a backslash the same as '...'
                literals.append(token[1:])
                out[at] = STRING
                continue
            word = out[at] = token.lower()
            if word == "values":
                cut = _rows(found, at + 1, out, literals) or cut
            elif word == "in":
                cut = _members(found, at + 1, out, literals) or cut
            elif word == "by":
                _ordinals(found, at + 1, out)
            elif word in TOP:
                _kept(found, at + 1, out, sort_rows)
            elif len(token) < 40:
                if len(_known) >= MOST_KNOWN:  # guards the memory
                    _known.clear()
                    _known.update(_PLAIN)
                _known[token] = word
        elif first in '"`':
            out[at] = token
        elif first == "$":
            literals.append(token)
            out[at] = PARAMETER
        elif token == ";":
            raise Unclear("more than one statement")
        else:
            pieces = OPERATORS.get(token)
            if not pieces:
                raise Unclear(why_unclear(token))
            out[at], cut = PART.join(pieces), True
            if pieces[-1] == "?":
                literals.append(f"?{parameters}")
                parameters += 1
                out[at] = PART.join((*pieces[:-1], PARAMETER))
            elif pieces[-1] == ":" and at + 1 < len(found) and found[at + 1].isidentifier():
                literals.append(f":{found[at + 1]}")
                out[at + 1] = PARAMETER
                out[at] = PART.join(pieces[:-1])
            elif pieces[0] == "?":
                literals.append(f"?{parameters}")
                parameters += 1
                out[at] = PART.join((PARAMETER, *pieces[1:]))
    if cut:
        out = [piece for token in out if token for piece in token.split(PART)]
    return out, literals  # type: ignore[return-value]  # no place is left without a token


def _ordinals(found: list[str], at: int, out: list[str | None]) -> None:
    """Keep the numbers that stand for a column: items of their own in the list after BY."""
    depth = 0
    previous = "by"
    for here in range(at, len(found)):
        token = found[here]
        if token in ("(", "["):
            depth += 1
        elif token in (")", "]"):
            depth -= 1
            if depth < 0:
                return
        elif depth == 0:
            if token[0].isdigit():
                if previous in ("by", ","):
                    out[here] = token
            elif token.lower() in BY_ENDS:
                return
        previous = token


def _kept(found: list[str], at: int, out: list[str | None], sort_rows: int) -> None:
    """After LIMIT and its like only whether a number is within the rules' bound matters."""
    while at < len(found) and found[at][0].isdigit():
        out[at] = "1" if float(found[at]) <= sort_rows else str(sort_rows + 1)
        if at + 1 >= len(found) or found[at + 1] != ",":
            return
        at += 2


def _members(found: list[str], at: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Fold a list of literals of one kind in parentheses: IN (1, 2, 3) is IN (1)."""
    if at >= len(found) or found[at] != "(":
        return False
    kind, values = "", []
    for here in range(at + 1, len(found) - 1, 2):
        one = _literal(found[here])
        if not one or (kind and one != kind) or found[here + 1] not in (",", ")"):
            return False
        kind = one
        values.append(found[here])
        if found[here + 1] == ")":
            literals.append(values)
            out[at + 1] = kind
            out[at + 2 : here + 1] = [""] * (here - at - 1)
            return here > at + 1
    return False


def _rows(found: list[str], at: int, out: list[str | None], literals: list[Literal]) -> bool:
    """Fold rows of VALUES that have one form: (1, 'a'), (2, 'b') is one row with two literals each."""
    first, form, after = _row(found, at)
    if first is None:
        return False
    slots: list[list[str]] = [[value] for value in first]
    while after < len(found) and found[after] == ",":
        more, other, behind = _row(found, after + 1)
        if more is None or other != form:
            break
        for slot, value in zip(slots, more, strict=True):
            slot.append(value)
        after = behind
    out[at:after] = [*form, *[""] * (after - at - len(form))]
    literals.extend(slots)
    return True


def _row(found: list[str], at: int) -> tuple[list[str] | None, list[str], int]:
    """One plain row: its literals, its form and where it ends; None if it holds more than plain literals."""
    if at >= len(found) or found[at] != "(":
        return None, [], at
    values: list[str] = []
    form = ["("]
    for here in range(at + 1, len(found)):
        token = found[here]
        if kind := _literal(token):
            values.append(token)
            form.append(kind)
        elif token in (",", "-"):
            form.append(token)
        elif token == ")":
            return values, [*form, ")"], here + 1
        elif (word := token.lower()) in ("null", "true", "false", "default"):
            form.append(word)
        else:
            break
    return None, [], at


def _literal(token: str) -> str:
    """The kind of a plain string or number, else nothing; parameters go by place, so they do not fold."""
    first = token[0]
    if first.isdigit():
        return NUMBER
    return STRING if first == "'" else ""


def shape_of(text: str, sort_rows: int = 1_000, most: int = MOST_LENGTH) -> Shape:
    """The shape of one statement; closing semicolons are left out. Raises Unclear."""
    found = tokens(text, most)
    while found and found[-1] == ";":
        found.pop()
    if not found:
        raise Unclear("empty")
    check_depth(text, found)
    out, literals = _fold(found, sort_rows)
    return Shape(blake2b(" ".join(out).encode(), digest_size=16).digest(), out, literals)
