"""The log: plain lines on standard error, rate-limited for each kind of line."""

import contextlib
import sys
import time

BURST_LINES = 20  # lines of one kind that may come at once
LINES_PER_SECOND = 5.0  # lines of one kind after that
MAX_KINDS = 256  # kinds limited separately; bounds the table, whatever kinds there will be
OTHER_KIND = "other"


class Log:
    """Prints `KIND TEXT` lines; a token bucket for each kind bounds how many."""

    def __init__(self) -> None:
        """Start with a full bucket for every kind."""
        # By kind: tokens left, when they were counted (seconds), lines suppressed since the last one printed
        self._kinds: dict[str, tuple[float, float, int]] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Print `KIND TEXT`; lines above the rate are counted and reported with the next of that kind."""
        now = time.monotonic()
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = OTHER_KIND
        tokens, counted_at, suppressed = self._kinds.get(kind, (float(BURST_LINES), now, 0))
        tokens = min(float(BURST_LINES), tokens + (now - counted_at) * LINES_PER_SECOND)
        if tokens < 1:
            self._kinds[kind] = tokens, now, suppressed + 1
            return
        self._kinds[kind] = tokens - 1, now, 0
        suffix = f" (+{suppressed} lines like it left out)" if suppressed else ""
        with contextlib.suppress(OSError):  # the log's reader may have closed its end
            print(f"{kind} {text}{suffix}", file=sys.stderr, flush=True)


log = Log()
