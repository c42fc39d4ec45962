"""Fully parses a normalized statement: it is a read only if every node of its tree is free of side effects.

Each of three checks can make a statement a write: keywords and names that write, at any position; names of
called functions; and the types of the tree's nodes. A statement that does not parse is rejected. The messages
of errors are sent to the client as reasons.
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
DML_NODE_TYPES = ("Insert", "Update", "Delete", "Merge")
READ_START_TOKENS = frozenset(("select", "with", "values", "from", "("))
QUERY_TYPES = (exp.Select, exp.SetOperation, exp.Subquery, exp.Values)
QUOTES = '"`'
MAX_SHOWN_NAME = 60  # characters of a function's name in a reason
MAX_SHOWN_WORD = 20  # characters of a statement's first word in a reason


class Reader:
    """Parses normalized statements by one set of rules; stateless between statements."""

    def __init__(self, rules: Rules) -> None:
        """Use the rules' dialect, additional pure functions, key rules and criteria for reports."""
        self.rules = rules
        self.dialect = "" if rules.dialect == "ansi" else rules.dialect
        pure = {name.casefold() for name in rules.pure}
        self.pure_functions = purity.PURE_FUNCTIONS | {name for name in pure if "." not in name}
        self.pure_functions_in_loads = self.pure_functions | purity.PURE_LOAD_FUNCTIONS
        self.qualified_pure_functions = {name for name in pure if "." in name}

    def read(self, statement: NormalizedStatement, text: str | None = None) -> ParseResult:
        """Parse a statement, or `text` in place of its canonical text; tests compare the results of both."""
        tokens = statement.tokens
        try:
            if tokens[0] == "explain":
                return self._parse_explain(statement)
            tree = self._parse(statement.canonical() if text is None else text)
            return self._classify_tree(tree, tokens)
        except UnparsedStatementError as error:
            return ParseResult(True, reason=str(error), is_parsed=False)
        except NotReadOnlyError as error:
            return ParseResult(True, reason=str(error))

    def _parse(self, text: str) -> Any:
        """Return the only tree of the text. Raises UnparsedStatementError."""
        try:
            trees = sqlglot.parse(text, read=self.dialect)
        except SqlglotError:
            raise UnparsedStatementError("it does not parse") from None
        except RecursionError:
            raise UnparsedStatementError("it nests too deep") from None
        if len(trees) != 1 or trees[0] is None:
            raise UnparsedStatementError("more than one statement")
        return trees[0]

    def _classify_tree(self, tree: Any, tokens: list[str]) -> ParseResult:
        """Classify a parsed statement. Raises NotReadOnlyError."""
        kind = type(tree).__name__
        if kind in DML_NODE_TYPES:
            return self._parse_load(tree, kind.lower(), tokens)
        # sqlglot parses unknown statements, such as DO 'x', as expressions, so one that writes would be taken
        # for a read. Therefore a read must be a query that starts with a keyword of a query.
        if tokens[0] not in READ_START_TOKENS or not isinstance(tree, QUERY_TYPES):
            shown_word = tokens[0].strip(QUOTES)[:MAX_SHOWN_WORD].upper()
            raise NotReadOnlyError(f"{shown_word} begins no known read")
        self._require_no_side_effects(tree, tokens, False)
        return ParseResult(False, self._is_report(tree))

    def _parse_explain(self, statement: NormalizedStatement) -> ParseResult:
        """Parse the explained statement; EXPLAIN of a write is rejected, because EXPLAIN ANALYZE runs it.

        sqlglot does not parse the statement within an EXPLAIN, so the options are skipped here. Raises
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

    # ---- check for side effects

    def _require_no_side_effects(self, tree: Any, tokens: list[str], is_load: bool) -> None:
        """Raise NotReadOnlyError at possible side effects; the write of a load itself is allowed."""
        self._check_tokens(tree, tokens, is_load)
        token_names = {token.strip(QUOTES).casefold() for token in tokens}
        for table in tree.find_all(exp.Table):
            # sqlglot parses a string literal after FROM as a table name, but some engines read the file of
            # that name, so the statement would be taken for a read of a table. A name that is not among the
            # tokens is not a table.
            if isinstance(table.this, exp.Identifier) and table.name.casefold() not in token_names:
                raise NotReadOnlyError("a table that is no name")
        for node in tree.walk():
            self._check_node(node, is_load)

    def _check_node(self, node: Any, is_load: bool) -> None:
        name = type(node).__name__
        if isinstance(node, exp.Anonymous):
            if not isinstance(node.this, str) and not isinstance(node.this, exp.Identifier):
                raise NotReadOnlyError("a function whose name is not plain")
            self._check_function(node, is_load)
        elif name in purity.READ_NODES or (is_load and name in purity.WRITE_NODES):
            _check_query_node(node)
            _check_name_node(node)
        elif not isinstance(node, exp.Func):
            raise NotReadOnlyError(f"{name.upper()} is not known to write nothing")
        elif not any(
            sql_name.casefold() in self._allowed_functions(is_load) for sql_name in node.sql_names()
        ):
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
        """Whether a function is pure. Qualified names must be in `Rules.pure`, except in `pg_catalog`."""
        owner, _, plain = name.rpartition(".")
        if not owner or owner == "pg_catalog":
            return plain in self._allowed_functions(is_load) or name in self.qualified_pure_functions
        return name in self.qualified_pure_functions

    def _allowed_functions(self, is_load: bool) -> frozenset[str]:
        return self.pure_functions_in_loads if is_load else self.pure_functions

    def _check_tokens(self, tree: Any, tokens: list[str], is_load: bool) -> None:
        """Raise NotReadOnlyError at a keyword or name that writes, or a call of a function not known pure."""
        names_with_columns = _names_with_column_list(tree, is_load)
        for position, token in enumerate(tokens):
            initial = token[0]
            is_quoted = initial in QUOTES
            if is_quoted:
                name = token[1:-1].replace(initial * 2, initial).casefold()
            elif initial.isalpha() or initial == "_":
                name = token
            else:
                continue
            if name in purity.SIDE_EFFECT_NAMES and not (is_load and name in purity.PURE_LOAD_FUNCTIONS):
                raise NotReadOnlyError(f"{name} may write")
            if not is_quoted:
                _check_unquoted_keyword(tokens, position, is_load)
            is_call = tokens[position + 1 : position + 2] == ["("] and name not in names_with_columns
            if is_call and (is_quoted or name not in purity.NON_FUNCTION_WORDS):
                self._check_call(tokens, position, name, is_load)

    def _check_call(self, tokens: list[str], position: int, name: str, is_load: bool) -> None:
        """Raise NotReadOnlyError unless the name before a parenthesis is that of a pure function."""
        if position >= 2 and tokens[position - 1] == ".":
            owner = tokens[position - 2]
            owner = owner[1:-1] if owner[0] in QUOTES else owner
            name = f"{owner.casefold()}.{name}"
        if not self._is_pure(name, is_load):
            raise NotReadOnlyError(f"function {name[:MAX_SHOWN_NAME]} is not known to write nothing")

    # ---- loads

    def _parse_load(self, tree: Any, verb: str, tokens: list[str]) -> ParseResult:
        rules = self.rules.keys
        has_no_other_side_effects = False
        try:
            target = keys.target_of(tree)
            _check_single_write(tree, verb)
            # An unknown function may change rows of other keys, out of order with the loads of those keys. A
            # load therefore gets a key only if its other parts are known to have no side effects.
            self._require_no_side_effects(tree, tokens, True)
            has_no_other_side_effects = True
            index = keys.key_rule_index(target, rules)
            references = keys.key_references(tree, rules[index])
            return ParseResult(True, key_rule_index=index, key_references=references, verb=verb)
        except NoKeyRuleError as error:
            return ParseResult(True, reason=str(error), verb=verb, lacks_key_rule=has_no_other_side_effects)
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
        """Whether windows, aggregates or joins make the read a report, regardless of the selected rows."""
        rules = self.rules
        if rules.windows and tree.find(exp.Window):
            return True
        if rules.aggregates and (_aggregates(tree) or tree.find(exp.Group)):
            return True
        return sum(1 for _ in tree.find_all(exp.Join)) > rules.joins


def _end_of_explain_options(tokens: list[str]) -> int:
    """Return the position after EXPLAIN and its options, with or without parentheses."""
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
    """Raise NotReadOnlyError at a query that locks or stores rows, or at parentheses without a query."""
    if isinstance(node, exp.Select) and (node.args.get("into") or node.args.get("locks")):
        raise NotReadOnlyError("SELECT INTO or a locking clause")
    if isinstance(node, exp.Select) and not node.expressions:
        raise NotReadOnlyError("a SELECT of nothing")
    if not isinstance(node, (exp.CTE, exp.Exists, exp.Subquery)):
        return
    is_join = isinstance(node.this, exp.Table) and node.this.args.get("joins")
    if not is_join and not isinstance(node.this, QUERY_TYPES):
        # sqlglot parses (SAVEPOINT a) as an expression with an alias, so a write in parentheses would be
        # taken for a read. Therefore only a query or a join of tables is allowed in parentheses.
        raise NotReadOnlyError("something in parentheses that is no query")


def _check_name_node(node: Any) -> None:
    """Raise NotReadOnlyError at names, types and tuples that may call code or contain a statement."""
    if isinstance(node, exp.Table) and not isinstance(node.this, (exp.Identifier, exp.Func)):
        raise NotReadOnlyError("a table that is no name")
    if isinstance(node, exp.Tuple) and not node.expressions and not node.find_ancestor(exp.Group):
        raise NotReadOnlyError("empty parentheses")
    if isinstance(node, exp.DataType) and node.this == exp.DataType.Type.USERDEFINED:
        raise NotReadOnlyError("a cast to a type of somebody's own")
    plain = (exp.Identifier, exp.Func, exp.Star)
    if isinstance(node, exp.Dot) and not isinstance(node.expression, plain):
        raise NotReadOnlyError("a dotted name that is not plain")


def _names_with_column_list(tree: Any, is_load: bool) -> set[str]:
    """Return the names whose following parenthesis is not a function call.

    These are the names before lists of columns and, in a load, keywords such as VALUES.
    """
    names = set()
    for alias in tree.find_all(exp.TableAlias):
        if alias.args.get("columns") and alias.this:
            names.add(alias.this.name.casefold())
    if is_load:
        names |= {schema.this.name.casefold() for schema in tree.find_all(exp.Schema)}
        names |= {"using", "values", "update", "insert", "conflict"}
    return names


def _check_unquoted_keyword(tokens: list[str], position: int, is_load: bool) -> None:
    """Raise NotReadOnlyError at a write keyword in a read, or another kind of statement in parentheses."""
    token = tokens[position]
    previous_token = tokens[position - 1] if position else ""
    next_token = tokens[position + 1] if position + 1 < len(tokens) else ""
    if not is_load and token in purity.WRITE_KEYWORDS and previous_token != "." and next_token != ".":
        raise NotReadOnlyError(f"{token.upper()} writes")
    if previous_token == "(" and token in purity.STATEMENT_KEYWORDS and next_token[:1].isalpha():
        raise NotReadOnlyError(f"{token.upper()} begins no known read")


def _check_single_write(tree: Any, verb: str) -> None:
    """Raise UndeterminedKeyError at a load that contains another write, or replaces rows it does not name."""
    nested = (node for node in tree.walk() if node is not tree and type(node).__name__ in DML_NODE_TYPES)
    if any(not isinstance(node.parent, exp.When) for node in nested):
        raise UndeterminedKeyError("it writes more than one table")
    if verb == "insert" and (tree.args.get("overwrite") or tree.args.get("alternative")):
        raise UndeterminedKeyError("it replaces rows that it does not name")


def _aggregates(tree: Any) -> bool:
    """Whether the query aggregates outside of windows."""
    return any(not _is_within(node, exp.Window) for node in tree.find_all(exp.AggFunc))


def _sorts(tree: Any) -> bool:
    """Whether the query sorts or removes duplicates outside of windows."""
    return any(not _is_within(node, exp.Window) for node in tree.find_all(exp.Order, exp.Distinct))


def _is_within(node: Any, kind: type) -> bool:
    return node.find_ancestor(kind) is not None


def _reads_tables(tree: Any) -> bool:
    """Whether the query reads a table other than its own common table expressions."""
    cte_names = {cte.alias.casefold() for cte in tree.find_all(exp.CTE)}
    tables = [table for table in tree.find_all(exp.Table) if isinstance(table.this, exp.Identifier)]
    return any(table.name.casefold() not in cte_names or table.args.get("db") for table in tables)


def _is_bounded(tree: Any, max_rows: int) -> bool:
    """Whether the query has a LIMIT of at most `max_rows`.

    The normalizer has already replaced the number: by 1 if it is at most `sort_rows`, which is passed here as
    `max_rows`, otherwise by `sort_rows` + 1.
    """
    limit = tree.args.get("limit")
    if limit is None:
        return False
    count = limit.args.get("count") or limit.args.get("expression")
    return isinstance(count, exp.Literal) and count.is_number and float(count.this) <= max_rows


def _is_selective(predicate: Any) -> bool:
    """Whether a predicate restricts a column to one value or to a list of values."""
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
