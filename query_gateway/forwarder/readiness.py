"""Whether this process takes requests: the one state that every front and announcement asks."""

from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPING = "stopping"


STILL_COME = 0.5  # seconds after a drain's call in which the front sends: it asks each 0.1 s, then 0.2 s
LAST_TAKEN = 1.5  # and after which what comes all the same is refused: it crossed, and was sent again


class Readiness:
    """Watchers are called at every change, with the object as it then stands."""

    def __init__(self) -> None:
        self.started = self.draining = self.stopping = False
        self.planner_available = True  # whether a planner lives
        self.watchers: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        if self.stopping:
            return Phase.STOPPING
        if self.draining:
            return Phase.DRAINING
        return Phase.READY if self.started and self.planner_available else Phase.STARTING

    @property
    def ready(self) -> bool:
        return self.phase is Phase.READY

    def start(self) -> None:
        self._set(started=True)

    def set_planner_available(self, any_lives: bool) -> None:
        self._set(planner_available=any_lives)

    def drain(self) -> bool:
        """Send clients away; False if the process stops anyway."""
        self._set(draining=True)
        return not self.stopping

    def undrain(self) -> bool:
        """Take clients again; a process that stops is not revived."""
        self._set(draining=False)
        return not self.stopping

    def stop(self) -> None:
        self._set(stopping=True)

    def _set(self, **change: bool) -> None:
        before = self.phase
        for name, value in change.items():
            setattr(self, name, value)
        if self.phase is not before:
            for watcher in self.watchers:
                watcher()
