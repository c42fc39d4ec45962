"""The full parse of a normalized statement: a read only if every node of its tree is known to write nothing.

Three checks, each of which makes a statement a write by itself: words and names that write, wherever they
stand; functions called, by name; and the kinds of the tree's nodes. A statement that does not parse is
rejected. The messages of errors are reasons that reach the client.
"""

import logging
from typing import Any

import sqlglot
from sqlglot import expressions as exp
from sqlglot.errors import SqlglotError

from query_gateway.statements import keys, purity
from query_gateway.statements.errors import (
    NoKeyRuleError,
    NotReadOnlyError,
    UndeterminedKeyError,
    UnparsedStatementError,
)
from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import SLOTS, NormalizedStatement

logging.getLogger("sqlglot").setLevel(logging.CRITICAL)  # it logs each statement that it cannot parse fully

DIALECTS = ("postgres", "mysql", "duckdb", "sqlite", "trino", "ansi")
EXPLAIN_OPTIONS = purity.words("""
    analyze verbose extended formatted costs buffers timing summary format json text off on true false ,
    ( )
""")
DML = ("Insert", "Update", "Delete", "Merge")
READ_STARTS = frozenset(("select", "with", "values", "from", "("))
QUERIES = (exp.Select, exp.SetOperation, exp.Subquery, exp.Values)
QUOTES = '"`'
MAX_SHOWN_NAME = 60  # characters of a function's name in a reason
MAX_SHOWN_WORD = 20


