"""Which rows a load may touch: where the value of its key stands in the tree.

Only what is certain counts: a load is keyed if every row it may insert, change or remove carries one value
in the rule's column. What is not certain raises NoKey with the reason.
"""

import re
from collections.abc import Iterable, Sequence
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from sqlglot import expressions as exp

from query_gateway.statements.messages import KeyRule, Ref
from query_gateway.statements.shape import FIRST_NUMBER
from query_gateway.statements.values import NoKey

INTEGERS, TEXTS = ("INT", "BIGINT"), ("TEXT", "VARCHAR")


class NotCovered(NoKey):
    """No rule speaks of the table that is written."""


# ---- rules by table


def parts_of(table: Any) -> tuple[str, ...]:
    """A table's name with what qualifies it, without case; quoted and plain names are one here."""
    parts = [table.args.get("catalog"), table.args.get("db"), table.this]
    return tuple(part.name.casefold() for part in parts if part)


def rule_of(table: Any, rules: Sequence[KeyRule]) -> int:
    """The rule of a table. Parts that either side leaves out match: a bare name may be any schema's.

    Raises NoKey if none or several match; one for whole tables goes before those by column.
    """
    name = parts_of(table)
    matching = []
    for at, rule in enumerate(rules):
        pattern = rule.table.casefold().split(".")
        if all(fnmatchcase(a, b) for a, b in zip(reversed(name), reversed(pattern), strict=False)):
            matching.append(at)
    whole = [at for at in matching if rules[at].whole]
    if whole:
        matching = whole
    if len(matching) == 1:
        return matching[0]
    shown = ".".join(name)[:80]
    if not matching:
        raise NotCovered(f"no key rule covers {shown}")
    raise NoKey(f"several key rules cover {shown}")


# ---- places in the tree


def ref_of(node: Any) -> Ref | None:
    """The place of a literal, signed or cast in a way that keeps its value."""
    negative, cast = False, ""
    while True:
        if isinstance(node, (exp.Paren, exp.Alias)):
            node = node.this
        elif isinstance(node, exp.Neg) and not cast:
            negative = not negative
            node = node.this
        elif isinstance(node, exp.Cast) and not node.args.get("format"):
            kind = node.to
            if not isinstance(kind, exp.DataType) or kind.expressions or negative:
                return None
            name = kind.this.name if hasattr(kind.this, "name") else str(kind.this)
            told = "integer" if name in INTEGERS else "text" if name in TEXTS else ""
            if not told or (cast and cast != told):
                return None
            cast = told
            node = node.this
        else:
            break
    if isinstance(node, exp.Literal):
        if node.is_string:
            found = re.fullmatch(r"s(\d+)", node.this)
            slot = int(found[1]) if found else -1
        else:
            slot = int(node.this) - FIRST_NUMBER if node.this.isdigit() else -1
    elif isinstance(node, exp.Placeholder):
        found = re.fullmatch(r"p(\d+)", node.name)
        slot = int(found[1]) if found else -1
    else:
        return None
    return Ref(slot, negative, cast) if slot >= 0 else None  # type: ignore[arg-type]


def is_column(node: Any, column: str) -> bool:
    """Whether it may be the column, however it is written: for what must not be touched."""
    return isinstance(node, (exp.Column, exp.Identifier)) and node.name.casefold() == column.casefold()


def _surely(node: Any, column: str, owner: "Owner") -> bool:
    """Whether it is certainly that column of the target."""
    if not isinstance(node, exp.Column):
        return False
    name = node.this
    if not isinstance(name, exp.Identifier):
        return False
    same = name.name == column if name.quoted else name.name.casefold() == column.casefold()
    if not node.table:
        return same and not owner.others
    schema = node.args.get("db")
    if schema is not None and schema.name.casefold() != owner.schema:
        return False
    return same and node.table.casefold() == owner.name and owner.name not in owner.others


def conjuncts(node: Any) -> Iterable[Any]:
    stack = [node]
    while stack:
        one = stack.pop()
        if isinstance(one, exp.And):
            stack += [one.this, one.expression]
        elif isinstance(one, exp.Paren):
            stack.append(one.this)
        elif one is not None:
            yield one


