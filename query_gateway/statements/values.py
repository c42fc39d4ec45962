"""Computes the key of a load from the literals that its parse result refers to.

Two spellings of one value must give one key, so comparison is coarse: 42, '42', 042 and 42.0 are equal, and
so are strings that at least one collation treats as equal. Where an engine might interpret a literal as
another value, UndeterminedKeyError is raised.
"""

import re
import unicodedata
from collections.abc import Sequence
from decimal import Decimal
from hashlib import blake2b

from query_gateway.statements.errors import UndeterminedKeyError
from query_gateway.statements.messages import KeyRule, LiteralReference
from query_gateway.statements.normalizer import Literal

DECIMAL = re.compile(r"[+-]?(\d{1,40}(\.\d*)?|\.\d{1,40})([eE][+-]?\d{1,2})?", re.ASCII)
AMBIGUOUS_NUMBER = re.compile(r"[+-]?0[xXoObB][0-9a-fA-F_]+|[+-]?\d[\d_]*_[\d_]*", re.ASCII)
KEY_BYTES = 8  # size of the digest, printed as twice as many hexadecimal digits
FORMAT_CATEGORY = "Cf"  # the Unicode category of format characters
NOT_AN_INTEGER_REASON = "a key that is no whole number may be rounded"


def normalize_value(raw: str, reference: LiteralReference, key_type: str) -> str:
    """Return the canonical spelling of a literal, for a key of `key_type` as in `KeyRule.type`.

    Raises UndeterminedKeyError if an engine might interpret the literal as another value.
    """
    is_text = raw.startswith("'")
    if reference.negative and (is_text or reference.cast == "text"):
        raise UndeterminedKeyError("a sign before a text")
    if reference.cast == "text" and key_type == "integer":
        key_type = "any"
    content = raw[1:-1].replace("''", "'") if is_text else raw
    content = unicodedata.normalize("NFKC", content).strip()
    if key_type == "text":
        return _normalize_text(content, is_text, reference)
    return _normalize_number_or_text(content, is_text, reference, key_type)


def _normalize_text(content: str, is_text: bool, reference: LiteralReference) -> str:
    if reference.cast == "integer" or not (is_text or reference.cast == "text"):
        raise UndeterminedKeyError("a number where the key is a text")
    if not is_text:
        if not DECIMAL.fullmatch(content):
            raise UndeterminedKeyError(NOT_AN_INTEGER_REASON)
        content = str(_parse_integer(content))
    return "t" + _fold_collation(content)


def _normalize_number_or_text(content: str, is_text: bool, reference: LiteralReference, key_type: str) -> str:
    if DECIMAL.fullmatch(content):
        number = _parse_integer(content)
        return f"i{-number if reference.negative else number}"
    if key_type == "integer" or reference.cast == "integer" or reference.negative or not is_text:
        raise UndeterminedKeyError("a key that is no whole number")
    if AMBIGUOUS_NUMBER.fullmatch(content):
        raise UndeterminedKeyError("a number in a spelling that engines read differently")
    return "t" + _fold_collation(content)


def _parse_integer(content: str) -> int:
    value = Decimal(content)
    if value != value.to_integral_value():
        raise UndeterminedKeyError(NOT_AN_INTEGER_REASON)
    return int(value)


def _fold_collation(text: str) -> str:
    """Return one spelling for all strings that some collation equates: no case, accents or outer spaces."""
    decomposed = unicodedata.normalize("NFKD", text.casefold())
    folded = "".join(character for character in decomposed if _is_significant(character))
    return unicodedata.normalize("NFKC", folded).casefold().strip()


def _is_significant(character: str) -> bool:
    return not unicodedata.combining(character) and unicodedata.category(character) != FORMAT_CATEGORY


def compute_key(
    rule: KeyRule,
    references: Sequence[LiteralReference],
    literals: Sequence[Literal],
    parameters: Sequence[object] = (),
) -> str:
    """Return the key of one statement as 16 hexadecimal digits.

    `parameters`: the values bound to the statement's parameters. Raises UndeterminedKeyError if a value
    is unknown, if an engine might interpret it as another value, or if there are several values.
    """
    key_value = ""
    for reference in references:
        literal = literals[reference.slot]
        for raw in literal if isinstance(literal, list) else (literal,):
            value = normalize_value(_resolve_parameter(raw, parameters), reference, rule.type)
            if key_value and value != key_value:
                raise UndeterminedKeyError("the load touches several keys")
            key_value = value
    return blake2b(f"{rule.key_namespace}\0{key_value}".encode(), digest_size=KEY_BYTES).hexdigest()


def _resolve_parameter(raw: str, parameters: Sequence[object]) -> str:
    """Return a literal unchanged, and the value bound to a parameter as a literal."""
    if raw[0] not in "?$:":
        return raw
    first_index = 1 if raw[0] == "$" else 0
    position = int(raw[1:]) - first_index if raw[1:].isdigit() else -1
    if not 0 <= position < len(parameters):
        raise UndeterminedKeyError("the key is a parameter whose value is not told")
    value = parameters[position]
    if isinstance(value, bool) or not isinstance(value, (int, str)):
        raise UndeterminedKeyError("the key is a parameter of a kind that no key has")
    return str(value) if isinstance(value, int) else "'" + value.replace("'", "''") + "'"
