"""Class lengths: which classes of queries are long, which are short, and their shares of the work.

Input: the mean work of each class, in nanoseconds over all threads of a query. A class is long if its work is
above the geometric middle of the least and the greatest. Short and long queries have concurrency limits of
their own, so that long ones cannot take all the threads that short ones need.
"""

import math
from typing import Final

from query_gateway.model.request_classes import RequestClasses

LONG_CLASS_MARGIN: Final = 1.001  # over the geometric middle for a class to be long: equal ones are short


def refresh_class_lengths(classes: RequestClasses) -> None:
    """Divide the classes into short and long ones, and the work in flight among them."""
    works = [request_class.mean_work() for request_class in classes]
    weights = [  # threads in flight
        (request_class.work.count + 1) * request_class.mean_work() for request_class in classes
    ]
    total = math.fsum(weights)
    middle = math.sqrt(min(works) * max(works)) * LONG_CLASS_MARGIN
    for request_class, work, weight in zip(classes, works, weights, strict=True):
        request_class.work_share = weight / total
        request_class.is_long = work > middle
    queries = [
        weight / request_class.settings.threads
        for weight, request_class in zip(weights, classes, strict=True)
    ]
    classes.threads_per_query = total / math.fsum(queries)
