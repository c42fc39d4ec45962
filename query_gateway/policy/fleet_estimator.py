"""The fleet estimator's constants: how fast load, slowdown and work are learned and forgotten.

`FleetEstimator` (`model/learning.py`) learns from answers, progress notes and load reports. Its results are
inputs of admission, routing and saturation.
"""

from typing import Final

from query_gateway.model.learning import FleetEstimator
from query_gateway.model.units import SEC
from query_gateway.policy.saturation import SATURATED_LOAD

FLEET_ESTIMATOR: Final = FleetEstimator(
    load_decay_ns=2 * SEC,  # about a long run
    slowdown_decay_ns=4 * SEC,  # a few answers of the busiest class
    slowdown_decay_answers=3,
    prior_samples=2.0,
    sample_weight=1 / 80,  # a few seconds of a busy class
    learned_samples=20,
    min_log_slowdown=-1.2,  # so that one run that is far off counts little
    max_log_slowdown=1.6,
    max_class_slowdown=20.0,
    full_threads_per_core=1.6,  # some of them wait for reads
    max_uncontended_load=SATURATED_LOAD,
)
