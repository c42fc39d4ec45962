"""Whether this process accepts requests: the one state that every server and announcement reads."""

from collections.abc import Callable
from enum import Enum

# Seconds after the start of draining in which clients still send on idle connections: they poll readiness
# every 0.1 s and take up to 0.2 s more to act on it. Idle connections are closed only after that.
DRAIN_CLOSE_IDLE_AFTER_S = 0.5
# Seconds after the start of draining from which new requests are rejected: a client that still sends by then
# has missed the change, and its requests would keep the connection from ever becoming idle.
DRAIN_REJECT_AFTER_S = 1.5


class Phase(Enum):
    """The phase of the process as clients and operators see it; the value is the word of the admin server."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPING = "stopping"


class Readiness:
    """The readiness of one process. Watchers are called after every change of the phase."""

    def __init__(self) -> None:
        """Not started, with a planner assumed to be available until the forwarder says otherwise."""
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
        """The process accepts requests from here on."""
        before = self.phase
        self.started = True
        self._notify_if_changed(before)

    def set_planner_available(self, available: bool) -> None:
        """Whether any planner can decide; without one the process is not ready."""
        before = self.phase
        self.planner_available = available
        self._notify_if_changed(before)

    def drain(self) -> bool:
        """Send clients away; False if the process is stopping anyway."""
        before = self.phase
        self.draining = True
        self._notify_if_changed(before)
        return not self.stopping

    def undrain(self) -> bool:
        """Accept clients again; False if the process is stopping, which nothing takes back."""
        before = self.phase
        self.draining = False
        self._notify_if_changed(before)
        return not self.stopping

    def stop(self) -> None:
        """The process finishes what is open and exits; this is final."""
        before = self.phase
        self.stopping = True
        self._notify_if_changed(before)

    def _notify_if_changed(self, before: Phase) -> None:
        if self.phase is not before:
            for watcher in self.watchers:
                watcher()
