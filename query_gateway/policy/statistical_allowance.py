"""Statistical allowance: what one gateway may have in use beyond its even share of the threads.

Gateways do not get the same number of queries. If N gateways together have T threads in use, the threads of
one are spread around T/N with a variance of about T/N, so a gateway held to the even share would queue
queries while others leave theirs free.

Input: the variance of this gateway's threads in use. Answer: an allowance in threads.
"""

import math
from typing import Final

ALLOWANCE_DEVIATIONS: Final = 0.5  # standard deviations of this gateway's threads in use


def allowance(variance: float) -> float:
    """Threads beyond the expected ones that are put down to uneven arrivals."""
    return ALLOWANCE_DEVIATIONS * math.sqrt(variance)
