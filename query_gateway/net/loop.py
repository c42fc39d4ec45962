"""The event loop: one epoll, timers, and coroutines written as generators.

A coroutine yields the loop time (seconds) until which it sleeps at most, or None to sleep without a limit. It
is resumed when it is woken or that time is reached, and must then check again the condition that it waits
for. Code that changes such a condition calls `Task.wake`.
"""

import contextlib
import heapq
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from itertools import count

from query_gateway.net.arrival_watermark import ArrivalWatermark
from query_gateway.net.log import log
from query_gateway.net.paused_tasks import PausedTasks
from query_gateway.net.receive_budget import ReceiveBudget
from query_gateway.net.retry import retry_at_start

LoopCoroutine = Generator[float | None, None, None]
IN, OUT = select.EPOLLIN, select.EPOLLOUT
MAX_EVENTS_PER_POLL = 512
# Rounds of ready tasks per turn; each round after the first runs the tasks that the round before it woke
TASK_ROUNDS = 3
MAX_POLL_SECONDS = 5.0  # limit of a sleep, so that a callback whose wake-up failed runs eventually
# A busy host may prolong a sleep by this much beyond its timeout; after a longer delay the process counts as
# having been stopped
MAX_OVERSLEEP_SECONDS = 0.05
# A longer turn delays timers and answers by more than the slack on the platform's time limits, and is counted
MAX_TURN_SECONDS = 0.05
MAX_HOOK_ROUNDS = 16  # rounds of turn hooks per turn; bounded so that hooks cannot starve sockets
# Cancelled timers are removed once the heap exceeds twice its size after the last sweep, plus this many
TIMER_SWEEP_SLACK = 256


class Timer:
    """A callback due at a loop time; a cancelled one stays in the heap until it is due or swept."""

    __slots__ = ("callback", "due_at")

    def __init__(self, callback: Callable[[], None], due_at: float = 0.0) -> None:
        """`due_at` is in loop time (seconds); create scheduled timers with `Loop.call_at`."""
        self.callback: Callable[[], None] | None = callback
        self.due_at = due_at

    def cancel(self) -> None:
        """Prevent the callback; no effect if it has already run."""
        self.callback = None


class Task:
    """A coroutine on the loop."""

    def __init__(self, loop: "Loop", coroutine: LoopCoroutine, is_urgent: bool) -> None:
        """Create a task that does not run before it is woken; see `Loop.spawn`."""
        self.loop, self.coroutine = loop, coroutine
        self.queue = loop.urgent if is_urgent else loop.ready
        self.queued = self.done = False
        self.timer: Timer | None = None

    def wake(self) -> None:
        """Resume the coroutine in the next round of ready tasks, in this turn or the next."""
        if not self.queued and not self.done:
            self.queued = True
            self.queue.append(self)

    def step(self) -> None:
        """Run the coroutine to its next yield, and set a timer for the time that it yields."""
        self.queued = False
        wake_at = None
        self.loop.paused_tasks.begin_slice()
        try:
            wake_at = next(self.coroutine)
        except StopIteration:
            self.done = True
        except Exception as error:  # an error must not affect other connections
            self.done = True
            log("fault", f"unhandled exception in a coroutine: {error!r}")
            self.loop.faults += 1
        # A timer due earlier is kept, and wakes the coroutine early. A new timer for every step would fill
        # the heap with cancelled ones
        if self.timer and (wake_at is None or self.timer.due_at > wake_at):
            self.timer.cancel()
            self.timer = None
        if wake_at is not None and self.timer is None:
            self.timer = self.loop.call_at(wake_at, self._on_timer)

    def pause_if_due(self) -> Generator[float | None, None, bool]:
        """Let the loop serve others if this task has run for long; return whether it did.

        Only the coroutine of this task may call it.
        """
        if not self.loop.paused_tasks.is_pause_due():
            return False
        yield from self.loop.paused_tasks.pause(self)
        return True

    def _on_timer(self) -> None:
        self.timer = None
        self.wake()


