"""Adapter between the simulator's line protocol and the `Scheduler` of each simulated gateway instance.

The simulator sends events in batches that start with a `sync` line and finish with an `end` line. The reply
to a batch consists of a line for each action of the schedulers, and `ok`.
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

# Values in the line protocol
OUTCOME_CODES = {
    "pass": OutcomeCode.OK,
    "fault": OutcomeCode.ERROR,
    "no_room": OutcomeCode.FULL,
    "too_slow": OutcomeCode.TIMEOUT,
    "no_route": OutcomeCode.CONNECT_FAILED,
    "cut": OutcomeCode.RESET,
    "undone": OutcomeCode.CANCELLED,
    "stale_send": OutcomeCode.NOT_SENT,
}
ENDPOINT_STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
ENDPOINT_UPDATE_KINDS = {
    "update": EndpointUpdateKind.DELTA,
    "replace": EndpointUpdateKind.SNAPSHOT,
    "restored": EndpointUpdateKind.CACHED,
    "unavailable": EndpointUpdateKind.FAILED,
}
PROGRESS_KINDS = {1: ProgressKind.PROGRESS, 2: ProgressKind.SPILLING, 3: ProgressKind.WAITING}
HAS_ESTIMATE, IS_RETRY = 1, 2  # flags in the options field of an arrival
# A completion encodes its cost as one integer: the work in ms times 4096, plus the memory in units of 4 MB
COST_MEMORY_UNITS, COST_MEMORY_UNIT_MB, COST_WORK_UNIT_NS = 4096, 4.0, 1_000_000
MAX_QUOTED_CHARACTERS = 200  # of a malformed line, in the error message


class AdapterError(ValueError):
    """A line that violates the protocol; the message gives the reason."""


def decode_endpoint(fields: list[str]) -> EndpointInfo:
    """Decode the fields of an endpoint: size, state, group, start time, kind, name and zone."""
    return EndpointInfo(
        name=fields[5],
        state=ENDPOINT_STATES[fields[1]],
        zone=integer_or_zero(fields, 6),
        kind=integer_or_zero(fields, 4),
        group=integer_or_zero(fields, 2),
        started_at=integer_or_zero(fields, 3),
        size=1.0 if fields[0] == "-" else float(fields[0]),
    )


def integer_or_zero(fields: list[str], index: int) -> int:
    """Decode an integer; 0 if the field is marked as absent (`-`) or omitted at the end of the line."""
    return int(fields[index]) if len(fields) > index and fields[index] != "-" else 0


def optional_float(fields: list[str], index: int) -> float | None:
    """Decode a number; None if the field is marked as absent or omitted."""
    return float(fields[index]) if len(fields) > index and fields[index] != "-" else None


def optional_string(fields: list[str], index: int) -> str | None:
    """Return the field as a string; None if it is marked as absent or omitted."""
    return fields[index] if len(fields) > index and fields[index] != "-" else None


def decode_load_report(fields: list[str], index: int) -> tuple[float, ...]:
    """Decode a load report: numbers separated by commas; an empty tuple if the field is absent."""
    text = optional_string(fields, index)
    return tuple(float(part) for part in text.split(",")) if text else ()


def _decode_arrival(fields: list[str], _: bool) -> Event:
    options = integer_or_zero(fields, 6)
    has_estimate = options & HAS_ESTIMATE and optional_string(fields, 2)
    return Request(
        request_id=int(fields[1]),
        class_index=int(fields[5]),
        deadline=int(fields[7]),
        tenant=integer_or_zero(fields, 8),
        table_group=optional_float(fields, 4),
        key=optional_string(fields, 3),
        estimated_work=integer_or_zero(fields, 2) if has_estimate else None,
        estimated_memory_mb=optional_float(fields, 9) or 0.0,
        is_retry=bool(options & IS_RETRY),
    )


def _decode_completion(fields: list[str], reports_cost: bool) -> Event:
    cost = integer_or_zero(fields, 7)
    has_cost = reports_cost and cost > 0 and fields[3] == "pass"
    return AttemptOutcome(
        request_id=int(fields[1]),
        final=fields[2] == "1",
        code=OUTCOME_CODES[fields[3]],
        duration=integer_or_zero(fields, 4),
        attempt_number=int(fields[5]),
        endpoint=fields[6],
        work=cost // COST_MEMORY_UNITS * COST_WORK_UNIT_NS if has_cost else None,
        memory_mb=cost % COST_MEMORY_UNITS * COST_MEMORY_UNIT_MB if has_cost else None,
        load_report=decode_load_report(fields, 8),
    )


def _decode_progress_note(fields: list[str], _: bool) -> Event:
    kind = PROGRESS_KINDS[int(fields[4])]
    return ProgressNote(int(fields[1]), int(fields[2]), fields[3], kind, float(fields[5]))


def _decode_attempt_start(fields: list[str], _: bool) -> Event:
    return AttemptStarted(int(fields[1]), int(fields[3]), fields[2])


def _decode_abandonment(fields: list[str], _: bool) -> Event:
    return RequestAbandoned(int(fields[1]))


def _decode_timer(fields: list[str], _: bool) -> Event:
    return TimerFired(int(fields[1]))


def _decode_health_check(fields: list[str], _: bool) -> Event:
    return HealthCheckResult(
        fields[1], fields[2] == "pass", integer_or_zero(fields, 3), decode_load_report(fields, 4)
    )


def _decode_gossip(fields: list[str], _: bool) -> Event:
    data = base64.b64decode(optional_string(fields, 2) or "", validate=True)
    return GossipMessage(int(fields[1]), data.decode("latin-1"))


# The decoder of an event line, by the keyword that starts the line. Its arguments are the fields after the
# keyword, and whether the site reports costs.
EVENT_DECODERS: dict[str, Callable[[list[str], bool], Event]] = {
    "arrival": _decode_arrival,
    "completed": _decode_completion,
    "heartbeat": _decode_progress_note,
    "under_way": _decode_attempt_start,
    "abandoned": _decode_abandonment,
    "timeout_fired": _decode_timer,
    "probed": _decode_health_check,
    "message": _decode_gossip,
}


def decode_event(keyword: str, fields: list[str], reports_cost: bool) -> Event:
    """Decode an event line according to its keyword. Raises AdapterError if the keyword is unknown."""
    decoder = EVENT_DECODERS.get(keyword)
    if decoder is None:
        raise AdapterError("unknown event")
    return decoder(fields, reports_cost)


def _encode_gossip(instance_number: int, action: SendGossip) -> str:
    receiver = "all" if action.peer is None else action.peer
    return f"post {instance_number} {receiver} {base64.b64encode(action.data.encode()).decode()}"


def _encode_terms(instance_number: int, action: SetTerms) -> str:
    return f"assign_terms {instance_number} {action.request_id} {action.memory_mb:g} {action.priority}"


# The encoder of an action, by the type of the action. Its arguments are the instance number and the action.
ACTION_ENCODERS: dict[type[Action], Callable[[int, Any], str]] = {
    Forward: lambda instance_number, action: (
        f"place {instance_number} {action.request_id} {action.timeout} {action.endpoint}"
    ),
    Reject: lambda instance_number, action: (
        f"busy {instance_number} {action.request_id} {action.retry_after}"
    ),
    Fail: lambda instance_number, action: f"end_failed {instance_number} {action.request_id}",
    Cancel: lambda instance_number, action: (
        f"retract {instance_number} {action.request_id} {action.attempt_number}"
    ),
    SetTerms: _encode_terms,
    SetTimer: lambda instance_number, action: f"timer {instance_number} {action.delay} {action.context}",
    HealthCheck: lambda instance_number, action: f"ping {instance_number} {action.endpoint}",
    WatchEndpoints: lambda instance_number, action: f"listen {instance_number} {int(action.enabled)}",
    FetchEndpoints: lambda instance_number, action: f"fetch {instance_number}",
    SendGossip: _encode_gossip,
    Log: lambda instance_number, action: f"debug {instance_number} {action.text}",
}


def encode_action(instance_number: int, action: Action) -> str:
    """Encode an action as a line of the reply."""
    return ACTION_ENCODERS[type(action)](instance_number, action)


class Instance:
    """A gateway instance of the simulator: its scheduler, and whether its site reports costs."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the scheduler; raises ValueError if the settings are inconsistent."""
        self.scheduler = Scheduler(settings, seed)
        self.reports_cost = settings.reports_cost