class Owner(NamedTuple):
    """What may stand before the target's columns: its alias, which hides its name, or its name."""

    name: str
    schema: str  # empty behind an alias
    others: frozenset[str]  # names of what else its predicates may speak of


def _owner(tree: Any, target: Any) -> Owner:
    beside = [tree.args.get(part) for part in ("from_", "from", "using")]
    others: set[str] = set()
    for part in beside:
        for one in part if isinstance(part, list) else [part]:
            if isinstance(one, exp.Expression):
                others |= {table.alias_or_name.casefold() for table in one.find_all(exp.Table, exp.Subquery)}
                others.add(one.alias_or_name.casefold())  # VALUES and the like, named or not
    schema = "" if target.alias else target.db.casefold()
    return Owner((target.alias or target.name).casefold(), schema, frozenset(others))


def _picked(where: Any, column: str, owner: Owner, source: dict[str, Any]) -> list[Ref]:
    """The refs of one conjunct that pins the column; conjuncts beside it only narrow the rows."""
    for part in conjuncts(where):
        if isinstance(part, exp.EQ):
            for one, other in ((part.this, part.expression), (part.expression, part.this)):
                if _surely(one, column, owner) and (refs := _values(other, source)):
                    return refs
        elif isinstance(part, exp.In) and _surely(part.this, column, owner):
            told = [ref_of(node) for node in part.expressions]
            if told and all(told) and not part.args.get("query") and not part.args.get("unnest"):
                return [ref for ref in told if ref]
    raise NoKey(f"no predicate gives {column} one value")


def _values(node: Any, source: dict[str, Any]) -> list[Ref]:
    """The values of an expression: a literal, or a column of the source whose every row tells one."""
    if ref := ref_of(node):
        return [ref]
    if isinstance(node, exp.Column) and node.table:
        return list(source.get(f"{node.table.casefold()}.{node.name.casefold()}", ()))
    return []


def _source_columns(source: Any) -> dict[str, list[Ref]]:
    """Of a MERGE's source, the columns that hold literals alone, by qualified name."""
    alias = source.args.get("alias")
    if alias is None or not alias.name:
        return {}
    if isinstance(source, exp.Subquery):
        source = source.this
    rows: list[list[Any]] = []
    names = [column.name for column in alias.args.get("columns") or ()]
    if isinstance(source, exp.Values):
        rows = [list(row.expressions) for row in source.expressions if isinstance(row, exp.Tuple)]
        if len(rows) != len(source.expressions):
            return {}
    elif isinstance(source, exp.Select) and not source.args.get("with_"):
        rows = [list(source.expressions)]
        names = names or [node.alias_or_name for node in source.expressions]
    found: dict[str, list[Ref]] = {}
    for at, name in enumerate(names):
        refs = [ref_of(row[at]) if at < len(row) else None for row in rows]
        qualified = f"{alias.name.casefold()}.{name.casefold()}"
        alone = [n.casefold() for n in names].count(name.casefold()) == 1
        if refs and all(refs) and alone:
            found[qualified] = [ref for ref in refs if ref]
    return found


def _assigned(assignments: Iterable[Any], column: str, source: dict[str, Any]) -> list[Ref]:
    """The refs of what is assigned to the column; whatever else it is given makes it unknown."""
    refs: list[Ref] = []
    for one in assignments:
        if not isinstance(one, exp.EQ) or not isinstance(one.this, (exp.Column, exp.Identifier)):
            raise NoKey("an assignment that is no plain column = value")
        if is_column(one.this, column):
            told = _values(one.expression, source)
            if not told:
                raise NoKey(f"{column} is set to what the text does not tell")
            refs += told
    return refs


