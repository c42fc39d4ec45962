"""Line adapter between the simulator's wire and one `Gateway` per instance: parse, hand over, format."""

import base64
import sys
from collections.abc import Callable
from typing import TextIO, TypeVar

from mothknot.interface import (
    Action,
    Cancel,
    ClassSettings,
    Code,
    Entry,
    Event,
    Fail,
    Fetch,
    Gone,
    ListChange,
    ListScope,
    Log,
    Message,
    Note,
    NoteKind,
    Outcome,
    Post,
    Probe,
    Probed,
    Refuse,
    Repeat,
    Request,
    Scope,
    Send,
    SetTimer,
    Settings,
    Short,
    Started,
    State,
    Terms,
    Timer,
    Watch,
)
from mothknot.policy import Gateway

T = TypeVar("T")

CODES = {
    "pass": Code.OK,
    "fault": Code.ERROR,
    "no_room": Code.FULL,
    "too_slow": Code.TIMEOUT,
    "no_route": Code.CONNECT_FAILED,
    "cut": Code.RESET,
    "undone": Code.CANCELLED,
    "stale_send": Code.MOOT,
}
STATES = {"U": State.UP, "L": State.DRAINING, "D": State.GONE}
REPEATS = {"idempotent": Repeat.SAFE, "deduplicated": Repeat.KEYED, "at_most_once": Repeat.UNSAFE}
SCOPES = {
    "update": ListScope.CHANGES,
    "replace": ListScope.FULL,
    "restored": ListScope.CACHED,
    "unavailable": ListScope.FAILED,
}
NOTES = {1: NoteKind.PROGRESS, 2: NoteKind.SPILLS, 3: NoteKind.WAITS}
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


def entry_of(f: list[str]) -> Entry:
    """size availability group launched type executor zone"""
    return Entry(
        engine=f[5],
        state=STATES[f[1]],
        zone=number(f, 6),
        kind=number(f, 4),
        group=number(f, 2),
        launched=number(f, 3),
        size=1.0 if f[0] == "-" else float(f[0]),
    )


def number(f: list[str], at: int) -> int:
    """A whole number that may be marked absent or left off the end."""
    return int(f[at]) if len(f) > at and f[at] != "-" else 0


def real(f: list[str], at: int) -> float | None:
    return float(f[at]) if len(f) > at and f[at] != "-" else None


def word(f: list[str], at: int) -> str | None:
    return f[at] if len(f) > at and f[at] != "-" else None


def report(f: list[str], at: int) -> tuple[float, ...]:
    text = word(f, at)
    return tuple(float(part) for part in text.split(",")) if text else ()


def event_of(name: str, f: list[str], tells_cost: bool) -> Event:
    match name:
        case "arrival":
            options = number(f, 6)
            cost = number(f, 2) if options & 1 and word(f, 2) else None
            return Request(
                xid=int(f[1]),
                cls=int(f[5]),
                give_up_at=int(f[7]),
                tenant=number(f, 8),
                tables=real(f, 4),
                key=word(f, 3),
                cost=cost,
                need_mb=real(f, 9) or 0.0,
                retry=bool(options & 2),
            )
        case "completed":
            note = number(f, 7)
            told = tells_cost and note > 0 and f[3] == "pass"
            return Outcome(
                xid=int(f[1]),
                final=f[2] == "1",
                code=CODES[f[3]],
                took=number(f, 4),
                copy=int(f[5]),
                engine=f[6],
                work=note // 4096 * 1_000_000 if told else None,
                memory_mb=note % 4096 * 4.0 if told else None,
                report=report(f, 8),
            )
        case "heartbeat":
            return Note(int(f[1]), int(f[2]), f[3], NOTES[int(f[4])], float(f[5]))
        case "under_way":
            return Started(int(f[1]), int(f[3]), f[2])
        case "abandoned":
            return Gone(int(f[1]))
        case "timeout_fired":
            return Timer(int(f[1]))
        case "probed":
            return Probed(f[1], f[2] == "pass", number(f, 3), report(f, 4))
        case "message":
            return Message(int(f[1]), base64.b64decode(word(f, 2) or "", validate=True).decode("latin-1"))
    raise WireError("unknown event")


