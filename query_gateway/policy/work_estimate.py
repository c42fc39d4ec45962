"""Work estimate: how far a request's own estimate of its work is trusted.

    no estimate                                    the mean work of its class
    fewer than `MIN_ESTIMATES` answers so far      the estimate as given
    otherwise                                      between the mean of the class and the corrected estimate

The estimate is corrected by the mean error of the class, and trusted in proportion to the variance that it
explains: trust = variance of the work / (variance of the work + variance of the error), all of logarithms.
Work is in nanoseconds over all threads of a query.
"""

import math
from typing import Final

from query_gateway.model.events import Request
from query_gateway.model.request_classes import ClassState

MIN_ESTIMATES: Final = 5  # answers after which the estimate error of a class counts as known
MIN_VARIANCE: Final = 1e-9  # avoids a division by zero if all answers were alike


def expected_work(request_class: ClassState, request: Request) -> float:
    """Expected work of a request."""
    if not request.estimated_work or request.estimated_work <= 0:
        return request_class.mean_work()
    error, log_work = request_class.estimate_error, request_class.log_work
    if error.count < MIN_ESTIMATES:
        return float(request.estimated_work)
    trust = log_work.variance / max(MIN_VARIANCE, log_work.variance + error.variance)
    corrected = math.log(request.estimated_work) + error.value
    return math.exp(trust * corrected + (1 - trust) * log_work.value)
