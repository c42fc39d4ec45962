"""The platform's configuration: its JSON file, validated and decoded into an immutable `Configuration`.

Defines the keys of that file, and in its settings those of the names of zones and kinds and of the limits on
connections and open requests; `settings_parser` defines the other keys of the settings. An invalid file is
rejected as a whole, with a one-line message that names the value.
"""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from query_gateway.configuration.errors import (
    ConfigurationFileError,
    ContradictionError,
    InvalidValueError,
    MissingValueError,
)
from query_gateway.configuration.settings_flattening import collect_key_paths, flatten_settings
from query_gateway.configuration.settings_parser import parse_settings
from query_gateway.discovery.endpoint_list import (
    EndpointListAnswer,
    EndpointListError,
    ZoneAndKindNames,
    parse_answer,
)
from query_gateway.forwarder.messages import RequestClass, RequestClasses, idempotent_class_names
from query_gateway.model.settings import Settings
from query_gateway.net.stream import address_of

MAX_CLASSES = 64
MIN_DESCRIPTORS = 32
NANOSECONDS_PER_SECOND = 1e9
DEFAULT_DESCRIPTORS = 1_024
DEFAULT_STREAMS_PER_CONNECTION = 32
DEFAULT_DIAL_TIMEOUT_NS = 250_000_000
DEFAULT_CONNECTION_IDLE_TIMEOUT_NS = 15_000_000_000
DEFAULT_MAX_OPEN_REQUESTS = 30_000
CLASS_KEY_PATH = "settings.services[]"
OPTIONAL_CLASS_KEYS = frozenset(("aim-stretch", "in-turn", "bound-to", "stays-in"))  # a reload may omit them
PER_CLASS_LISTS = ("parallelism", "loads", "waits-for-loads")  # of `family-info`: one value per class


@dataclass(slots=True, frozen=True)
class Configuration:
    """The decoded configuration file of the platform. Timeouts are in seconds, except in `settings`."""

    name: str
    listen_address: tuple[str, int]
    admin_address: tuple[str, int] | None  # where the admin server listens; None: there is no admin server
    seed: int
    max_descriptors: int
    memory_mb: float | None  # over which the platform kills the process; None: not stated
    discovery_address: str
    initial_endpoints: EndpointListAnswer
    settings: Settings
    zones_and_kinds: ZoneAndKindNames
    classes: RequestClasses
    streams_per_connection: int  # concurrent attempts per connection
    dial_timeout: float
    connection_idle_timeout: float
    max_open_requests: int
    setting_paths: frozenset[str]  # of the keys in the whole file; see `check_no_key_dropped`


def check_no_key_dropped(current: Configuration, new: Configuration) -> None:
    """Raise ConfigurationError if `new` lacks a key that `current` has.

    A file that was truncated or edited by mistake may still be valid, with defaults for the missing keys, and
    a reload would silently replace the active settings by these defaults. So no key may disappear, except for
    the optional keys of a class.
    """
    missing = sorted(path for path in current.setting_paths - new.setting_paths if not _is_optional(path))
    if missing:
        raise MissingValueError(missing[0])


def _is_optional(path: str) -> bool:
    return path.startswith(f"{CLASS_KEY_PATH}.") and path.rpartition(".")[2] in OPTIONAL_CLASS_KEYS


def _require_positive(value: Any, name: str, integral: bool = False) -> None:
    is_number = type(value) in (int, float)  # excludes bool, a subclass of int
    if not is_number or not 0 < value < math.inf or (integral and value != int(value)):
        raise InvalidValueError(f"{name} is not a positive number")


def _check_settings(settings: Any) -> None:
    """Reject values that `parse_settings` would accept.

    These are true, 0 or a string where a positive number is required; class names that are repeated or not
    strings; too many classes; and lists in `PER_CLASS_LISTS` without exactly one value per class.
    """
    services = settings["services"]
    names = [service["name"] for service in services]
    are_strings = all(type(name) is str for name in names)
    if len(set(names)) < len(names) or len(names) > MAX_CLASSES or not are_strings:
        raise InvalidValueError(f"the names of the classes must be distinct strings, at most {MAX_CLASSES}")
    for service in services:
        for key in ("aim", "give-up"):
            _require_positive(service[key], f"{key} of class {service['name']}")
    _require_positive(settings["limits"]["max-attempts"], "max-attempts", integral=True)
    for key in PER_CLASS_LISTS:
        values = settings.get("family-info", {}).get(key)
        if values is not None and len(values) != len(names):
            raise InvalidValueError(f"{key} needs exactly one value per class")


