"""The event loop: one epoll, timers, and coroutines written as generators.

A coroutine yields the loop time (seconds) until which it sleeps at most, or None to sleep without a limit. It
is resumed when it is woken or when that time has come, and must check again whatever it waits for. Whoever
changes what a coroutine waits for calls `Task.wake`.
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
from query_gateway.net.retry import retry_at_start

Steps = Generator[float | None, None, None]
IN, OUT = select.EPOLLIN, select.EPOLLOUT
MAX_EVENTS_PER_POLL = 512
TASK_ROUNDS = 3  # rounds of ready tasks in a turn: what was woken, what that wakes, and once more
MAX_POLL_SECONDS = 5.0  # of one sleep, so that a callback whose wake-up failed is not left for ever
MAX_OVERSLEEP_SECONDS = 0.05  # by which a sleep may be longer than its timeout on a busy machine
MAX_HOOK_ROUNDS = 16  # rounds of turn hooks in a turn, so that hooks which keep asking do not starve sockets
# Cancelled timers are swept once the heap exceeds twice what the last sweep left, plus this many
TIMER_SWEEP_SLACK = 256


class Timer:
    """A callback due at a loop time; cancelled or not, it stays in the heap until due or swept."""

    __slots__ = ("callback", "due_at")

    def __init__(self, callback: Callable[[], None], due_at: float = 0.0) -> None:
        """`due_at` in loop seconds; the loop's heap is what schedules it."""
        self.callback: Callable[[], None] | None = callback
        self.due_at = due_at

    def cancel(self) -> None:
        """Never call the callback; harmless if it has run already."""
        self.callback = None


