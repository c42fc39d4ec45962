"""Retries system calls while a process starts.

The process blocks between two calls, which is harmless only because nothing else runs in it yet.
"""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from query_gateway.net.errors import TRANSIENT_ERRORS

Result = TypeVar("Result")

# Transient errors, and a lack of descriptors or ports, which other processes may free
RETRIED_START_ERRORS = TRANSIENT_ERRORS | {errno.ENFILE, errno.EMFILE, errno.EADDRNOTAVAIL}
START_RETRY_SECONDS = 0.05
START_TIMEOUT_SECONDS = 5.0


def retry_at_start(call: Callable[[], Result]) -> Result:
    """Return the result of `call`, retried after `RETRIED_START_ERRORS` for up to `START_TIMEOUT_SECONDS`.

    Raises any other OSError at once, and the last one after that time.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            return call()
        except OSError as error:
            if error.errno not in RETRIED_START_ERRORS or time.monotonic() >= deadline:
                raise
        time.sleep(START_RETRY_SECONDS)
