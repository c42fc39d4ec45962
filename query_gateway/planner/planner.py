"""A planner drives one instance of the decision module: events in, actions out; it knows no wire."""

from collections.abc import Callable

from query_gateway.model.actions import Action, SetTimer
from query_gateway.model.events import Event, SettingsUpdate, TimerFired
from query_gateway.model.settings import Settings
from query_gateway.policy.scheduler import Scheduler

CallAt = Callable[[int, Callable[[], None]], object]  # schedules a call at a clock time


class Planner:
    """Collects events for the decision module, gets its actions, and keeps its timers."""

    def __init__(self, settings: Settings, seed: int, clock: Callable[[], int], call_at: CallAt) -> None:
        """Create the first instance of the module; `clock` gives nanoseconds, `call_at` takes its times."""
        self.settings = settings
        self.seed = seed
        self.clock = clock
        self.call_at = call_at
        self.scheduler = Scheduler(settings, seed)
        self.pending_events: list[Event] = []
        self.now = 0
        self.incarnation = 0  # counts the restarts

    def notify(self, event: Event) -> None:
        """Keep an event for the next decision."""
        if isinstance(event, SettingsUpdate):
            self.settings = event.settings
        self.pending_events.append(event)

    def decide(self) -> list[Action]:
        """Hand all pending events to the module at once. Raises whatever the module raises."""
        if not self.pending_events:
            return []
        events, self.pending_events = self.pending_events, []
        self.now = max(self.now, self.clock())  # guards the module against a clock that goes back
        actions: list[Action] = []
        for action in self.scheduler.handle(self.now, events):
            if isinstance(action, SetTimer):
                self._set_timer(action)
            else:
                actions.append(action)
        return actions

    def ejected_endpoints(self) -> tuple[str, ...]:
        """The names of the endpoints that the module sends nothing to for now."""
        return self.scheduler.ejected_endpoints(self.clock())

    def _set_timer(self, timer: SetTimer) -> None:
        incarnation = self.incarnation

        def on_due() -> None:
            """Hand the timer to the instance that set it."""
            if incarnation == self.incarnation:  # an instance that was replaced gets no timers
                self.notify(TimerFired(timer.context))

        self.call_at(self.now + timer.delay, on_due)

    def restart(self) -> None:
        """Replace an instance that broke by a new one.

        The new one has learned nothing; the caller notifies it of the endpoints.
        """
        self.incarnation += 1
        self.seed += 1
        self.scheduler = Scheduler(self.settings, self.seed)
        self.pending_events = []
