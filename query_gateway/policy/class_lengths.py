"""Class lengths: which classes of queries are short and which are long, and their shares of the work.

Input: the mean work of each class, in nanoseconds over all threads of a query. A class is long if its mean
work exceeds the geometric mean of the smallest and the largest. Short and long queries have separate
concurrency limits, so that long queries cannot occupy all threads that short ones need.
"""

import math
from typing import Final

from query_gateway.model.request_classes import RequestClasses

LONG_CLASS_MARGIN: Final = 1.001  # factor on the geometric mean, so that classes of equal work are all short


def refresh_class_lengths(classes: RequestClasses) -> None:
    """Refresh which classes are long, their shares of the work, and the mean threads per query."""
    mean_works = [request_class.mean_work() for request_class in classes]
    weights = [  # sums of work, to which the threads in flight of each class are proportional
        (request_class.work.count + 1) * request_class.mean_work() for request_class in classes
    ]
    total = math.fsum(weights)
    threshold = math.sqrt(min(mean_works) * max(mean_works)) * LONG_CLASS_MARGIN
    for request_class, work, weight in zip(classes, mean_works, weights, strict=True):
        request_class.work_share = weight / total
        request_class.is_long = work > threshold
    queries = [
        weight / request_class.settings.threads
        for weight, request_class in zip(weights, classes, strict=True)
    ]
    classes.threads_per_query = total / math.fsum(queries)
