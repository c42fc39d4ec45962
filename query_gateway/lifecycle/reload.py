"""The configuration reload at SIGHUP.

    SIGHUP --> read --> validate --> apply, in one step
                 |         |
                 +---------+--> rejected: one log line, and the old configuration stays active

No change is made before both files, the configuration and the operator's file, have been read and validated
as a whole. A request keeps the settings in force when its first byte arrived. Settings that need a restart
keep their old value, and the log line states that they need one. `max_descriptors` is an exception: the
connection limit that planners receive with their next settings is derived from the new value.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from query_gateway.configuration.errors import ConfigurationError, ContradictionError
from query_gateway.configuration.operator_file import OperatorSettings, read_operator_settings
from query_gateway.configuration.platform import (
    Configuration,
    check_no_key_dropped,
    idempotent_classes,
    read_configuration,
)
from query_gateway.discovery.watch_client import EndpointWatchClient
from query_gateway.engine_protocol.pool import ConnectionPool
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.lifecycle.active_configuration import (
    ActiveConfiguration,
    connection_limits,
    max_exchanges,
)
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.request_classes import RequestClassRegistry
from query_gateway.net.log import log

if TYPE_CHECKING:
    from query_gateway.flight.engines import FlightConnectionPool
    from query_gateway.statements.messages import Rules

# Limit of the classes configured since the process started; each adds lines to the figures of the admin
# server
MAX_REPORTED_CLASSES = 256


RESTART_NOTICE = "; changes of name, addresses, sockets, zones and kinds need a restart"


@dataclass(slots=True)
class ConfigurationSources:
    """The functions that read the files for a reload; both raise ConfigurationError."""

    read_configuration: Callable[[], Configuration] = lambda: read_configuration(os.environ)
    read_operator: Callable[[Configuration], OperatorSettings] = lambda config: read_operator_settings(
        os.environ, config
    )


@dataclass(slots=True, frozen=True)
class ReloadParts:
    """The parts that a new configuration changes; `ConfigurationReload` owns none of them."""

    forwarder: Forwarder
    fronts: ClientFronts
    request_classes: RequestClassRegistry
    watch_client: EndpointWatchClient
    engine_pool: ConnectionPool
    flight_pool: "FlightConnectionPool | None"  # None if Flight is disabled
    active: ActiveConfiguration


class ConfigurationReload:
    """Replaces the active configuration; if a file is invalid, the old configuration stays active."""

    def __init__(self, parts: ReloadParts, sources: ConfigurationSources) -> None:
        """Store the parts and sources; files are read only by `reload`."""
        self.parts, self.sources = parts, sources

    def reload(self) -> None:
        """Read the files, validate them against the active configuration, and apply them."""
        counters = self.parts.forwarder.counters
        try:
            config = self.sources.read_configuration()
            check_no_key_dropped(self.parts.active.config, config)
            rules = self._read_rules(config)
            self._check_usable(config, rules)
        except ConfigurationError as error:
            counters.reloads_rejected += 1
            log("reload", f"the old configuration stays in force: {error}")
            return
        counters.reloads_applied += 1
        self._apply(config, rules)

    def _read_rules(self, config: Configuration) -> "Rules | None":
        """Read the statement rules; changes to the rest of the operator's file need a restart."""
        statements = self.parts.fronts.statements
        if statements is None:
            return None
        settings = self.sources.read_operator(config).statements
        return settings.rules if settings else statements.classifier.rules

    # ---- validation

    def _check_usable(self, config: Configuration, rules: "Rules | None") -> None:
        """Raise ContradictionError if this process cannot run with the configuration."""
        active = self.parts.active
        if active.operator.forwarder_count > 1 and config.settings != active.config.settings:
            raise ContradictionError(
                "new settings need a single forwarder: several would assign different class numbers"
            )
        for name in self._classes_named_by_operator(rules):
            if name not in config.classes:
                raise ContradictionError(f"class {name!r} of the operator's file is not in the settings")
        if rules:
            _check_idempotency(config, rules)
        if len({*self.parts.forwarder.counters.answers, *config.classes}) > MAX_REPORTED_CLASSES:
            raise ContradictionError(
                f"the figures cover at most {MAX_REPORTED_CLASSES} classes; more need a restart"
            )

    def _classes_named_by_operator(self, rules: "Rules | None") -> list[str]:
        operator = self.parts.active.operator
        names = [operator.query_class, operator.update_class] if operator.flight_address else []
        if rules:
            names += [name for name in (rules.lookup, rules.report, rules.load) if name]
        return names

    # ---- applying

    def _apply(self, config: Configuration, rules: "Rules | None") -> None:
        active, old = self.parts.active, self.parts.active.config
        notice = RESTART_NOTICE if _needs_restart(old, config) else ""
        log("reload", f"journal {config.discovery_address}, classes {' '.join(config.classes)}{notice}")
        active.config = replace(
            config,
            name=old.name,
            listen_address=old.listen_address,
            admin_address=old.admin_address,
            zones_and_kinds=old.zones_and_kinds,
        )
        self._update_limits()
        statements = self.parts.fronts.statements
        if config.settings != old.settings or list(config.classes) != list(old.classes):
            self.parts.request_classes.update(rules)
        elif statements and rules:
            statements.update_rules(rules, idempotent_classes(config))
        # The discovery address is set last, so that answers from a new one are decoded under the new settings
        self.parts.watch_client.set_address(config.discovery_address)

    def _update_limits(self) -> None:
        """Apply the forwarder's and engine clients' limits; the scheduler's are part of its settings."""
        config = self.parts.active.config
        self.parts.forwarder.max_exchanges = max_exchanges(config)
        self.parts.engine_pool.update_limits(connection_limits(config))
        if self.parts.flight_pool:
            self.parts.flight_pool.dial_timeout = config.dial_timeout


def _check_idempotency(config: Configuration, rules: "Rules") -> None:
    """Raise ContradictionError if the class of lookups or reports is not idempotent, or that of loads is."""
    idempotent = idempotent_classes(config)
    for name in (rules.lookup, rules.report):
        if name not in idempotent:
            raise ContradictionError(f"the class of reads, {name!r}, is not idempotent in the new settings")
    if rules.load in idempotent:
        raise ContradictionError(f"the class of writes, {rules.load!r}, is idempotent in the new settings")


def _needs_restart(old: Configuration, new: Configuration) -> bool:
    """Whether the new configuration changes a value that needs a restart."""
    return (
        new.name != old.name
        or new.listen_address != old.listen_address
        or new.admin_address != old.admin_address
        or new.max_descriptors != old.max_descriptors
        or new.zones_and_kinds.zones != old.zones_and_kinds.zones
        or new.zones_and_kinds.kinds != old.zones_and_kinds.kinds
    )
