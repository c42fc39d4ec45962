"""Line adapter between the simulator's wire and one `Gateway` per instance: parse, hand over, format."""

import base64
import sys
from typing import TextIO

from query_gateway.configuration.settings_parser import SettingsError, parse_settings
from query_gateway.model.actions import (
    Action,
    Cancel,
    Fail,
    FetchEndpoints,
    Forward,
    HealthCheck,
    Log,
    Reject,
    SendGossip,
    SetTerms,
    SetTimer,
    WatchEndpoints,
)
from query_gateway.model.endpoints import EndpointInfo, EndpointState, EndpointUpdateKind
from query_gateway.model.events import (
    AttemptOutcome,
    AttemptStarted,
    EndpointUpdate,
    Event,
    GossipMessage,
    HealthCheckResult,
    OutcomeCode,
    ProgressKind,
    ProgressNote,
    Request,
    RequestAbandoned,
    TimerFired,
)
from query_gateway.policy.scheduler import Scheduler

CODES = {
    "pass": OutcomeCode.OK,
    "fault": OutcomeCode.ERROR,
    "no_room": OutcomeCode.FULL,
    "too_slow": OutcomeCode.TIMEOUT,
    "no_route": OutcomeCode.CONNECT_FAILED,
    "cut": OutcomeCode.RESET,
    "undone": OutcomeCode.CANCELLED,
    "stale_send": OutcomeCode.NOT_SENT,
}
STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
SCOPES = {
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.FAILED,
}
NOTES = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILLING, 3: ProgressKind.WAITING}


def entry_of(f: list[str]) -> EndpointInfo:
    """size availability group launched type executor zone"""
    return EndpointInfo(
        name=f[5],
        state=STATES[f[1]],
        zone=number(f, 6),
        kind=number(f, 4),
        group=number(f, 2),
        started_at=number(f, 3),
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
                request_id=int(f[1]),
                class_index=int(f[5]),
                deadline=int(f[7]),
                tenant=number(f, 8),
                table_group=real(f, 4),
                key=word(f, 3),
                estimated_work=cost,
                memory_mb=real(f, 9) or 0.0,
                is_retry=bool(options & 2),
            )
        case "completed":
            note = number(f, 7)
            told = tells_cost and note > 0 and f[3] == "pass"
            return AttemptOutcome(
                request_id=int(f[1]),
                final=f[2] == "1",
                code=CODES[f[3]],
                duration=number(f, 4),
                attempt_number=int(f[5]),
                endpoint=f[6],
                work=note // 4096 * 1_000_000 if told else None,
                memory_mb=note % 4096 * 4.0 if told else None,
                load_report=report(f, 8),
            )
        case "heartbeat":
            return ProgressNote(int(f[1]), int(f[2]), f[3], NOTES[int(f[4])], float(f[5]))
        case "under_way":
            return AttemptStarted(int(f[1]), int(f[3]), f[2])
        case "abandoned":
            return RequestAbandoned(int(f[1]))
        case "timeout_fired":
            return TimerFired(int(f[1]))
        case "probed":
            return HealthCheckResult(f[1], f[2] == "pass", number(f, 3), report(f, 4))
        case "message":
            return GossipMessage(
                int(f[1]), base64.b64decode(word(f, 2) or "", validate=True).decode("latin-1")
            )
    raise SettingsError("unknown event")


def line_of(instance: int, action: Action) -> str:
    match action:
        case Forward(xid, engine, within):
            return f"place {instance} {xid} {within} {engine}"
        case Reject(xid, wait):
            return f"busy {instance} {xid} {wait}"
        case Fail(xid):
            return f"end_failed {instance} {xid}"
        case Cancel(xid, copy):
            return f"retract {instance} {xid} {copy}"
        case SetTerms(xid, memory, priority):
            return f"assign_terms {instance} {xid} {memory:g} {priority}"
        case SetTimer(wait, context):
            return f"timer {instance} {wait} {context}"
        case HealthCheck(engine):
            return f"ping {instance} {engine}"
        case WatchEndpoints(on):
            return f"listen {instance} {int(on)}"
        case FetchEndpoints():
            return f"fetch {instance}"
        case SendGossip(data, peer):
            to = "all" if peer is None else peer
            return f"post {instance} {to} {base64.b64encode(data.encode()).decode()}"
        case Log(text):
            return f"debug {instance} {text}"


class Drill:
    def __init__(self) -> None:
        self.now = 0
        self.gateways: dict[int, tuple[Scheduler, bool]] = {}
        self.sheets: dict[int, tuple[EndpointInfo, ...]] = {}
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
            raise SettingsError(f"{self.missing} entry lines are missing")
        if name == "sync":
            if self.open:
                raise SettingsError("a batch is open already")
            self.now, self.open = int(f[0]), True
            return None
        if not self.open:
            raise SettingsError("no batch is open")
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
                raise SettingsError("entry outside a table")
            self.sheets[self.sheet] += (entry_of(f),)
            self.missing -= 1
        else:
            self.event(name, f)
        return None

    def event(self, name: str, f: list[str]) -> None:
        instance = int(f[0])
        if name == "configure":
            self.batch.pop(instance, None)
            settings = parse_settings([part for part in f[2:] if part])
            try:
                self.gateways[instance] = Scheduler(settings, int(f[1])), settings.reports_cost
            except ValueError as bad:
                raise SettingsError(str(bad)) from None
            return
        if instance not in self.gateways:
            raise SettingsError(f"instance {instance} was never configured")
        if name == "killed":
            self.batch.pop(instance, None)
            del self.gateways[instance]
            return
        event: Event
        if name == "targets":
            scope = SCOPES[f[1]]
            event = EndpointUpdate(
                scope, () if scope is EndpointUpdateKind.FAILED else self.sheets[int(f[3])]
            )
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
        except SettingsError as bad:
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
