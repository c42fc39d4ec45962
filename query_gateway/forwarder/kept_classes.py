"""The request classes of input that arrived before a configuration reload and is not decoded yet.

A request keeps the settings that were in force when its first byte arrived, however long the rest takes, and
although several requests may be waiting on one connection.
"""

from collections import deque
from dataclasses import dataclass

from query_gateway.forwarder.messages import RequestClasses


@dataclass(slots=True, frozen=True)
class _KeptRange:
    """Input up to a position, and the classes in force when it arrived."""

    end_position: int
    classes: RequestClasses


class KeptClasses:
    """The classes that the undecoded input of one connection keeps, by position in that input.

    Positions are counted from 1 over the whole connection, as in `ArrivalLog`.
    """

    def __init__(self) -> None:
        """Start without kept classes."""
        self._ranges: deque[_KeptRange] = deque()

    def __bool__(self) -> bool:
        """Whether any classes are kept."""
        return bool(self._ranges)

    @property
    def all(self) -> list[RequestClasses]:
        """The kept classes, oldest first."""
        return [kept.classes for kept in self._ranges]

    def keep(self, end_position: int, classes: RequestClasses) -> None:
        """Keep `classes` for the input up to `end_position` that keeps no older ones."""
        if not self._ranges or self._ranges[-1].end_position < end_position:
            self._ranges.append(_KeptRange(end_position, classes))

    def at(self, position: int, current: RequestClasses) -> RequestClasses:
        """The classes of a request whose first byte is at `position`; `current` if it keeps none.

        Drops the classes of input before this position.
        """
        while self._ranges and self._ranges[0].end_position < position:
            self._ranges.popleft()
        return self._ranges[0].classes if self._ranges else current