class Reader:
    """Parses normalized statements by one set of rules. Keeps no state between statements."""

    def __init__(self, rules: Rules) -> None:
        """Uses the dialect, the additional pure functions, the key rules and the bounds of reports."""
        self.rules = rules
        self.dialect = "" if rules.dialect == "ansi" else rules.dialect
        pure = {name.casefold() for name in rules.pure}
        self.pure = purity.PURE_FUNCTIONS | {name for name in pure if "." not in name}
        self.pure_in_loads = self.pure | purity.LOAD_FUNCTIONS
        self.qualified = {name for name in pure if "." in name}

    def read(self, statement: NormalizedStatement, text: str | None = None) -> ParseResult:
        """`text`: what is parsed in place of the statement's canonical text, to compare the two."""
        tokens = statement.tokens
        try:
            if tokens[0] == "explain":
                return self._read_explain(statement)
            tree = self._parse(statement.canonical() if text is None else text)
            return self._read_tree(tree, tokens)
        except UnparsedStatementError as error:
            return ParseResult(True, reason=str(error), is_parsed=False)
        except NotReadOnlyError as error:
            return ParseResult(True, reason=str(error))

    def _parse(self, text: str) -> Any:
        """The one tree of the text. Raises UnparsedStatementError."""
        try:
            trees = sqlglot.parse(text, read=self.dialect)
        except SqlglotError:
            raise UnparsedStatementError("it does not parse") from None
        except RecursionError:
            raise UnparsedStatementError("it nests too deep") from None
        if len(trees) != 1 or trees[0] is None:
            raise UnparsedStatementError("more than one statement")
        return trees[0]

    def _read_tree(self, tree: Any, tokens: list[str]) -> ParseResult:
        """Raises NotReadOnlyError."""
        kind = type(tree).__name__
        if kind in DML:
            return self._read_load(tree, kind.lower(), tokens)
        # sqlglot parses statements that it does not know, such as DO 'x', as an expression. One that writes
        # would then count as a read. Only a query that begins with a word of a query is taken for one.
        if tokens[0] not in READ_STARTS or not isinstance(tree, QUERIES):
            shown_word = tokens[0].strip(QUOTES)[:MAX_SHOWN_WORD].upper()
            raise NotReadOnlyError(f"{shown_word} begins no known read")
        self._prove(tree, tokens, False)
        return ParseResult(False, self._is_report(tree))

    def _read_explain(self, statement: NormalizedStatement) -> ParseResult:
        """EXPLAIN of a write counts as that write: with ANALYZE it runs.

        The parser does not take an EXPLAIN apart, so its options are skipped here. Raises
        UnparsedStatementError.
        """
        tokens = statement.tokens
        start = _end_of_explain_options(tokens)
        explained = tokens[start:]
        has_literals = any(token in SLOTS for token in tokens[:start])
        if not explained or explained[0] in ("explain", *SLOTS) or has_literals:
            raise UnparsedStatementError("an EXPLAIN of nothing known")
        result = self.read(NormalizedStatement(statement.fingerprint, explained, statement.literals))
        if result.is_write:
            raise UnparsedStatementError(f"an EXPLAIN of a write: {result.reason or result.verb}")
        return result

    # ---- proof that nothing is written

    def _prove(self, tree: Any, tokens: list[str], is_load: bool) -> None:
        """Raises NotReadOnlyError. Of a load, what it may do beside its own write is proven."""
        self._check_words(tree, tokens, is_load)
        written = {token.strip(QUOTES).casefold() for token in tokens}
        for table in tree.find_all(exp.Table):
            # sqlglot takes a text in quotes after FROM for a table's name, and some engines read the file of
            # that name. The statement would count as a read of a table. A name that stands nowhere as a word
            # is no table.
            if isinstance(table.this, exp.Identifier) and table.name.casefold() not in written:
                raise NotReadOnlyError("a table that is no name")
        for node in tree.walk():
            self._check_kind(node, is_load)

    def _check_kind(self, node: Any, is_load: bool) -> None:
        name = type(node).__name__
        if isinstance(node, exp.Anonymous):
            if not isinstance(node.this, str) and not isinstance(node.this, exp.Identifier):
                raise NotReadOnlyError("a function whose name is not plain")
            self._check_function(node, is_load)
        elif name in purity.NODES or (is_load and name in purity.WRITE_NODES):
            _check_query_node(node)
            _check_plain_node(node)
        elif not isinstance(node, exp.Func):
            raise NotReadOnlyError(f"{name.upper()} is not known to write nothing")
        elif not any(sql_name.casefold() in self._pure_functions(is_load) for sql_name in node.sql_names()):
            raise NotReadOnlyError(f"function {node.sql_name()} is not known to write nothing")

    def _check_function(self, node: Any, is_load: bool) -> None:
        name, parent = node.name.casefold(), node.parent
        if isinstance(parent, exp.Dot) and parent.expression is node:
            owner = parent.this
            name = f"{owner.name.casefold()}.{name}" if isinstance(owner, exp.Identifier) else f"?.{name}"
        elif isinstance(parent, exp.Table) and parent.args.get("db"):
            name = f"{parent.args['db'].name.casefold()}.{name}"
        if not self._is_pure(name, is_load):
            raise NotReadOnlyError(f"function {name[:MAX_SHOWN_NAME]} is not known to write nothing")

    def _is_pure(self, name: str, is_load: bool) -> bool:
        """A qualified name counts only by its own entry, but for those of the databases themselves."""
        owner, _, plain = name.rpartition(".")
        if not owner or owner == "pg_catalog":
            return plain in self._pure_functions(is_load) or name in self.qualified
        return name in self.qualified

    def _pure_functions(self, is_load: bool) -> frozenset[str]:
        return self.pure_in_loads if is_load else self.pure

    def _check_words(self, tree: Any, tokens: list[str], is_load: bool) -> None:
        """The tokens alone: words that write, and each name before a parenthesis."""
        column_owners = _names_with_columns(tree, is_load)
        for position, token in enumerate(tokens):
            initial = token[0]
            is_quoted = initial in QUOTES
            if is_quoted:
                name = token[1:-1].replace(initial * 2, initial).casefold()
            elif initial.isalpha() or initial == "_":
                name = token
            else:
                continue
            if name in purity.HARMFUL_NAMES and not (is_load and name in purity.LOAD_FUNCTIONS):
                raise NotReadOnlyError(f"{name} may write")
            if not is_quoted:
                _check_unquoted_word(tokens, position, is_load)
            is_call = tokens[position + 1 : position + 2] == ["("] and name not in column_owners
            if is_call and (is_quoted or name not in purity.NO_CALLS):
                self._check_call(tokens, position, name, is_load)

    def _check_call(self, tokens: list[str], position: int, name: str, is_load: bool) -> None:
        """A name before a parenthesis has to be that of a pure function."""
        if position >= 2 and tokens[position - 1] == ".":
            owner = tokens[position - 2]
            owner = owner[1:-1] if owner[0] in QUOTES else owner
            name = f"{owner.casefold()}.{name}"
        if not self._is_pure(name, is_load):
            raise NotReadOnlyError(f"function {name[:MAX_SHOWN_NAME]} is not known to write nothing")

    # ---- loads

    def _read_load(self, tree: Any, verb: str, tokens: list[str]) -> ParseResult:
        rules = self.rules.keys
        is_proven = False
        try:
            target = keys.target_of(tree)
            _check_single_write(tree, verb)
            # A function that is not known may change rows of other keys, which would then run out of order
            # with their own loads. A load is keyed only if its other parts are proven to write nothing.
            self._prove(tree, tokens, True)
            is_proven = True
            index = keys.key_rule_index(target, rules)
            references = keys.key_references(tree, rules[index])
            return ParseResult(True, key_rule_index=index, key_references=references, verb=verb)
        except NoKeyRuleError as error:
            return ParseResult(True, reason=str(error), verb=verb, lacks_key_rule=is_proven)
        except (UndeterminedKeyError, NotReadOnlyError) as error:
            return ParseResult(True, reason=str(error), verb=verb)

    # ---- reads: lookup or report

    def _is_report(self, tree: Any) -> bool:
        while isinstance(tree, exp.Subquery) and not tree.args.get("limit"):
            tree = tree.this
        if isinstance(tree, exp.SetOperation) and not tree.args.get("with_"):
            return self._is_report(tree.this) or self._is_report(tree.expression)
        if self._is_complex(tree):
            return True
        if not _reads_tables(tree) or any(_is_selective(where.this) for where in tree.find_all(exp.Where)):
            return False
        sorts, is_bounded = _sorts(tree), _is_bounded(tree, self.rules.sort_rows)
        return (sorts and not is_bounded) or (self.rules.unselective and (sorts or not is_bounded))

    def _is_complex(self, tree: Any) -> bool:
        """Whether its windows, aggregates or joins make it a report, whatever rows it selects."""
        rules = self.rules
        if rules.windows and tree.find(exp.Window):
            return True
        if rules.aggregates and (_aggregates(tree) or tree.find(exp.Group)):
            return True
        return sum(1 for _ in tree.find_all(exp.Join)) > rules.joins


