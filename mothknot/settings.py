"""The settings of a site, from path=value pairs; the gateway's JSON is flattened to them."""

from collections.abc import Callable
from typing import TypeVar

from mothknot.interface import ClassSettings, Repeat, Scope, Settings, Short

T = TypeVar("T")

REPEATS = {"idempotent": Repeat.SAFE, "deduplicated": Repeat.KEYED, "at_most_once": Repeat.UNSAFE}
BOOLS = {"true": True, "false": False, "1": True, "0": False}


class WireError(Exception):
    """A line that does not follow the wire."""


class Params:
    """The path=value pairs of `configure`; a path that is not asked for is left alone."""

    def __init__(self, words: list[str]) -> None:
        self.values: dict[str, str] = {}
        for word in words:
            path, mark, value = word.partition("=")
            if not mark or not path:
                raise WireError(f"setting {word!r} is not path=value")
            self.values[path] = value

    def get(self, path: str, parse: Callable[[str], T], absent: T) -> T:
        value = self.values.get(path)
        if value is None or value == "-":
            return absent
        try:
            return parse(value)
        except (ValueError, KeyError):
            raise WireError(f"setting {path} has the value {value!r}") from None

    def need(self, path: str, parse: Callable[[str], T]) -> T:
        if path not in self.values:
            raise WireError(f"setting {path} is missing")
        try:
            return parse(self.values[path])
        except (ValueError, KeyError):
            raise WireError(f"setting {path} has the value {self.values[path]!r}") from None


def many(parse: Callable[[str], T]) -> Callable[[str], tuple[T, ...]]:
    return lambda text: tuple(parse(part) for part in text.split(",")) if text else ()


def whole(text: str) -> int:
    return int(float(text)) if "." in text or "e" in text else int(text)


def settings_of(words: list[str]) -> Settings:
    p = Params(words)
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
                aim=p.need(at + "aim", whole),
                aim_stretch=p.get(at + "aim-stretch", float, 0.0),
                give_up=p.need(at + "give-up", whole),
                worth=p.need(at + "worth", float),
                late_value=p.get(at + "late-value", float, 0.0),
                repeat=p.need(at + "repeat", REPEATS.__getitem__),
                scope=p.get(at + "dedup-scope", Scope, Scope.ALL),
                memory_span=p.get(at + "memory-span", whole, 0),
                threads=threads[i] if i < len(threads) else 1,
                loads=loads[i] if i < len(loads) else False,
                waits=waits[i] if i < len(waits) else False,
                in_turn=p.get(at + "in-turn", flag, False),
                stays_in=p.get(at + "stays-in", many(whole), none_i),
                bound_to=p.get(at + "bound-to", many(whole), none_i),
            )
        )
    realms = p.get("realms.count", whole, 0)
    no_number: float | None = None
    return Settings(
        me=p.get("me", whole, 0),
        instances=p.need("instances", whole),
        my_zone=p.get("my-zone", whole, 0),
        classes=tuple(classes),
        quotas=tuple(p.get(f"realms.{i}.quota-rps", float, 0.0) for i in range(realms)),
        over_share_worth=p.get("over-share-worth", float, 1.0),
        cores=p.get("family-info.cpu-of-kind", many(whole), ()),
        memory_mb=p.get("family-info.memory-by-kind-mb", many(float), ()),
        most_grant=p.get("family-info.max-grant-share", float, 1.0),
        when_short=p.get("family-info.out-of-memory", Short, Short.WAIT),
        grants=p.get("family-info.takes-grants", flag, False),
        priorities=p.get("family-info.priorities", flag, False),
        progress=p.get("family-info.progress", whole, 0),
        tells_cost=p.get("family-info.cost-in-answers", flag, False),
        report_fields=p.get("report.fields", many(str), ()),
        asks_list=p.get("registry-mode", str, "push") == "ask",
        peers=p.get("limits.peers", flag, False),
        may_probe=p.get("limits.may-probe", flag, False),
        cancelling=p.get("limits.cancelling", flag, False),
        second_copies=p.get("limits.second-copies", flag, False),
        retry_after=p.get("limits.retry-after", flag, False),
        max_retry_after=p.get("limits.max-retry-after", whole, 0),
        max_attempts=p.need("limits.max-attempts", whole),
        marks_retry=p.get("clients.marks-retry", flag, False),
        cross_zone_fee=p.get("fees.cross-zone", float, 0.0),
        start_capacity=p.get("rules.start-capacity", float, 1.0),
        cold=p.get("rules.cold", whole, 0),
        overload_factor=p.get("rules.overload-factor", float, 0.0),
        tip_after=p.get("rules.tip-after", whole, 0),
        settle=p.get("rules.settle-after-doubt", whole, 0),
        must_ask_in=p.get("rules.must-ask-in", whole, 0),
        spare_attempts=p.get("rules.spare-attempts", float, no_number),
        extra_per_request=p.get("rules.extra-per-request", float, 0.0),
        counted_over=p.get("rules.counted-over", whole, 0),
    )
