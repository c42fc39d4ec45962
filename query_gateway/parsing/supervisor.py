"""Starts, watches and kills the parser processes on the loop, and exchanges frames with them."""

import os
import socket
import subprocess
import sys

from query_gateway.net.log import log
from query_gateway.net.loop import IN, Loop, Timer
from query_gateway.parsing.frames import ParseRequest, decode_response, encode_frame, take_frame
from query_gateway.parsing.parsers import ParseCallback, ParserPool, ParserSlot, PendingParse
from query_gateway.statements.messages import ParseResult, Rules
from query_gateway.statements.normalizer import NormalizedStatement

RECEIVE_BYTES = 65_536
REQUEST_NUMBER = 1  # constant, as a process has one request at a time
START_RETRY_S = 1.0  # minimum delay of the next try after a process could not be started
TIMER_SLACK_S = 0.001  # added to the time of a timer, so that its deadline has passed when it fires
# The reasons for restarting a parser process, which are logged. The first two are also sent to the clients
# whose statement the process was parsing ("it" is the statement).
PROCESS_LOST = "the parser died on it"
TIMED_OUT = "it takes too long to parse"
RULES_CHANGED = "the rules have changed"


class ParserProcess:
    """A parser process, and the gateway's end of the socket pair, which `Loop.dispose` closes."""

    def __init__(self, rules: Rules) -> None:
        """Start the process and send it the rules. Raises OSError."""
        self.sock, child_end = socket.socketpair()
        with child_end:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "query_gateway.parsing.worker"],
                stdin=child_end.fileno(),
                stdout=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)},
            )
        self.inbox = bytearray()
        self.sock.sendall(encode_frame(rules))

    def close(self) -> None:
        """Kill the process and wait until it has exited."""
        self.child.kill()
        self.child.wait()


class ParserSupervisor:
    """Owns the parser processes; `close` kills them."""

    def __init__(self, loop: Loop, rules: Rules, process_count: int) -> None:
        """Start `process_count` processes."""
        self.loop = loop
        self.rules = rules
        self.pool = ParserPool(process_count)
        self.processes: dict[int, ParserProcess] = {}  # by slot number
        self.timer: Timer | None = None
        self.timer_at = 0.0
        self.closed = False
        for slot in self.pool.slots:
            self._start(slot)

    def submit(self, statement: NormalizedStatement, now: float, callback: ParseCallback) -> bool:
        """Queue a statement for a parse; `callback` is called once, later, unless `close` is called before.

        Returns False, and never calls `callback`, if too many are waiting or the supervisor is closed.
        """
        if self.closed or not self.pool.add(statement, now, callback):
            return False
        self._dispatch()
        return True

    def quarantined(self, statement: NormalizedStatement) -> ParseResult | None:
        """Return a result that rejects the statement while it is in quarantine; None if it may be parsed."""
        return self.pool.quarantined(statement, self.loop.now())

    def update_rules(self, rules: Rules) -> None:
        """Replace the processes with new ones that use these rules."""
        self.rules = rules
        for slot in self.pool.slots:
            if slot.number in self.processes:
                self._replace(slot)

    def close(self) -> None:
        """Kill the parser processes; no further statement is parsed."""
        self.closed = True
        for process in self.processes.values():
            self.loop.dispose(process.sock)
            process.close()
        self.processes.clear()

    # ---- start and end of processes

    def _start(self, slot: ParserSlot) -> None:
        if self.closed:
            return
        self.pool.starting(slot, self.loop.now())
        try:
            process = ParserProcess(self.rules)
        except OSError as error:
            log("parser", f"process cannot be started: {error.strerror}")
            self.pool.start_failed()
            delay = max(START_RETRY_S, self.pool.restart_delay)
            self.loop.call_at(self.loop.now() + delay, lambda: self._start(slot))
            return
        process.sock.setblocking(False)
        self.processes[slot.number] = process
        self.loop.watch(process.sock, IN, lambda: self._receive(slot, process))
        self._dispatch()

    def _handle_loss(self, slot: ParserSlot, reason: str) -> None:
        """Handle a process that has died or timed out: kill and restart it, and reject its statement."""
        self._end_process(slot, reason)
        pending = self.pool.lost(slot, reason, self.loop.now())
        self._restart(slot)
        _call_back(pending, ParseResult(True, reason=reason, is_parsed=False))

    def _replace(self, slot: ParserSlot) -> None:
        """Restart a process that uses the previous rules; the clients of its statement have to retry."""
        self._end_process(slot, RULES_CHANGED)
        pending = self.pool.replaced(slot, self.loop.now())
        self._restart(slot)
        _call_back(pending, None)

    def _end_process(self, slot: ParserSlot, reason: str) -> None:
        process = self.processes.pop(slot.number)
        self.loop.dispose(process.sock)
        process.close()
        log("parser", f"restarting parser process {slot.number}: {reason}")

    def _restart(self, slot: ParserSlot) -> None:
        delay = self.pool.restart_delay
        if not delay:
            self._start(slot)
            return
        start_at = self.loop.now() + delay
        self.pool.starting(slot, start_at)
        self.loop.call_at(start_at, lambda: self._start(slot))

    # ---- requests and responses

    def _receive(self, slot: ParserSlot, process: ParserProcess) -> None:
        if self.processes.get(slot.number) is not process:
            return
        try:
            data = process.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_loss(slot, PROCESS_LOST)
            return
        process.inbox += data
        while frame := take_frame(process.inbox):
            self._handle_response(slot, frame)
        self._dispatch()

    def _handle_response(self, slot: ParserSlot, frame: bytes) -> None:
        response = decode_response(frame)
        if response.parse_result is None:
            self.pool.ready(slot)
        else:
            _call_back(self.pool.completed(slot), response.parse_result)

    def _dispatch(self) -> None:
        """Send queued statements to idle processes, and set the timer for the next timeout."""
        for slot in self.pool.assign(self.loop.now()):
            assert slot.pending
            statement = slot.pending.statement
            request = ParseRequest(REQUEST_NUMBER, statement.tokens, len(statement.literals))
            try:
                self.processes[slot.number].sock.sendall(encode_frame(request))
            except OSError:  # end-of-file on the socket or the parse timeout reports the loss
                continue
        self._schedule()

    def _schedule(self) -> None:
        deadline = self.pool.next_deadline()
        if deadline is None or (self.timer is not None and deadline >= self.timer_at):
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = deadline + TIMER_SLACK_S
        self.timer = self.loop.call_at(self.timer_at, self._check_deadlines)

    def _check_deadlines(self) -> None:
        self.timer = None
        now = self.loop.now()
        for slot in self.pool.overdue(now):
            if slot.number in self.processes:
                self._handle_loss(slot, TIMED_OUT)
        for pending in self.pool.expire(now):
            _call_back(pending, None)
        self._dispatch()


def _call_back(pending: PendingParse | None, result: ParseResult | None) -> None:
    """Call the callbacks of a statement, if there is one; a result of None makes the clients retry."""
    for callback in pending.callbacks if pending else ():
        callback(result)