def _end_of_explain_options(tokens: list[str]) -> int:
    """The position after EXPLAIN and its options, with or without parentheses."""
    start = 1
    while start < len(tokens) and tokens[start] in EXPLAIN_OPTIONS and tokens[start] != "(":
        start += 1
    is_list = tokens[start : start + 1] == ["("] and tokens[start + 1 : start + 2] != ["select"]
    if not is_list:
        return start
    end = tokens.index(")", start) if ")" in tokens[start:] else start
    if all(token in EXPLAIN_OPTIONS for token in tokens[start:end]):
        return end + 1
    return start


def _check_query_node(node: Any) -> None:
    """Raises NotReadOnlyError at a query that locks or stores, or at parentheses that hold none."""
    if isinstance(node, exp.Select) and (node.args.get("into") or node.args.get("locks")):
        raise NotReadOnlyError("SELECT INTO or a locking clause")
    if isinstance(node, exp.Select) and not node.expressions:
        raise NotReadOnlyError("a SELECT of nothing")
    if not isinstance(node, (exp.CTE, exp.Exists, exp.Subquery)):
        return
    is_join = isinstance(node.this, exp.Table) and node.this.args.get("joins")
    if not is_join and not isinstance(node.this, QUERIES):
        # sqlglot parses (SAVEPOINT a) as an expression with an alias. A statement in parentheses that writes
        # would then count as a read. Only a query, or a join of tables, may stand in parentheses.
        raise NotReadOnlyError("something in parentheses that is no query")


