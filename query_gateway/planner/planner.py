"""A planner drives one instance of the decision module: events in, actions out; it knows no wire.

What the instance holds (queues, its view of the engines, what it learned) is lost when it raises an error, as
that may have left its state inconsistent. In a gateway's own process `restart` replaces it; a planner process
exits and is started again. Only a hot upgrade carries what was learned over to another process.
"""

from collections.abc import Callable

from query_gateway.model.actions import Action, SetTimer
from query_gateway.model.events import Event, SettingsUpdate, TimerFired
from query_gateway.model.settings import Settings
from query_gateway.policy.scheduler import Scheduler

CallAt = Callable[[int, Callable[[], None]], object]  # schedules a call at a clock time, in nanoseconds


class Planner:
    """Collects events for the decision module, returns its actions, and owns its timers."""

    def __init__(self, settings: Settings, seed: int, clock: Callable[[], int], call_at: CallAt) -> None:
        """Create the first instance of the module; `clock` gives nanoseconds, for `call_at` too."""
        self.settings = settings
        self.seed = seed
        self.clock = clock
        self.call_at = call_at
        self.scheduler = Scheduler(settings, seed)
        self.pending_events: list[Event] = []
        self.now = 0  # clock time of the last decision
        self.restart_count = 0  # counts the restarts

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
        # The module subtracts times of two decisions: if the second were the earlier one, it would learn from
        # a negative duration
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

        def on_due() -> None:
            """Notify the instance that set the timer, unless it has been replaced."""
            if restart_count == self.restart_count:
                self.notify(TimerFired(timer.context))

        self.call_at(self.now + timer.delay, on_due)

    def restart(self) -> None:
        """Replace an instance that raised an error by a new one.

        The new one has learned nothing; the caller notifies it of the endpoints.
        """
        self.restart_count += 1
        self.seed += 1
        self.scheduler = Scheduler(self.settings, self.seed)
        self.pending_events = []
