"""Split a statement into tokens that every supported dialect splits alike; any other text is unsupported.

A text counts as a read only if no engine's lexer can find other words in it than this one does. So
backslashes in quotes, `#`, dollar quotes, executable and nested comments, `--` without a space after it,
unusual white space and unquoted letters outside ASCII are all rejected here.
"""

import re

from query_gateway.statements.errors import UnsupportedStatementError

MAX_LENGTH = 16_384  # characters of a statement
MAX_TOKENS = 2_000
MAX_DEPTH = 32  # parentheses, brackets and CASEs within each other

SPACE = r"[ \t\r\n]*+"
COMMENT = r"""(?:
    --(?=[ \t\r\n]|\Z)[^\n\r\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029]*+(?:\r?\n|\Z)
  | /\*(?![A-Za-z]*!|\+)(?:[^*/\x00]++|\*(?!/)|/(?!\*))*+\*/
)"""
SKIP = rf"{SPACE}(?:{COMMENT}{SPACE})*+"
ATOM = r"""
    [A-Za-z_]\w*+(?!')
  | [(),;\[\]] | \.(?!\d)
  | \d++(?:\.\d*+)?(?:[eE][+-]?\d++)?(?![\w.$])
  | (?:(?!--|/\*)[-+*/<>=~!@\#%^&|?:])++
  | (?<![\w'"`$&])[eEnN]?'(?:[^'\\\x00]|'')*+'
  | (?<![\w'"`$&])"(?:[^"\\\x00-\x1f]|"")++"(?!\w)
  | (?<![\w'"`$&])`(?:[^`\\\x00-\x1f]|``)++`(?!\w)
  | (?<![\w'"`$])\$\d++(?![\w$])
"""
FLAGS = re.VERBOSE | re.DOTALL | re.ASCII
# The last alternative matches the remaining text, so unsupported text is always the last token
TOKEN = re.compile(f"{SKIP}({ATOM} | .++ | \\Z)", FLAGS)
SUPPORTED = re.compile(ATOM, FLAGS)
# The same without comments, for texts that have neither "--" nor "/*": nearly all, and matched faster
NO_COMMENT = r"(?!--|/\*)"
assert NO_COMMENT in ATOM
UNCOMMENTED_TOKEN = re.compile(f"{SPACE}({ATOM.replace(NO_COMMENT, '')} | .++ | \\Z)", FLAGS)

# Runs of operator characters that mean the same in every dialect; any other run may be an operator that a
# user has defined, or be split otherwise by another lexer
_COMMON_OPERATORS = "= < > <= >= <> != || :: -> ->> + - * / % ^ & | ~ << >> => :"
_BEFORE_PARAMETER = "= < > <= >= <> != + - * / || =>"
OPERATORS: dict[str, tuple[str, ...]] = {op: (op,) for op in _COMMON_OPERATORS.split()}
OPERATORS |= {
    f"{op}{prefix}": (op, prefix) for op in ["=", "<", ">", "<=", ">=", "<>", "!="] for prefix in "+-"
}
OPERATORS |= {f"{op}{mark}": (op, mark) for op in _BEFORE_PARAMETER.split() for mark in "?:"}
OPERATORS |= {"?": ("?",), "*-": ("*", "-"), "/-": ("/", "-"), "+-": ("+", "-"), "?::": ("?", "::")}
OPERATORS |= {"-?": ("-", "?"), "-:": ("-", ":"), "!~": ("!~",), "<=>": ("<=>",)}
MARKS = frozenset("(),.;[]")


def tokenize(text: str, max_length: int = MAX_LENGTH) -> list[str]:
    """The tokens as written, without comments and white space; `max_length` in characters.

    Raises UnsupportedStatementError.
    """
    if len(text) > max_length:
        raise UnsupportedStatementError(f"longer than {max_length} characters")
    commented = "--" in text or "/*" in text
    tokens: list[str] = (TOKEN if commented else UNCOMMENTED_TOKEN).findall(text)
    while tokens and not tokens[-1]:
        tokens.pop()
    if not tokens:
        raise UnsupportedStatementError("empty")
    if len(tokens) > MAX_TOKENS:
        raise UnsupportedStatementError(f"more than {MAX_TOKENS} tokens")
    start = len(text) - len(tokens[-1])
    if text.endswith(tokens[-1]) and not SUPPORTED.fullmatch(text, start):
        raise UnsupportedStatementError(unsupported_reason(tokens[-1]))
    return tokens


def check_depth(text: str, tokens: list[str]) -> None:
    """Raises UnsupportedStatementError for a statement that nests deeper than MAX_DEPTH.

    The parser recurses at each level, so deep nesting exhausts its stack, which shows as a failed parse or a
    lost parser process. The depth is checked here, before any statement is sent to a parser.
    """
    if len(tokens) <= MAX_DEPTH:
        return
    if text.count("(") + text.count("[") + text.count("case") + text.count("CASE") <= MAX_DEPTH // 2:
        return  # as for nearly all texts; brackets within quotes are counted too, which only costs time
    depth = 0
    for token in tokens:
        keyword = token.lower() if len(token) < 5 else ""
        if token in ("(", "[") or keyword == "case":
            depth += 1
            if depth > MAX_DEPTH:
                raise UnsupportedStatementError(f"nested deeper than {MAX_DEPTH}")
        elif token in (")", "]") or keyword == "end":
            depth -= 1


# By the start of the first unsupported token; the first entry that matches counts
_REASONS_BY_START = (
    (("--",), "a -- without a space after it: a comment to some, an operator to others"),
    (("/*",), "a comment that nests, is never closed or may be executed"),
    (("'", '"', "`"), "a quote that is not closed, holds a backslash or meets another word"),
    (("$",), "a dollar quote or a name with a dollar sign"),
)


def unsupported_reason(remainder: str) -> str:
    """Why a text is unsupported; `remainder` begins with its first unsupported token."""
    for starts, reason in _REASONS_BY_START:
        if remainder.startswith(starts):
            return reason
    if not remainder[0].isascii():
        return "a letter outside ASCII that is not quoted"
    if not remainder[0].isprintable():
        return "a control character"
    return f"{remainder[:20]!r} can be read in more than one way"
