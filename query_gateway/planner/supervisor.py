"""The parent of forwarders and planners in processes of their own: starts them, and anew if one dies."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from query_gateway.net.log import log
from query_gateway.net.loop import Loop

LOOK = 0.1  # seconds between two looks at the children
AGAIN = 0.5  # and between two starts of the same one


def with_parent(loop: Loop, leave: Callable[[], None]) -> None:
    """Guards the ports against children that outlive a parent which was killed."""
    parent = os.getppid()

    def look() -> None:
        if os.getppid() != parent:
            leave()
        else:
            loop.call_at(loop.now() + 1.0, look)

    look()


class WorkerProcess:
    def __init__(self, part: str) -> None:
        self.part = part
        self.started = 0.0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.started = time.monotonic()
        environ = os.environ | {"MOTHKNOT_PART": self.part}
        self.process = subprocess.Popen([sys.executable, "-m", "query_gateway"], env=environ)

    @property
    def lives(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        if self.process and self.lives:
            self.process.send_signal(number)


class Supervisor:
    def __init__(self, planners: int, forwarders: int) -> None:
        self.loop = Loop()
        self.planners = [WorkerProcess(f"planner {n}") for n in range(planners)]
        self.forwarders = [WorkerProcess(f"forwarder {n}") for n in range(forwarders)]
        self.stopping = False

    def _look(self) -> None:
        for child in () if self.stopping else (*self.planners, *self.forwarders):
            if not child.lives and time.monotonic() - child.started >= AGAIN:
                if child.process:
                    log("parent", f"{child.part} ended with {child.process.returncode} and is started anew")
                child.start()
        if self.stopping and not any(child.lives for child in self.forwarders):
            self.loop.stop()
        self.loop.call_at(self.loop.now() + LOOK, self._look)

    def _stop(self) -> None:
        """Forwarders first: planners are needed until all is answered."""
        if not self.stopping:
            self.stopping = True
            for child in self.forwarders:
                child.send(signal.SIGTERM)

    def _reload(self) -> None:
        for child in self.forwarders:
            child.send(signal.SIGHUP)

    def run(self) -> int:
        for number, call in (
            (signal.SIGTERM, self._stop), (signal.SIGINT, self._stop), (signal.SIGHUP, self._reload),
        ):  # fmt: skip
            signal.signal(number, lambda *_, call=call: self.loop.call_soon(call))
        self._look()
        self.loop.run()
        for child in self.planners:
            child.send(signal.SIGTERM)
        codes = [child.process.wait() for child in (*self.planners, *self.forwarders) if child.process]
        return max(map(abs, codes), default=0)
