"""The log: lines with a timestamp on standard error, with a rate limit for each log subject.

A line that standard error cannot accept immediately is dropped: a process that blocked on a slow reader of
its log would serve no requests meanwhile.
"""

import contextlib
import select
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime

BURST_LINES = 20  # lines per subject that may be printed in a burst
LINES_PER_SECOND = 5.0  # sustained rate per subject
MAX_SUBJECTS = 256  # subjects limited separately; bounds the memory, as subjects are never removed
OTHER_SUBJECT = "other"  # replaces any further subject
MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that polls as writable accepts this many without blocking


@dataclass(slots=True)
class _TokenBucket:
    """Rate limit of one log subject."""

    tokens: float  # lines that may be printed now
    refilled_at: float  # in seconds of the monotonic clock
    suppressed: int = 0  # lines dropped since the last one that was printed

    def refill(self, now: float) -> None:
        """Add tokens for the time since the last refill."""
        elapsed = now - self.refilled_at
        self.tokens = min(float(BURST_LINES), self.tokens + elapsed * LINES_PER_SECOND)
        self.refilled_at = now


def _can_write_without_blocking() -> bool:
    """Whether writing `MAX_LINE_BYTES` to standard error would return without blocking."""
    try:
        poll = select.poll()
        poll.register(sys.stderr.fileno(), select.POLLOUT)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # standard error has no descriptor that can be polled
        return True


def _truncate(line: str) -> str:
    """Truncate the line so that it fits into `MAX_LINE_BYTES` with its line feed."""
    data = line.encode(errors="backslashreplace")
    return data[: MAX_LINE_BYTES - 1].decode(errors="ignore")


def _utc_time() -> str:
    """The wall-clock time as `2026-12-03T16:13:54.600Z`."""
    return datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


class Log:
    """Prints `TIME CLOCK SUBJECT TEXT` lines, with a token bucket for each subject.

    TIME is the wall clock in UTC, CLOCK the host's monotonic clock in seconds, as in the request trace.
    """

    def __init__(self) -> None:
        """Start with a full bucket for every subject."""
        self._buckets: dict[str, _TokenBucket] = {}

    def __call__(self, subject: str, text: str) -> None:
        """Print a line, or drop it if it exceeds the rate or standard error would block.

        The next line of the subject tells how many were dropped.
        """
        now = time.monotonic()
        if subject not in self._buckets and len(self._buckets) >= MAX_SUBJECTS:
            subject = OTHER_SUBJECT
        if (bucket := self._buckets.get(subject)) is None:
            bucket = self._buckets[subject] = _TokenBucket(float(BURST_LINES), now)
        bucket.refill(now)
        if bucket.tokens < 1 or not _can_write_without_blocking():
            bucket.suppressed += 1
            return
        bucket.tokens -= 1
        suffix = f" (+{bucket.suppressed} lines like it left out)" if bucket.suppressed else ""
        bucket.suppressed = 0
        line = _truncate(f"{_utc_time()} {now:.3f} {subject} {text}{suffix}")
        with contextlib.suppress(OSError):  # the reader of a pipe may have closed its end
            print(line, file=sys.stderr, flush=True)


log = Log()