def _check_plain_node(node: Any) -> None:
    """Raises NotReadOnlyError at names, types and tuples that may call code or hide a statement."""
    if isinstance(node, exp.Table) and not isinstance(node.this, (exp.Identifier, exp.Func)):
        raise NotReadOnlyError("a table that is no name")
    if isinstance(node, exp.Tuple) and not node.expressions and not node.find_ancestor(exp.Group):
        raise NotReadOnlyError("empty parentheses")
    if isinstance(node, exp.DataType) and node.this == exp.DataType.Type.USERDEFINED:
        raise NotReadOnlyError("a cast to a type of somebody's own")
    plain = (exp.Identifier, exp.Func, exp.Star)
    if isinstance(node, exp.Dot) and not isinstance(node.expression, plain):
        raise NotReadOnlyError("a dotted name that is not plain")


def _names_with_columns(tree: Any, is_load: bool) -> set[str]:
    """Names that a list of columns follows in parentheses, so that they call nothing."""
    names = set()
    for alias in tree.find_all(exp.TableAlias):
        if alias.args.get("columns") and alias.this:
            names.add(alias.this.name.casefold())
    if is_load:
        names |= {schema.this.name.casefold() for schema in tree.find_all(exp.Schema)}
        names |= {"using", "values", "update", "insert", "conflict"}
    return names


def _check_unquoted_word(tokens: list[str], position: int, is_load: bool) -> None:
    """Raises NotReadOnlyError at a word that writes, or that begins a statement of another kind."""
    token = tokens[position]
    previous_token = tokens[position - 1] if position else ""
    next_token = tokens[position + 1] if position + 1 < len(tokens) else ""
    if not is_load and token in purity.HARMFUL_WORDS and previous_token != "." and next_token != ".":
        raise NotReadOnlyError(f"{token.upper()} writes")
    if previous_token == "(" and token in purity.STARTERS and next_token[:1].isalpha():
        raise NotReadOnlyError(f"{token.upper()} begins no known read")


def _check_single_write(tree: Any, verb: str) -> None:
    """Raises UndeterminedKeyError at a load that changes more than the rows that it names."""
    nested = (node for node in tree.walk() if node is not tree and type(node).__name__ in DML)
    if any(not isinstance(node.parent, exp.When) for node in nested):
        raise UndeterminedKeyError("it writes more than one table")
    if verb == "insert" and (tree.args.get("overwrite") or tree.args.get("alternative")):
        raise UndeterminedKeyError("it replaces rows that it does not name")


def _aggregates(tree: Any) -> bool:
    """Whether it aggregates outside of windows."""
    return any(not _is_within(node, exp.Window) for node in tree.find_all(exp.AggFunc))


def _sorts(tree: Any) -> bool:
    """Whether it sorts outside of windows."""
    return any(not _is_within(node, exp.Window) for node in tree.find_all(exp.Order, exp.Distinct))


def _is_within(node: Any, kind: type) -> bool:
    return node.find_ancestor(kind) is not None


def _reads_tables(tree: Any) -> bool:
    """Whether it reads a table that is not one of its own common table expressions."""
    common = {cte.alias.casefold() for cte in tree.find_all(exp.CTE)}
    tables = [table for table in tree.find_all(exp.Table) if isinstance(table.this, exp.Identifier)]
    return any(table.name.casefold() not in common or table.args.get("db") for table in tables)


def _is_bounded(tree: Any, max_rows: int) -> bool:
    """Whether a LIMIT up to `max_rows`, which the normalized statement has as 1, bounds its result."""
    limit = tree.args.get("limit")
    if limit is None:
        return False
    count = limit.args.get("count") or limit.args.get("expression")
    return isinstance(count, exp.Literal) and count.is_number and float(count.this) <= max_rows


def _is_selective(predicate: Any) -> bool:
    """Whether a predicate selects rows: a column that equals one value, or is one of a list."""
    return any(_is_selective_part(part) for part in keys.conjuncts(predicate))


def _is_selective_part(part: Any) -> bool:
    if isinstance(part, exp.EQ):
        sides = (part.this, part.expression)
        return any(
            isinstance(side, exp.Column) and not opposite.find(exp.Column)
            for side, opposite in (sides, sides[::-1])
        )
    if isinstance(part, exp.In):
        return isinstance(part.this, exp.Column)
    return isinstance(part, exp.Or) and _is_selective(part.this) and _is_selective(part.expression)
