"""The supervisor of forwarders and planners in processes of their own: starts them, and again if one dies."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from query_gateway.net.log import log
from query_gateway.net.loop import Loop

WORKER_POLL_INTERVAL_S = 0.1  # how often the supervisor looks whether its workers run
RESTART_INTERVAL_S = 0.5  # at least, between two starts of the same worker
SUPERVISOR_POLL_INTERVAL_S = 1.0  # how often a worker looks whether its supervisor runs
PART_VARIABLE = "QUERY_GATEWAY_PART"  # names the part of a worker process: "planner 0", "forwarder 1"


def stop_with_supervisor(loop: Loop, stop: Callable[[], None]) -> None:
    """Call `stop` in a worker when its supervisor has ended.

    Guards the ports against workers that outlive a supervisor which was killed.
    """
    supervisor_pid = os.getppid()

    def poll() -> None:
        """Compare the parent now with the one at the start; a killed supervisor leaves us another."""
        if os.getppid() != supervisor_pid:
            stop()
        else:
            loop.call_at(loop.now() + SUPERVISOR_POLL_INTERVAL_S, poll)

    poll()


class WorkerProcess:
    """One forwarder or planner process, which may be started again when it has ended."""

    def __init__(self, part: str) -> None:
        """A worker that was not started yet; `part` says which one it is."""
        self.part = part
        self.started_at = 0.0  # monotonic seconds
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, which reads the same configuration as this one."""
        self.started_at = time.monotonic()
        environ = os.environ | {PART_VARIABLE: self.part}
        self.process = subprocess.Popen([sys.executable, "-m", "query_gateway"], env=environ)

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, signal_number: int) -> None:
        """Send a signal, if it runs."""
        if self.process and self.running:
            self.process.send_signal(signal_number)


class Supervisor:
    """Runs a process for each planner and each forwarder until a signal stops it."""

    def __init__(self, planner_count: int, forwarder_count: int) -> None:
        """Nothing is started before `run`."""
        self.loop = Loop()
        self.planners = [WorkerProcess(f"planner {index}") for index in range(planner_count)]
        self.forwarders = [WorkerProcess(f"forwarder {index}") for index in range(forwarder_count)]
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
        except OSError as error:  # out of processes, descriptors or memory: the next round tries again
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
        # One that was only just starting ends by our signal itself, as it was meant to
        failures = [abs(code) for code in exit_codes if code != -signal.SIGTERM]
        return max(failures, default=0)

    def _on_signal(self, signal_number: int, action: Callable[[], None]) -> None:
        """Take an action on the loop when a signal comes."""
        signal.signal(signal_number, lambda *_: self.loop.call_soon(action))
