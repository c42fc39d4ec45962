"""The full parse of a shape: a read only where every node of its tree is known to write nothing.

Three locks, each enough by itself to make a statement a write: words and names that write, wherever they
stand; functions called, by name; and the kinds of the tree's nodes. What does not parse is turned down.
"""

import logging
from typing import Any

import sqlglot
from sqlglot import expressions as exp
from sqlglot.errors import SqlglotError

from query_gateway.statements import keys, purity
from query_gateway.statements.messages import Plan, Rules
from query_gateway.statements.shape import SLOTS, Shape
from query_gateway.statements.values import NoKey

logging.getLogger("sqlglot").setLevel(logging.CRITICAL)  # it tells of each statement that it falls back on

DIALECTS = ("postgres", "mysql", "duckdb", "sqlite", "trino", "ansi")
EXPLAINS = purity.words("""
    analyze verbose extended formatted costs buffers timing summary format json text off on true false ,
    ( )
""")
DML = ("Insert", "Update", "Delete", "Merge")
READS = frozenset(("select", "with", "values", "from", "("))
ROOTS = (exp.Select, exp.SetOperation, exp.Subquery, exp.Values)
QUOTES = '"`'


class Unproven(Exception):
    """Why a statement cannot be shown to write nothing."""


class Reader:
    """Reads shapes by one set of rules. Holds no state between shapes."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.dialect = "" if rules.dialect == "ansi" else rules.dialect
        self.pure = purity.FUNCTIONS | {name.casefold() for name in rules.pure if "." not in name}
        self.qualified = {name.casefold() for name in rules.pure if "." in name}

    def read(self, shape: Shape, text: str | None = None) -> Plan:
        """`text`: what is parsed in place of the shape's canonical text, to compare the two."""
        folded = shape.folded
        if folded[0] == "explain":
            return self._explained(shape)
        try:
            trees = sqlglot.parse(shape.canonical() if text is None else text, read=self.dialect)
        except SqlglotError:
            return Plan(True, reason="it does not parse", parsed=False)
        except RecursionError:
            return Plan(True, reason="it nests too deep", parsed=False)
        if len(trees) != 1 or trees[0] is None:
            return Plan(True, reason="more than one statement", parsed=False)
        tree = trees[0]
        kind = type(tree).__name__
        try:
            if kind in DML:
                return self._load(tree, kind.lower(), folded)
            # Guards against words that the parser takes for an expression: DO 'x' is one to it
            if folded[0] not in READS or not isinstance(tree, ROOTS):
                raise Unproven(f"{folded[0].strip(QUOTES)[:20].upper()} begins no known read")
            self._prove(tree, folded, False)
        except Unproven as why:
            return Plan(True, reason=str(why))
        return Plan(False, self._is_report(tree))

    def _explained(self, shape: Shape) -> Plan:
        """EXPLAIN of a write counts as that write: with ANALYZE it runs. The parser takes no EXPLAIN
        apart.
        """
        folded, at = shape.folded, 1
        while at < len(folded) and folded[at] in EXPLAINS and folded[at] != "(":
            at += 1
        if at < len(folded) and folded[at] == "(" and folded[at + 1 : at + 2] != ["select"]:
            end = folded.index(")", at) if ")" in folded[at:] else at
            if all(word in EXPLAINS for word in folded[at:end]):
                at = end + 1
        rest = folded[at:]
        if not rest or rest[0] in ("explain", *SLOTS) or any(token in SLOTS for token in folded[:at]):
            return Plan(True, reason="an EXPLAIN of nothing known", parsed=False)
        plan = self.read(Shape(shape.digest, rest, shape.literals))
        if plan.writes:
            return Plan(True, reason=f"an EXPLAIN of a write: {plan.reason or plan.verb}", parsed=False)
        return plan

    # ---- proof

    def _prove(self, tree: Any, folded: list[str], load: bool) -> None:
        self._check_words(tree, folded, load)
        written = {token.strip(QUOTES).casefold() for token in folded}
        for table in tree.find_all(exp.Table):
            # Guards against a text that the parser takes for a name: some engines read the file of that name
            if isinstance(table.this, exp.Identifier) and table.name.casefold() not in written:
                raise Unproven("a table that is no name")
        for node in tree.walk():
            name = type(node).__name__
            if isinstance(node, exp.Anonymous):
                if not isinstance(node.this, str) and not isinstance(node.this, exp.Identifier):
                    raise Unproven("a function whose name is not plain")
                self._check_function(node)
            elif name in purity.NODES or (load and name in purity.WRITE_NODES):
                self._check_node(node)
            elif isinstance(node, exp.Func):
                if not any(told.casefold() in self.pure for told in node.sql_names()):
                    raise Unproven(f"function {node.sql_name()} is not known to write nothing")
            else:
                raise Unproven(f"{name.upper()} is not known to write nothing")

    def _check_node(self, node: Any) -> None:
        if isinstance(node, exp.Select) and (node.args.get("into") or node.args.get("locks")):
            raise Unproven("SELECT INTO or a locking clause")
        if isinstance(node, exp.Select) and not node.expressions:
            raise Unproven("a SELECT of nothing")
        inner = isinstance(node, (exp.CTE, exp.Exists, exp.Subquery))
        joined = inner and isinstance(node.this, exp.Table) and node.this.args.get("joins")
        if inner and not joined and not isinstance(node.this, ROOTS):
            # Guards against words that the parser takes for an expression there: (SAVEPOINT a) is one to it
            raise Unproven("something in parentheses that is no query")
        if isinstance(node, exp.Table) and not isinstance(node.this, (exp.Identifier, exp.Func)):
            raise Unproven("a table that is no name")
        if isinstance(node, exp.Tuple) and not node.expressions and not node.find_ancestor(exp.Group):
            raise Unproven("empty parentheses")
        if isinstance(node, exp.DataType) and node.this == exp.DataType.Type.USERDEFINED:
            raise Unproven("a cast to a type of somebody's own")
        dotted = (exp.Identifier, exp.Func, exp.Star)
        if isinstance(node, exp.Dot) and not isinstance(node.expression, dotted):
            raise Unproven("a dotted name that is not plain")

    def _check_function(self, node: Any) -> None:
        told, parent = node.name.casefold(), node.parent
        if isinstance(parent, exp.Dot) and parent.expression is node:
            owner = parent.this
            told = f"{owner.name.casefold()}.{told}" if isinstance(owner, exp.Identifier) else f"?.{told}"
        elif isinstance(parent, exp.Table) and parent.args.get("db"):
            told = f"{parent.args['db'].name.casefold()}.{told}"
        if not self._known(told):
            raise Unproven(f"function {told[:60]} is not known to write nothing")

    def _known(self, name: str) -> bool:
        """A qualified name counts only by its own entry, but for those of the databases themselves."""
        owner, _, plain = name.rpartition(".")
        if not owner or owner == "pg_catalog":
            return plain in self.pure or name in self.qualified
        return name in self.qualified

    def _check_words(self, tree: Any, folded: list[str], load: bool) -> None:
        """The tokens alone: words that write, and each name before a parenthesis."""
        listed = {
            name.name.casefold()
            for alias in tree.find_all(exp.TableAlias) if alias.args.get("columns")
            for name in (alias.this,) if name
        }  # fmt: skip
        if load:
            listed |= {schema.this.name.casefold() for schema in tree.find_all(exp.Schema)}
            listed |= {"using", "values", "update", "insert", "conflict"}
        harmful = frozenset() if load else purity.HARMFUL_WORDS
        for at, token in enumerate(folded):
            first = token[0]
            if first in '"`':
                name, quoted = token[1:-1].replace(first * 2, first).casefold(), True
            elif first.isalpha() or first == "_":
                name, quoted = token, False
            else:
                continue
            if name in purity.HARMFUL_NAMES and not (load and name in purity.LOAD_FUNCTIONS):
                raise Unproven(f"{name} may write")
            before = folded[at - 1] if at else ""
            if not quoted and name in harmful and before != "." and folded[at + 1 : at + 2] != ["."]:
                raise Unproven(f"{name.upper()} writes")
            behind = folded[at + 1] if at + 1 < len(folded) else ""
            if not quoted and before == "(" and name in purity.STARTERS and behind[:1].isalpha():
                raise Unproven(f"{name.upper()} begins no known read")
            if folded[at + 1 : at + 2] != ["("] or name in listed or (not quoted and name in purity.NO_CALLS):
                continue
            if before == "." and at >= 2:
                owner = folded[at - 2]
                owner = owner[1:-1] if owner[0] in '"`' else owner
                name = f"{owner.casefold()}.{name}"
            if not self._known(name) and not (load and name in purity.LOAD_FUNCTIONS):
                raise Unproven(f"function {name[:60]} is not known to write nothing")

    # ---- loads

    def _load(self, tree: Any, verb: str, folded: list[str]) -> Plan:
        rules = self.rules.keys
        known = False
        try:
            target = keys.target_of(tree)
            nested = (n for n in tree.walk() if n is not tree and type(n).__name__ in DML)
            if any(not isinstance(node.parent, exp.When) for node in nested):
                raise NoKey("it writes more than one table")
            if verb == "insert" and (tree.args.get("overwrite") or tree.args.get("alternative")):
                raise NoKey("it replaces rows that it does not name")
            self._prove_load(tree, folded)
            known = True
            found = keys.rule_of(target, rules)
            return Plan(True, rule=found, refs=keys.refs_of(tree, rules[found]), verb=verb)
        except keys.NotCovered as why:
            return Plan(True, reason=str(why), verb=verb, uncovered=known)
        except (NoKey, Unproven) as why:
            return Plan(True, reason=str(why), verb=verb)

    def _prove_load(self, tree: Any, folded: list[str]) -> None:
        """Guards the key: a function that is not known may touch rows of any key."""
        pure = self.pure
        self.pure = pure | purity.LOAD_FUNCTIONS
        try:
            self._prove(tree, folded, True)
        finally:
            self.pure = pure

    # ---- reads: lookup or report

    def _is_report(self, tree: Any) -> bool:
        while isinstance(tree, exp.Subquery) and not tree.args.get("limit"):
            tree = tree.this
        if isinstance(tree, exp.SetOperation) and not tree.args.get("with_"):
            return self._is_report(tree.this) or self._is_report(tree.expression)
        rules = self.rules
        if rules.windows and tree.find(exp.Window):
            return True
        aggregates = any(not _within(node, exp.Window) for node in tree.find_all(exp.AggFunc))
        if rules.aggregates and (aggregates or tree.find(exp.Group)):
            return True
        if sum(1 for _ in tree.find_all(exp.Join)) > rules.joins:
            return True
        named = {cte.alias.casefold() for cte in tree.find_all(exp.CTE)}
        tables = [table for table in tree.find_all(exp.Table) if isinstance(table.this, exp.Identifier)]
        if all(table.name.casefold() in named and not table.args.get("db") for table in tables):
            return False
        if any(_selects(where.this) for where in tree.find_all(exp.Where)):
            return False
        sorts, bounded = self._sorts(tree), _bounded(tree, rules.sort_rows)
        return (sorts and not bounded) or (rules.unselective and (sorts or not bounded))

    def _sorts(self, tree: Any) -> bool:
        return any(not _within(order, exp.Window) for order in tree.find_all(exp.Order, exp.Distinct))


def _within(node: Any, kind: type) -> bool:
    return node.find_ancestor(kind) is not None


def _bounded(tree: Any, rows: int) -> bool:
    """Whether its result is held down by a LIMIT within the rules' bound, which a shape shows as 1."""
    limit = tree.args.get("limit")
    told = (limit.args.get("count") or limit.args.get("expression")) if limit is not None else None
    return isinstance(told, exp.Literal) and told.is_number and float(told.this) <= rows


def _selects(where: Any) -> bool:
    """Whether a predicate picks rows: a column that equals one value, or is one of a list."""
    for part in keys.conjuncts(where):
        if isinstance(part, exp.EQ):
            sides = (part.this, part.expression)
            if any(isinstance(a, exp.Column) and not b.find(exp.Column) for a, b in (sides, sides[::-1])):
                return True
        if isinstance(part, exp.In) and isinstance(part.this, exp.Column):
            return True
        if isinstance(part, exp.Or) and _selects(part.this) and _selects(part.expression):
            return True
    return False
