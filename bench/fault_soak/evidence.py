"""The observations of a run, arranged for the oracle's checks, and the spans in which they prove nothing."""

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
STALL_MARGIN_S = 0.5  # around a stall of the soak's own process
UNREAD_MARGIN_S = 0.5  # after a span in which requests waited unread
KILL_MARGIN_BEFORE_S, KILL_MARGIN_AFTER_S = 0.05, 0.2
CROWD_MARGIN_S = 0.5  # until a crowd's connections have been closed on both sides
UNANSWERED_S = 4.0  # that a request without an end counts as open


@dataclass(slots=True)
class Attempt:
    """A request as it reached an engine, until its end."""

    request: EngineEvent
    ended_at: float
    outcome: str = ""  # of its end; empty: given up or broken
    given_up: bool = False

    @property
    def never_ran(self) -> bool:
        """Whether the engine has answered that it did not run the request."""
        return self.outcome in NEVER_RAN_OUTCOMES


@dataclass(frozen=True, slots=True)
class ClientAttempt:
    """An attempt with the client's record of its request."""

    client: ClientRecord
    attempt: Attempt


class Evidence:
    """The observations of one run, with the attempts of each request in order of their begin."""

    def __init__(self, observations: Observations) -> None:
        """Sort what was observed."""
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
                attempt.given_up = event.kind is not EngineEventKind.END

    def client_attempts(self) -> Iterator[ClientAttempt]:
        """Every attempt of a request that a client of the run has sent."""
        for client_request_id, attempts in self.attempts.items():
            if record := self.clients.get(client_request_id):
                for attempt in attempts:
                    yield ClientAttempt(record, attempt)

    def in_stall(self, at: float) -> bool:
        """Whether the soak's own process did not run around this time, so that nothing is proven."""
        return any(
            stall.began_at - STALL_MARGIN_S <= at <= stall.ended_at + STALL_MARGIN_S
            for stall in self.observations.driver_stalls
        )

    def is_crowded(self, gateway: str, at: float) -> bool:
        """Whether idle clients filled a gateway's connections around a time."""
        return any(
            crowd.gateway == gateway and crowd.began_at <= at <= crowd.ended_at + CROWD_MARGIN_S
            for crowd in self.observations.crowds
        )

    def driver_delay(self, began_at: float, ended_at: float) -> float:
        """For how long the soak's own process may not have looked within the span, at a time."""
        delays = (
            delay.ended_at - delay.began_at
            for delay in self.observations.driver_delays
            if delay.began_at <= ended_at and delay.ended_at >= began_at
        )
        return max(delays, default=0.0)

    def is_unread(self, engine: str, at: float) -> bool:
        """Whether what was observed then may have waited in the machine's buffers: its time is not known."""
        return any(
            span.engine == engine and span.began_at <= at <= span.ended_at + UNREAD_MARGIN_S
            for span in self.observations.unread_spans
        )

    def was_ended(self, record: ClientRecord) -> bool:
        """Whether the gateway was killed, with no time to answer, while the request was open.

        After SIGTERM a gateway has the time to answer all that it has taken before SIGKILL comes.
        """
        until = record.ended_at or record.sent_at + UNANSWERED_S
        return any(
            outage.gateway == record.gateway
            and outage.kind is OutageKind.KILLED
            and record.sent_at <= outage.killed_at + KILL_MARGIN_AFTER_S
            and until >= outage.began_at - KILL_MARGIN_BEFORE_S
            for outage in self.observations.outages
        )

    def crosses_outage(self, gateway: str, began_at: float, ended_at: float) -> bool:
        """Whether the gateway was away at any time within the span."""
        return any(
            outage.gateway == gateway and began_at <= outage.ready_at and ended_at >= outage.began_at
            for outage in self.observations.outages
        )

    def notified_at(self, change: EngineChange, gateway: str, at: float) -> float:
        """When the process of a gateway that acts at a time knew of a change, or counts as having known.

        From the start of a successor on it may be that one, whose own notification is the next after its
        start and after the first.
        """
        first_at = change.notified_at.get(gateway, float("inf"))
        for start in self.observations.successor_starts:
            if start.gateway == gateway and start.started_at <= at:
                later = (t for t in change.notified_again_at.get(gateway, []) if t > start.started_at)
                first_at = max(first_at, min(later, default=first_at))
        return min(first_at, change.changed_at + NOTIFICATION_DEADLINE_S)

    def next_change_at(self, change: EngineChange) -> float:
        """When the same engine changed next; infinite if it did not."""
        later = (
            other.changed_at
            for other in self.observations.changes
            if other.engine == change.engine and other.changed_at > change.changed_at
        )
        return min(later, default=float("inf"))
