"""The log: lines on standard error with their time, rate-limited for each kind of line.

A line that standard error does not take at once is left out: a process that waited for the reader of its log
would answer nobody meanwhile.
"""

import contextlib
import select
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime

BURST_LINES = 20  # lines of one kind that may come at once
LINES_PER_SECOND = 5.0  # lines of one kind after that
MAX_KINDS = 256  # kinds limited separately; bounds the table, whatever kinds there will be
OTHER_KIND = "other"
MAX_LINE_BYTES = select.PIPE_BUF  # what a pipe that is writable takes without blocking


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


def _takes_a_line() -> bool:
    """Whether standard error takes `MAX_LINE_BYTES` at once, or fails at once."""
    try:
        poll = select.poll()
        poll.register(sys.stderr.fileno(), select.POLLOUT)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # not a descriptor that can be polled
        return True


def _cut_to_size(line: str) -> str:
    """As much of the line as fits into `MAX_LINE_BYTES` with its line feed."""
    data = line.encode(errors="backslashreplace")
    return data[: MAX_LINE_BYTES - 1].decode(errors="ignore")


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
        if bucket.tokens < 1 or not _takes_a_line():
            bucket.suppressed += 1
            return
        bucket.tokens -= 1
        suffix = f" (+{bucket.suppressed} lines like it left out)" if bucket.suppressed else ""
        bucket.suppressed = 0
        line = _cut_to_size(f"{_utc_time()} {now:.3f} {kind} {text}{suffix}")
        with contextlib.suppress(OSError):  # the log's reader may have closed its end
            print(line, file=sys.stderr, flush=True)


log = Log()
