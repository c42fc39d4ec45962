"""Determines the key of a load from its syntax tree: which literals give the key column's value.

A load is a statement that writes. It gets a key only if every row that it may insert, change or remove is
certain to have the value of one of these literals in the column of the table's KeyRule; `values.compute_key`
checks that they all have the same value. Otherwise UndeterminedKeyError is raised; its message is sent to the
client as the reason. Trees are those of sqlglot.
"""

import re
from collections.abc import Iterable, Iterator, Sequence
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from sqlglot import expressions as exp

from query_gateway.statements.errors import NoKeyRuleError, UndeterminedKeyError
from query_gateway.statements.messages import KeyRule, LiteralReference
from query_gateway.statements.normalizer import FIRST_NUMBER

INTEGER_TYPES, TEXT_TYPES = ("INT", "BIGINT"), ("TEXT", "VARCHAR")
MAX_SHOWN_NAME = 80  # characters of a table's name in a reason
STRING_SLOT, PARAMETER_SLOT = re.compile(r"s(\d+)"), re.compile(r"p(\d+)")
# The columns of a MERGE source that hold only literals, by ALIAS.COLUMN, case-folded
SourceColumns = dict[str, list[LiteralReference]]


# ---- key rules of tables


def qualified_name(table: Any) -> tuple[str, ...]:
    """Return a table's qualified name, case-folded; quoted and unquoted names are equal here."""
    parts = [table.args.get("catalog"), table.args.get("db"), table.this]
    return tuple(part.name.casefold() for part in parts if part)


def key_rule_index(table: Any, rules: Sequence[KeyRule]) -> int:
    """Return the index of the rule that covers a table.

    A table name without a schema matches rules for any schema; a rule without a schema matches tables of any
    schema. A rule with a single key for the table takes precedence over rules by column. Raises
    NoKeyRuleError if no rule matches and UndeterminedKeyError if several do.
    """
    name = qualified_name(table)
    matching = [index for index, rule in enumerate(rules) if _matches(name, rule)]
    matching = [index for index in matching if rules[index].has_single_key] or matching
    if len(matching) == 1:
        return matching[0]
    shown = ".".join(name)[:MAX_SHOWN_NAME]
    if not matching:
        raise NoKeyRuleError(f"no key rule covers {shown}")
    raise UndeterminedKeyError(f"several key rules cover {shown}")


def _matches(name: tuple[str, ...], rule: KeyRule) -> bool:
    patterns = rule.table.casefold().split(".")
    pairs = zip(reversed(name), reversed(patterns), strict=False)
    return all(fnmatchcase(part, pattern) for part, pattern in pairs)


# ---- literals and columns in the tree


def literal_reference(node: Any) -> LiteralReference | None:
    """Return the reference to a literal that may have a sign or a value-preserving cast.

    Returns None for other nodes.
    """
    negative, cast = False, ""
    while True:
        if isinstance(node, (exp.Paren, exp.Alias)):
            node = node.this
        elif isinstance(node, exp.Neg) and not cast:
            negative = not negative
            node = node.this
        elif isinstance(node, exp.Cast) and not node.args.get("format"):
            kind = _cast_kind(node.to)
            if not kind or negative or (cast and cast != kind):
                return None
            cast = kind
            node = node.this
        else:
            break
    slot = _slot_of(node)
    return LiteralReference(slot, negative, cast) if slot >= 0 else None  # type: ignore[arg-type]


def _cast_kind(data_type: Any) -> str:
    """Return `integer` or `text`; empty for a type whose cast may change the value."""
    if not isinstance(data_type, exp.DataType) or data_type.expressions:
        return ""
    name = data_type.this.name if hasattr(data_type.this, "name") else str(data_type.this)
    if name in INTEGER_TYPES:
        return "integer"
    return "text" if name in TEXT_TYPES else ""


def _slot_of(node: Any) -> int:
    """Return the slot that a literal of the canonical text encodes; -1 for any other node."""
    if isinstance(node, exp.Literal) and not node.is_string:
        return int(node.this) - FIRST_NUMBER if node.this.isdigit() else -1
    found = None
    if isinstance(node, exp.Literal):
        found = STRING_SLOT.fullmatch(node.this)
    elif isinstance(node, exp.Placeholder):
        found = PARAMETER_SLOT.fullmatch(node.name)
    return int(found[1]) if found else -1


