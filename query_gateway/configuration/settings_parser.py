"""Decoding of the settings of a site from path=value pairs, to which the gateway's JSON is flattened.

Defines the keys and the named values of the settings with the fields that they set. Durations are in
nanoseconds.
"""

from collections.abc import Callable
from typing import TypeVar

from query_gateway.configuration.errors import SettingsError
from query_gateway.model.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    MemoryShortage,
    Settings,
)

T = TypeVar("T")

IDEMPOTENCY_VALUES = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
BOOLEAN_VALUES = {"true": True, "false": False, "1": True, "0": False}
ABSENT_VALUE = "-"
POLLED_ENDPOINT_LIST = "ask"  # value of `registry-mode`; the alternative is "push"


class SettingsReader:
    """Typed access to the path=value pairs of the settings; unknown paths are ignored."""

    def __init__(self, pairs: list[str]) -> None:
        """Split the pairs; the last one wins if a path occurs repeatedly. Raises SettingsError."""
        self.values: dict[str, str] = {}
        for pair in pairs:
            path, separator, value = pair.partition("=")
            if not separator or not path:
                raise SettingsError(f"setting {pair!r} is not path=value")
            self.values[path] = value

    def optional(self, path: str, parse: Callable[[str], T]) -> T | None:
        """Return the value, or None if it is absent; raises SettingsError if it cannot be parsed."""
        value = self.values.get(path)
        return None if value is None or value == ABSENT_VALUE else self._parse(path, parse)

    def get(self, path: str, parse: Callable[[str], T], default: T) -> T:
        """Return the value, or `default` if it is absent; raises SettingsError if it cannot be parsed."""
        value = self.optional(path, parse)
        return default if value is None else value

    def require(self, path: str, parse: Callable[[str], T]) -> T:
        """Return the value; raises SettingsError if it is absent or cannot be parsed."""
        if path not in self.values:
            raise SettingsError(f"setting {path} is missing")
        return self._parse(path, parse)

    def _parse(self, path: str, parse: Callable[[str], T]) -> T:
        try:
            return parse(self.values[path])
        except (ValueError, KeyError):
            raise SettingsError(f"setting {path} has the invalid value {self.values[path]!r}") from None


def _list_of(parse: Callable[[str], T]) -> Callable[[str], tuple[T, ...]]:
    return lambda text: tuple(parse(part) for part in text.split(",")) if text else ()


def _integer(text: str) -> int:
    return int(float(text)) if "." in text or "e" in text else int(text)


def _boolean(text: str) -> bool:
    return BOOLEAN_VALUES[text]


def _element_or_default(values: tuple[T, ...], index: int, default: T) -> T:
    return values[index] if index < len(values) else default


def _parse_classes(reader: SettingsReader) -> tuple[ClassSettings, ...]:
    count = reader.require("services.count", _integer)
    threads: tuple[int, ...] = reader.get("family-info.parallelism", _list_of(_integer), ())
    locks_tables: tuple[bool, ...] = reader.get("family-info.loads", _list_of(_boolean), ())
    waits_for_locks: tuple[bool, ...] = reader.get("family-info.waits-for-loads", _list_of(_boolean), ())
    return tuple(
        _parse_class(reader, index, threads, locks_tables, waits_for_locks) for index in range(count)
    )


def _parse_class(
    reader: SettingsReader,
    index: int,
    threads: tuple[int, ...],
    locks_tables: tuple[bool, ...],
    waits_for_locks: tuple[bool, ...],
) -> ClassSettings:
    path = f"services.{index}."
    return ClassSettings(
        latency_objective=reader.require(path + "aim", _integer),
        objective_per_run_time=reader.get(path + "aim-stretch", float, 0.0),
        timeout=reader.require(path + "give-up", _integer),
        priority_weight=reader.require(path + "worth", float),
        late_weight=reader.get(path + "late-value", float, 0.0),
        idempotency=reader.require(path + "repeat", IDEMPOTENCY_VALUES.__getitem__),
        deduplication_scope=reader.get(path + "dedup-scope", DeduplicationScope, DeduplicationScope.ALL),
        deduplication_window=reader.get(path + "memory-span", _integer, 0),
        threads=_element_or_default(threads, index, 1),
        locks_tables=_element_or_default(locks_tables, index, False),
        waits_for_locks=_element_or_default(waits_for_locks, index, False),
        ordered_by_key=reader.get(path + "in-turn", _boolean, False),
        allowed_zones=reader.optional(path + "stays-in", _list_of(_integer)),
        allowed_kinds=reader.optional(path + "bound-to", _list_of(_integer)),
    )


def _parse_tenant_quotas(reader: SettingsReader, count: int) -> tuple[float, ...]:
    return tuple(reader.get(f"realms.{index}.quota-rps", float, 0.0) for index in range(count))


def parse_settings(pairs: list[str]) -> Settings:
    """Decode the settings; raises SettingsError at the first error. The caller must call `Settings.check`."""
    reader = SettingsReader(pairs)
    classes = _parse_classes(reader)
    tenant_count = reader.get("realms.count", _integer, 0)
    return Settings(
        instance_index=reader.get("me", _integer, 0),
        instance_count=reader.require("instances", _integer),
        zone=reader.get("my-zone", _integer, 0),
        classes=classes,
        tenant_quotas=_parse_tenant_quotas(reader, tenant_count),
        over_quota_weight=reader.get("over-share-worth", float, 1.0),
        cores_by_kind=reader.get("family-info.cpu-of-kind", _list_of(_integer), ()),
        memory_mb_by_kind=reader.get("family-info.memory-by-kind-mb", _list_of(float), ()),
        max_grant_share=reader.get("family-info.max-grant-share", float, 1.0),
        memory_shortage=reader.get("family-info.out-of-memory", MemoryShortage, MemoryShortage.WAIT),
        takes_memory_grants=reader.get("family-info.takes-grants", _boolean, False),
        heeds_priorities=reader.get("family-info.priorities", _boolean, False),
        progress_interval=reader.get("family-info.progress", _integer, 0),
        reports_cost=reader.get("family-info.cost-in-answers", _boolean, False),
        load_report_fields=reader.get("report.fields", _list_of(str), ()),
        polls_endpoint_list=reader.get("registry-mode", str, "push") == POLLED_ENDPOINT_LIST,
        allows_gossip=reader.get("limits.peers", _boolean, False),
        allows_health_checks=reader.get("limits.may-probe", _boolean, False),
        allows_cancellation=reader.get("limits.cancelling", _boolean, False),
        allows_hedging=reader.get("limits.second-copies", _boolean, False),
        allows_retry_after=reader.get("limits.retry-after", _boolean, False),
        max_retry_after=reader.get("limits.max-retry-after", _integer, 0),
        max_attempts=reader.require("limits.max-attempts", _integer),
        marks_retry=reader.get("clients.marks-retry", _boolean, False),
        cross_zone_cost=reader.get("fees.cross-zone", float, 0.0),
        slow_start_initial_capacity=reader.get("rules.start-capacity", float, 1.0),
        slow_start_window=reader.get("rules.cold", _integer, 0),
        slow_start_overload_factor=reader.get("rules.overload-factor", float, 0.0),
        slow_start_overload_window=reader.get("rules.tip-after", _integer, 0),
        key_quarantine=reader.get("rules.settle-after-doubt", _integer, 0),
        max_poll_interval=reader.get("rules.must-ask-in", _integer, 0),
        retry_allowance=reader.optional("rules.spare-attempts", float),
        retries_per_request=reader.get("rules.extra-per-request", float, 0.0),
        retry_window=reader.get("rules.counted-over", _integer, 0),
    )
