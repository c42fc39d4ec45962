"""The settings of a site, from path=value pairs; the gateway's JSON is flattened to them."""

from collections.abc import Callable
from typing import TypeVar

from query_gateway.model.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    MemoryShortage,
    Settings,
)

T = TypeVar("T")

REPEATS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
BOOLS = {"true": True, "false": False, "1": True, "0": False}


class SettingsError(Exception):
    """A line that does not follow the wire."""


class SettingsReader:
    """The path=value pairs of `configure`; a path that is not asked for is left alone."""

    def __init__(self, words: list[str]) -> None:
        self.values: dict[str, str] = {}
        for word in words:
            path, mark, value = word.partition("=")
            if not mark or not path:
                raise SettingsError(f"setting {word!r} is not path=value")
            self.values[path] = value

    def get(self, path: str, parse: Callable[[str], T], absent: T) -> T:
        value = self.values.get(path)
        if value is None or value == "-":
            return absent
        try:
            return parse(value)
        except (ValueError, KeyError):
            raise SettingsError(f"setting {path} has the value {value!r}") from None

    def need(self, path: str, parse: Callable[[str], T]) -> T:
        if path not in self.values:
            raise SettingsError(f"setting {path} is missing")
        try:
            return parse(self.values[path])
        except (ValueError, KeyError):
            raise SettingsError(f"setting {path} has the value {self.values[path]!r}") from None


def many(parse: Callable[[str], T]) -> Callable[[str], tuple[T, ...]]:
    return lambda text: tuple(parse(part) for part in text.split(",")) if text else ()


def whole(text: str) -> int:
    return int(float(text)) if "." in text or "e" in text else int(text)


def settings_of(words: list[str]) -> Settings:
    p = SettingsReader(words)
    flag = BOOLS.__getitem__
    count = p.need("services.count", whole)
    none_i: tuple[int, ...] | None = None
    empty_b: tuple[bool, ...] = ()
    empty_i: tuple[int, ...] = ()
    threads = p.get("family-info.parallelism", many(whole), empty_i)
    loads = p.get("family-info.loads", many(flag), empty_b)
    waits = p.get("family-info.waits-for-loads", many(flag), empty_b)
    classes = []
    for i in range(count):
        at = f"services.{i}."
        classes.append(
            ClassSettings(
                latency_objective=p.need(at + "aim", whole),
                objective_per_run_time=p.get(at + "aim-stretch", float, 0.0),
                timeout=p.need(at + "give-up", whole),
                weight=p.need(at + "worth", float),
                late_weight=p.get(at + "late-value", float, 0.0),
                idempotency=p.need(at + "repeat", REPEATS.__getitem__),
                deduplication_scope=p.get(at + "dedup-scope", DeduplicationScope, DeduplicationScope.ALL),
                deduplication_window=p.get(at + "memory-span", whole, 0),
                threads=threads[i] if i < len(threads) else 1,
                locks_tables=loads[i] if i < len(loads) else False,
                waits_for_locks=waits[i] if i < len(waits) else False,
                ordered_by_key=p.get(at + "in-turn", flag, False),
                allowed_zones=p.get(at + "stays-in", many(whole), none_i),
                allowed_kinds=p.get(at + "bound-to", many(whole), none_i),
            )
        )
    realms = p.get("realms.count", whole, 0)
    no_number: float | None = None
    return Settings(
        instance_index=p.get("me", whole, 0),
        instance_count=p.need("instances", whole),
        zone=p.get("my-zone", whole, 0),
        classes=tuple(classes),
        tenant_quotas=tuple(p.get(f"realms.{i}.quota-rps", float, 0.0) for i in range(realms)),
        over_quota_weight=p.get("over-share-worth", float, 1.0),
        cores_by_kind=p.get("family-info.cpu-of-kind", many(whole), ()),
        memory_mb_by_kind=p.get("family-info.memory-by-kind-mb", many(float), ()),
        max_grant_share=p.get("family-info.max-grant-share", float, 1.0),
        memory_shortage=p.get("family-info.out-of-memory", MemoryShortage, MemoryShortage.WAIT),
        takes_memory_grants=p.get("family-info.takes-grants", flag, False),
        heeds_priorities=p.get("family-info.priorities", flag, False),
        progress_interval=p.get("family-info.progress", whole, 0),
        reports_cost=p.get("family-info.cost-in-answers", flag, False),
        load_report_fields=p.get("report.fields", many(str), ()),
        polls_endpoint_list=p.get("registry-mode", str, "push") == "ask",
        allows_gossip=p.get("limits.peers", flag, False),
        allows_health_checks=p.get("limits.may-probe", flag, False),
        allows_cancellation=p.get("limits.cancelling", flag, False),
        allows_hedging=p.get("limits.second-copies", flag, False),
        allows_retry_after=p.get("limits.retry-after", flag, False),
        max_retry_after=p.get("limits.max-retry-after", whole, 0),
        max_attempts=p.need("limits.max-attempts", whole),
        marks_retry=p.get("clients.marks-retry", flag, False),
        cross_zone_cost=p.get("fees.cross-zone", float, 0.0),
        cold_capacity=p.get("rules.start-capacity", float, 1.0),
        slow_start_window=p.get("rules.cold", whole, 0),
        cold_overload_factor=p.get("rules.overload-factor", float, 0.0),
        cold_overload_window=p.get("rules.tip-after", whole, 0),
        key_quarantine=p.get("rules.settle-after-doubt", whole, 0),
        max_poll_interval=p.get("rules.must-ask-in", whole, 0),
        retry_allowance=p.get("rules.spare-attempts", float, no_number),
        retries_per_request=p.get("rules.extra-per-request", float, 0.0),
        retry_window=p.get("rules.counted-over", whole, 0),
    )
