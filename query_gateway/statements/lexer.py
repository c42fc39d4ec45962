"""Split a statement into tokens that every supported dialect splits alike; any other text is unsupported.

Being strict is the point: a text is only ever proven to be a read if no engine's lexer can see other words
in it than we do. So backslashes in quotes, `#`, dollar quotes, executable and nested comments, `--` without
a space after it, odd white space and letters outside ASCII (unquoted) are all rejected here.
"""

import re

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
# The last alternative takes all that follows, so what is unsupported is always the last token
TOKEN = re.compile(f"{SKIP}({ATOM} | .++ | \\Z)", FLAGS)
SUPPORTED = re.compile(ATOM, FLAGS)
# The same for a text that has neither "--" nor "/*", which is nearly every one: it takes half the time
NO_COMMENT = r"(?!--|/\*)"
assert NO_COMMENT in ATOM
UNCOMMENTED_TOKEN = re.compile(f"{SPACE}({ATOM.replace(NO_COMMENT, '')} | .++ | \\Z)", FLAGS)

# Runs of operator characters and what they mean everywhere; a run that is not here may be an operator of
# a user's own, or be split otherwise by another lexer
_EVERYWHERE = "= < > <= >= <> != || :: -> ->> + - * / % ^ & | ~ << >> => :"
_BEFORE_PARAMETER = "= < > <= >= <> != + - * / || =>"
OPERATORS: dict[str, tuple[str, ...]] = {op: (op,) for op in _EVERYWHERE.split()}
OPERATORS |= {
    f"{op}{prefix}": (op, prefix) for op in ["=", "<", ">", "<=", ">=", "<>", "!="] for prefix in "+-"
}
OPERATORS |= {f"{op}{mark}": (op, mark) for op in _BEFORE_PARAMETER.split() for mark in "?:"}
OPERATORS |= {"?": ("?",), "*-": ("*", "-"), "/-": ("/", "-"), "+-": ("+", "-"), "?::": ("?", "::")}
OPERATORS |= {"-?": ("-", "?"), "-:": ("-", ":"), "!~": ("!~",), "<=>": ("<=>",)}
MARKS = frozenset("(),.;[]")


class UnsupportedStatementError(Exception):
    """A text that two lexers may read differently, or that is beyond the bounds; its message says which."""


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
    """Guards the parser's stack. Raises UnsupportedStatementError where it nests deeper than MAX_DEPTH."""
    if len(tokens) <= MAX_DEPTH:
        return
    if text.count("(") + text.count("[") + text.count("case") + text.count("CASE") <= MAX_DEPTH // 2:
        return  # nearly all texts: no need to walk the tokens; counting what is within quotes does no harm
    depth = 0
    for token in tokens:
        word = token.lower() if len(token) < 5 else ""
        if token in ("(", "[") or word == "case":
            depth += 1
            if depth > MAX_DEPTH:
                raise UnsupportedStatementError(f"nested deeper than {MAX_DEPTH}")
        elif token in (")", "]") or word == "end":
            depth -= 1


# What the first token that is not supported begins with, and why; the first that matches counts
_REASONS_BY_START = (
    (("--",), "a -- without a space after it: a comment to some, an operator to others"),
    (("/*",), "a comment that nests, is never closed or may be executed"),
    (("'", '"', "`"), "a quote that is not closed, holds a backslash or meets another word"),
    (("$",), "a dollar quote or a name with a dollar sign"),
)


def unsupported_reason(remainder: str) -> str:
    """In words, for the rest of a text from the first token on that is not supported."""
    for starts, reason in _REASONS_BY_START:
        if remainder.startswith(starts):
            return reason
    if not remainder[0].isascii():
        return "a letter outside ASCII that is not quoted"
    if not remainder[0].isprintable():
        return "a control character"
    return f"{remainder[:20]!r} can be read in more than one way"
