"""From a statement to what becomes of it: shapes known by cache, everything else by a parse that is asked
for.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Any

from query_gateway.forwarder.table_group import table_group
from query_gateway.statements.cache import Cache
from query_gateway.statements.costs import Costs
from query_gateway.statements.lexer import Unclear
from query_gateway.statements.limits import ShapeLimits
from query_gateway.statements.messages import Judgement, Plan, Rules
from query_gateway.statements.shape import Shape, shape_of

SHAPES = 10_000  # kept at most


@dataclass(slots=True, frozen=True)
class Known:
    """What is kept of a shape."""

    plan: Plan
    group: int | None  # of tables


class Classifier:
    """Knows the rules and the shapes seen. `safe`: names of classes whose requests may be run twice."""

    def __init__(self, rules: Rules, safe: Collection[str] | None = None, room: int = SHAPES) -> None:
        self.rules = rules
        self.safe = frozenset(safe if safe is not None else (rules.lookup, rules.report))
        self.shapes: Cache[Known] = Cache(room)
        self.costs = Costs(room)
        self.limits = ShapeLimits()
        self._plans: dict[Plan, Plan] = {}  # guards the memory: thousands of shapes share few plans

    def shape(self, text: str) -> Shape:
        """Raises Unclear."""
        return shape_of(text, self.rules.sort_rows, self.rules.most_length)

    def known(self, shape: Shape) -> Known | None:
        return self.shapes.get(shape.digest)

    def learn(self, shape: Shape, plan: Plan) -> Known:
        """Keep what the parse of a shape found."""
        if len(self._plans) > 1_024:
            self._plans.clear()
        known = Known(self._plans.setdefault(plan, plan), table_group(" ".join(shape.folded)))
        self.shapes.put(shape.digest, known)
        return known

    def judge(
        self, known: Known, shape: Shape, named: str | None = None, key: str | None = None,
        bound: Sequence[object] = (),
    ) -> Judgement:  # fmt: skip
        """`named`: the class that the client names, `key` the key it names, `bound` parameters' values."""
        plan, rules = known.plan, self.rules
        if not plan.writes:
            read = named or (rules.report if plan.report else rules.lookup)
            return Judgement(read, False, read in self.safe, key if named else None, "", True)
        if not plan.parsed:
            return _down(plan.reason)
        cls: str | None = rules.load
        if named in self.safe:
            if rules.mismatch != "load":
                return _down(f"it writes, so it cannot run as {named}: {plan.reason or plan.verb}")
        elif named is not None:
            cls = named
        if cls is None or cls in self.safe:
            return _down(f"no class is set for writes: {plan.reason or plan.verb}")
        if plan.rule < 0:
            if named and named == cls and key and (plan.uncovered or not rules.keys):
                return Judgement(cls, True, False, key, plan.reason, True)
            return _down(plan.reason or "no key can be found")
        from query_gateway.statements.values import NoKey, key_of

        try:
            found = key_of(rules.keys[plan.rule], plan.refs, shape.literals, bound)
        except NoKey as why:
            return _down(str(why))
        return Judgement(cls, True, False, found, plan.verb, True)

    def retune(self, rules: Rules, safe: Collection[str]) -> None:
        """New rules: what was judged by the old ones is forgotten; what was learned of costs stays."""
        self.safe = frozenset(safe)
        if rules != self.rules:
            self.rules = rules
            self.shapes.clear()
            self._plans.clear()

    def figures(self) -> dict[str, float]:
        return {
            "statement_hits_total": self.shapes.hits,
            "statement_misses_total": self.shapes.misses,
            "statement_shapes": len(self.shapes),
            "statement_shapes_held": self.limits.held,
            "statement_held_back_total": self.limits.turned_down,
        }


def _down(reason: str) -> Judgement:
    return Judgement(None, True, False, None, reason, False)


def turned_down(why: Unclear) -> Judgement:
    """Of a text that is not even cut into tokens with certainty."""
    return _down(str(why))


def as_line(
    judged: Judgement, shape: Shape | None, known: Known | None, costs: Costs, hit: bool
) -> dict[str, Any]:
    """What `query-gateway statements classify` prints of one."""
    cost = None
    if known and shape and judged.cls:
        cost = costs.cost_ns(shape.digest, judged.cls, known.group)
    return {
        "class": judged.cls,
        "writes": judged.writes,
        "repeatable": judged.repeatable,
        "key": judged.key,
        "group": known.group if known else None,
        "cost_ms": round(cost / 1e6, 3) if cost is not None else None,
        "shape": shape.name if shape else None,
        "cached": hit,
        "reason": judged.reason,
    }
