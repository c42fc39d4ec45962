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
        self.begun = self.away = self.ending = False
        self.planned = True  # whether a planner lives
        self.watchers: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        if self.ending:
            return Phase.STOPPING
        if self.away:
            return Phase.DRAINING
        return Phase.READY if self.begun and self.planned else Phase.STARTING

    @property
    def ready(self) -> bool:
        return self.phase is Phase.READY

    def begin(self) -> None:
        self._set(begun=True)

    def planners(self, any_lives: bool) -> None:
        self._set(planned=any_lives)

    def drain(self) -> bool:
        """Send clients away; False if the process stops anyway."""
        self._set(away=True)
        return not self.ending

    def undrain(self) -> bool:
        """Take clients again; a process that stops is not revived."""
        self._set(away=False)
        return not self.ending

    def stop(self) -> None:
        self._set(ending=True)

    def _set(self, **change: bool) -> None:
        before = self.phase
        for name, value in change.items():
            setattr(self, name, value)
        if self.phase is not before:
            for watcher in self.watchers:
                watcher()
