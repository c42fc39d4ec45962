"""What the fronts and the engine clients exchange with the core: small typed values, free of any wire."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.events import OutcomeCode, ProgressKind


class Verdict(Enum):
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What the fronts know of a request class: its number in the settings, what its requests must bring."""

    index: int
    needs_idempotency_key: bool
    ordered_by_key: bool


RequestClasses = dict[str, RequestClass]  # by name


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One try of a client, as any front decodes it. Times are clock times in nanoseconds."""

    client_id: str  # the client's id for this try, passed on unchanged
    class_index: int
    class_name: str
    statement: bytes
    deadline: int  # when the answer must have left, the way back to the client taken off
    is_retry: bool
    key: str | None  # requests of one key run in turn
    idempotency_key: str | None
    estimated_work: int | None  # estimated work in nanoseconds on one core
    memory_mb: float
    table_group: float | None
    is_update: bool = False  # a statement without a result, on a wire that tells these apart
    shape: bytes = b""  # of the statement, where statements are read; empty: nobody learns from it


@dataclass(slots=True, frozen=True)
class Answer:
    verdict: Verdict
    pages: tuple[bytes, ...] = ()  # of a served result that was not passed on page by page
    retry_after_ns: int = 0  # with a refusal: when to come back


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An engine on the list with its address on each wire that it speaks."""

    info: EndpointInfo
    addresses: dict[str, str]


@dataclass(slots=True, frozen=True)
class EjectedEndpoints:
    """The listed engines that a planner gives nothing for now; told over a local link when they change."""

    names: tuple[str, ...]


class Client(Protocol):
    """The client's side of an exchange: gets rows, if it asked for them as they come, and one answer."""

    def send_page(self, page: bytes, left: Callable[[], None]) -> None:
        """One page; `left` is called when it has left, so that the engine may send more."""

    def send_answer(self, answer: Answer) -> None: ...


class AttemptHandle(Protocol):
    """What an engine client sees of an attempt, and tells about it."""

    endpoint: str
    sent_at: int
    memory_mb: float
    priority: int

    @property
    def request(self) -> ClientRequest: ...

    @property
    def in_flight(self) -> bool: ...

    def on_written(self) -> None:
        """Its request is with the machine to the last byte."""

    def on_progress(self, kind: ProgressKind, level: float) -> None: ...

    def on_page(self, data: bytes, left: Callable[[], None] = ...) -> None: ...

    def on_executed(self) -> None: ...

    def on_measured(self, work_ns: int, used_mb: float) -> None:
        """What the engine itself says that the work took, and the memory; 0: not told."""

    def on_ended(self, code: OutcomeCode) -> None: ...


class QueryObserver(Protocol):
    """Told what becomes of queries with a shape; it decides nothing here."""

    def on_accepted(self, query: ClientRequest) -> None: ...

    def on_settled(self, query: ClientRequest) -> None: ...

    def on_spilled(self, query: ClientRequest, now: int) -> None: ...

    def on_attempt_ended(
        self, query: ClientRequest, engine: str, code: OutcomeCode, work_ns: int, used_mb: float, now: int
    ) -> None: ...


class EngineClient(Protocol):
    """The engine side: starts, stops and re-ranks attempts on one wire."""

    def start(self, attempt: AttemptHandle) -> None: ...

    def withdraw(self, attempt: AttemptHandle) -> bool:
        """Whether nothing of it had left, so that it surely never ran; then nothing will."""

    def cancel(self, attempt: AttemptHandle) -> None: ...

    def set_priority(self, attempt: AttemptHandle) -> None: ...

    def update_endpoints(self, targets: list[Endpoint], full: bool) -> None: ...
