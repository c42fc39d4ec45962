"""The loop: one epoll, timers, and generators as coroutines.

A coroutine yields the time until which it sleeps at most (loop time in seconds, or None) and is resumed when
it is woken or that time has come; whatever it waits for it checks anew. What is shared with a coroutine calls
its `wake`.
"""

import contextlib
import heapq
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from itertools import count

from query_gateway.net.log import log

Steps = Generator[float | None, None, None]
IN, OUT = select.EPOLLIN, select.EPOLLOUT
MANY = 512  # events taken at once
PASSES = 3  # rounds of coroutines in a turn: what one wakes, and what that wakes
TIMERS = 256  # and this many timers more than twice those in use before the cancelled ones are cleared away


class Timer:
    __slots__ = ("callback", "due_at")

    def __init__(self, call: Callable[[], None], when: float = 0.0) -> None:
        self.callback: Callable[[], None] | None = call
        self.due_at = when

    def cancel(self) -> None:
        self.callback = None


class Task:
    """A coroutine on the loop."""

    def __init__(self, loop: "Loop", steps: Steps) -> None:
        self.loop, self.coroutine = loop, steps
        self.queued = self.done = False
        self.timer: Timer | None = None

    def wake(self) -> None:
        if not self.queued and not self.done:
            self.queued = True
            self.loop.ready.append(self)

    def step(self) -> None:
        self.queued = False
        until = None
        try:
            until = next(self.coroutine)
        except StopIteration:
            self.done = True
        except Exception as fault:  # guards the others: one connection's fault ends that connection alone
            self.done = True
            log("fault", f"a coroutine broke: {fault!r}")
            self.loop.faults += 1
        # Guards the heap against a cancelled timer for every step: one that is due before does as well
        if self.timer and (until is None or self.timer.due_at > until):
            self.timer.cancel()
            self.timer = None
        if until is not None and self.timer is None:
            self.timer = self.loop.call_at(until, self._due)

    def _due(self) -> None:
        self.timer = None
        self.wake()


class Loop:
    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.handlers: dict[int, Callable[[], None]] = {}
        self.sockets: dict[int, socket.socket] = {}
        self.ready: deque[Task] = deque()
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_sequence = count()
        self.timers_after_sweep = 0  # timers that were left when the cancelled ones were last cleared away
        self.turn_hooks: list[
            Callable[[], bool]
        ] = []  # run at the end of each turn; True: turn again at once
        self.closing_sockets: list[socket.socket] = []
        self.running = True
        self.faults = 0
        self.turn_started_at, self.last_turn_time = (
            self.now(),
            0.0,
        )  # when this turn began, and how long the one before took
        self.soon_callbacks: deque[Callable[[], object]] = deque()
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.watch(self.wake_reader, IN, self._soon)

    @staticmethod
    def now() -> float:
        return time.monotonic()

    def lag(self) -> float:
        """How long what has just been taken up may have waited for us, in seconds."""
        return max(self.last_turn_time, self.now() - self.turn_started_at)

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        timer = Timer(call, when)
        heapq.heappush(self.timers, (when, next(self.timer_sequence), timer))
        if (
            len(self.timers) > 2 * self.timers_after_sweep + TIMERS
        ):  # guards the heap against what is cancelled before due
            self.timers = [entry for entry in self.timers if entry[2].callback]
            heapq.heapify(self.timers)
            self.timers_after_sweep = len(self.timers)
        return timer

    def spawn(self, steps: Steps) -> Task:
        task = Task(self, steps)
        task.wake()
        return task

    def watch(self, sock: socket.socket, mask: int, handler: Callable[[], None]) -> None:
        """Call `handler` when the socket is ready; it must look for itself what has come."""
        if sock.fileno() < 0:  # closed with the loop
            return
        if sock.fileno() in self.handlers:
            self.epoll.modify(sock, mask)
        else:
            self.epoll.register(sock, mask)
        self.handlers[sock.fileno()] = handler
        self.sockets[sock.fileno()] = sock

    def dispose(self, sock: socket.socket) -> None:
        """Close a socket once this turn's events are through, lest another gets its number among them."""
        self.sockets.pop(sock.fileno(), None)
        if self.handlers.pop(sock.fileno(), None):
            with contextlib.suppress(OSError):
                self.epoll.unregister(sock)
        self.closing_sockets.append(sock)

    def call_soon(self, call: Callable[[], object]) -> None:
        """Call on the loop what another thread wants done."""
        self.soon_callbacks.append(call)
        with contextlib.suppress(BlockingIOError):  # then it is poked already
            self.wake_writer.send(b".")

    def _soon(self) -> None:
        self.wake_reader.recv(4096)
        while self.soon_callbacks:
            self._call(self.soon_callbacks.popleft())  # one that breaks keeps no other from its turn

    def stop(self) -> None:
        self.running = False
        self.call_soon(lambda: None)

    def run(self) -> None:
        while self.running:
            self.turn()

    def close(self) -> None:
        """Close what is still open, once the loop has ended."""
        for sock in (*self.sockets.values(), *self.closing_sockets, self.wake_writer):
            sock.close()
        self.epoll.close()

    def turn(self) -> None:
        wait = -1.0
        if self.ready:
            wait = 0.0
        elif self.timers:
            wait = max(0.0, self.timers[0][0] - self.now())
        events = self.epoll.poll(wait, MANY)
        self.turn_started_at, self.last_turn_time = (
            self.now(),
            self.now() - self.turn_started_at if wait == 0.0 else 0.0,
        )
        for fd, _ in events:
            if handler := self.handlers.get(fd):
                self._call(handler)
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            if timer.callback:
                self._call(timer.callback)
        # Guards the order of a key: an answer that an engine's coroutine has just settled leaves before the
        # planner, which comes after, sends the next request of that key
        for _ in range(PASSES):
            self._run_ready()
        for _ in range(16):  # guards the sockets against events that beget events without end
            again = False
            for call in self.turn_hooks:
                again |= self._call(call) is True
            self._run_ready()
            if not again:
                break
        else:
            self.call_at(now, lambda: None)
        for sock in self.closing_sockets:
            sock.close()
        self.closing_sockets.clear()

    def _run_ready(self) -> None:
        for _ in range(len(self.ready)):
            self.ready.popleft().step()

    def _call(self, call: Callable[[], object]) -> object:
        try:
            return call()
        except Exception as fault:  # guards the others: one connection's fault ends no gateway
            log("fault", f"a handler broke: {fault!r}")
            self.faults += 1
            return None