def may_be_column(node: Any, column: str) -> bool:
    """Whether a node may be the column: its name, without qualifiers, is equal except for case."""
    return isinstance(node, (exp.Column, exp.Identifier)) and node.name.casefold() == column.casefold()


class TargetScope(NamedTuple):
    """How the predicates of a load may qualify the columns of the target, the table that it writes."""

    name: str  # the target's alias, else its name
    schema: str  # empty if the target has an alias
    other_sources: frozenset[str]  # names of other tables that the predicates may refer to


def _target_scope(tree: Any, target: Any) -> TargetScope:
    other_sources: set[str] = set()
    for argument in ("from_", "from", "using"):
        sources = tree.args.get(argument)
        for source in sources if isinstance(sources, list) else [sources]:
            if isinstance(source, exp.Expression):
                tables = source.find_all(exp.Table, exp.Subquery)
                other_sources |= {table.alias_or_name.casefold() for table in tables}
                # VALUES and similar sources are not tables. An unnamed one adds an empty name, so that an
                # unqualified column is not taken for one of the target
                other_sources.add(source.alias_or_name.casefold())
    schema = "" if target.alias else target.db.casefold()
    return TargetScope((target.alias or target.name).casefold(), schema, frozenset(other_sources))


def _is_target_column(node: Any, column: str, scope: TargetScope) -> bool:
    """Whether a node is certain to be the target's column `column`."""
    if not isinstance(node, exp.Column):
        return False
    name = node.this
    if not isinstance(name, exp.Identifier):
        return False
    is_same_name = name.name == column if name.quoted else name.name.casefold() == column.casefold()
    if not node.table:
        return is_same_name and not scope.other_sources
    schema = node.args.get("db")
    if schema is not None and schema.name.casefold() != scope.schema:
        return False
    return is_same_name and node.table.casefold() == scope.name and scope.name not in scope.other_sources


def conjuncts(node: Any) -> Iterator[Any]:
    """Yield the conjuncts of a predicate, from the last to the first."""
    stack = [node]
    while stack:
        part = stack.pop()
        if isinstance(part, exp.And):
            stack += [part.this, part.expression]
        elif isinstance(part, exp.Paren):
            stack.append(part.this)
        elif part is not None:
            yield part


def _predicate_references(
    predicate: Any, column: str, scope: TargetScope, source: SourceColumns
) -> list[LiteralReference]:
    """Return the references to the literals to which one of the conjuncts restricts the column.

    The other conjuncts only narrow down the rows. Raises UndeterminedKeyError if there is no such conjunct.
    """
    for part in conjuncts(predicate):
        references: list[LiteralReference] = []
        if isinstance(part, exp.EQ):
            references = _equality_references(part, column, scope, source)
        elif isinstance(part, exp.In) and _is_target_column(part.this, column, scope):
            references = _in_list_references(part)
        if references:
            return references
    raise UndeterminedKeyError(f"no predicate gives {column} one value")


def _equality_references(
    equality: Any, column: str, scope: TargetScope, source: SourceColumns
) -> list[LiteralReference]:
    sides = (equality.this, equality.expression)
    for side, opposite in (sides, sides[::-1]):
        if _is_target_column(side, column, scope) and (references := _value_references(opposite, source)):
            return references
    return []


def _in_list_references(membership: Any) -> list[LiteralReference]:
    """Return the references to the literals of an IN list; empty if it contains anything else."""
    if membership.args.get("query") or membership.args.get("unnest"):
        return []
    return _literal_references(membership.expressions)


def _literal_references(nodes: Iterable[Any]) -> list[LiteralReference]:
    """Return one reference for each node; empty if any node is not a literal."""
    references = []
    for node in nodes:
        reference = literal_reference(node)
        if reference is None:
            return []
        references.append(reference)
    return references


def _value_references(node: Any, source: SourceColumns) -> list[LiteralReference]:
    """Return the references of a literal or of a source column with only literals; empty for other nodes."""
    if reference := literal_reference(node):
        return [reference]
    if isinstance(node, exp.Column) and node.table:
        return list(source.get(f"{node.table.casefold()}.{node.name.casefold()}", ()))
    return []


