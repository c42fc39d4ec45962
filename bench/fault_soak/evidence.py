"""The observations of a run, indexed for the oracle's checks, and the spans in which they are unreliable."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from bench.fault_soak.records import (
    ClientRecord,
    EngineChange,
    EngineEvent,
    EngineEventKind,
    Observations,
    OutageKind,
)
from bench.fault_soak.settings import NOTIFICATION_DEADLINE_S

NEVER_RAN_OUTCOMES = ("refused", "stale")
STALL_MARGIN_S = 0.5  # by which a stall of the soak's own process is extended at both ends
UNREAD_MARGIN_S = 0.5  # by which a span in which requests may wait unread is extended at its end
KILL_MARGIN_BEFORE_S, KILL_MARGIN_AFTER_S = 0.05, 0.2
IDLE_CLIENTS_MARGIN_S = 0.5  # after idle clients leave, until the gateway has closed their connections
ASSUMED_OPEN_S = 4.0  # how long a request without a recorded end counts as open


@dataclass(slots=True)
class Attempt:
    """One execution of a request at an engine, as observed from outside."""

    request: EngineEvent
    ended_at: float
    outcome: str = ""  # as the engine answered; empty if it was cancelled or its connection ended
    interrupted: bool = False

    @property
    def never_ran(self) -> bool:
        """Whether the engine answered that it did not run the request."""
        return self.outcome in NEVER_RAN_OUTCOMES


@dataclass(frozen=True, slots=True)
class ClientAttempt:
    """An attempt and the client's record of its request."""

    client: ClientRecord
    attempt: Attempt


class Evidence:
    """The observations of one run, with the attempts of each request ordered by their start."""

    def __init__(self, observations: Observations) -> None:
        """Index the observations by request."""
        self.observations = observations
        self.clients = {record.client_request_id: record for record in observations.clients}
        self.attempts = self._collect_attempts()

    def _collect_attempts(self) -> dict[str, list[Attempt]]:
        attempts: dict[str, list[Attempt]] = defaultdict(list)
        for event in sorted(self.observations.engine_events, key=lambda event: event.observed_at):
            if event.kind is not EngineEventKind.REQUEST:
                self._end_attempts(attempts[event.client_request_id], event)
            elif not self.is_unread(event.engine, event.observed_at):
                attempts[event.client_request_id].append(Attempt(event, float("inf")))
        return attempts

    @staticmethod
    def _end_attempts(attempts: list[Attempt], event: EngineEvent) -> None:
        for attempt in attempts:
            if attempt.request.engine == event.engine and attempt.ended_at == float("inf"):
                attempt.ended_at, attempt.outcome = event.observed_at, event.outcome
                attempt.interrupted = event.kind is not EngineEventKind.END

    def client_attempts(self) -> Iterator[ClientAttempt]:
        """Every attempt whose request was sent by a client of the run."""
        for client_request_id, attempts in self.attempts.items():
            if record := self.clients.get(client_request_id):
                for attempt in attempts:
                    yield ClientAttempt(record, attempt)

    def is_in_driver_stall(self, at: float) -> bool:
        """Whether the soak's own process was stalled around this time, so that observations prove nothing."""
        return any(
            stall.began_at - STALL_MARGIN_S <= at <= stall.ended_at + STALL_MARGIN_S
            for stall in self.observations.driver_stalls
        )

    def is_filled_by_idle_clients(self, gateway: str, at: float) -> bool:
        """Whether idle clients occupied a gateway's connections around a time."""
        return any(
            span.gateway == gateway and span.began_at <= at <= span.ended_at + IDLE_CLIENTS_MARGIN_S
            for span in self.observations.idle_client_spans
        )

    def driver_delay(self, began_at: float, ended_at: float) -> float:
        """The longest delay of the soak's own process that overlaps the span, in seconds."""
        delays = (
            delay.ended_at - delay.began_at
            for delay in self.observations.driver_delays
            if delay.began_at <= ended_at and delay.ended_at >= began_at
        )
        return max(delays, default=0.0)

    def is_unread(self, engine: str, at: float) -> bool:
        """Whether an event observed at this time may have arrived earlier and waited in kernel buffers."""
        return any(
            span.engine == engine and span.began_at <= at <= span.ended_at + UNREAD_MARGIN_S
            for span in self.observations.unread_spans
        )

    def was_open_at_kill(self, record: ClientRecord) -> bool:
        """Whether the gateway was killed without a grace period while the request was open.

        A gateway that got SIGTERM first has time to answer all accepted requests before SIGKILL, so
        such a stop does not count.
        """
        until = record.ended_at or record.sent_at + ASSUMED_OPEN_S
        return any(
            outage.gateway == record.gateway
            and outage.kind is OutageKind.KILLED
            and record.sent_at <= outage.killed_at + KILL_MARGIN_AFTER_S
            and until >= outage.began_at - KILL_MARGIN_BEFORE_S
            for outage in self.observations.outages
        )

    def overlaps_outage(self, gateway: str, began_at: float, ended_at: float) -> bool:
        """Whether an outage of the gateway overlaps the span."""
        return any(
            outage.gateway == gateway and began_at <= outage.ready_at and ended_at >= outage.began_at
            for outage in self.observations.outages
        )

    def notified_at(self, change: EngineChange, gateway: str, at: float) -> float:
        """When a gateway knew of a change: once notified, or `NOTIFICATION_DEADLINE_S` after it if earlier.

        If a successor has started by the time `at`, it may be the process that acts then, so the first of
        `EngineChange.notified_again_at` after its start counts, if there is one.
        """
        first_at = change.notified_at.get(gateway, float("inf"))
        for start in self.observations.successor_starts:
            if start.gateway == gateway and start.started_at <= at:
                later = (t for t in change.notified_again_at.get(gateway, []) if t > start.started_at)
                first_at = max(first_at, min(later, default=first_at))
        return min(first_at, change.changed_at + NOTIFICATION_DEADLINE_S)

    def next_change_at(self, change: EngineChange) -> float:
        """The time of the engine's next change; infinite if there is none."""
        later = (
            other.changed_at
            for other in self.observations.changes
            if other.engine == change.engine and other.changed_at > change.changed_at
        )
        return min(later, default=float("inf"))
