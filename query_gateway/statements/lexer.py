"""Splits a statement into tokens on which all supported dialects agree; any other text is unsupported.

A statement may be classified as a read only if no engine's lexer can find other words in it than this one.
Therefore backslashes in quotes, `#`, dollar quotes, executable and nested comments, `--` without a space
after it, unusual white space and unquoted non-ASCII letters are all rejected here.
"""

import re

from query_gateway.statements.errors import UnsupportedStatementError

MAX_LENGTH = 16_384  # characters of a statement
MAX_TOKENS = 2_000
MAX_DEPTH = 32  # levels of nested parentheses, brackets and CASE expressions

WHITESPACE = r"[ \t\r\n]*+"
COMMENT = r"""(?:
    --(?=[ \t\r\n]|\Z)[^\n\r\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029]*+(?:\r?\n|\Z)
  | /\*(?![A-Za-z]*!|\+)(?:[^*/\x00]++|\*(?!/)|/(?!\*))*+\*/
)"""
SKIPPED = rf"{WHITESPACE}(?:{COMMENT}{WHITESPACE})*+"
TOKEN_PATTERN = r"""
    [A-Za-z_]\w*+(?!')
  | [(),;\[\]] | \.(?!\d)
  | \d++(?:\.\d*+)?(?:[eE][+-]?\d++)?(?![\w.$])
  | (?:(?!--|/\*)[-+*/<>=~!@\#%^&|?:])++
  | (?<![\w'"`$&])[eEnN]?'(?:[^'\\\x00]|'')*+'
  | (?<![\w'"`$&])"(?:[^"\\\x00-\x1f]|"")++"(?!\w)
  | (?<![\w'"`$&])`(?:[^`\\\x00-\x1f]|``)++`(?!\w)
  | (?<![\w'"`$])\$\d++(?![\w$])
"""
REGEX_FLAGS = re.VERBOSE | re.DOTALL | re.ASCII
# The last alternative matches all remaining text, so unsupported text is always the last token
TOKEN = re.compile(f"{SKIPPED}({TOKEN_PATTERN} | .++ | \\Z)", REGEX_FLAGS)
SUPPORTED_TOKEN = re.compile(TOKEN_PATTERN, REGEX_FLAGS)
# Faster variant for statements that contain neither "--" nor "/*", as nearly all do
NOT_A_COMMENT = r"(?!--|/\*)"
assert NOT_A_COMMENT in TOKEN_PATTERN
UNCOMMENTED_TOKEN = re.compile(
    f"{WHITESPACE}({TOKEN_PATTERN.replace(NOT_A_COMMENT, '')} | .++ | \\Z)", REGEX_FLAGS
)

# Runs of operator characters that mean the same in every dialect. Any other run may be a user-defined
# operator, or another lexer may split it differently. `OPERATORS` maps each run to the tokens it consists of.
_COMMON_OPERATORS = "= < > <= >= <> != || :: -> ->> + - * / % ^ & | ~ << >> => :"
_OPERATORS_BEFORE_PARAMETER = "= < > <= >= <> != + - * / || =>"
OPERATORS: dict[str, tuple[str, ...]] = {op: (op,) for op in _COMMON_OPERATORS.split()}
OPERATORS |= {
    f"{op}{prefix}": (op, prefix) for op in ["=", "<", ">", "<=", ">=", "<>", "!="] for prefix in "+-"
}
OPERATORS |= {f"{op}{marker}": (op, marker) for op in _OPERATORS_BEFORE_PARAMETER.split() for marker in "?:"}
OPERATORS |= {"?": ("?",), "*-": ("*", "-"), "/-": ("/", "-"), "+-": ("+", "-"), "?::": ("?", "::")}
OPERATORS |= {"-?": ("-", "?"), "-:": ("-", ":"), "!~": ("!~",), "<=>": ("<=>",)}
PUNCTUATION = frozenset("(),.;[]")


def tokenize(text: str, max_length: int = MAX_LENGTH) -> list[str]:
    """Return the tokens as written, without comments and white space; `max_length` in characters.

    Raises UnsupportedStatementError if the text is empty, too long or not supported.
    """
    if len(text) > max_length:
        raise UnsupportedStatementError(f"longer than {max_length} characters")
    may_have_comments = "--" in text or "/*" in text
    tokens: list[str] = (TOKEN if may_have_comments else UNCOMMENTED_TOKEN).findall(text)
    while tokens and not tokens[-1]:
        tokens.pop()
    if not tokens:
        raise UnsupportedStatementError("empty")
    if len(tokens) > MAX_TOKENS:
        raise UnsupportedStatementError(f"more than {MAX_TOKENS} tokens")
    start = len(text) - len(tokens[-1])
    if text.endswith(tokens[-1]) and not SUPPORTED_TOKEN.fullmatch(text, start):
        raise UnsupportedStatementError(unsupported_reason(tokens[-1]))
    return tokens


def check_depth(text: str, tokens: list[str]) -> None:
    """Raise UnsupportedStatementError for a statement that nests deeper than MAX_DEPTH.

    The parser recurses at each level, so deep nesting exhausts its stack, and the parse fails or the parser
    process dies. The depth is therefore checked before any statement is sent to a parser.
    """
    if len(tokens) <= MAX_DEPTH:
        return
    if text.count("(") + text.count("[") + text.count("case") + text.count("CASE") <= MAX_DEPTH // 2:
        # Nearly all statements return here. Brackets within quotes count too, which at worst costs the full
        # check; CASE in mixed case does not count.
        return
    depth = 0
    for token in tokens:
        keyword = token.lower() if len(token) < 5 else ""
        if token in ("(", "[") or keyword == "case":
            depth += 1
            if depth > MAX_DEPTH:
                raise UnsupportedStatementError(f"nested deeper than {MAX_DEPTH}")
        elif token in (")", "]") or keyword == "end":
            depth -= 1


# Reasons for a rejection, by the prefix of the first unsupported token; the first matching entry applies
_REASONS_BY_PREFIX = (
    (("--",), "a -- without a space after it: a comment to some, an operator to others"),
    (("/*",), "a comment that nests, is never closed or may be executed"),
    (("'", '"', "`"), "a quote that is not closed, holds a backslash or meets another word"),
    (("$",), "a dollar quote or a name with a dollar sign"),
)


def unsupported_reason(remainder: str) -> str:
    """Return why a statement is unsupported; `remainder` starts with its first unsupported token."""
    for prefixes, reason in _REASONS_BY_PREFIX:
        if remainder.startswith(prefixes):
            return reason
    if not remainder[0].isascii():
        return "a letter outside ASCII that is not quoted"
    if not remainder[0].isprintable():
        return "a control character"
    return f"{remainder[:20]!r} can be read in more than one way"
