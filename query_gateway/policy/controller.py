"""The controller of the lag ratio (UNIT, section 3.2): it weighs rejections against late answers.

    more weight late than rejected     lag ratio times `LAG_RATIO_STEP`: admission gets stricter
    more weight rejected than late     lag ratio divided by it: admission gets more generous
    both under `COST_FLOOR`            no step

Inputs: decayed sums of the priority weight that was requested, rejected and late. The lag ratio is the factor
on a query's earliest start in `admission`. UNIT is cited in `scheduler`.
"""

from typing import Final

from query_gateway.model.state import SchedulerState
from query_gateway.model.units import SEC
from query_gateway.policy import tenants

CONTROL_PERIOD_NS: Final = 1 * SEC
METRIC_DROP: Final = 0.01  # a fall of the metric by this much brings the next step forward
LAG_RATIO_STEP: Final = 1.1  # factor by which one step raises the lag ratio, or lowers it
MIN_LAG_RATIO: Final = 0.25  # beyond this range the ratio only admits all or nothing
MAX_LAG_RATIO: Final = 4.0
COST_FLOOR: Final = 0.02  # share of the weight requested; smaller costs differ by chance
COST_DECAY_NS: Final = 10 * SEC  # of the sums of weight: a few control periods


def record_cost(state: SchedulerState, requested: float, rejected: float, late: float) -> None:
    """Add priority weights to the sums that the controller compares."""
    state.controller.costs.add(requested, rejected, late, state.now, COST_DECAY_NS)


def adjust_lag_ratio(state: SchedulerState) -> None:
    """Step the lag ratio if a period has passed or the metric fell; gossip goes out at the same time."""
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
