"""Statistical allowance: threads that one gateway may use beyond its even share.

Arrivals are not spread evenly over the gateways. If N gateways together have T threads in use, the threads of
one gateway vary around T/N with a variance of about T/N. A gateway limited to its even share would therefore
queue queries while others leave their share unused.

Input: the variance of this gateway's threads in use.
Result: the allowance in threads.
"""

import math
from typing import Final

ALLOWANCE_DEVIATIONS: Final = 0.5  # in standard deviations of this gateway's threads in use


def allowance(variance: float) -> float:
    """Threads beyond the expected number that are attributed to uneven arrivals."""
    return ALLOWANCE_DEVIATIONS * math.sqrt(variance)
