"""Whether clients should send requests here: the one state that is announced to them.

The liveness path, the admin server and the BGP announcement tell clients and routers of it, so that they go
elsewhere while it is not READY. No phase by itself rejects requests that come all the same, STARTING and
STOPPING included, but for a long DRAINING: `DRAIN_REJECT_AFTER_S` after it began the HTTP server rejects
them. The Flight server only sends its clients a GOAWAY, `DRAIN_CLOSE_IDLE_AFTER_S` after it began.

STARTING --start, and a planner is available--> READY
READY --the last planner is lost--> STARTING
STARTING, READY --drain--> DRAINING --undrain--> STARTING, READY
any --stop--> STOPPING, which is final
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

# Seconds after the start of draining in which clients still send on idle connections: the platform's clients
# poll readiness every 0.1 s and take up to 0.2 s more to act on it. Idle connections are closed after that.
DRAIN_CLOSE_IDLE_AFTER_S: Final = 0.5
# Seconds after the start of draining from which new requests are rejected: a client that still sends by then
# has missed the change, and its requests would keep the connection from ever becoming idle.
DRAIN_REJECT_AFTER_S: Final = 1.5


class Phase(Enum):
    """The phase of the process as clients and operators see it; the value is the word of the admin server."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPING = "stopping"


class Readiness:
    """The readiness of one process. Watchers are called after every change of the phase."""

    def __init__(self) -> None:
        """Not started, with a planner assumed to be available until `set_planner_available` changes that."""
        self.started = self.draining = self.stopping = False
        self.planner_available = True
        self.watchers: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        """The phase: stopping outranks draining, and draining outranks starting and ready."""
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
        """The process is set up: it is ready as soon as a planner is available."""
        previous_phase = self.phase
        self.started = True
        self._notify_if_changed(previous_phase)

    def set_planner_available(self, available: bool) -> None:
        """Note whether any planner can decide; without one the process is not ready."""
        previous_phase = self.phase
        self.planner_available = available
        self._notify_if_changed(previous_phase)

    def drain(self) -> bool:
        """Send clients away; False if the process is stopping anyway."""
        previous_phase = self.phase
        self.draining = True
        self._notify_if_changed(previous_phase)
        return not self.stopping

    def undrain(self) -> bool:
        """Send clients away no longer; False if the process is stopping, which nothing takes back."""
        previous_phase = self.phase
        self.draining = False
        self._notify_if_changed(previous_phase)
        return not self.stopping

    def stop(self) -> None:
        """Finish what is open and exit; this is final."""
        previous_phase = self.phase
        self.stopping = True
        self._notify_if_changed(previous_phase)

    def _notify_if_changed(self, previous_phase: Phase) -> None:
        if self.phase is not previous_phase:
            for watcher in self.watchers:
                watcher()
