"""The key of a load from the literals that its plan points at.

Two texts that mean one value get one key, so comparison is coarse: 42, '42', 042 and 42.0 are one, and so
are two spellings that some collation holds to be equal. Where an engine might read another value raises
NoKey.
"""

import re
import unicodedata
from collections.abc import Sequence
from decimal import Decimal
from hashlib import blake2b

from query_gateway.statements.messages import KeyRule, Ref
from query_gateway.statements.shape import Literal

DECIMAL = re.compile(r"[+-]?(\d{1,40}(\.\d*)?|\.\d{1,40})([eE][+-]?\d{1,2})?", re.ASCII)
ODD_NUMBER = re.compile(r"[+-]?0[xXoObB][0-9a-fA-F_]+|[+-]?\d[\d_]*_[\d_]*", re.ASCII)


class NoKey(Exception):
    """Why no key can be given, in words."""


def normal(raw: str, ref: Ref, kind: str) -> str:
    """A literal's value in one spelling. Raises NoKey where an engine might read another value in it."""
    text = raw.startswith("'")
    told = raw[1:-1].replace("''", "'") if text else raw
    if ref.negative and (text or ref.cast == "text"):
        raise NoKey("a sign before a text")
    if ref.cast == "text" and kind == "integer":
        kind = "any"
    told = unicodedata.normalize("NFKC", told).strip()
    number = DECIMAL.fullmatch(told)
    if kind == "text":
        if ref.cast == "integer" or not (text or ref.cast == "text"):
            raise NoKey("a number where the key is a text")
        if not text:
            if not number or Decimal(told) != Decimal(told).to_integral_value():
                raise NoKey("a key that is no whole number may be rounded")
            told = str(int(Decimal(told)))
        return "t" + _coarse(told)
    if number:
        value = Decimal(told)
        if value != value.to_integral_value():
            raise NoKey("a key that is no whole number may be rounded")
        return f"i{-int(value) if ref.negative else int(value)}"
    if kind == "integer" or ref.cast == "integer" or ref.negative or not text:
        raise NoKey("a key that is no whole number")
    if ODD_NUMBER.fullmatch(told):
        raise NoKey("a number in a spelling that engines read differently")
    return "t" + _coarse(told)


def _coarse(text: str) -> str:
    """One spelling for all that some collation holds to be equal: case and accents go, and space around."""
    apart = unicodedata.normalize("NFKD", text.casefold())
    plain = "".join(c for c in apart if not unicodedata.combining(c) and unicodedata.category(c) != "Cf")
    return unicodedata.normalize("NFKC", plain).casefold().strip()


def key_of(
    rule: KeyRule, refs: Sequence[Ref], literals: Sequence[Literal], bound: Sequence[object] = ()
) -> str:
    """The key, 16 hex digits, of one text of a shape. `bound`: the parameters' values. Raises NoKey."""
    value = ""
    for ref in refs:
        told = literals[ref.slot]
        for raw in told if isinstance(told, list) else (told,):
            one = normal(_bound(raw, bound), ref, rule.type)
            if value and one != value:
                raise NoKey("the load touches several keys")
            value = one
    return blake2b(f"{rule.domain}\0{value}".encode(), digest_size=8).hexdigest()


def _bound(raw: str, bound: Sequence[object]) -> str:
    """A literal, or the value bound to a parameter, written as a literal."""
    if raw[0] not in "?$:":
        return raw
    at = int(raw[1:]) - (raw[0] == "$") if raw[1:].isdigit() else -1
    if not 0 <= at < len(bound):
        raise NoKey("the key is a parameter whose value is not told")
    value = bound[at]
    if isinstance(value, bool) or not isinstance(value, (int, str)):
        raise NoKey("the key is a parameter of a kind that no key has")
    return str(value) if isinstance(value, int) else "'" + value.replace("'", "''") + "'"
