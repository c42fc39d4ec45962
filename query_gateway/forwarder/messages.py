"""What servers and engine clients exchange with the forwarder: small typed values, free of any wire.

Times are clock times in nanoseconds, durations are nanoseconds unless a name has another unit.

Events of an engine client go up through `AttemptHandle`, commands go down through `EngineClient`; results and
the answer go up to the `Client`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.events import Event, OutcomeCode, ProgressKind
from query_gateway.model.units import MS

Notify = Callable[[Event], None]


class Timer(Protocol):
    """A pending call that can be cancelled."""

    def cancel(self) -> None:
        """Do not make the call; without effect once it was made."""


CallAt = Callable[[int, Callable[[], None]], Timer]  # schedules a call at a clock time


class Verdict(Enum):
    """How a request ended for its client; the value is the word of the log."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class EarlyRejection(Enum):
    """Why a request was rejected without a planner; the value stands in the trace and the figures."""

    LOOP_LAG = "loop-lag"  # the event loop is late
    DRAINING = "draining"
    STOPPING = "stopping"  # the process is about to end
    CONNECTION_LIMIT = "connection-limit"  # its connection came beyond the limit
    NO_PARSER = "no-parser"  # its statement could not be parsed in time
    STATEMENT_LIMIT = "statement-limit"  # as many statements of its shape run as may
    REQUEST_LIMIT = "request-limit"  # as many requests are open as may be
    NO_PLANNER = "no-planner"  # its planner is not connected
    PREDECESSOR_SERVES = "predecessor-serves"  # it has a key, and a process before this one orders these


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What the servers know of a request class: its number in the settings, what its requests must bring."""

    index: int
    needs_idempotency_key: bool
    ordered_by_key: bool


RequestClasses = dict[str, RequestClass]  # by name


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One request of a client, as any server decodes it; a client's retry is a request of its own."""

    client_request_id: str  # the client's id for this request, passed on unchanged
    class_index: int
    class_name: str
    statement: bytes
    deadline: int  # clock time: when the answer must have left, the way back to the client taken off
    is_retry: bool
    key: str | None  # requests of one key run one after the other
    idempotency_key: str | None
    estimated_work: int | None  # processor time in nanoseconds over all threads
    estimated_memory_mb: float
    table_group: float | None
    received_at: int = 0  # clock time when it had come, as exactly as is known: requests of a key go by it
    is_update: bool = False  # a statement without a result, on a wire that distinguishes these
    fingerprint: bytes = b""  # of the parsed statement; empty: not parsed, so nothing is learned from it


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    pages: tuple[bytes, ...] = ()  # of a served result that was not passed on page by page
    retry_after_ns: int = 0  # with a rejection: how long the client keeps away; 0: not at all

    @property
    def retry_after_ms(self) -> int:
        """The same in milliseconds, rounded up, as the fronts send it."""
        return -(-self.retry_after_ns // MS)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An engine on the endpoint list with its address on each wire that it speaks, by the wire's name."""

    info: EndpointInfo
    addresses: dict[str, str]


class Client(Protocol):
    """The client's side of an exchange: gets result pages, where these are streamed, and one answer."""

    def has_left(self) -> bool:
        """Whether the client has closed or cancelled, as far as the machine knows just now."""

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None:
        """Send one page; `on_sent` is called when it has left, so that the engine may send more."""

    def send_answer(self, answer: Answer) -> None:
        """Send the final answer; called once at most, and nothing is sent after it."""


class AttemptHandle(Protocol):
    """What an engine client sees of an attempt, and reports about it."""

    endpoint: str
    sent_at: int
    memory_mb: float
    priority: int

    @property
    def request(self) -> ClientRequest:
        """The request that the attempt runs."""

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended; an ended one changes nothing by what is reported."""

    def may_be_written(self) -> bool:
        """Whether the request may leave now; must be called just before its first byte leaves.

        If not, the caller ends the attempt as not sent, unless it has ended.
        """

    def on_written(self) -> None:
        """The request has left for the engine to its last byte."""

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        """The engine sent a progress note."""

    def on_page(self, data: bytes, on_sent: Callable[[], None] = ...) -> None:
        """One page of the result has come; `on_sent` is called when it has left for the client."""

    def on_executed(self) -> None:
        """The engine has finished the work; what follows is the transfer of the result."""

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        """The work and the memory that the engine itself reports; 0: not reported."""

    def on_ended(self, code: OutcomeCode) -> None:
        """The attempt has ended; a second end is ignored."""


class QueryObserver(Protocol):
    """Notified of what happens to requests whose statement has a fingerprint; it decides nothing here."""

    def on_accepted(self, request: ClientRequest) -> None:
        """The request is open from here on."""

    def on_settled(self, request: ClientRequest) -> None:
        """The request is answered and no attempt of it is in flight; called once for each accepted one."""

    def on_spilled(self, request: ClientRequest, now: int) -> None:
        """The engine reported that the statement spills to disk."""

    def on_attempt_ended(  # noqa: PLR0913, PLR0917 - six plain values, passed on as they are in one place
        self, request: ClientRequest, endpoint: str, code: OutcomeCode, work_ns: int, used_mb: float, now: int
    ) -> None:
        """An attempt has ended; `work_ns` over all threads, `used_mb` 0 where the engine reports none."""


class EngineClient(Protocol):
    """The engine side: starts, cancels and re-prioritizes attempts on one wire."""

    def start(self, attempt: AttemptHandle) -> None:
        """Send the attempt to its endpoint; its end is reported to it, at once if it cannot be sent."""

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Whether nothing of the attempt had left, so that it surely never ran; then nothing will leave."""

    def cancel(self, attempt: AttemptHandle) -> None:
        """Stop the attempt at the engine; its end is not reported for that."""

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Pass the attempt's new priority on to the engine."""

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Take in the endpoint list: a snapshot replaces what is known, else these entries have changed."""
