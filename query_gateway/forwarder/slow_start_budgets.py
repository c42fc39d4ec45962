"""What this process may send to an engine that has started lately, counted as it leaves.

The planner spaces the attempts at such an engine, but they may leave together all the same: behind a
connection that came up late, or behind a planner process that stood still. This is the last bound, on the
process's own part of what the engine bears.
"""

import math
from collections import deque

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.settings import Settings
from query_gateway.policy.recovery_ramp import is_in_slow_start, recovery_ramp

DEFAULT_CORES = 1
SMALL_BUDGET = 30.0  # requests, below which more is left to chance
SMALL_CHANCE, CHANCE = 3.0, 2.0  # roots of the budget that are left to chance
SMALL_MORE, MORE = 3.0, 2.0  # requests on top of that
MIN_CHANCE = 2.0  # requests of one process: with many of them its part of the budget is under one


class SlowStartBudgets:
    """Counts what leaves for each engine in slow start."""

    def __init__(self, settings: Settings, process_count: int = 1) -> None:
        """`process_count`: forwarders of this gateway, which divide its part."""
        self.settings, self.process_count = settings, process_count
        self.share = 1.0  # of the gateway's part, while it is divided with another process of a hot upgrade
        self._engines: dict[str, EndpointInfo] = {}
        # By engine: what has left within the window, as clock time and work (nanoseconds)
        self._sends: dict[str, deque[tuple[int, float]]] = {}

    def update_endpoint(self, info: EndpointInfo) -> None:
        """Take in what the list says of an engine."""
        before = self._engines.get(info.name)
        if before is None or before.started_at != info.started_at:
            self._sends.pop(info.name, None)
        self._engines[info.name] = info

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are no longer listed."""
        self._engines = {name: info for name, info in self._engines.items() if name in names}
        self._sends = {name: sends for name, sends in self._sends.items() if name in names}

    def allows(self, engine: str, work: int | None, now: int) -> bool:
        """Whether the engine can bear one more attempt now.

        `work` is its estimate in nanoseconds. Without one, or outside slow start, nothing is bounded here.
        """
        info = self._in_slow_start(engine, now)
        if info is None or not work:
            return True
        sends = self._recent_sends(engine, now)
        used = math.fsum(sent for _, sent in sends) + work
        mean_work = used / (len(sends) + 1)
        return used <= self._allowed(info, now - info.started_at, mean_work)

    def record(self, engine: str, work: int | None, now: int) -> None:
        """Count an attempt that has left."""
        if work and self._in_slow_start(engine, now):
            self._recent_sends(engine, now).append((now, float(work)))

    def _in_slow_start(self, engine: str, now: int) -> EndpointInfo | None:
        """What is known of the engine, if it is in slow start."""
        info = self._engines.get(engine)
        if info is None:
            return None
        if not is_in_slow_start(self.settings, info.started_at, now):
            self._sends.pop(engine, None)
            return None
        return info

    def _recent_sends(self, engine: str, now: int) -> deque[tuple[int, float]]:
        sends = self._sends.setdefault(engine, deque())
        while sends and sends[0][0] <= now - self.settings.cold_overload_window:
            sends.popleft()
        return sends

    def _allowed(self, info: EndpointInfo, age: int, mean_work: float) -> float:
        """Work (nanoseconds) that this process may send there within one window, with its part of chance."""
        settings = self.settings
        kinds = settings.cores_by_kind
        cores = kinds[info.kind] if info.kind < len(kinds) else max(kinds, default=DEFAULT_CORES)
        capacity = cores * recovery_ramp(settings).capacity_at(max(0, age))
        whole = settings.cold_overload_factor * capacity * settings.cold_overload_window
        requests = whole / mean_work
        roots, more = (CHANCE, MORE) if requests >= SMALL_BUDGET else (SMALL_CHANCE, SMALL_MORE)
        chance = roots * math.sqrt(requests) + more
        part = self.share / (settings.instance_count * self.process_count)
        return (requests * part + max(MIN_CHANCE, chance * part)) * mean_work
