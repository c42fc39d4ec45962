"""The controller of the lag ratio (UNIT 3.2): it weighs rejections against lateness by weight."""

from query_gateway.model.state import SchedulerState
from query_gateway.model.units import SEC
from query_gateway.policy import tenants

CONTROL_PERIOD_NS = 1 * SEC  # the design's
METRIC_DROP = (
    0.01  # a fall of the metric by this share of its range wakes the controller at once; the paper's
)
LAG_RATIO_STEP = 1.1  # the paper's
LAG_RATIO_RANGE = (0.25, 4.0)  # beyond it the ratio only admits all or nothing
COST_FLOOR = 0.02  # share under which neither cost is worth a step; the noise of one window
COST_DECAY_NS = 10 * SEC  # of the sums of weight: a few control periods


def record_cost(state: SchedulerState, requested: float, rejected: float, late: float) -> None:
    """Add weights to the sums that the controller compares."""
    state.costs.add(requested, rejected, late, state.now, COST_DECAY_NS)


def adjust_lag_ratio(state: SchedulerState) -> None:
    """Step the lag ratio if a period has passed or the metric fell; gossip goes out at the same time."""
    rejected, late = state.costs.shares()
    metric = 1 - rejected - late
    if state.now - state.checked_at < CONTROL_PERIOD_NS and state.metric - metric <= METRIC_DROP:
        return
    tenants.send_gossip(state)
    state.checked_at, state.metric = state.now, metric
    if max(rejected, late) > COST_FLOOR:
        ratio = state.lag_ratio * LAG_RATIO_STEP if late > rejected else state.lag_ratio / LAG_RATIO_STEP
        state.lag_ratio = min(max(ratio, LAG_RATIO_RANGE[0]), LAG_RATIO_RANGE[1])