def _inserted(tree: Any, column: str) -> list[Ref]:
    schema = tree.this
    if not isinstance(schema, exp.Schema) or not schema.expressions:
        raise NoKey("an insert without its list of columns")
    names = [node.name.casefold() for node in schema.expressions]
    if names.count(column.casefold()) != 1:
        raise NoKey(f"the insert does not give {column}")
    at = names.index(column.casefold())
    written = schema.expressions[at]
    if isinstance(written, exp.Identifier) and written.quoted and written.name != column:
        raise NoKey(f"the insert does not give {column}")
    refs: list[Ref] = []
    selects = [tree.expression]
    while selects:
        one = selects.pop()
        if isinstance(one, (exp.Paren, exp.Subquery)) and not one.args.get("alias"):
            selects.append(one.this)
            continue
        if isinstance(one, exp.Union):
            selects += [one.this, one.expression]
            continue
        if isinstance(one, exp.Values):
            rows = [row.expressions if isinstance(row, exp.Tuple) else [row] for row in one.expressions]
        elif isinstance(one, exp.Select):
            rows = [one.expressions]
        else:
            raise NoKey("an insert of rows that the text does not tell")
        for row in rows:
            told = ref_of(row[at]) if len(row) == len(names) else None
            if any(isinstance(node, exp.Star) or node.find(exp.Star) for node in row[: at + 1] if node):
                told = None
            if told is None:
                raise NoKey(f"the insert gives {column} a value that the text does not tell")
            refs.append(told)
    conflict = tree.args.get("conflict")
    if conflict is not None:
        action = conflict.args.get("action")
        nothing = action is not None and "NOTHING" in action.name.upper() and not conflict.expressions
        if not nothing:
            # Guards rows of other keys: a conflict on another column changes a row whose key we do not know
            given = conflict.args.get("conflict_keys") or ()
            on = [one.this if isinstance(one, exp.Ordered) else one for one in given]
            if conflict.args.get("duplicate") or not any(is_column(node, column) for node in on):
                raise NoKey(f"a conflict on something other than {column} may change any row")
            refs += _assigned(conflict.expressions, column, {})
    return refs


def _merged(tree: Any, column: str) -> list[Ref]:
    source = _source_columns(tree.args["using"])
    refs = _picked(tree.args.get("on"), column, _owner(tree, target_of(tree)), source)
    whens = tree.args.get("whens")
    for when in whens.expressions if whens else ():
        then = when.args.get("then")
        if when.args.get("source") and not when.args.get("matched"):
            raise NoKey("WHEN NOT MATCHED BY SOURCE touches rows that no predicate picks")
        if isinstance(then, exp.Update):
            refs += _assigned(then.expressions, column, source)
        elif isinstance(then, exp.Insert):
            names = [node.name.casefold() for node in then.this.expressions] if then.this else []
            values = then.expression.expressions if then.expression else []
            if names.count(column.casefold()) != 1 or len(values) != len(names):
                raise NoKey(f"the merge inserts rows without telling {column}")
            told = _values(values[names.index(column.casefold())], source)
            if not told:
                raise NoKey(f"the merge gives {column} a value that the text does not tell")
            refs += told
        elif not (isinstance(then, exp.Var) and then.name.upper() in ("DELETE", "DO NOTHING")):
            raise NoKey("a merge with a branch that is not known")
    return refs


def target_of(tree: Any) -> Any:
    """The one table that a load writes. Raises NoKey."""
    target = tree.this
    if isinstance(target, exp.Schema):
        target = target.this
    if not isinstance(target, exp.Table) or not isinstance(target.this, exp.Identifier):
        raise NoKey("the table that is written is not plain")
    if target.args.get("joins") or tree.args.get("tables"):
        raise NoKey("several tables may be written")
    return target


def refs_of(tree: Any, rule: KeyRule) -> tuple[Ref, ...]:
    """Where the key's values stand in a load. Raises NoKey."""
    if rule.whole:
        return ()
    target, column = target_of(tree), rule.column
    if isinstance(tree, exp.Insert):
        refs = _inserted(tree, column)
    elif isinstance(tree, exp.Merge):
        refs = _merged(tree, column)
    else:
        where = tree.args.get("where")
        if where is None:
            raise NoKey("all rows of the table are touched")
        refs = _picked(where.this, column, _owner(tree, target), {})
        if isinstance(tree, exp.Update):
            refs += _assigned(tree.expressions, column, {})
    return tuple(dict.fromkeys(refs))