class Loop:
    """One thread's event loop; only `call_soon` and `stop` may be called from other threads."""

    def __init__(self) -> None:
        """Open the epoll descriptor and the socket pair that wakes it from other threads."""
        self.epoll = retry_at_start(select.epoll)
        self.handlers: dict[int, Callable[[], None]] = {}  # by descriptor
        self.sockets: dict[int, socket.socket] = {}  # by descriptor
        self.urgent: deque[Task] = deque()  # ready tasks that run before the others
        self.ready: deque[Task] = deque()
        self.paused_tasks = PausedTasks()
        self.receive_budget = ReceiveBudget()
        self.timers: list[tuple[float, int, Timer]] = []  # heap of (due time, sequence number, timer)
        self.timer_sequence = count()
        self.timers_after_sweep = 0  # size of the heap after the last sweep of cancelled timers
        # Run at the end of each turn; a hook returns True to have all hooks run again immediately
        self.turn_hooks: list[Callable[[], bool]] = []
        self.closing_sockets: list[socket.socket] = []
        self.running = True
        self.faults = 0  # unhandled exceptions of coroutines and callbacks, and failed polls
        self.turn_started_at = self.now()
        self.watermark = ArrivalWatermark(self.turn_started_at)
        # Duration of the last turn in seconds. If the loop slept since: 0, or the time by which it overslept
        # because the process was stopped
        self.last_turn_time = 0.0
        self.longest_turn = 0.0  # in seconds without the poll, since the loop was created
        self.slow_turns = 0  # turns over MAX_TURN_SECONDS
        self.soon_callbacks: deque[Callable[[], object]] = deque()
        self.wake_reader, self.wake_writer = retry_at_start(socket.socketpair)
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.watch(self.wake_reader, IN, self._run_soon_callbacks)

    @staticmethod
    def now() -> float:
        """Loop time in seconds: the monotonic clock."""
        return time.monotonic()

    def lag(self) -> float:
        """Seconds that an event handled now may have waited for the loop."""
        return max(self.last_turn_time, self.now() - self.turn_started_at)

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` at a loop time (seconds), unless the returned timer is cancelled."""
        timer = Timer(callback, when)
        heapq.heappush(self.timers, (when, next(self.timer_sequence), timer))
        if len(self.timers) > 2 * self.timers_after_sweep + TIMER_SWEEP_SLACK:
            self._sweep_cancelled_timers()
        return timer

    def _sweep_cancelled_timers(self) -> None:
        """Remove cancelled timers, which would otherwise fill the heap until they are due."""
        self.timers = [entry for entry in self.timers if entry[2].callback]
        heapq.heapify(self.timers)
        self.timers_after_sweep = len(self.timers)

    def spawn(self, coroutine: LoopCoroutine, is_urgent: bool = False) -> Task:
        """Start a coroutine; it first runs in the next round of ready tasks.

        Urgent coroutines receive input that decisions of others in the same turn depend on; they run before
        other coroutines and timers.
        """
        task = Task(self, coroutine, is_urgent)
        task.wake()
        return task

    def watch(self, sock: socket.socket, mask: int, handler: Callable[[], None]) -> None:
        """Call `handler`, without arguments, whenever the socket is ready for an event in `mask`.

        A further call for the same socket replaces its mask and handler.
        """
        if sock.fileno() < 0:  # already closed with the loop
            return
        if sock.fileno() in self.handlers:
            self.epoll.modify(sock, mask)
        else:
            self.epoll.register(sock, mask)
        self.handlers[sock.fileno()] = handler
        self.sockets[sock.fileno()] = sock

    def dispose(self, sock: socket.socket) -> None:
        """Stop watching a socket and close it at the end of the turn.

        If it were closed earlier, its descriptor could be reused while events of the old socket are pending.
        """
        self.sockets.pop(sock.fileno(), None)
        if self.handlers.pop(sock.fileno(), None):
            with contextlib.suppress(OSError):
                self.epoll.unregister(sock)
        self.closing_sockets.append(sock)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Call `callback` on the loop's thread; safe in any thread and in signal handlers."""
        self.soon_callbacks.append(callback)
        # If the buffer is full, the loop wakes anyway; on other errors, the callback waits for the next turn
        with contextlib.suppress(OSError):
            self.wake_writer.send(b".")

    def _run_soon_callbacks(self) -> None:
        with contextlib.suppress(OSError):
            self.wake_reader.recv(4096)
        while self.soon_callbacks:
            self._call(self.soon_callbacks.popleft())

    def stop(self) -> None:
        """End `run` after the current turn; safe in any thread."""
        self.running = False
        self.call_soon(lambda: None)

    def run(self) -> None:
        """Run loop turns until `stop` is called."""
        while self.running:
            self.turn()

    def close(self) -> None:
        """Close every open socket; call only after `run` has returned."""
        for sock in (*self.sockets.values(), *self.closing_sockets, self.wake_writer):
            with contextlib.suppress(OSError):
                sock.close()
        self.epoll.close()

    def turn(self) -> None:
        """Run one iteration: sockets, urgent tasks, timers, tasks, turn hooks, then closing of sockets.

        Paused tasks, which have long work, get a limited time before the hooks.

        Tasks run before the hooks because the planner is a hook: an answer that an engine's coroutine has
        just completed must be sent before the planner sends the next request with the same key.
        """
        self._handle_socket_events()
        self._run_urgent()
        now = self.now()
        self._run_due_timers(now)
        for _ in range(TASK_ROUNDS):
            self._run_ready()
        if not self.ready and not self.urgent:
            self.watermark.end_turn()
        self.paused_tasks.resume()
        if not self._run_turn_hooks():
            self.call_at(now, lambda: None)  # hooks have work left, so the next poll must not block
        self._close_disposed_sockets()
        self._record_turn(self.now() - self.turn_started_at)

    def _record_turn(self, duration: float) -> None:
        """Count a turn that took `duration` seconds; a slow one is logged if it is the slowest so far."""
        if duration > MAX_TURN_SECONDS:
            self.slow_turns += 1
            if duration > self.longest_turn:
                log("loop", f"a turn took {duration:.3f} s; the limit is {MAX_TURN_SECONDS} s")
        self.longest_turn = max(self.longest_turn, duration)

    def _handle_socket_events(self) -> None:
        """Wait for events until something else is due, and call their handlers."""
        timeout = MAX_POLL_SECONDS
        if self.ready or self.urgent or self.paused_tasks or self.soon_callbacks:
            timeout = 0.0
        elif self.timers:
            timeout = min(timeout, max(0.0, self.timers[0][0] - self.now()))
        polled_at = self.now()
        self.watermark.begin_turn(polled_at)
        events = self._poll(timeout)
        if len(events) >= MAX_EVENTS_PER_POLL:
            self.watermark.mark_turn_incomplete()
        now = self.now()
        if timeout == 0.0:
            self.last_turn_time = now - self.turn_started_at
        else:  # a process that was stopped during its sleep handles the events since then late
            overslept = now - polled_at - timeout
            was_stopped = overslept > MAX_OVERSLEEP_SECONDS
            self.last_turn_time = overslept if was_stopped else 0.0
            if was_stopped and not events:
                # An epoll_wait that a stop interrupted reports no events if its timeout has passed since
                events = self._poll(0.0)
        self.turn_started_at = now
        self.paused_tasks.begin_turn(now)
        for descriptor, _ in events:
            if handler := self.handlers.get(descriptor):
                self._call(handler)
        if self.soon_callbacks:  # the wake-up may have failed
            self._run_soon_callbacks()

    def _poll(self, timeout: float) -> list[tuple[int, int]]:
        try:
            return self.epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        except OSError as error:
            # A failed poll must not end the process and all its connections. No event is lost: epoll is
            # level-triggered and reports it again in the next turn
            self.watermark.mark_turn_incomplete()
            log("fault", f"epoll_wait failed: {error.strerror}")
            self.faults += 1
            return []

    def _run_due_timers(self, now: float) -> None:
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            if timer.callback:
                self._call(timer.callback)

    def _run_turn_hooks(self) -> bool:
        """Run the hooks until none returns True; return False if they reach `MAX_HOOK_ROUNDS` first."""
        for _ in range(MAX_HOOK_ROUNDS):
            again = False
            for hook in self.turn_hooks:
                again |= self._call(hook) is True
            self._run_ready()
            if not again:
                return True
        return False

    def _close_disposed_sockets(self) -> None:
        closing, self.closing_sockets = self.closing_sockets, []
        for sock in closing:
            with contextlib.suppress(OSError):  # EINTR or EIO: the descriptor is released anyway
                sock.close()

    def _run_urgent(self) -> None:
        for _ in range(len(self.urgent)):
            self.urgent.popleft().step()

    def _run_ready(self) -> None:
        """Run the urgent tasks that are ready, then the other ready tasks.

        The latter include those that the urgent tasks woke. Any other task woken meanwhile runs in the next
        round.
        """
        self._run_urgent()
        for _ in range(len(self.ready)):
            self.ready.popleft().step()

    def _call(self, callback: Callable[[], object]) -> object:
        """Call `callback` and log any exception, which must not stop the loop."""
        try:
            return callback()
        except Exception as error:
            log("fault", f"unhandled exception in a callback: {error!r}")
            self.faults += 1
            return None