class Task:
    """A coroutine on the loop."""

    def __init__(self, loop: "Loop", coroutine: Steps, is_urgent: bool) -> None:
        """Make a task that does not run before it is woken; see `Loop.spawn`."""
        self.loop, self.coroutine = loop, coroutine
        self.queue = loop.urgent if is_urgent else loop.ready
        self.queued = self.done = False
        self.timer: Timer | None = None

    def wake(self) -> None:
        """Resume the coroutine in the next round of ready tasks: of this turn, or of the next one."""
        if not self.queued and not self.done:
            self.queued = True
            self.queue.append(self)

    def step(self) -> None:
        """Run the coroutine to its next yield and set the timer for the time that it yields."""
        self.queued = False
        wake_at = None
        try:
            wake_at = next(self.coroutine)
        except StopIteration:
            self.done = True
        except Exception as error:  # a fault ends its own connection and leaves the others running
            self.done = True
            log("fault", f"a coroutine broke: {error!r}")
            self.loop.faults += 1
        # A timer due earlier is kept: it wakes the coroutine early, while a new timer for every step would
        # fill the heap with cancelled ones
        if self.timer and (wake_at is None or self.timer.due_at > wake_at):
            self.timer.cancel()
            self.timer = None
        if wake_at is not None and self.timer is None:
            self.timer = self.loop.call_at(wake_at, self._on_timer)

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
        self.urgent: deque[Task] = deque()  # ready as well, and first
        self.ready: deque[Task] = deque()
        self.timers: list[tuple[float, int, Timer]] = []  # heap: due time, sequence number, timer
        self.timer_sequence = count()
        self.timers_after_sweep = 0  # timers that were left when the cancelled ones were last swept
        # Run at the end of each turn; a hook returns True to have all run again at once
        self.turn_hooks: list[Callable[[], bool]] = []
        self.closing_sockets: list[socket.socket] = []
        self.running = True
        self.faults = 0  # exceptions that escaped a coroutine or a handler
        self.turn_started_at = self.now()
        self.watermark = ArrivalWatermark(self.turn_started_at)
        self.last_turn_time = 0.0  # seconds that the turn before took; 0 if the loop slept in between
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
        """Call at a loop time (seconds), unless the timer that is returned is cancelled."""
        timer = Timer(callback, when)
        heapq.heappush(self.timers, (when, next(self.timer_sequence), timer))
        if len(self.timers) > 2 * self.timers_after_sweep + TIMER_SWEEP_SLACK:
            self._sweep_cancelled_timers()
        return timer

    def _sweep_cancelled_timers(self) -> None:
        """Bound the heap: a timer cancelled long before it is due would stay until then."""
        self.timers = [entry for entry in self.timers if entry[2].callback]
        heapq.heapify(self.timers)
        self.timers_after_sweep = len(self.timers)

    def spawn(self, coroutine: Steps, is_urgent: bool = False) -> Task:
        """Start a coroutine; it first runs in the next round of ready tasks.

        An urgent one takes in what the decisions of others in the same turn depend on: it runs before them,
        and before timers.
        """
        task = Task(self, coroutine, is_urgent)
        task.wake()
        return task

    def watch(self, sock: socket.socket, mask: int, handler: Callable[[], None]) -> None:
        """Call `handler` whenever the socket is ready; it must find out itself for what.

        A second call for a socket replaces its mask and handler.
        """
        if sock.fileno() < 0:  # already closed together with the loop
            return
        if sock.fileno() in self.handlers:
            self.epoll.modify(sock, mask)
        else:
            self.epoll.register(sock, mask)
        self.handlers[sock.fileno()] = handler
        self.sockets[sock.fileno()] = sock

    def dispose(self, sock: socket.socket) -> None:
        """Stop watching a socket and close it at the end of the turn.

        Closed earlier, its descriptor could be reused while events for the old one are still pending.
        """
        self.sockets.pop(sock.fileno(), None)
        if self.handlers.pop(sock.fileno(), None):
            with contextlib.suppress(OSError):
                self.epoll.unregister(sock)
        self.closing_sockets.append(sock)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Call on the loop's thread; may be called from any thread or a signal handler."""
        self.soon_callbacks.append(callback)
        # A full buffer wakes the loop as well; whatever else fails, the callback waits for the next turn
        with contextlib.suppress(OSError):
            self.wake_writer.send(b".")

    def _run_soon_callbacks(self) -> None:
        with contextlib.suppress(OSError):
            self.wake_reader.recv(4096)
        while self.soon_callbacks:
            self._call(self.soon_callbacks.popleft())

    def stop(self) -> None:
        """End `run` after the current turn; may be called from any thread."""
        self.running = False
        self.call_soon(lambda: None)

    def run(self) -> None:
        """Turn until `stop` is called."""
        while self.running:
            self.turn()

    def close(self) -> None:
        """Close every socket that is still open; call only once the loop has ended."""
        for sock in (*self.sockets.values(), *self.closing_sockets, self.wake_writer):
            with contextlib.suppress(OSError):
                sock.close()
        self.epoll.close()

    def turn(self) -> None:
        """Run one iteration: sockets, urgent tasks, timers, tasks, turn hooks, then the closing of sockets.

        Tasks run before the hooks because the planner is a hook: an answer that an engine's coroutine has
        just settled must leave before the planner sends the next request of the same key.
        """
        self._handle_socket_events()
        self._run_urgent()
        now = self.now()
        self._run_due_timers(now)
        for _ in range(TASK_ROUNDS):
            self._run_ready()
        if not self.ready and not self.urgent:
            self.watermark.end_turn()
        if not self._run_turn_hooks():
            self.call_at(now, lambda: None)  # work is left: the next poll must not block
        self._close_disposed_sockets()

    def _handle_socket_events(self) -> None:
        """Wait for events as long as nothing else is due, and call their handlers."""
        timeout = MAX_POLL_SECONDS
        if self.ready or self.urgent or self.soon_callbacks:
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
        else:  # a process that was stopped while it slept is late for what came meanwhile
            overslept = now - polled_at - timeout
            was_stopped = overslept > MAX_OVERSLEEP_SECONDS
            self.last_turn_time = overslept if was_stopped else 0.0
            if was_stopped and not events:
                # A wait that a stop has interrupted reports nothing once its time is over
                events = self._poll(0.0)
        self.turn_started_at = now
        for descriptor, _ in events:
            if handler := self.handlers.get(descriptor):
                self._call(handler)
        if self.soon_callbacks:  # their wake-up may have failed
            self._run_soon_callbacks()

    def _poll(self, timeout: float) -> list[tuple[int, int]]:
        try:
            return self.epoll.poll(timeout, MAX_EVENTS_PER_POLL)
        except OSError as error:
            # One failed poll must not end the process with all its connections. Nothing is lost: epoll is
            # level-triggered and reports what is ready again in the next turn
            self.watermark.mark_turn_incomplete()
            log("fault", f"a poll failed: {error.strerror}")
            self.faults += 1
            return []

    def _run_due_timers(self, now: float) -> None:
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            if timer.callback:
                self._call(timer.callback)

    def _run_turn_hooks(self) -> bool:
        """Run the hooks until none returns True; False if the rounds ran out first."""
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
            with contextlib.suppress(OSError):  # EINTR or EIO: the descriptor is free all the same
                sock.close()

    def _run_urgent(self) -> None:
        for _ in range(len(self.urgent)):
            self.urgent.popleft().step()

    def _run_ready(self) -> None:
        """Run the tasks that are ready now; what they wake runs in the next round."""
        self._run_urgent()
        for _ in range(len(self.ready)):
            self.ready.popleft().step()

    def _call(self, callback: Callable[[], object]) -> object:
        """Call, and log what it raises: a fault in one callback must not stop the loop."""
        try:
            return callback()
        except Exception as error:
            log("fault", f"a handler broke: {error!r}")
            self.faults += 1
            return None
