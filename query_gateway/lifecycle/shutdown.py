"""The graceful shutdown: SIGTERM, the last call, giving up, and leaving when all is answered.

Whoever sent SIGTERM kills the process some time later, and clients and routers notice the stop only after a
while. So the steps come in this order:

1. `begin`: the readiness says no and the addresses are withdrawn, so that clients go elsewhere (a ready
   successor keeps them announced). What still comes is served.
2. After the last call nothing more is accepted; with a successor at once: what comes waits for it.
3. `give_up`, before the kill: what is still open is answered without a planner.
4. The loop stops once no request and no connection is open and the router has been notified.
"""

from dataclasses import dataclass
from enum import Enum

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.lifecycle.route_announcer import RouteAnnouncer
from query_gateway.lifecycle.slow_start_share import DRAINING_SHARE, SlowStartShare
from query_gateway.net.log import log
from query_gateway.net.loop import Loop

LAST_CALL_SECONDS = 0.8  # after SIGTERM in which requests still come: 0.4 s, 0.2 s more, and slack
ANSWER_SECONDS = 3.0  # after SIGTERM that a gateway has for what is open; the kill comes 0.7 s later
ANSWER_SECONDS_WITH_SUCCESSOR = 5.0  # and a predecessor that a successor follows
GIVE_UP_MARGIN_SECONDS = 0.4  # past these, or past the longest deadline if that is less


class ShutdownState(Enum):
    """How far the shutdown is. Each state is entered once, in this order."""

    SERVING = "serving"  # no SIGTERM yet
    DRAINING = "draining"  # SIGTERM: what is open is answered
    GIVEN_UP = "given up"  # the kill is near: what was open has its answer, and nothing is begun any more


@dataclass(slots=True, frozen=True)
class ShutdownParts:
    """What the shutdown switches off; nothing of it is owned here."""

    loop: Loop
    readiness: Readiness
    forwarder: Forwarder
    fronts: ClientFronts
    announcer: RouteAnnouncer
    slow_start_share: SlowStartShare
    active: ActiveConfiguration
    hot_upgrade: HotUpgrade | None  # None where no successor can follow


class Shutdown:
    """Ends the process without leaving a request unanswered."""

    def __init__(self, parts: ShutdownParts) -> None:
        """Nothing happens before `begin`."""
        self.parts, self.loop = parts, parts.loop
        self.state = ShutdownState.SERVING
        self._last_call_until = 0.0  # loop time

    @property
    def _is_followed(self) -> bool:
        """Whether a successor has connected, whether or not it has our listeners or is ready yet."""
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor is not None

    @property
    def _successor_ready(self) -> bool:
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor_ready

    def begin(self) -> None:
        """Stop gracefully; a second call changes nothing."""
        if self.state is not ShutdownState.SERVING:
            return
        self.state = ShutdownState.DRAINING
        log("shutdown", f"stopping with {self.parts.forwarder.open_request_count} requests open")
        # First the addresses are withdrawn, so that clients go elsewhere; what still comes is served
        self.parts.readiness.stop()
        followed = self._is_followed
        answer_seconds = ANSWER_SECONDS_WITH_SUCCESSOR if followed else ANSWER_SECONDS
        answer_seconds = min(self.parts.active.longest_timeout, answer_seconds)
        now = self.loop.now()
        self.loop.call_at(now + answer_seconds + GIVE_UP_MARGIN_SECONDS, self.give_up)
        self._last_call_until = now + LAST_CALL_SECONDS
        if followed:
            self.transfer_to_successor()
        else:
            self.loop.call_at(self._last_call_until, self._close_fronts)

    def transfer_to_successor(self) -> None:
        """Accept nothing more: what is open is answered here, what is idle goes on with the successor."""
        if not self._successor_ready:
            # Guards clients in the accept queue: if the successor dies yet, nobody else can accept them
            for listener in self.parts.fronts.listeners:
                listener.pause()
            return
        hot_upgrade = self.parts.hot_upgrade
        assert hot_upgrade
        # Only now: the successor accepts at these listeners, so no client in the accept queue is lost
        for listener in self.parts.fronts.listeners:
            listener.release()
        # The successor is notified before the first connection arrives, and takes its larger share
        self.parts.slow_start_share.change(DRAINING_SHARE)
        hot_upgrade.notify_draining()
        self.parts.fronts.http_server.start_transfer(hot_upgrade.transfer)
        self.parts.fronts.close_flight()
        self._exit_when_done()

    def continue_without_successor(self) -> None:
        """The successor died after SIGTERM: this is a plain shutdown again, to the same last call.

        Guards new connections: no other process accepts them, and idle ones have nowhere to go.
        """
        self.parts.fronts.http_server.transfer = None
        for listener in self.parts.fronts.listeners:
            listener.resume()
        self.loop.call_at(self._last_call_until, self._close_fronts)

    def give_up(self) -> None:
        """Answer all that is open, before the kill.

        Guards clients of what is still open: they get an answer while there is time, and may retry.
        """
        self.state = ShutdownState.GIVEN_UP
        self.parts.fronts.http_server.rejects_all = True
        for exchange in list(self.parts.forwarder.exchanges.values()):
            exchange.end_without_planner()
        if not self._successor_ready:
            # A successor that was never ready accepts nothing: who is in the accept queue is answered here
            self._close_fronts()

    def _close_fronts(self) -> None:
        """The last call is over, or all is given up: accept nothing more."""
        if self._is_followed and self.state is not ShutdownState.GIVEN_UP:  # it started meanwhile
            return self.transfer_to_successor()
        self.parts.fronts.close()
        self.parts.announcer.stop()
        self._exit_when_done()

    def _exit_when_done(self) -> None:
        if self._exit_if_done not in self.loop.turn_hooks:
            self.loop.turn_hooks.append(self._exit_if_done)

    def _exit_if_done(self) -> bool:
        """Stop the loop once all requests are answered, the answers read and the router notified."""
        if not self.parts.forwarder.exchanges and self.parts.fronts.is_idle:
            self.parts.announcer.stop()
            if self.parts.announcer.is_finished:
                self.loop.stop()
        return False  # as a hook of the loop: nothing more to do in this turn
