"""The accepted request classes: their numbers, and the grace period of classes dropped by a reload.

    ACTIVE --dropped by a reload--> RETIRED --end of its grace period--> EXPIRED
       ^                               |
       +-- added again by a reload ----+

A reload identifies a class by its name, forwarder and scheduler by its number. The number does not change
while the class is active or retired or has an open request; after that it may be assigned to another class.
Requests of a retired class are accepted under the last settings of the class. Retired classes are lost with
the process: a successor accepts only the classes of its own configuration.
"""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from query_gateway.forwarder.class_numbers import assign_class_numbers, class_settings_by_number
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import RequestClass
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.planner_settings import PlannerSettingsPublisher
from query_gateway.net.loop import Loop

if TYPE_CHECKING:
    from query_gateway.statements.messages import Rules

GRACE_PERIOD_SECONDS = 1.5  # of a retired class: clients use it until they learn of the reload


@dataclass(slots=True, frozen=True)
class RetiredClass:
    """A class that a reload has dropped and that is still accepted."""

    request_class: RequestClass
    expires_at: float  # loop time


class RequestClassRegistry:
    """Applies the classes of a new configuration; owns the retired classes."""

    def __init__(
        self,
        loop: Loop,
        forwarder: Forwarder,
        fronts: ClientFronts,
        publisher: PlannerSettingsPublisher,
        active: ActiveConfiguration,
    ) -> None:
        """Start without retired classes."""
        self.loop, self.forwarder, self.fronts = loop, forwarder, fronts
        self.publisher, self.active = publisher, active
        self._retired: dict[str, RetiredClass] = {}  # by name

    def update(self, rules: "Rules | None") -> None:
        """Apply the settings of the active configuration in one step.

        `rules`: the new statement rules, or None if statements are not classified. Open requests keep the
        settings under which they were accepted.
        """
        config, old_classes = self.active.config, self.active.classes
        old_numbers = {name: request_class.index for name, request_class in old_classes.items()}
        numbers = assign_class_numbers(config.classes, old_numbers, self._numbers_in_use())
        self.active.classes = {
            name: replace(request_class, index=numbers[name])
            for name, request_class in config.classes.items()
        }
        by_number = {
            numbers[name]: config.settings.classes[request_class.index]
            for name, request_class in config.classes.items()
        }
        classes = class_settings_by_number(self.forwarder.settings.classes, by_number)
        for name in config.classes:
            self.forwarder.counters.add_class(name)
        # Forwarder and planners must know a class number before a front accepts requests with it
        new_numbers = tuple(number for name, number in numbers.items() if name not in old_classes)
        self.publisher.publish(replace(config.settings, classes=classes), new_numbers)
        statements = self.fronts.statements
        if statements and rules:
            statements.update_rules(rules, statements.classifier.idempotent_classes)
        self._retire(old_classes)

    def _numbers_in_use(self) -> set[int]:
        """The numbers of open and unread requests and of accepted classes, which no other class may get."""
        open_requests = {exchange.request.class_index for exchange in self.forwarder.exchanges.values()}
        return open_requests | self.fronts.class_numbers_in_use()

    def _retire(self, old_classes: dict[str, RequestClass]) -> None:
        """Begin the grace period of the dropped classes.

        Without it, a request sent before the client learned of the reload would be answered with 404, as for
        an unknown class. During the grace period it is accepted.
        """
        expires_at = self.loop.now() + GRACE_PERIOD_SECONDS
        self._retired |= {
            name: RetiredClass(request_class, expires_at) for name, request_class in old_classes.items()
        }
        self._drop_expired()
        self.loop.call_at(expires_at, self._drop_expired)

    def _drop_expired(self) -> None:
        """Drop the retired classes that have expired or are active again.

        A further reload does not extend the grace period of a class that stays retired.
        """
        now = self.loop.now()
        self._retired = {
            name: retired
            for name, retired in self._retired.items()
            if retired.expires_at > now and name not in self.active.classes
        }
        retired_classes = {name: retired.request_class for name, retired in self._retired.items()}
        self.fronts.set_classes(retired_classes | self.active.classes)
