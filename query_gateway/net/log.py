"""The log: plain lines on standard error, so many a second of each kind and no more."""

import contextlib
import sys
import time

BURST = 20  # lines of one kind that may come at once
RATE = 5.0  # and so many a second after that
KINDS = 256  # kinds kept apart; guards against a table that grows with what others send


class Log:
    def __init__(self) -> None:
        self._kinds: dict[str, tuple[float, float, int]] = {}  # tokens, when, lines left out

    def __call__(self, kind: str, text: str) -> None:
        """Print `kind text`; what exceeds the rate is counted and told with the next line of its kind."""
        now = time.monotonic()
        if kind not in self._kinds and len(self._kinds) >= KINDS:
            kind = "other"
        tokens, at, left_out = self._kinds.get(kind, (float(BURST), now, 0))
        tokens = min(float(BURST), tokens + (now - at) * RATE)
        if tokens < 1:
            self._kinds[kind] = tokens, now, left_out + 1
            return
        self._kinds[kind] = tokens - 1, now, 0
        more = f" (+{left_out} lines like it left out)" if left_out else ""
        with contextlib.suppress(OSError):  # guards against a log reader that has gone
            print(f"{kind} {text}{more}", file=sys.stderr, flush=True)


log = Log()
