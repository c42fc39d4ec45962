"""Readiness: whether clients should send requests to this process.

The liveness path, the admin server and the BGP announcement publish it, so that clients and routers choose
another gateway while this one is not READY. Requests that arrive nevertheless are not rejected because of the
phase, not even in STARTING and STOPPING. The only exception is a long DRAINING: `DRAIN_REJECT_AFTER_S` after
the start of draining the HTTP server rejects requests. The Flight server only sends its clients a GOAWAY,
`DRAIN_CLOSE_IDLE_AFTER_S` after the start of draining.

    STARTING --start, and a planner is available--> READY
    READY --the last planner is lost--> STARTING
    STARTING, READY --drain--> DRAINING --undrain--> STARTING, READY
    any --stop--> STOPPING, which is terminal
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

# Idle connections are closed this long after the start of draining. Until then clients may still send on
# them: the platform's clients poll readiness every 0.1 s and take up to another 0.2 s to act on a change.
DRAIN_CLOSE_IDLE_AFTER_S: Final = 0.5
# New requests are rejected from this long after the start of draining. A client that still sends by then has
# missed the change, and its requests would prevent its connection from ever becoming idle.
DRAIN_REJECT_AFTER_S: Final = 1.5


class Phase(Enum):
    """The phase of the process for clients and operators; the admin server reports the values."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPING = "stopping"


class Readiness:
    """The readiness of one process; the watchers are called after every change of phase."""

    def __init__(self) -> None:
        """Start in STARTING; a planner is assumed to be available until `set_planner_available` is called."""
        self.started = self.draining = self.stopping = False
        self.planner_available = True
        self.watchers: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        """The current phase; stopping takes precedence over draining, draining over all others."""
        if self.stopping:
            return Phase.STOPPING
        if self.draining:
            return Phase.DRAINING
        return Phase.READY if self.started and self.planner_available else Phase.STARTING

    @property
    def ready(self) -> bool:
        """Whether clients should send requests here."""
        return self.phase is Phase.READY

    def start(self) -> None:
        """Mark the process as set up; it is ready as soon as a planner is available."""
        previous_phase = self.phase
        self.started = True
        self._notify_if_changed(previous_phase)

    def set_planner_available(self, available: bool) -> None:
        """Set whether any planner is available; without one the process is not ready."""
        previous_phase = self.phase
        self.planner_available = available
        self._notify_if_changed(previous_phase)

    def drain(self) -> bool:
        """Start draining; return False if the process is already stopping."""
        previous_phase = self.phase
        self.draining = True
        self._notify_if_changed(previous_phase)
        return not self.stopping

    def undrain(self) -> bool:
        """End draining; return False if the process is stopping, which cannot be reverted."""
        previous_phase = self.phase
        self.draining = False
        self._notify_if_changed(previous_phase)
        return not self.stopping

    def stop(self) -> None:
        """Enter STOPPING, in which the process completes its open requests and exits."""
        previous_phase = self.phase
        self.stopping = True
        self._notify_if_changed(previous_phase)

    def _notify_if_changed(self, previous_phase: Phase) -> None:
        if self.phase is not previous_phase:
            for watcher in self.watchers:
                watcher()
