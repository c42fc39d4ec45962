"""Classifies statements: request class, key, and whether the statement is accepted.

Parse results are cached by shape. A statement of a new shape needs a parse, which the caller runs.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Any

from query_gateway.forwarder.table_group import table_group
from query_gateway.statements.cache import Cache
from query_gateway.statements.costs import CostEstimates
from query_gateway.statements.errors import UndeterminedKeyError, UnsupportedStatementError
from query_gateway.statements.limits import ShapeLimits
from query_gateway.statements.messages import ClientTerms, Decision, ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement, normalize

MAX_SHAPES = 10_000  # in the cache
DEFAULT_TERMS = ClientTerms()
MAX_DISTINCT_RESULTS = 1_024  # parse results that shapes share; above this, the table of them is cleared


@dataclass(slots=True, frozen=True)
class CachedStatement:
    """The cache entry of a shape."""

    parse_result: ParseResult
    table_group: int | None  # numeric suffix of the schema name, see `forwarder.table_group`


class Classifier:
    """Owns the rules, the cached shapes, their cost estimates and their concurrency limits."""

    def __init__(
        self, rules: Rules, idempotent_classes: Collection[str] | None = None, capacity: int = MAX_SHAPES
    ) -> None:
        """`idempotent_classes`: names of classes whose requests may run twice.

        If it is None, these are `rules.lookup` and `rules.report`, the default classes of reads. `capacity`:
        maximum number of cached shapes.
        """
        self.rules = rules
        if idempotent_classes is None:
            idempotent_classes = (rules.lookup, rules.report)
        self.idempotent_classes = frozenset(idempotent_classes)
        self.shapes: Cache[CachedStatement] = Cache(capacity)
        self.costs = CostEstimates(capacity)
        self.limits = ShapeLimits()
        # Thousands of shapes share few distinct results; storing each result once saves memory
        self._distinct_results: dict[ParseResult, ParseResult] = {}

    def normalize(self, text: str) -> NormalizedStatement:
        """Normalize a statement with `sort_rows` and the length limit of the rules.

        Raises UnsupportedStatementError.
        """
        return normalize(text, self.rules.sort_rows, self.rules.most_length)

    def cached(self, statement: NormalizedStatement) -> CachedStatement | None:
        """Return the cache entry and count a use; None: the statement must be parsed."""
        return self.shapes.get(statement.fingerprint)

    def learn(self, statement: NormalizedStatement, parse_result: ParseResult) -> CachedStatement:
        """Cache the parse result of a statement's shape; return the cache entry."""
        if len(self._distinct_results) > MAX_DISTINCT_RESULTS:
            self._distinct_results.clear()
        shared_result = self._distinct_results.setdefault(parse_result, parse_result)
        cached = CachedStatement(
            shared_result, table_group(" ".join(statement.tokens).encode(errors="replace"))
        )
        self.shapes.put(statement.fingerprint, cached)
        return cached

    def decide(
        self,
        cached: CachedStatement,
        statement: NormalizedStatement,
        terms: ClientTerms = DEFAULT_TERMS,
    ) -> Decision:
        """Return the decision about one statement under the terms of its client."""
        parse_result, rules = cached.parse_result, self.rules
        requested_class = terms.requested_class
        if not parse_result.is_write:
            name = requested_class or (rules.report if parse_result.is_report else rules.lookup)
            key = terms.requested_key if requested_class else None
            return Decision(name, False, name in self._idempotent_classes(terms), key, "", True)
        if not parse_result.is_parsed:
            return _rejected(parse_result.reason)
        return self._decide_write(parse_result, statement, terms)

    def _idempotent_classes(self, terms: ClientTerms) -> frozenset[str]:
        return self.idempotent_classes if terms.idempotent_classes is None else terms.idempotent_classes

    def _decide_write(
        self,
        parse_result: ParseResult,
        statement: NormalizedStatement,
        terms: ClientTerms,
    ) -> Decision:
        rules, description = self.rules, parse_result.reason or parse_result.verb
        requested_class, requested_key = terms.requested_class, terms.requested_key
        idempotent_classes = self._idempotent_classes(terms)
        class_name = rules.load
        if requested_class in idempotent_classes:
            if rules.mismatch != "load":
                return _rejected(f"it writes, so it cannot run as {requested_class}: {description}")
        elif requested_class is not None:
            class_name = requested_class
        if class_name is None or class_name in idempotent_classes:
            return _rejected(f"no class is set for writes: {description}")
        if parse_result.key_rule_index < 0:
            accepts_requested_key = parse_result.lacks_key_rule or not rules.keys
            if requested_class and requested_class == class_name and requested_key and accepts_requested_key:
                return Decision(class_name, True, False, requested_key, parse_result.reason, True)
            return _rejected(parse_result.reason or "no key can be found")
        return self._decide_keyed_write(parse_result, statement, class_name, terms.parameters)

    def _decide_keyed_write(
        self,
        parse_result: ParseResult,
        statement: NormalizedStatement,
        class_name: str,
        parameters: Sequence[object],
    ) -> Decision:
        from query_gateway.statements.values import compute_key

        key_rule = self.rules.keys[parse_result.key_rule_index]
        try:
            key = compute_key(key_rule, parse_result.key_references, statement.literals, parameters)
        except UndeterminedKeyError as error:
            return _rejected(str(error))
        return Decision(class_name, True, False, key, parse_result.verb, True)

    def update_rules(self, rules: Rules, idempotent_classes: Collection[str]) -> None:
        """Replace the rules and drop the parse results of the old ones; cost estimates are kept."""
        self.idempotent_classes = frozenset(idempotent_classes)
        if rules != self.rules:
            self.rules = rules
            self.shapes.clear()
            self._distinct_results.clear()

    def figures(self) -> dict[str, float]:
        """Return the figures for the admin server, by metric name without the prefix."""
        return {
            "statement_hits_total": self.shapes.hits,
            "statement_misses_total": self.shapes.misses,
            "statement_shapes": len(self.shapes),
            "statement_shapes_held": self.limits.limited_count,
            "statement_held_back_total": self.limits.rejected_count,
        }


def _rejected(reason: str) -> Decision:
    return Decision(None, True, False, None, reason, False)


def rejected_decision(error: UnsupportedStatementError) -> Decision:
    """Return the decision that rejects an unsupported statement."""
    return _rejected(str(error))


def classification_line(
    decision: Decision,
    statement: NormalizedStatement | None,
    cached: CachedStatement | None,
    costs: CostEstimates,
    was_cached: bool,
) -> dict[str, Any]:
    """Return the output of `query-gateway statements classify` for one statement, as a JSON object."""
    cost_ns = None
    if cached and statement and decision.class_name:
        cost_ns = costs.cost_ns(statement.fingerprint, decision.class_name, cached.table_group)
    return {
        "class": decision.class_name,
        "writes": decision.is_write,
        "repeatable": decision.is_idempotent,
        "key": decision.key,
        "group": cached.table_group if cached else None,
        "cost_ms": round(cost_ns / 1e6, 3) if cost_ns is not None else None,
        "shape": statement.name if statement else None,
        "cached": was_cached,
        "reason": decision.reason,
    }
