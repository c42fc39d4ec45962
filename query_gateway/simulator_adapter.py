"""Line adapter between the simulator's wire and one `Scheduler` for each instance: parse, decide, format.

A batch of lines comes between `sync` and `end` and is answered by the lines of all actions and `ok`.
"""

import base64
import sys
from collections.abc import Callable
from typing import Any, TextIO

from query_gateway.configuration.errors import SettingsError
from query_gateway.configuration.settings_parser import parse_settings
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
from query_gateway.model.settings import Settings
from query_gateway.policy.scheduler import Scheduler

# The wire's words
OUTCOME_WORDS = {
    "pass": OutcomeCode.OK,
    "fault": OutcomeCode.ERROR,
    "no_room": OutcomeCode.FULL,
    "too_slow": OutcomeCode.TIMEOUT,
    "no_route": OutcomeCode.CONNECT_FAILED,
    "cut": OutcomeCode.RESET,
    "undone": OutcomeCode.CANCELLED,
    "stale_send": OutcomeCode.NOT_SENT,
}
STATE_LETTERS = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
UPDATE_WORDS = {
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.FAILED,
}
PROGRESS_NUMBERS = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILLING, 3: ProgressKind.WAITING}
HAS_ESTIMATE, IS_RETRY = 1, 2  # bits of an arrival's options
# The cost in a completion is one number: work in ms times 4096, plus memory in units of 4 MB
COST_MEMORY_UNITS, COST_MEMORY_UNIT_MB, COST_WORK_UNIT_NS = 4096, 4.0, 1_000_000
MAX_SHOWN = 200  # characters of a malformed line that are shown


class AdapterError(ValueError):
    """A line that cannot be used; the message says why."""


def decode_endpoint(fields: list[str]) -> EndpointInfo:
    """Decode an endpoint: size availability group launched type executor zone."""
    return EndpointInfo(
        name=fields[5],
        state=STATE_LETTERS[fields[1]],
        zone=integer(fields, 6),
        kind=integer(fields, 4),
        group=integer(fields, 2),
        started_at=integer(fields, 3),
        size=1.0 if fields[0] == "-" else float(fields[0]),
    )


def integer(fields: list[str], index: int) -> int:
    """An integer that may be marked absent or left off the end: 0 then."""
    return int(fields[index]) if len(fields) > index and fields[index] != "-" else 0


def optional_float(fields: list[str], index: int) -> float | None:
    """A number that may be absent in the same way."""
    return float(fields[index]) if len(fields) > index and fields[index] != "-" else None


def optional_word(fields: list[str], index: int) -> str | None:
    """A word that may be absent in the same way."""
    return fields[index] if len(fields) > index and fields[index] != "-" else None


def load_report(fields: list[str], index: int) -> tuple[float, ...]:
    """Numbers separated by commas; none if absent."""
    text = optional_word(fields, index)
    return tuple(float(part) for part in text.split(",")) if text else ()


def _arrival(fields: list[str], _: bool) -> Event:
    options = integer(fields, 6)
    has_estimate = options & HAS_ESTIMATE and optional_word(fields, 2)
    return Request(
        request_id=int(fields[1]),
        class_index=int(fields[5]),
        deadline=int(fields[7]),
        tenant=integer(fields, 8),
        table_group=optional_float(fields, 4),
        key=optional_word(fields, 3),
        estimated_work=integer(fields, 2) if has_estimate else None,
        estimated_memory_mb=optional_float(fields, 9) or 0.0,
        is_retry=bool(options & IS_RETRY),
    )


def _completed(fields: list[str], reports_cost: bool) -> Event:
    cost = integer(fields, 7)
    has_cost = reports_cost and cost > 0 and fields[3] == "pass"
    return AttemptOutcome(
        request_id=int(fields[1]),
        final=fields[2] == "1",
        code=OUTCOME_WORDS[fields[3]],
        duration=integer(fields, 4),
        attempt_number=int(fields[5]),
        endpoint=fields[6],
        work=cost // COST_MEMORY_UNITS * COST_WORK_UNIT_NS if has_cost else None,
        memory_mb=cost % COST_MEMORY_UNITS * COST_MEMORY_UNIT_MB if has_cost else None,
        load_report=load_report(fields, 8),
    )


def _heartbeat(fields: list[str], _: bool) -> Event:
    kind = PROGRESS_NUMBERS[int(fields[4])]
    return ProgressNote(int(fields[1]), int(fields[2]), fields[3], kind, float(fields[5]))


def _under_way(fields: list[str], _: bool) -> Event:
    return AttemptStarted(int(fields[1]), int(fields[3]), fields[2])


def _abandoned(fields: list[str], _: bool) -> Event:
    return RequestAbandoned(int(fields[1]))


def _timeout_fired(fields: list[str], _: bool) -> Event:
    return TimerFired(int(fields[1]))


def _probed(fields: list[str], _: bool) -> Event:
    return HealthCheckResult(fields[1], fields[2] == "pass", integer(fields, 3), load_report(fields, 4))


def _message(fields: list[str], _: bool) -> Event:
    data = base64.b64decode(optional_word(fields, 2) or "", validate=True)
    return GossipMessage(int(fields[1]), data.decode("latin-1"))


# By the first word of a line; each takes the other words and whether the site reports costs
EVENT_DECODERS: dict[str, Callable[[list[str], bool], Event]] = {
    "arrival": _arrival,
    "completed": _completed,
    "heartbeat": _heartbeat,
    "under_way": _under_way,
    "abandoned": _abandoned,
    "timeout_fired": _timeout_fired,
    "probed": _probed,
    "message": _message,
}


