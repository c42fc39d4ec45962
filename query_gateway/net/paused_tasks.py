"""Tasks with long work: they pause between slices of it, and share a limited part of each loop turn.

Without pauses, one connection whose input takes long to process would keep every timer and every other
connection waiting. A task asks `PausedTasks.is_pause_due` between two small steps of its work, and if so
pauses:

    while not scanner.is_done:
        scanner.step()
        if loop.paused_tasks.is_pause_due():
            yield from loop.paused_tasks.pause(task)

Paused tasks resume in the order in which they paused: a task with little work waits for at most one slice of
each other task.
"""

import time
from collections import deque
from collections.abc import Generator
from dataclasses import dataclass
from typing import Protocol

# What one task may take at a time; a single step beyond it is short
SLICE_SECONDS = 0.001
# Of a turn, in which paused tasks resume
RESUME_SECONDS_PER_TURN = 0.005
# In a turn that has taken `LATE_TURN_SECONDS`, a task gets only `SHORT_SLICE_SECONDS` before its first pause,
# as there may be hundreds of tasks with long work
LATE_TURN_SECONDS = 0.01
SHORT_SLICE_SECONDS = 0.0001


class SteppableTask(Protocol):
    """The interface of the loop's tasks to this module."""

    def step(self) -> None:
        """Run the coroutine to its next yield."""


@dataclass(slots=True)
class _Pause:
    """One pause of one task."""

    task: SteppableTask
    is_over: bool = False


class PausedTasks:
    """The paused tasks of one loop, and the time that the current slice and turn have taken."""

    def __init__(self) -> None:
        """Start without paused tasks, at the start of a turn."""
        self._pauses: deque[_Pause] = deque()
        self._turn_started_at = self._slice_started_at = time.monotonic()
        self._is_resuming = False

    def __bool__(self) -> bool:
        """Whether a task is paused."""
        return bool(self._pauses)

    def __len__(self) -> int:
        """The number of paused tasks."""
        return len(self._pauses)

    def begin_turn(self, now: float) -> None:
        """Record that a loop turn begins at `now` (loop time, seconds)."""
        self._turn_started_at = self._slice_started_at = now

    def begin_slice(self) -> None:
        """Record that the loop resumes a task."""
        self._slice_started_at = time.monotonic()

    def is_pause_due(self) -> bool:
        """Whether the current task has used up its slice."""
        slice_seconds = SHORT_SLICE_SECONDS if self.is_turn_late() else SLICE_SECONDS
        return time.monotonic() - self._slice_started_at >= slice_seconds

    def is_turn_late(self) -> bool:
        """Whether a task with long work should pause before it begins; never while paused tasks resume."""
        return not self._is_resuming and time.monotonic() - self._turn_started_at >= LATE_TURN_SECONDS

    def pause(self, task: SteppableTask) -> Generator[None, None, None]:
        """Suspend the coroutine of `task` until the loop has time for another slice of its work."""
        pause = _Pause(task)
        self._pauses.append(pause)
        while not pause.is_over:  # other events wake the task as well
            yield None

    def resume(self) -> None:
        """Run paused tasks, each for one slice, until `RESUME_SECONDS_PER_TURN` have passed."""
        ends_at = time.monotonic() + RESUME_SECONDS_PER_TURN
        self._is_resuming = True
        for _ in range(len(self._pauses)):
            pause = self._pauses.popleft()
            pause.is_over = True
            pause.task.step()
            if time.monotonic() >= ends_at:
                break
        self._is_resuming = False
