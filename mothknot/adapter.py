"""Line adapter between the simulator's wire and one `Gateway` per instance: parse, hand over, format."""

import base64
import sys
from typing import TextIO

from mothknot.interface import (
    Action,
    Cancel,
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
    Request,
    Send,
    SetTimer,
    Started,
    State,
    Terms,
    Timer,
    Watch,
)
from mothknot.policy import Gateway
from mothknot.settings import WireError, settings_of

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
SCOPES = {
    "update": ListScope.CHANGES,
    "replace": ListScope.FULL,
    "restored": ListScope.CACHED,
    "unavailable": ListScope.FAILED,
}
NOTES = {1: NoteKind.PROGRESS, 2: NoteKind.SPILLS, 3: NoteKind.WAITS}


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
