"""A planner drives one instance of the decision module: events in, actions out; it sees no wire."""

from collections.abc import Callable

from mothknot.interface import Action, Event, Retune, SetTimer, Settings, Timer
from mothknot.policy import Gateway

Later = Callable[[int, Callable[[], None]], object]  # at a clock time


class Planner:
    def __init__(self, settings: Settings, seed: int, clock: Callable[[], int], later: Later) -> None:
        self.settings, self.seed, self.clock, self.later = settings, seed, clock, later
        self.module = Gateway(settings, seed)
        self.events: list[Event] = []
        self.now = 0
        self.lives = 0

    def tell(self, event: Event) -> None:
        if isinstance(event, Retune):
            self.settings = event.settings
        self.events.append(event)

    def turn(self) -> list[Action]:
        """Hand all that has come to the module at once. Raises whatever the module raises."""
        if not self.events:
            return []
        events, self.events = self.events, []
        self.now = max(self.now, self.clock())  # guards the module against a clock that is set back
        actions: list[Action] = []
        for action in self.module.handle(self.now, events):
            if isinstance(action, SetTimer):
                self._arm(action)
            else:
                actions.append(action)
        return actions

    def avoided(self) -> tuple[str, ...]:
        return self.module.avoided(self.clock())

    def _arm(self, action: SetTimer) -> None:
        life = self.lives

        def due() -> None:
            if life == self.lives:
                self.tell(Timer(action.context))

        self.later(self.now + action.wait, due)

    def restart(self) -> None:
        """A new instance in place of one that broke: it knows nothing and is told the list anew."""
        self.lives += 1
        self.seed += 1
        self.module = Gateway(self.settings, self.seed)
        self.events = []
