"""Drives an instance of the decision module, a `Scheduler`. Independent of any network protocol.

When the instance raises an error, its state (queues, view of the engines, learned state) is discarded, as it
may be inconsistent. In a gateway's own process `restart` replaces the instance; a planner process exits and
its supervisor starts another. Only a hot upgrade transfers the learned state to another process.
"""

from collections.abc import Callable

from query_gateway.model.actions import Action, SetTimer
from query_gateway.model.events import Event, SettingsUpdate, TimerFired
from query_gateway.model.settings import Settings
from query_gateway.policy.scheduler import Scheduler

CallAt = Callable[[int, Callable[[], None]], object]  # schedules a call at a clock time in nanoseconds


class Planner:
    """Queues events for the decision module, returns its actions, and owns its timers."""

    def __init__(self, settings: Settings, seed: int, clock: Callable[[], int], call_at: CallAt) -> None:
        """Create the first instance of the module. `clock` returns nanoseconds; `call_at` uses its times."""
        self.settings = settings
        self.seed = seed
        self.clock = clock
        self.call_at = call_at
        self.scheduler = Scheduler(settings, seed)
        self.pending_events: list[Event] = []
        self.now = 0  # clock time of the last decision
        self.restart_count = 0  # restarts of the module instance

    def notify(self, event: Event) -> None:
        """Queue an event for the next decision."""
        if isinstance(event, SettingsUpdate):
            self.settings = event.settings
        self.pending_events.append(event)

    def decide(self) -> list[Action]:
        """Pass all pending events to the module at once. Raises whatever the module raises."""
        if not self.pending_events:
            return []
        events, self.pending_events = self.pending_events, []
        # The module subtracts the times of two decisions; a clock that goes back would make it learn from a
        # negative duration
        self.now = max(self.now, self.clock())
        actions: list[Action] = []
        for action in self.scheduler.handle(self.now, events):
            if isinstance(action, SetTimer):
                self._set_timer(action)
            else:
                actions.append(action)
        return actions

    def ejected_endpoints(self) -> tuple[str, ...]:
        """The names of the endpoints that the module has ejected."""
        return self.scheduler.ejected_endpoints(self.clock())

    def _set_timer(self, timer: SetTimer) -> None:
        restart_count = self.restart_count

        def on_timer() -> None:
            """Notify the instance that set the timer, unless it has been replaced since."""
            if restart_count == self.restart_count:
                self.notify(TimerFired(timer.context))

        self.call_at(self.now + timer.delay, on_timer)

    def restart(self) -> None:
        """Replace an instance that raised an error with a new one.

        The new instance has no learned state; the caller must notify it of the endpoints.
        """
        self.restart_count += 1
        self.seed += 1
        self.scheduler = Scheduler(self.settings, self.seed)
        self.pending_events = []
