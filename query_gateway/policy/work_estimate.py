"""Work estimate: how far a request's own estimate of its work is trusted.

    no estimate                                    the mean work of its class
    fewer than `MIN_ESTIMATES` answers so far      the estimate as it is
    otherwise                                      between the class mean and the corrected estimate

The estimate is corrected by the mean error of the class and trusted as far as it explains the spread of the
class: trust = spread of the work / (spread of the work + spread of the error), all as logarithms. Work is in
nanoseconds over all threads of a query.
"""

import math
from typing import Final

from query_gateway.model.events import Request
from query_gateway.model.request_classes import ClassState

MIN_ESTIMATES: Final = 5  # answers from which the error of a class's estimates is known
MIN_VARIANCE: Final = 1e-9  # keeps the trust defined where all answers were alike


def expected_work(request_class: ClassState, request: Request) -> float:
    """The work that a request should take."""
    if not request.estimated_work or request.estimated_work <= 0:
        return request_class.mean_work()
    error, log_work = request_class.estimate_error, request_class.log_work
    if error.count < MIN_ESTIMATES:
        return float(request.estimated_work)
    trust = log_work.variance / max(MIN_VARIANCE, log_work.variance + error.variance)
    corrected = math.log(request.estimated_work) + error.value
    return math.exp(trust * corrected + (1 - trust) * log_work.value)
