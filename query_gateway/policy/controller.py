"""Controller of the lag ratio (UNIT, section 3.2): balances rejections against late answers.

    more weight late than rejected     lag ratio multiplied by `LAG_RATIO_STEP`: stricter admission
    more weight rejected than late     lag ratio divided by the step: more permissive admission
    both at most `COST_FLOOR`          no step

Input: decayed sums of the priority weight that was requested, rejected and late. The metric is the share of
the requested weight that was neither rejected nor late.
Result: the lag ratio, by which `admission` multiplies a query's start delay. The citation of UNIT is in
`scheduler`.
"""

from typing import Final

from query_gateway.model.state import SchedulerState
from query_gateway.model.units import SEC
from query_gateway.policy import tenants

CONTROL_PERIOD_NS: Final = 1 * SEC
METRIC_DROP: Final = 0.01  # a larger fall of the metric triggers a check before the period is over
LAG_RATIO_STEP: Final = 1.1  # factor by which one step raises or lowers the lag ratio
# Bounds of the lag ratio: below them, admission would almost ignore the start delay; above them, it would
# reject almost every query that has to wait
MIN_LAG_RATIO: Final = 0.25
MAX_LAG_RATIO: Final = 4.0
COST_FLOOR: Final = 0.02  # share of the requested weight; differences between smaller costs are noise
COST_DECAY_NS: Final = 10 * SEC  # decay time of the weight sums: several control periods


def record_cost(state: SchedulerState, requested: float, rejected: float, late: float) -> None:
    """Add priority weights to the sums that the controller compares."""
    state.controller.costs.add(requested, rejected, late, state.now, COST_DECAY_NS)


def adjust_lag_ratio(state: SchedulerState) -> None:
    """Step the lag ratio and send gossip if a control period has passed or the metric fell sharply."""
    controller, costs = state.controller, state.controller.costs.shares()
    metric = 1 - costs.rejected - costs.late
    is_due = state.now - controller.checked_at >= CONTROL_PERIOD_NS
    if not is_due and controller.metric - metric <= METRIC_DROP:
        return
    tenants.send_gossip(state)
    controller.checked_at, controller.metric = state.now, metric
    if max(costs.rejected, costs.late) > COST_FLOOR:
        ratio = controller.lag_ratio
        ratio = ratio * LAG_RATIO_STEP if costs.late > costs.rejected else ratio / LAG_RATIO_STEP
        controller.lag_ratio = min(max(ratio, MIN_LAG_RATIO), MAX_LAG_RATIO)
