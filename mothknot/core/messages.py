"""What the fronts and the engine clients exchange with the core: small typed values, free of any wire."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from mothknot.interface import Code, Entry, NoteKind


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class Query:
    """One try of a client, as any front decodes it. Times are clock times in nanoseconds."""

    name: str  # the client's id for this try, passed on unchanged
    cls: int
    class_name: str
    statement: bytes
    give_up_at: int  # when the answer must have left, the way back to the client taken off
    retry: bool
    key: str | None  # requests of one key run in turn
    idempotency: str | None
    cost: int | None  # estimated work in nanoseconds on one core
    need_mb: float
    tables: float | None
    update: bool = False  # a statement without a result, on a wire that tells these apart
    shape: bytes = b""  # of the statement, where statements are read; empty: nobody learns from it


@dataclass(slots=True, frozen=True)
class Answer:
    verdict: Verdict
    pages: tuple[bytes, ...] = ()  # of a served result that was not passed on page by page
    wait_ns: int = 0  # with a refusal: when to come back


@dataclass(slots=True, frozen=True)
class Target:
    """An engine on the list with its address on each wire that it speaks."""

    entry: Entry
    dials: dict[str, str]


@dataclass(slots=True, frozen=True)
class Avoids:
    """The listed engines that a planner gives nothing for now; told over a local link when they change."""

    engines: tuple[str, ...]


class Client(Protocol):
    """The client's side of an exchange: gets rows, if it asked for them as they come, and one answer."""

    def rows(self, page: bytes, left: Callable[[], None]) -> None:
        """One page; `left` is called when it has left, so that the engine may send more."""

    def final(self, answer: Answer) -> None: ...


class Attempt(Protocol):
    """What an engine client sees of an attempt, and tells about it."""

    engine: str
    sent_at: int
    memory_mb: float
    priority: int

    @property
    def query(self) -> Query: ...

    @property
    def out(self) -> bool: ...

    def written(self) -> None:
        """Its request is with the machine to the last byte."""

    def noted(self, kind: NoteKind, level: float) -> None: ...

    def page(self, data: bytes, left: Callable[[], None] = ...) -> None: ...

    def ran(self) -> None: ...

    def measured(self, work_ns: int, used_mb: float) -> None:
        """What the engine itself says that the work took, and the memory; 0: not told."""

    def ended(self, code: Code) -> None: ...


class Observer(Protocol):
    """Told what becomes of queries with a shape; it decides nothing here."""

    def taken(self, query: Query) -> None: ...

    def settled(self, query: Query) -> None: ...

    def spilled(self, query: Query, now: int) -> None: ...

    def ended(
        self, query: Query, engine: str, code: Code, work_ns: int, used_mb: float, now: int
    ) -> None: ...


class Engines(Protocol):
    """The engine side: starts, stops and re-ranks attempts on one wire."""

    def start(self, attempt: Attempt) -> None: ...

    def take_back(self, attempt: Attempt) -> bool:
        """Whether nothing of it had left, so that it surely never ran; then nothing will."""

    def stop(self, attempt: Attempt) -> None: ...

    def rank(self, attempt: Attempt) -> None: ...

    def listed(self, targets: list[Target], full: bool) -> None: ...
