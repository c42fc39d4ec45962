"""The log: lines on standard error with their time, rate-limited for each kind of line."""

import contextlib
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime

BURST_LINES = 20  # lines of one kind that may come at once
LINES_PER_SECOND = 5.0  # lines of one kind after that
MAX_KINDS = 256  # kinds limited separately; bounds the table, whatever kinds there will be
OTHER_KIND = "other"


@dataclass(slots=True)
class _TokenBucket:
    """Bounds the lines of one kind."""

    tokens: float  # lines that may come at once
    counted_at: float  # when the tokens were counted, in seconds of the monotonic clock
    suppressed: int = 0  # lines left out since the last one that was printed

    def refill(self, now: float) -> None:
        """Add the tokens of the time since they were counted."""
        elapsed = now - self.counted_at
        self.tokens = min(float(BURST_LINES), self.tokens + elapsed * LINES_PER_SECOND)
        self.counted_at = now


def _utc_time() -> str:
    """The wall clock as `2026-12-03T16:13:54.600Z`."""
    return datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


class Log:
    """Prints `TIME CLOCK KIND TEXT` lines; a token bucket for each kind bounds how many.

    TIME is the wall clock in UTC, CLOCK the machine's monotonic clock in seconds, as in the request trace.
    """

    def __init__(self) -> None:
        """Start with a full bucket for every kind."""
        self._kinds: dict[str, _TokenBucket] = {}  # by kind of line

    def __call__(self, kind: str, text: str) -> None:
        """Print a line; those above the rate are counted and reported with the next of that kind."""
        now = time.monotonic()
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = OTHER_KIND
        if (bucket := self._kinds.get(kind)) is None:
            bucket = self._kinds[kind] = _TokenBucket(float(BURST_LINES), now)
        bucket.refill(now)
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return
        bucket.tokens -= 1
        suffix = f" (+{bucket.suppressed} lines like it left out)" if bucket.suppressed else ""
        bucket.suppressed = 0
        with contextlib.suppress(OSError):  # the log's reader may have closed its end
            print(f"{_utc_time()} {now:.3f} {kind} {text}{suffix}", file=sys.stderr, flush=True)


log = Log()