def decode_event(name: str, fields: list[str], reports_cost: bool) -> Event:
    """Decode an event line by its first word. Raises AdapterError if that is unknown."""
    decoder = EVENT_DECODERS.get(name)
    if decoder is None:
        raise AdapterError("unknown event")
    return decoder(fields, reports_cost)


def _encode_gossip(instance: int, action: SendGossip) -> str:
    receiver = "all" if action.peer is None else action.peer
    return f"post {instance} {receiver} {base64.b64encode(action.data.encode()).decode()}"


def _encode_terms(instance: int, action: SetTerms) -> str:
    return f"assign_terms {instance} {action.request_id} {action.memory_mb:g} {action.priority}"


# By the type of an action; each takes the number of the instance and the action
ACTION_ENCODERS: dict[type[Action], Callable[[int, Any], str]] = {
    Forward: lambda instance, action: (
        f"place {instance} {action.request_id} {action.timeout} {action.endpoint}"
    ),
    Reject: lambda instance, action: f"busy {instance} {action.request_id} {action.retry_after}",
    Fail: lambda instance, action: f"end_failed {instance} {action.request_id}",
    Cancel: lambda instance, action: f"retract {instance} {action.request_id} {action.attempt_number}",
    SetTerms: _encode_terms,
    SetTimer: lambda instance, action: f"timer {instance} {action.delay} {action.context}",
    HealthCheck: lambda instance, action: f"ping {instance} {action.endpoint}",
    WatchEndpoints: lambda instance, action: f"listen {instance} {int(action.enabled)}",
    FetchEndpoints: lambda instance, action: f"fetch {instance}",
    SendGossip: _encode_gossip,
    Log: lambda instance, action: f"debug {instance} {action.text}",
}


def encode_action(instance: int, action: Action) -> str:
    """The line of an action."""
    return ACTION_ENCODERS[type(action)](instance, action)


class Instance:
    """One gateway of the simulator: its scheduler, and whether its site reports costs."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Raises ValueError where the settings contradict themselves."""
        self.scheduler = Scheduler(settings, seed)
        self.reports_cost = settings.reports_cost


class Adapter:
    """The dialogue with the simulator: lines in, replies out; it holds one scheduler for each instance."""

    def __init__(self) -> None:
        """Begin with no instance, no endpoint table and no open batch."""
        self.now = 0
        self.instances: dict[int, Instance] = {}
        self.tables: dict[int, tuple[EndpointInfo, ...]] = {}
        self.open_table = -1
        self.missing_entries = 0
        self.batch: dict[int, list[Event]] = {}
        self.batch_is_open = False

    def take_line(self, line: str) -> list[str] | None:
        """Take one line; the lines of the reply at the end of a batch, else None.

        Raises AdapterError, SettingsError, ValueError, IndexError or KeyError for a malformed line.
        """
        name, *fields = line.split(" ")
        if self.missing_entries and name != "entry":
            raise AdapterError(f"{self.missing_entries} entry lines are missing")
        if name == "sync":
            self._open_batch(fields)
        elif not self.batch_is_open:
            raise AdapterError("no batch is open")
        elif name == "end":
            return self._close_batch()
        elif name == "table":
            self.open_table, self.missing_entries = int(fields[0]), int(fields[1])
            self.tables[self.open_table] = ()
        elif name == "entry":
            self._add_entry(fields)
        else:
            self._take_event(name, int(fields[0]), fields)
        return None

    def _open_batch(self, fields: list[str]) -> None:
        if self.batch_is_open:
            raise AdapterError("a batch is open already")
        self.now, self.batch_is_open = int(fields[0]), True

    def _close_batch(self) -> list[str]:
        reply: list[str] = []
        for number, events in self.batch.items():
            actions = self.instances[number].scheduler.handle(self.now, events)
            reply.extend(encode_action(number, action) for action in actions)
        self.batch, self.batch_is_open = {}, False
        return [*reply, "ok"]

    def _add_entry(self, fields: list[str]) -> None:
        if not self.missing_entries:
            raise AdapterError("entry outside a table")
        self.tables[self.open_table] += (decode_endpoint(fields),)
        self.missing_entries -= 1

    def _take_event(self, name: str, number: int, fields: list[str]) -> None:
        if name == "configure":
            self._configure(number, fields)
        elif number not in self.instances:
            raise AdapterError(f"instance {number} was never configured")
        elif name == "killed":
            self.batch.pop(number, None)
            del self.instances[number]
        else:
            self.batch.setdefault(number, []).append(self._decode(name, number, fields))

    def _configure(self, number: int, fields: list[str]) -> None:
        self.batch.pop(number, None)
        settings = parse_settings([part for part in fields[2:] if part])
        try:
            self.instances[number] = Instance(settings, int(fields[1]))
        except ValueError as error:
            raise AdapterError(str(error)) from None

    def _decode(self, name: str, number: int, fields: list[str]) -> Event:
        if name != "targets":
            return decode_event(name, fields, self.instances[number].reports_cost)
        kind = UPDATE_WORDS[fields[1]]
        failed = kind is EndpointUpdateKind.FAILED
        return EndpointUpdate(kind, () if failed else self.tables[int(fields[3])])


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Hold the dialogue until the end of input: 0, or 2 after a malformed line, named in `errors`."""
    adapter = Adapter()
    for line_number, raw in enumerate(source, 1):
        line = raw.rstrip("\n")
        if not line:
            continue
        try:
            reply = adapter.take_line(line)
        except (SettingsError, AdapterError) as error:
            fault = str(error)
        except (ValueError, IndexError, KeyError) as error:
            fault = f"missing or malformed field ({error})"
        else:
            if reply is not None:
                sink.write("\n".join(reply) + "\n")
                sink.flush()
            continue
        print(f"line {line_number}: {fault}: {line[:MAX_SHOWN]}", file=errors)
        return 2
    return 0


def main() -> None:
    """Hold the dialogue on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
