"""The supervisor of forwarders and planners in processes of their own: starts them, and again if one dies.

The states of one worker process:

    ENDED --start--> RUNNING --exit, or killed--> ENDED

An ended worker is started again at the next poll, but not sooner than `RESTART_INTERVAL_S` after its last
start. While the supervisor stops, nothing is started: forwarders get SIGTERM, and once all of them have
exited the planners do.

The supervisor holds no state of requests. What a worker knew is lost with it: with a planner its queues and
what it learned, while its forwarders answer its open requests (`forwarder`, `on_planner_lost`); with a
forwarder its clients' connections and open requests, while its planners end those requests
(`planner.process`, `on_session_ended`). If the supervisor dies, its workers stop as at SIGTERM.
"""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from query_gateway.net.log import log
from query_gateway.net.loop import Loop
from query_gateway.planner.process_part import (
    PROCESS_PART_VARIABLE,
    SUPERVISOR_PID_VARIABLE,
    ProcessKind,
    ProcessPart,
)

WORKER_POLL_INTERVAL_S = 0.1  # how often the supervisor looks whether its workers run
RESTART_INTERVAL_S = 0.5  # at least, between two starts of the same worker
SUPERVISOR_POLL_INTERVAL_S = 1.0  # how often a worker looks whether its supervisor runs


def stop_with_supervisor(loop: Loop, stop: Callable[[], None]) -> None:
    """Call `stop` in a worker when its supervisor has ended, also if it ended before this call.

    A supervisor that is killed cannot stop its workers. They would go on listening, and the next start would
    fail because its addresses are in use. A worker whose parent process has ended gets another parent, which
    is looked for here.
    """
    supervisor_pid = int(os.environ.get(SUPERVISOR_PID_VARIABLE) or os.getppid())

    def poll() -> None:
        """Compare the parent process with the supervisor."""
        if os.getppid() != supervisor_pid:
            stop()
        else:
            loop.call_at(loop.now() + SUPERVISOR_POLL_INTERVAL_S, poll)

    poll()


class WorkerProcess:
    """One forwarder or planner process, which may be started again when it has ended."""

    def __init__(self, part: ProcessPart) -> None:
        """A worker that was not started yet."""
        self.part = part
        self.started_at = 0.0  # monotonic seconds
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, which reads the same configuration as this one."""
        self.started_at = time.monotonic()
        environ = os.environ | {
            PROCESS_PART_VARIABLE: str(self.part),
            SUPERVISOR_PID_VARIABLE: str(os.getpid()),
        }
        self.process = subprocess.Popen([sys.executable, "-m", "query_gateway"], env=environ)

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, signal_number: int) -> None:
        """Send a signal, if it runs."""
        if self.process and self.running:
            self.process.send_signal(signal_number)


def _workers(kind: ProcessKind, count: int) -> list[WorkerProcess]:
    return [WorkerProcess(ProcessPart(kind, index)) for index in range(count)]


class Supervisor:
    """Runs a process for each planner and each forwarder until a signal stops it."""

    def __init__(self, planner_count: int, forwarder_count: int) -> None:
        """Nothing is started before `run`."""
        self.loop = Loop()
        self.planners = _workers(ProcessKind.PLANNER, planner_count)
        self.forwarders = _workers(ProcessKind.FORWARDER, forwarder_count)
        self.stopping = False

    def _poll(self) -> None:
        self.loop.call_at(self.loop.now() + WORKER_POLL_INTERVAL_S, self._poll)
        if not self.stopping:
            for worker in (*self.planners, *self.forwarders):
                self._start_if_ended(worker)
        elif not any(worker.running for worker in self.forwarders):
            self.loop.stop()

    def _start_if_ended(self, worker: WorkerProcess) -> None:
        if worker.running or time.monotonic() - worker.started_at < RESTART_INTERVAL_S:
            return
        if worker.process:
            log("supervisor", f"{worker.part} ended with {worker.process.returncode} and is restarted")
        try:
            worker.start()
        except OSError as error:  # out of processes, descriptors or memory
            # `started_at` is set all the same, so that it is tried again after `RESTART_INTERVAL_S`
            log("supervisor", f"{worker.part} cannot be started: {error.strerror}")

    def _stop(self) -> None:
        """Stop the forwarders first: they need the planners until all requests are answered."""
        if not self.stopping:
            self.stopping = True
            for worker in self.forwarders:
                worker.send(signal.SIGTERM)

    def _reload(self) -> None:
        for worker in self.forwarders:
            worker.send(signal.SIGHUP)

    def run(self) -> int:
        """Run until SIGTERM or SIGINT and return the worst exit code; SIGHUP is passed on to forwarders."""
        self._on_signal(signal.SIGTERM, self._stop)
        self._on_signal(signal.SIGINT, self._stop)
        self._on_signal(signal.SIGHUP, self._reload)
        self._poll()
        self.loop.run()
        for worker in self.planners:
            worker.send(signal.SIGTERM)
        workers = (*self.planners, *self.forwarders)
        exit_codes = [worker.process.wait() for worker in workers if worker.process]
        # A worker that had not set its signal handlers yet ends by our SIGTERM itself, which is no failure
        failures = [abs(code) for code in exit_codes if code != -signal.SIGTERM]
        return max(failures, default=0)

    def _on_signal(self, signal_number: int, action: Callable[[], None]) -> None:
        """Take an action on the loop when a signal comes."""
        signal.signal(signal_number, lambda *_: self.loop.call_soon(action))