def _request_classes(services: Any, settings: Settings) -> RequestClasses:
    """The classes by name, as the fronts use them.

    The names are taken from the raw `services`. The index is the position in `settings.classes`.
    """
    return {
        str(service["name"]): RequestClass(index, class_settings)
        for index, (service, class_settings) in enumerate(zip(services, settings.classes, strict=True))
    }


def _decode(raw: Any, environ: Mapping[str, str]) -> Configuration:
    """Decode the file. Raises ConfigurationError, or the built-in exception that an invalid value causes."""
    settings_raw, limits = raw["settings"], raw.get("limits", {})
    admin_address = environ.get("ROUTER_OPS") or raw.get("ops")
    _check_settings(settings_raw)
    settings = parse_settings(flatten_settings(settings_raw))
    settings.check()
    site_limits = settings_raw.get("limits", {})
    zones, kinds = settings_raw.get("zones", []), settings_raw.get("flavors", [])
    names = ZoneAndKindNames([str(zone) for zone in zones], [str(kind) for kind in kinds])
    initial_endpoints = parse_answer(raw["known"], names)
    discovery_address = str(raw["journal"])
    address_of(discovery_address)
    dial_timeout = site_limits.get("dial-timeout", DEFAULT_DIAL_TIMEOUT_NS)
    idle_timeout = site_limits.get("conn-idle", DEFAULT_CONNECTION_IDLE_TIMEOUT_NS)
    return Configuration(
        name=str(raw.get("name") or environ.get("ROUTER_NAME", "gateway")),
        listen_address=address_of(str(environ.get("ROUTER_LISTEN") or raw["listen"])),
        admin_address=address_of(str(admin_address)) if admin_address else None,
        seed=int(str(raw.get("seed", "0")), 16) % 2**63,
        max_descriptors=int(limits.get("sockets", DEFAULT_DESCRIPTORS)),
        memory_mb=None if limits.get("memory_mb") is None else float(limits["memory_mb"]),
        discovery_address=discovery_address,
        initial_endpoints=initial_endpoints,
        settings=settings,
        zones_and_kinds=names,
        classes=_request_classes(settings_raw["services"], settings),
        streams_per_connection=int(site_limits.get("streams-per-conn", DEFAULT_STREAMS_PER_CONNECTION)),
        dial_timeout=int(dial_timeout) / NANOSECONDS_PER_SECOND,
        connection_idle_timeout=int(idle_timeout) / NANOSECONDS_PER_SECOND,
        max_open_requests=int(site_limits.get("most-held", DEFAULT_MAX_OPEN_REQUESTS)),
        setting_paths=collect_key_paths(raw),
    )


def _check_limits(configuration: Configuration) -> None:
    if (
        configuration.max_descriptors < MIN_DESCRIPTORS
        or configuration.streams_per_connection < 1
        or configuration.max_open_requests < 1
        or configuration.dial_timeout <= 0
        or (configuration.memory_mb is not None and not 0 < configuration.memory_mb < math.inf)
    ):
        raise InvalidValueError(
            f"limits are too low: sockets must be at least {MIN_DESCRIPTORS}, and streams-per-conn,"
            " most-held, dial-timeout and memory_mb must be positive"
        )
    has_fixed_port = bool(configuration.listen_address[1])  # for port 0 the kernel chooses a free port
    if configuration.admin_address == configuration.listen_address and has_fixed_port:
        raise ContradictionError("ops and listen are the same address")


def parse_configuration(raw: Any, environ: Mapping[str, str]) -> Configuration:
    """Validate and decode the JSON of a configuration file, with the overrides in the environment.

    Raises ConfigurationError at the first error.
    """
    try:
        configuration = _decode(raw, environ)
    except EndpointListError as error:
        raise InvalidValueError(f"known: {error}") from None
    except KeyError as error:
        raise MissingValueError(error.args[0]) from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidValueError(f"a value is invalid ({error})") from None
    _check_limits(configuration)
    return configuration


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a valid number")


def load_configuration_file(path: str) -> Any:
    """Read a JSON file without validating it; raises ConfigurationFileError if that fails."""
    try:
        return json.loads(Path(path).read_text(), parse_constant=_reject_constant)
    except OSError as error:
        raise ConfigurationFileError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationFileError(f"{path} is not valid JSON ({error})") from None


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """Read the file given by ROUTER_CONFIG; raises ConfigurationError."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigurationFileError("ROUTER_CONFIG is not set")
    return parse_configuration(load_configuration_file(path), environ)


def idempotent_classes(configuration: Configuration) -> frozenset[str]:
    """The names of the idempotent classes of a configuration, whose requests may run more than once."""
    return idempotent_class_names(configuration.classes)