def _source_columns(source: Any) -> SourceColumns:
    """Return the columns of a MERGE source that hold only literals, by qualified name."""
    alias = source.args.get("alias")
    if alias is None or not alias.name:
        return {}
    source_rows = _source_rows(source, [column.name for column in alias.args.get("columns") or ()])
    folded_names = [name.casefold() for name in source_rows.names]
    columns: SourceColumns = {}
    for index, name in enumerate(folded_names):
        references = _literal_references(row[index] if index < len(row) else None for row in source_rows.rows)
        if references and folded_names.count(name) == 1:
            columns[f"{alias.name.casefold()}.{name}"] = references
    return columns


class SourceRows(NamedTuple):
    """The column names and the rows of a MERGE source; the rows are lists of nodes of the tree."""

    names: list[str]
    rows: list[list[Any]]


def _source_rows(source: Any, names: list[str]) -> SourceRows:
    """Return the rows of VALUES, or one row with the expressions of a SELECT without WITH, else no rows.

    `names`: the column names in the alias of the source; if empty, those of the SELECT are used.
    """
    if isinstance(source, exp.Subquery):
        source = source.this
    if isinstance(source, exp.Values):
        rows = [list(row.expressions) for row in source.expressions if isinstance(row, exp.Tuple)]
        return SourceRows(names, rows if len(rows) == len(source.expressions) else [])
    if isinstance(source, exp.Select) and not source.args.get("with_"):
        names = names or [node.alias_or_name for node in source.expressions]
        return SourceRows(names, [list(source.expressions)])
    return SourceRows(names, [])


def _assignment_references(
    assignments: Iterable[Any], column: str, source: SourceColumns
) -> list[LiteralReference]:
    """Return the references of all values assigned to the column.

    Raises UndeterminedKeyError if a value is neither a literal nor a source column that holds only literals.
    """
    references: list[LiteralReference] = []
    for assignment in assignments:
        is_plain = isinstance(assignment, exp.EQ)
        if not is_plain or not isinstance(assignment.this, (exp.Column, exp.Identifier)):
            raise UndeterminedKeyError("an assignment that is no plain column = value")
        if may_be_column(assignment.this, column):
            values = _value_references(assignment.expression, source)
            if not values:
                raise UndeterminedKeyError(f"{column} is set to what the text does not tell")
            references += values
    return references


# ---- inserts


def _insert_references(tree: Any, column: str) -> list[LiteralReference]:
    schema = tree.this
    if not isinstance(schema, exp.Schema) or not schema.expressions:
        raise UndeterminedKeyError("an insert without its list of columns")
    index = _key_column_index(schema, column)
    references = [
        _insert_value_reference(row, index, len(schema.expressions), column)
        for row in _insert_rows(tree.expression)
    ]
    conflict = tree.args.get("conflict")
    if conflict is not None:
        references += _conflict_references(conflict, column)
    return references


def _key_column_index(schema: Any, column: str) -> int:
    """Return the position of the key column in the insert's list of columns."""
    names = [node.name.casefold() for node in schema.expressions]
    if names.count(column.casefold()) != 1:
        raise UndeterminedKeyError(f"the insert does not give {column}")
    index = names.index(column.casefold())
    written = schema.expressions[index]
    if isinstance(written, exp.Identifier) and written.quoted and written.name != column:
        raise UndeterminedKeyError(f"the insert does not give {column}")
    return index


def _insert_rows(query: Any) -> Iterator[list[Any]]:
    """Yield the rows of VALUES and SELECTs, also within a UNION."""
    stack = [query]
    while stack:
        part = stack.pop()
        if isinstance(part, (exp.Paren, exp.Subquery)) and not part.args.get("alias"):
            stack.append(part.this)
        elif isinstance(part, exp.Union):
            stack += [part.this, part.expression]
        elif isinstance(part, exp.Values):
            yield from (row.expressions if isinstance(row, exp.Tuple) else [row] for row in part.expressions)
        elif isinstance(part, exp.Select):
            yield part.expressions
        else:
            raise UndeterminedKeyError("an insert of rows that the text does not tell")


