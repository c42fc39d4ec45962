"""The real gateway: reads its configuration, wires the parts up, and runs until it is told to stop."""

import gc
import os
import signal
import socket
import sys
import time
from typing import Any

from mothknot.config import BadConfig, Config, read
from mothknot.core.exchange import Desk
from mothknot.core.messages import Verdict
from mothknot.core.planner import Planner
from mothknot.net.log import log
from mothknot.net.loop import IN, Loop, Timer
from mothknot.targets import BadList, changes_of
from mothknot.web.engines import Pool
from mothknot.web.journal import Journal
from mothknot.web.server import Server

ACCEPTING = 0.8  # seconds after SIGTERM in which requests still come: 0.4 s, 0.2 s more, and slack
MOST_OPEN = 4_000  # requests held at once, whatever the settings allow: what the memory bears


class Gateway:
    def __init__(self, config: Config) -> None:
        self.config, self.loop = config, Loop()
        loop = self.loop
        self.desk = Desk(config.settings, time.time_ns, self.alarm, min(config.most_held, MOST_OPEN))
        self.pool = Pool(loop, time.time_ns, config.streams, config.dial_timeout, config.conn_idle)
        self.desk.engines["web"] = self.pool
        self.planner = Planner(config.settings, config.seed, time.time_ns, self.alarm)
        self.desk.tell.append(self.planner.tell)
        self.take_list(config.known)
        self.turn()
        self.server = Server(loop, self.desk, config.listen, config.classes, config.sockets // 2)
        self.journal = Journal(loop, config.journal, self.position, self.take_list)
        loop.after.append(self.turn)
        self.stopping = False
        self._signals()

    position = 0

    def alarm(self, when: int, call: Any) -> Timer:
        return self.loop.at(self.loop.now() + (when - time.time_ns()) / 1e9, call)

    def take_list(self, raw: Any) -> int:
        try:
            changes = changes_of(raw, self.config.names)
        except BadList as bad:
            raise ValueError(str(bad)) from None
        for position, whole, targets in changes:
            if position > self.position:  # guards against an event told twice
                self.position = position
                if whole or targets:
                    self.desk.listed(targets, whole)
        self.position = max(self.position, int(raw.get("pos", 0)))
        return self.position

    def turn(self) -> bool:
        """Let the planner decide on what has come; True if there is more at once."""
        try:
            actions = self.planner.turn()
        except Exception as fault:
            log("planner", f"a planner broke and is begun anew: {fault!r}")
            self.planner.restart()
            self.desk.planner_died(0)
            self.planner.events.clear()
            self.desk.planner_born(0)
            return True
        for action in actions:
            self.desk.act(action)
        return bool(self.planner.events)

    # ---- the planned stop

    def _signals(self) -> None:
        self.woken, wake = socket.socketpair()
        self.woken.setblocking(False)
        wake.setblocking(False)
        self._wake = wake
        signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        self.loop.watch(self.woken, IN, self._signalled)

    def _signalled(self) -> None:
        self.woken.recv(64)
        if self.stopping:
            return
        self.stopping = True
        log("stop", f"told to stop with {len(self.desk.exchanges)} requests open")
        self.server.stop()
        self.loop.at(self.loop.now() + ACCEPTING, self._close)

    def _close(self) -> None:
        self.server.close()
        self.loop.after.append(self._leave)

    def _leave(self) -> bool:
        """Leave once all that was taken is answered and the answers are read."""
        if not self.desk.exchanges and self.server.quiet:
            self.loop.stop()
        return False

    def run(self) -> None:
        host, port = self.server.listener.address
        log("start", f"{self.config.name} listens on {host}:{port}")
        self.loop.run()
        self.journal.stop()
        told = ", ".join(f"{self.desk.counts[v]} {v.value}" for v in Verdict)
        log("stop", f"all answered: {told}")


def main() -> None:
    try:
        gateway = Gateway(read(os.environ))
    except BadConfig as bad:
        print(f"mothknot: configuration: {bad}", file=sys.stderr)
        sys.exit(2)
    except OSError as bad:
        print(f"mothknot: cannot listen: {bad.strerror}", file=sys.stderr)
        sys.exit(2)
    gc.freeze()  # what the start made stays; later collections pass it over
    gateway.run()


if __name__ == "__main__":
    main()
