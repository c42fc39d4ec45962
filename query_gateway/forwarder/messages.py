"""The types that servers and engine clients exchange with the forwarder, independent of any wire format.

Times are clock times in nanoseconds, and durations are in nanoseconds unless the name has another unit.

An engine client reports events through `AttemptHandle` and receives commands through `EngineClient`. Result
pages and the answer are sent to the `Client`. A wire is an engine protocol, denoted by its name.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.events import Event, OutcomeCode, ProgressKind
from query_gateway.model.settings import ClassSettings, Idempotency
from query_gateway.model.units import MS

Notify = Callable[[Event], None]


class Timer(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; no effect once it has been made."""


CallAt = Callable[[int, Callable[[], None]], Timer]  # schedules a call at a clock time


class Verdict(Enum):
    """How a request ended for its client; the values appear in the log."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class EarlyRejection(Enum):
    """Why a request was rejected without asking a planner.

    The values appear in the request trace and in the figures of the admin server.
    """

    LOOP_LAG = "loop-lag"  # the event loop is running late
    DRAINING = "draining"  # the process has been draining for `DRAIN_REJECT_AFTER_S`
    STOPPING = "stopping"  # the process is about to exit
    CONNECTION_LIMIT = "connection-limit"  # its connection exceeds the connection limit
    NO_PARSER = "no-parser"  # its statement could not be parsed in time
    SCAN_TIMEOUT = "scan-timeout"  # its statement could not be scanned for its table group in time
    MEMORY_LIMIT = "memory-limit"  # the memory for what clients send was not free in time
    STATEMENT_LIMIT = "statement-limit"  # the limit of running statements of its shape is reached
    REQUEST_LIMIT = "request-limit"  # the limit of open exchanges is reached
    NO_PLANNER = "no-planner"  # its planner is not connected
    PREDECESSOR_SERVES = "predecessor-serves"  # it has a key, and the predecessor still orders such requests


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A request class under one configuration; a reload replaces it by another one of the same name."""

    index: int  # the class number: the position of the class in `Settings.classes`
    settings: ClassSettings

    @property
    def needs_idempotency_key(self) -> bool:
        """Whether engines recognize a repeat of a request by its idempotency key."""
        return self.settings.idempotency is Idempotency.KEYED

    @property
    def ordered_by_key(self) -> bool:
        """Whether requests with the same ordering key run one at a time."""
        return self.settings.ordered_by_key

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.settings.idempotency is Idempotency.IDEMPOTENT


RequestClasses = dict[str, RequestClass]  # by name; replaced as a whole, never changed


def idempotent_class_names(classes: RequestClasses) -> frozenset[str]:
    """The names of the classes whose requests may run more than once."""
    return frozenset(name for name, request_class in classes.items() if request_class.is_idempotent)


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One client request in the form common to all servers; a client's retry is a separate request."""

    client_request_id: str  # the client's id for this request, forwarded unchanged
    class_index: int
    class_name: str
    statement: bytes
    deadline: int  # clock time by which the answer must be sent; leaves time for the transfer to the client
    is_retry: bool
    key: str | None  # requests with the same key run one at a time
    idempotency_key: str | None
    estimated_work: int | None  # processor time in nanoseconds over all threads
    estimated_memory_mb: float
    table_group: float | None
    # Those in force when the first byte of the request arrived; a reload does not change them
    class_settings: ClassSettings
    received_at: int = 0  # clock time of arrival, as exactly as is known; orders the requests of a key
    is_update: bool = False  # a statement without a result; always False on wires without this distinction
    fingerprint: bytes = b""  # of the parsed statement; empty: not parsed, and not used for learned state
    # Whether the client can repeat the idempotency key in a retry; False: the gateway made it up
    client_has_key: bool = True


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    verdict: Verdict
    pages: tuple[bytes, ...] = ()  # the result of a served request, unless it was streamed
    retry_after_ns: int = 0  # for a rejection: how long the client should wait before a retry; 0: no wait

    @property
    def retry_after_ms(self) -> int:
        """`retry_after_ns` in milliseconds, rounded up, as the fronts send it."""
        return -(-self.retry_after_ns // MS)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An engine on the endpoint list, with its address on each wire that it supports, by name of the wire."""

    info: EndpointInfo
    addresses: dict[str, str]


class Client(Protocol):
    """The client side of an exchange: receives streamed result pages, if any, and one answer."""

    def has_left(self) -> bool:
        """Whether the client has disconnected or cancelled, as far as the kernel knows at this moment."""

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None:
        """Send one page; `on_sent` is called when it has been sent, for flow control of the engine."""

    def send_answer(self, answer: Answer) -> None:
        """Send the final answer; called at most once, after which nothing else is sent."""


class AttemptHandle(Protocol):
    """The interface of an attempt to its engine client, which reports events to it."""

    endpoint: str
    sent_at: int
    memory_mb: float
    priority: int

    @property
    def request(self) -> ClientRequest:
        """The client request that the attempt sends to its engine."""

    @property
    def in_flight(self) -> bool:
        """Whether the attempt has not ended; reports after its end do not change its outcome."""

    def may_be_written(self) -> bool:
        """Whether the request may be written now; must be called right before its first byte is sent.

        If it may not, the caller ends the attempt as not sent, unless the attempt has already ended.
        """

    def on_written(self) -> None:
        """The last byte of the request has been written to the engine."""

    def on_progress(self, kind: ProgressKind, level: float) -> None:
        """The engine has sent a progress note."""

    def on_page(self, data: bytes, on_sent: Callable[[], None] = ...) -> None:
        """A result page has arrived; `on_sent` is called when the page has been sent to the client."""

    def on_executed(self) -> None:
        """The engine has finished executing; only the transfer of the result remains."""

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        """The engine has reported its work and memory use; 0: not reported."""

    def on_ended(self, code: OutcomeCode) -> None:
        """The attempt has ended; calls after the first one are ignored."""


class QueryObserver(Protocol):
    """Observes requests whose statement has a fingerprint; has no influence on their exchanges."""

    def on_accepted(self, request: ClientRequest) -> None:
        """The request has been accepted and is open."""

    def on_settled(self, request: ClientRequest) -> None:
        """The request is answered and has no attempt in flight; called once per accepted request."""

    def on_spilled(self, request: ClientRequest, now: int) -> None:
        """The engine has reported that the statement spills to disk."""

    def on_attempt_ended(  # noqa: PLR0913, PLR0917 - six plain values, passed by a single caller
        self, request: ClientRequest, endpoint: str, code: OutcomeCode, work_ns: int, used_mb: float, now: int
    ) -> None:
        """An attempt has ended.

        `work_ns`: processor time over all threads as reported by the engine, else run time times threads.
        `used_mb`: memory use that the engine reported; 0: not reported.
        """


class EngineClient(Protocol):
    """Starts, cancels and re-prioritizes attempts on one wire."""

    def start(self, attempt: AttemptHandle) -> None:
        """Send the attempt to its endpoint; call `on_ended` when it ends, or at once if it cannot be sent."""

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Prevent the attempt from being sent; False if some of it was sent, so that it may have run."""

    def cancel(self, attempt: AttemptHandle) -> None:
        """Cancel the attempt at the engine, without calling its `on_ended`."""

    def set_priority(self, attempt: AttemptHandle) -> None:
        """Send the attempt's new priority to the engine."""

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Update the endpoint list: a snapshot replaces it, a delta has only the changed entries."""