def _insert_value_reference(row: list[Any], index: int, width: int, column: str) -> LiteralReference:
    reference = literal_reference(row[index]) if len(row) == width else None
    # A star before the value expands to several columns, so the value belongs to another column than its
    # position shows, and the load would get a wrong key. Such a row has no reference.
    if any(isinstance(node, exp.Star) or node.find(exp.Star) for node in row[: index + 1] if node):
        reference = None
    if reference is None:
        raise UndeterminedKeyError(f"the insert gives {column} a value that the text does not tell")
    return reference


def _conflict_references(conflict: Any, column: str) -> list[LiteralReference]:
    action = conflict.args.get("action")
    if action is not None and "NOTHING" in action.name.upper() and not conflict.expressions:
        return []
    # A conflict on another column changes the existing row, whose key is unknown, so the load could run
    # concurrently with loads of that key. Only a conflict on the key column preserves the key.
    conflict_keys = conflict.args.get("conflict_keys") or ()
    columns = [node.this if isinstance(node, exp.Ordered) else node for node in conflict_keys]
    if conflict.args.get("duplicate") or not any(may_be_column(node, column) for node in columns):
        raise UndeterminedKeyError(f"a conflict on something other than {column} may change any row")
    return _assignment_references(conflict.expressions, column, {})


# ---- merges


def _merge_references(tree: Any, column: str) -> list[LiteralReference]:
    source = _source_columns(tree.args["using"])
    references = _predicate_references(
        tree.args.get("on"), column, _target_scope(tree, target_of(tree)), source
    )
    whens = tree.args.get("whens")
    for when in whens.expressions if whens else ():
        references += _merge_branch_references(when, column, source)
    return references


def _merge_branch_references(when: Any, column: str, source: SourceColumns) -> list[LiteralReference]:
    then = when.args.get("then")
    if when.args.get("source") and not when.args.get("matched"):
        raise UndeterminedKeyError("WHEN NOT MATCHED BY SOURCE touches rows that no predicate picks")
    if isinstance(then, exp.Update):
        return _assignment_references(then.expressions, column, source)
    if isinstance(then, exp.Insert):
        return _merge_insert_references(then, column, source)
    if isinstance(then, exp.Var) and then.name.upper() in ("DELETE", "DO NOTHING"):
        return []
    raise UndeterminedKeyError("a merge with a branch that is not known")


def _merge_insert_references(insert: Any, column: str, source: SourceColumns) -> list[LiteralReference]:
    names = [node.name.casefold() for node in insert.this.expressions] if insert.this else []
    values = insert.expression.expressions if insert.expression else []
    if names.count(column.casefold()) != 1 or len(values) != len(names):
        raise UndeterminedKeyError(f"the merge inserts rows without telling {column}")
    references = _value_references(values[names.index(column.casefold())], source)
    if not references:
        raise UndeterminedKeyError(f"the merge gives {column} a value that the text does not tell")
    return references


# ---- a complete load


def target_of(tree: Any) -> Any:
    """Return the table that a load writes; raises UndeterminedKeyError if it is not one plain table."""
    target = tree.this
    if isinstance(target, exp.Schema):
        target = target.this
    if not isinstance(target, exp.Table) or not isinstance(target.this, exp.Identifier):
        raise UndeterminedKeyError("the table that is written is not plain")
    if target.args.get("joins") or tree.args.get("tables"):
        raise UndeterminedKeyError("several tables may be written")
    return target


def key_references(tree: Any, rule: KeyRule) -> tuple[LiteralReference, ...]:
    """Return the references to the literals that determine a load's key; none if the rule has a single key.

    Raises UndeterminedKeyError.
    """
    if rule.has_single_key:
        return ()
    target, column = target_of(tree), rule.column
    if isinstance(tree, exp.Insert):
        references = _insert_references(tree, column)
    elif isinstance(tree, exp.Merge):
        references = _merge_references(tree, column)
    else:
        where_clause = tree.args.get("where")
        if where_clause is None:
            raise UndeterminedKeyError("all rows of the table are touched")
        references = _predicate_references(where_clause.this, column, _target_scope(tree, target), {})
        if isinstance(tree, exp.Update):
            references += _assignment_references(tree.expressions, column, {})
    return tuple(dict.fromkeys(references))
