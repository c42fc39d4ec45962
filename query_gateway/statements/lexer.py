"""Cut a statement into tokens that every supported dialect cuts alike; whatever one might read otherwise is
unclear.

The strict part is the point: a text is only ever proven to be a read if no engine's lexer can see other
words in it than we do. So backslashes in quotes, `#`, dollar quotes, executable and nested comments, `--`
without a space after it, odd white space and letters outside ASCII (unquoted) are all turned down here.
"""

import re

MOST_LENGTH = 16_384  # characters of a statement
MOST_TOKENS = 2_000
MOST_DEPTH = 32  # parentheses, brackets and CASEs within each other

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
# The last alternative takes all that follows, so what is unclear is always the last token
TOKEN = re.compile(f"{SKIP}({ATOM} | .++ | \\Z)", FLAGS)
GOOD = re.compile(ATOM, FLAGS)
# The same for a text that has neither "--" nor "/*", which is nearly every one: it takes half the time
NO_COMMENT = r"(?!--|/\*)"
assert NO_COMMENT in ATOM
PLAIN = re.compile(f"{SPACE}({ATOM.replace(NO_COMMENT, '')} | .++ | \\Z)", FLAGS)

# Runs of operator characters and what they mean everywhere; a run that is not here may be an operator of
# somebody's own, or be cut apart otherwise by another lexer
_PLAIN = "= < > <= >= <> != || :: -> ->> + - * / % ^ & | ~ << >> => :"
_BEFORE = "= < > <= >= <> != + - * / || =>"
OPERATORS: dict[str, tuple[str, ...]] = {op: (op,) for op in _PLAIN.split()}
OPERATORS |= {f"{op}{sign}": (op, sign) for op in ["=", "<", ">", "<=", ">=", "<>", "!="] for sign in "+-"}
OPERATORS |= {f"{op}{mark}": (op, mark) for op in _BEFORE.split() for mark in "?:"}
OPERATORS |= {"?": ("?",), "*-": ("*", "-"), "/-": ("/", "-"), "+-": ("+", "-"), "?::": ("?", "::")}
OPERATORS |= {"-?": ("-", "?"), "-:": ("-", ":"), "!~": ("!~",), "<=>": ("<=>",)}
MARKS = frozenset("(),.;[]")


class Unclear(Exception):
    """A text that two lexers may read differently, or that is beyond the bounds; says which."""


def tokens(text: str, most: int = MOST_LENGTH) -> list[str]:
    """The tokens as written, comments and white space left out. Raises Unclear."""
    if len(text) > most:
        raise Unclear(f"longer than {most} characters")
    commented = "--" in text or "/*" in text
    found: list[str] = (TOKEN if commented else PLAIN).findall(text)
    while found and not found[-1]:
        found.pop()
    if not found:
        raise Unclear("empty")
    if len(found) > MOST_TOKENS:
        raise Unclear(f"more than {MOST_TOKENS} tokens")
    start = len(text) - len(found[-1])
    if text.endswith(found[-1]) and not GOOD.fullmatch(text, start):
        raise Unclear(why_unclear(found[-1]))
    return found


def check_depth(text: str, found: list[str]) -> None:
    """Guards the parser's stack. Raises Unclear."""
    if len(found) <= MOST_DEPTH:
        return
    if text.count("(") + text.count("[") + text.count("case") + text.count("CASE") <= MOST_DEPTH // 2:
        return  # by far most: nothing to count; what is within quotes counts here, too, which is no harm
    depth = 0
    for token in found:
        word = token.lower() if len(token) < 5 else ""
        if token in ("(", "[") or word == "case":
            depth += 1
            if depth > MOST_DEPTH:
                raise Unclear(f"nested deeper than {MOST_DEPTH}")
        elif token in (")", "]") or word == "end":
            depth -= 1


def why_unclear(rest: str) -> str:
    """In words, for a text from the first token on that is none of the known ones."""
    first = rest[0]
    if rest.startswith("--"):
        return "a -- without a space after it: a comment to some, an operator to others"
    if rest.startswith("/*"):
        return "a comment that nests, is never closed or may be executed"
    if first in "'\"`":
        return "a quote that is not closed, holds a backslash or meets another word"
    if first == "$":
        return "a dollar quote or a name with a dollar sign"
    if not first.isascii():
        return "a letter outside ASCII that is not quoted"
    if not first.isprintable():
        return "a control character"
    return f"{rest[:20]!r} can be read in more than one way"
