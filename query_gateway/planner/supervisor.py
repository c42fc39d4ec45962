"""The supervisor of forwarder and planner processes: starts them, and restarts each one that exits.

States of a worker process:

    ENDED --start--> RUNNING --exit, or killed--> ENDED

An ended worker is restarted at the next poll, but not earlier than `RESTART_INTERVAL_S` after its last start.
During shutdown nothing is started: SIGTERM is sent to the forwarders first and, once all of them have exited,
to the planners.

The supervisor holds no request state. If a planner dies, its queues and its learned state are lost, and its
forwarders answer its open requests (`Forwarder.on_planner_lost`). If a forwarder dies, its client connections
and open requests are lost, and its planners end those requests (`PlannerProcess.on_session_ended`). If the
supervisor dies, its workers stop as on SIGTERM.
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

WORKER_POLL_INTERVAL_S = 0.1  # interval at which the supervisor checks its workers
RESTART_INTERVAL_S = 0.5  # minimum time between two starts of the same worker
SUPERVISOR_POLL_INTERVAL_S = 1.0  # interval at which a worker checks its supervisor


def stop_with_supervisor(loop: Loop, stop: Callable[[], None]) -> None:
    """Call `stop` in a worker when its supervisor has ended, even if it ended before this call.

    A supervisor that is killed cannot stop its workers. They would keep listening, and the next start would
    fail because its addresses are in use. The end of the supervisor is detected by a change of the parent
    process id: a process whose parent has ended gets another parent.
    """
    supervisor_pid = int(os.environ.get(SUPERVISOR_PID_VARIABLE) or os.getppid())

    def poll() -> None:
        """Call `stop` if the parent is no longer the supervisor, else check again after the poll interval."""
        if os.getppid() != supervisor_pid:
            stop()
        else:
            loop.call_at(loop.now() + SUPERVISOR_POLL_INTERVAL_S, poll)

    poll()


class WorkerProcess:
    """A forwarder or planner process, which can be restarted after it has ended."""

    def __init__(self, part: ProcessPart) -> None:
        """Create a worker without starting it."""
        self.part = part
        self.started_at = 0.0  # monotonic seconds
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with the environment of the supervisor and thus the same configuration."""
        self.started_at = time.monotonic()
        environ = os.environ | {
            PROCESS_PART_VARIABLE: str(self.part),
            SUPERVISOR_PID_VARIABLE: str(os.getpid()),
        }
        self.process = subprocess.Popen([sys.executable, "-m", "query_gateway"], env=environ)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process and self.running:
            self.process.send_signal(signal_number)


def _create_workers(kind: ProcessKind, count: int) -> list[WorkerProcess]:
    return [WorkerProcess(ProcessPart(kind, index)) for index in range(count)]


class Supervisor:
    """Runs one process per planner and forwarder until it is stopped by a signal."""

    def __init__(self, planner_count: int, forwarder_count: int) -> None:
        """Create the workers; `run` starts them."""
        self.loop = Loop()
        self.planners = _create_workers(ProcessKind.PLANNER, planner_count)
        self.forwarders = _create_workers(ProcessKind.FORWARDER, forwarder_count)
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
            log("supervisor", f"{worker.part} exited with code {worker.process.returncode}, restarting")
        try:
            worker.start()
        except OSError as error:  # process, descriptor or memory limit reached
            # `started_at` has been set, so the next try is made after `RESTART_INTERVAL_S` at the earliest
            log("supervisor", f"cannot start {worker.part}: {error.strerror}")

    def _stop(self) -> None:
        """Stop the forwarders first: they need the planners until all their requests are answered."""
        if not self.stopping:
            self.stopping = True
            for worker in self.forwarders:
                worker.send_signal(signal.SIGTERM)

    def _reload(self) -> None:
        for worker in self.forwarders:
            worker.send_signal(signal.SIGHUP)

    def run(self) -> int:
        """Run until SIGTERM or SIGINT, and forward SIGHUP to the forwarders.

        Returns the highest exit code of a worker; a worker killed by a signal counts with the signal number.
        """
        self._on_signal(signal.SIGTERM, self._stop)
        self._on_signal(signal.SIGINT, self._stop)
        self._on_signal(signal.SIGHUP, self._reload)
        self._poll()
        self.loop.run()
        for worker in self.planners:
            worker.send_signal(signal.SIGTERM)
        workers = (*self.planners, *self.forwarders)
        exit_codes = [worker.process.wait() for worker in workers if worker.process]
        # A worker that has not installed its signal handlers yet is killed by SIGTERM; that is not a failure
        failures = [abs(code) for code in exit_codes if code != -signal.SIGTERM]
        return max(failures, default=0)

    def _on_signal(self, signal_number: int, action: Callable[[], None]) -> None:
        """Call `action` on the loop when the signal is received."""
        signal.signal(signal_number, lambda *_: self.loop.call_soon(action))
