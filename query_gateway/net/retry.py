"""Makes a call again that failed for a moment, for the start of a process: nothing else runs there yet."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from query_gateway.net.errors import MOMENTARY

Result = TypeVar("Result")

# Beside what passes by itself: descriptors, which other processes may give back
START_ERRORS = MOMENTARY | {errno.ENFILE, errno.EMFILE, errno.EADDRNOTAVAIL}
START_RETRY_SECONDS = 0.05
START_TIMEOUT_SECONDS = 5.0


def retry_at_start(call: Callable[[], Result]) -> Result:
    """The result of the call, which is made again for `START_TIMEOUT_SECONDS`; raises its last OSError."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            return call()
        except OSError as error:
            if error.errno not in START_ERRORS or time.monotonic() >= deadline:
                raise
        time.sleep(START_RETRY_SECONDS)