class Adapter:
    """A session with the simulator: accepts lines and returns replies; owns a scheduler for each instance."""

    def __init__(self) -> None:
        """Start without instances, endpoint tables or an open batch."""
        self.now = 0
        self.instances: dict[int, Instance] = {}
        self.tables: dict[int, tuple[EndpointInfo, ...]] = {}
        self.open_table = -1
        self.missing_entries = 0
        self.batch: dict[int, list[Event]] = {}
        self.batch_is_open = False

    def handle_line(self, line: str) -> list[str] | None:
        """Process a line; returns the lines of the reply if it ends a batch, else None.

        Raises AdapterError, SettingsError, ValueError, IndexError or KeyError for a malformed line.
        """
        keyword, *fields = line.split(" ")
        if self.missing_entries and keyword != "entry":
            raise AdapterError(f"{self.missing_entries} entry lines are missing")
        if keyword == "sync":
            self._open_batch(fields)
        elif not self.batch_is_open:
            raise AdapterError("no batch is open")
        elif keyword == "end":
            return self._close_batch()
        elif keyword == "table":
            self.open_table, self.missing_entries = int(fields[0]), int(fields[1])
            self.tables[self.open_table] = ()
        elif keyword == "entry":
            self._add_entry(fields)
        else:
            self._handle_event(keyword, int(fields[0]), fields)
        return None

    def _open_batch(self, fields: list[str]) -> None:
        if self.batch_is_open:
            raise AdapterError("a batch is already open")
        self.now, self.batch_is_open = int(fields[0]), True

    def _close_batch(self) -> list[str]:
        reply: list[str] = []
        for instance_number, events in self.batch.items():
            actions = self.instances[instance_number].scheduler.handle(self.now, events)
            reply.extend(encode_action(instance_number, action) for action in actions)
        self.batch, self.batch_is_open = {}, False
        return [*reply, "ok"]

    def _add_entry(self, fields: list[str]) -> None:
        if not self.missing_entries:
            raise AdapterError("entry line outside a table")
        self.tables[self.open_table] += (decode_endpoint(fields),)
        self.missing_entries -= 1

    def _handle_event(self, keyword: str, instance_number: int, fields: list[str]) -> None:
        if keyword == "configure":
            self._configure(instance_number, fields)
        elif instance_number not in self.instances:
            raise AdapterError(f"instance {instance_number} is not configured")
        elif keyword == "killed":
            self.batch.pop(instance_number, None)
            del self.instances[instance_number]
        else:
            self.batch.setdefault(instance_number, []).append(self._decode(keyword, instance_number, fields))

    def _configure(self, instance_number: int, fields: list[str]) -> None:
        self.batch.pop(instance_number, None)
        settings = parse_settings([part for part in fields[2:] if part])
        try:
            self.instances[instance_number] = Instance(settings, int(fields[1]))
        except ValueError as error:
            raise AdapterError(str(error)) from None

    def _decode(self, keyword: str, instance_number: int, fields: list[str]) -> Event:
        if keyword != "targets":
            return decode_event(keyword, fields, self.instances[instance_number].reports_cost)
        kind = ENDPOINT_UPDATE_KINDS[fields[1]]
        failed = kind is EndpointUpdateKind.FAILED
        return EndpointUpdate(kind, () if failed else self.tables[int(fields[3])])


def run(input_stream: TextIO, output_stream: TextIO, error_stream: TextIO) -> int:
    """Run a session until the end of the input; returns the exit code.

    The code is 0, or 2 after a malformed line, which is reported on `error_stream`.
    """
    adapter = Adapter()
    for line_number, raw in enumerate(input_stream, 1):
        line = raw.rstrip("\n")
        if not line:
            continue
        try:
            reply = adapter.handle_line(line)
        except (SettingsError, AdapterError) as error:
            message = str(error)
        except (ValueError, IndexError, KeyError) as error:
            message = f"missing or malformed field ({error})"
        else:
            if reply is not None:
                output_stream.write("\n".join(reply) + "\n")
                output_stream.flush()
            continue
        print(f"line {line_number}: {message}: {line[:MAX_QUOTED_CHARACTERS]}", file=error_stream)
        return 2
    return 0


def main() -> None:
    """Run a session on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
