"""The settings update of a reload: classes by name, their numbers, and the retired ones' grace period."""

from dataclasses import replace
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

GRACE_PERIOD_SECONDS = 1.5  # in which a retired class is still taken: clients learn of its end late


class RequestClassRegistry:
    """Owns the retired classes: each is taken for a while, under the settings that it had."""

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
        self._retired: dict[str, tuple[RequestClass, float]] = {}  # by name, with the end of its grace period

    def update(self, rules: "Rules | None") -> None:
        """Put the settings of the active configuration in force, in one step.

        `rules`: how statements are read from now on, where they are read. What is open keeps the settings
        that it was taken under.
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
        # Forwarder and planners first: they must know a number before a front takes requests under it
        new_numbers = tuple(number for name, number in numbers.items() if name not in old_classes)
        self.publisher.publish(replace(config.settings, classes=classes), new_numbers)
        statements = self.fronts.statements
        if statements and rules:
            statements.update_rules(rules, statements.classifier.idempotent_classes)
        self._retire(old_classes)

    def _numbers_in_use(self) -> set[int]:
        """The numbers that an open request or a retired class uses: none of them may stand for another."""
        in_flight = {exchange.request.class_index for exchange in self.forwarder.exchanges.values()}
        taken = {request_class.index for request_class in self.fronts.http_server.classes.values()}
        return in_flight | taken

    def _retire(self, old_classes: dict[str, RequestClass]) -> None:
        """Begin the grace period of what was dropped: guards requests that are on their way here."""
        expires_at = self.loop.now() + GRACE_PERIOD_SECONDS
        self._retired |= {name: (request_class, expires_at) for name, request_class in old_classes.items()}
        self._drop_expired()
        self.loop.call_at(expires_at, self._drop_expired)

    def _drop_expired(self) -> None:
        """Each retired class has its own time: another reload neither ends nor lengthens it."""
        now = self.loop.now()
        self._retired = {
            name: (request_class, expires_at)
            for name, (request_class, expires_at) in self._retired.items()
            if expires_at > now and name not in self.active.classes
        }
        retired = {name: request_class for name, (request_class, _) in self._retired.items()}
        self.fronts.set_classes(retired | self.active.classes)
