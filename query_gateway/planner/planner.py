"""A planner drives one instance of the decision module: events in, actions out; it sees no wire."""

from collections.abc import Callable

from query_gateway.model.actions import Action, SetTimer
from query_gateway.model.events import Event, SettingsUpdate, TimerFired
from query_gateway.model.settings import Settings
from query_gateway.policy.scheduler import Scheduler

Later = Callable[[int, Callable[[], None]], object]  # at a clock time


class Planner:
    def __init__(self, settings: Settings, seed: int, clock: Callable[[], int], later: Later) -> None:
        self.settings, self.seed, self.clock, self.call_at = settings, seed, clock, later
        self.scheduler = Scheduler(settings, seed)
        self.pending_events: list[Event] = []
        self.now = 0
        self.incarnation = 0

    def notify(self, event: Event) -> None:
        if isinstance(event, SettingsUpdate):
            self.settings = event.settings
        self.pending_events.append(event)

    def decide(self) -> list[Action]:
        """Hand all that has come to the module at once. Raises whatever the module raises."""
        if not self.pending_events:
            return []
        events, self.pending_events = self.pending_events, []
        self.now = max(self.now, self.clock())  # guards the module against a clock that is set back
        actions: list[Action] = []
        for action in self.scheduler.handle(self.now, events):
            if isinstance(action, SetTimer):
                self._arm(action)
            else:
                actions.append(action)
        return actions

    def ejected_endpoints(self) -> tuple[str, ...]:
        return self.scheduler.ejected_endpoints(self.clock())

    def _arm(self, action: SetTimer) -> None:
        life = self.incarnation

        def due() -> None:
            if life == self.incarnation:
                self.notify(TimerFired(action.context))

        self.call_at(self.now + action.delay, due)

    def restart(self) -> None:
        """A new instance in place of one that broke: it knows nothing and is told the list anew."""
        self.incarnation += 1
        self.seed += 1
        self.scheduler = Scheduler(self.settings, self.seed)
        self.pending_events = []