def line_of(instance: int, action: Action) -> str:
    match action:
        case Send(xid, engine, within):
            return f"place {instance} {xid} {within} {engine}"
        case Refuse(xid, wait):
            return f"busy {instance} {xid} {wait}"
        case Fail(xid):
            return f"end_failed {instance} {xid}"
        case Cancel(xid, copy):
            return f"retract {instance} {xid} {copy}"
        case Terms(xid, memory, priority):
            return f"assign_terms {instance} {xid} {memory:g} {priority}"
        case SetTimer(wait, context):
            return f"timer {instance} {wait} {context}"
        case Probe(engine):
            return f"ping {instance} {engine}"
        case Watch(on):
            return f"listen {instance} {int(on)}"
        case Fetch():
            return f"fetch {instance}"
        case Post(data, peer):
            to = "all" if peer is None else peer
            return f"post {instance} {to} {base64.b64encode(data.encode()).decode()}"
        case Log(text):
            return f"debug {instance} {text}"


class Drill:
    def __init__(self) -> None:
        self.now = 0
        self.gateways: dict[int, tuple[Gateway, bool]] = {}
        self.sheets: dict[int, tuple[Entry, ...]] = {}
        self.sheet = -1
        self.missing = 0
        self.batch: dict[int, list[Event]] = {}
        self.open = False
        self.out: list[str] = []

    def flush(self, instance: int) -> None:
        events = self.batch.pop(instance, [])
        if events:
            actions = self.gateways[instance][0].handle(self.now, events)
            self.out.extend(line_of(instance, action) for action in actions)

    def take(self, line: str) -> list[str] | None:
        """One line in; the reply's lines at the end of a batch."""
        f = line.split(" ")
        name, f = f[0], f[1:]
        if self.missing and name != "entry":
            raise WireError(f"{self.missing} entry lines are missing")
        if name == "sync":
            if self.open:
                raise WireError("a batch is open already")
            self.now, self.open = int(f[0]), True
            return None
        if not self.open:
            raise WireError("no batch is open")
        if name == "end":
            for instance in list(self.batch):
                self.flush(instance)
            reply, self.out, self.open = [*self.out, "ok"], [], False
            return reply
        if name == "table":
            self.sheet, self.missing = int(f[0]), int(f[1])
            self.sheets[self.sheet] = ()
        elif name == "entry":
            if not self.missing:
                raise WireError("entry outside a table")
            self.sheets[self.sheet] += (entry_of(f),)
            self.missing -= 1
        else:
            self.event(name, f)
        return None

    def event(self, name: str, f: list[str]) -> None:
        instance = int(f[0])
        if name == "configure":
            self.batch.pop(instance, None)
            settings = settings_of([part for part in f[2:] if part])
            try:
                self.gateways[instance] = Gateway(settings, int(f[1])), settings.tells_cost
            except ValueError as bad:
                raise WireError(str(bad)) from None
            return
        if instance not in self.gateways:
            raise WireError(f"instance {instance} was never configured")
        if name == "killed":
            self.batch.pop(instance, None)
            del self.gateways[instance]
            return
        event: Event
        if name == "targets":
            scope = SCOPES[f[1]]
            event = ListChange(scope, () if scope is ListScope.FAILED else self.sheets[int(f[3])])
        else:
            event = event_of(name, f, self.gateways[instance][1])
        self.batch.setdefault(instance, []).append(event)


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    drill = Drill()
    for at, raw in enumerate(source, 1):
        line = raw.rstrip("\n")
        if not line:
            continue
        try:
            reply = drill.take(line)
        except WireError as bad:
            fault = str(bad)
        except (ValueError, IndexError, KeyError) as bad:
            fault = f"missing or malformed field ({bad})"
        else:
            if reply is not None:
                sink.write("\n".join(reply) + "\n")
                sink.flush()
            continue
        print(f"line {at}: {fault}: {line[:200]}", file=errors)
        return 2
    return 0


def main() -> None:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
