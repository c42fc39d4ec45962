"""The request classes in force: their numbers, and the grace period of those that a reload has dropped.

    ACTIVE --dropped by a reload--> RETIRED --end of its grace period--> EXPIRED
       ^                               |
       +-- named again by a reload ----+

A class is identified by its name. Its number, by which forwarder and scheduler know it, stays the same while
the class is active or retired or has an open request; only then may it stand for another class. Requests of a
retired class are accepted under the settings that the class had. Retired classes are lost with the process: a
successor accepts only the classes of its own configuration.
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

GRACE_PERIOD_SECONDS = 1.5  # of a retired class: clients go on naming it until they learn of the reload


@dataclass(slots=True, frozen=True)
class RetiredClass:
    """A class that a reload has dropped, and which is still accepted."""

    request_class: RequestClass
    expires_at: float  # loop time


class RequestClassRegistry:
    """Puts the classes of a new configuration in force; owns the retired ones."""

    def __init__(
        self,
        loop: Loop,
        forwarder: Forwarder,
        fronts: ClientFronts,
        publisher: PlannerSettingsPublisher,
        active: ActiveConfiguration,
    ) -> None:
        """At the start no class is retired."""
        self.loop, self.forwarder, self.fronts = loop, forwarder, fronts
        self.publisher, self.active = publisher, active
        self._retired: dict[str, RetiredClass] = {}  # by name

    def update(self, rules: "Rules | None") -> None:
        """Put the settings of the active configuration in force, in one step.

        `rules`: how statements are classified from now on, where they are. Open requests keep the settings
        that they were accepted under.
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
        # Forwarder and planners must know a number before a front accepts requests under it
        new_numbers = tuple(number for name, number in numbers.items() if name not in old_classes)
        self.publisher.publish(replace(config.settings, classes=classes), new_numbers)
        statements = self.fronts.statements
        if statements and rules:
            statements.update_rules(rules, statements.classifier.idempotent_classes)
        self._retire(old_classes)

    def _numbers_in_use(self) -> set[int]:
        """The numbers that an open request or a retired class uses: none of them may stand for another."""
        open_requests = {exchange.request.class_index for exchange in self.forwarder.exchanges.values()}
        accepted = {request_class.index for request_class in self.fronts.http_server.classes.values()}
        return open_requests | accepted

    def _retire(self, old_classes: dict[str, RequestClass]) -> None:
        """Begin the grace period of the classes that were dropped.

        A request that its client sent before it learned of the reload would be answered with 404, as of an
        unknown class. During the grace period it is accepted.
        """
        expires_at = self.loop.now() + GRACE_PERIOD_SECONDS
        self._retired |= {
            name: RetiredClass(request_class, expires_at) for name, request_class in old_classes.items()
        }
        self._drop_expired()
        self.loop.call_at(expires_at, self._drop_expired)

    def _drop_expired(self) -> None:
        """Each retired class has its own time: another reload neither ends nor lengthens it."""
        now = self.loop.now()
        self._retired = {
            name: retired
            for name, retired in self._retired.items()
            if retired.expires_at > now and name not in self.active.classes
        }
        retired_classes = {name: retired.request_class for name, retired in self._retired.items()}
        self.fronts.set_classes(retired_classes | self.active.classes)
