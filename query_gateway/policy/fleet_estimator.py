"""Constants of the fleet estimator: learning weights and decay times of load, slowdown and work.

`FleetEstimator` (`model/learning.py`) learns from answers, progress notes and load reports. Admission,
routing and saturation use its estimates.
"""

from typing import Final

from query_gateway.model.learning import FleetEstimator
from query_gateway.model.units import SEC
from query_gateway.policy.saturation import SATURATED_LOAD

FLEET_ESTIMATOR: Final = FleetEstimator(
    load_decay_ns=2 * SEC,  # about the run time of a long query
    slowdown_decay_ns=4 * SEC,  # spans a few answers of the busiest class
    slowdown_decay_answers=3,
    prior_samples=2.0,
    sample_weight=1 / 80,  # averages over a few seconds of a busy class
    learned_samples=20,
    min_log_slowdown=-1.2,  # limits the effect of a single outlying run
    max_log_slowdown=1.6,
    max_class_slowdown=20.0,
    full_threads_per_core=1.6,  # some threads wait for reads
    max_uncontended_load=SATURATED_LOAD,
)
