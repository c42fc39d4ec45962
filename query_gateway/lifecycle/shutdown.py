"""The graceful shutdown: from SIGTERM until every request is answered and the process exits.

    SERVING --SIGTERM--> FINISHING --abort time--> ABORTED
                             |                        |
                             +--> the process exits <-+  once no request and no connection is open

The readiness of FINISHING and ABORTED is `Phase.STOPPING`. `Phase.DRAINING` is a different state, which an
operator sets to send clients away and can revert.

SIGTERM is followed by SIGKILL some time later. At the start of FINISHING the process is no longer ready, and
its BGP routes are withdrawn unless a ready successor serves the same addresses. Clients and routers notice
this with a delay, so clients that still connect are served. Shortly before the SIGKILL every open request is
aborted, which answers it without a planner: it is rejected if its client can safely retry it, otherwise it
fails.

Which process accepts clients while this one is not SERVING (`Listener` holds the state of each listening
socket):

    successor               this process                                    function
    none                    accepts until the end of the grace period,      _close_fronts
                            then closes its listeners
    connected, not ready    accepts, also beyond the grace period, until    transfer_to_successor,
                            open requests are aborted                       _close_fronts
    ready                   leaves the accept queue to the successor,       _release_to_successor
                            transfers idle connections
    died, ready or not      accepts until the end of the grace period,      continue_without_successor
                            then closes its listeners

If this process dies before it has finished, its open requests are lost and their clients see a reset
connection.
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

# How long clients are accepted after SIGTERM; the platform's clients and routers may take 0.6 s to notice it
ACCEPT_GRACE_SECONDS = 0.8
# Time for open requests after SIGTERM; the platform sends SIGKILL 0.7 s after the end of this time
ANSWER_SECONDS = 3.0
# Added to ANSWER_SECONDS, or to the longest timeout if that is shorter; then open requests are aborted
ABORT_MARGIN_SECONDS = 0.4


class ShutdownState(Enum):
    """The shutdown state; see the diagram in the module docstring. A state is entered only once."""

    SERVING = "serving"  # no SIGTERM received
    FINISHING = "finishing"  # open requests continue until they are answered
    ABORTED = "aborted"  # open requests were rejected or failed, and new ones are rejected


@dataclass(slots=True, frozen=True)
class ShutdownParts:
    """The parts that the shutdown uses or stops; `Shutdown` owns none of them."""

    loop: Loop
    readiness: Readiness
    forwarder: Forwarder
    fronts: ClientFronts
    announcer: RouteAnnouncer
    slow_start_share: SlowStartShare
    active: ActiveConfiguration
    hot_upgrade: HotUpgrade | None  # None if no hot upgrade is possible


class Shutdown:
    """Ends the process without leaving a request unanswered."""

    def __init__(self, parts: ShutdownParts) -> None:
        """Start in SERVING; only `begin` starts the shutdown."""
        self.parts, self.loop = parts, parts.loop
        self.state = ShutdownState.SERVING
        self._grace_period_ends_at = 0.0  # loop time

    @property
    def _has_successor(self) -> bool:
        """Whether a successor is connected, even if it has no listeners or is not ready yet."""
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor is not None

    @property
    def _successor_ready(self) -> bool:
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor_ready

    def begin(self, signalled_at: float) -> None:
        """Begin the shutdown; `signalled_at` is the loop time of the signal. Further calls have no effect."""
        if self.state is ShutdownState.SERVING:
            self._serving_to_finishing(signalled_at)

    def _serving_to_finishing(self, signalled_at: float) -> None:
        self.state = ShutdownState.FINISHING
        log("shutdown", f"stopping with {self.parts.forwarder.open_request_count} requests open")
        # Readiness ends and the BGP routes are withdrawn (see `RouteAnnouncer`), so that clients use another
        # gateway; those that still connect are served
        self.parts.readiness.stop()
        # The delay until SIGKILL counts from the signal, however late the loop handles the signal
        self.loop.call_at(signalled_at + self._seconds_until_abort(), self.abort_open_requests)
        self._grace_period_ends_at = signalled_at + ACCEPT_GRACE_SECONDS
        if self._has_successor:
            self.transfer_to_successor()
        else:
            self.loop.call_at(self._grace_period_ends_at, self._close_fronts)

    def _seconds_until_abort(self) -> float:
        return min(self.parts.active.longest_timeout, ANSWER_SECONDS) + ABORT_MARGIN_SECONDS

    def transfer_to_successor(self) -> None:
        """Stop accepting clients, answer the open requests, and transfer idle connections to the successor.

        A successor that is not ready accepts no clients. Until it is, this method has no effect and this
        process continues to accept; the method is called again when the successor is ready.
        """
        if self._successor_ready:
            self._release_to_successor()

    def _release_to_successor(self) -> None:
        hot_upgrade = self.parts.hot_upgrade
        assert hot_upgrade
        # The successor accepts on the same sockets, so no client in the accept queue is lost
        for listener in self.parts.fronts.listeners:
            listener.release()
        # The successor is notified before it receives the first connection, so that its larger share applies
        # to requests on the transferred connections
        self.parts.slow_start_share.change(DRAINING_SHARE)
        hot_upgrade.notify_draining()
        self.parts.fronts.http_server.start_transfer(hot_upgrade.transfer)
        self.parts.fronts.close_flight()
        self._exit_when_done()

    def continue_without_successor(self) -> None:
        """Accept clients until the end of the grace period, after the successor has died.

        Idle connections stay in this process, as there is no successor to receive them.
        """
        self.parts.fronts.http_server.transfer = None
        for listener in self.parts.fronts.listeners:
            listener.resume()
        self.loop.call_at(self._grace_period_ends_at, self._close_fronts)

    def abort_open_requests(self) -> None:
        """Enter ABORTED: answer every open request and reject new ones before SIGKILL.

        SIGKILL would reset the clients' connections, and clients could not tell whether their requests ran. A
        rejection allows them to retry; a failure tells them that the request may have run.
        """
        self.state = ShutdownState.ABORTED
        self.parts.forwarder.past_abort_time = True
        self.parts.fronts.reject_unclassified()
        for exchange in list(self.parts.forwarder.exchanges.values()):
            exchange.end_without_planner()
        if not self._successor_ready:
            self._close_fronts()  # accepts clients in the accept queue, whose requests are rejected

    def _close_fronts(self) -> None:
        """Stop accepting after the grace period or the abort, unless a successor must become ready first."""
        if self._has_successor and self.state is not ShutdownState.ABORTED:  # a successor connected meanwhile
            return self.transfer_to_successor()
        self.parts.fronts.close()
        self.parts.announcer.stop()
        self._exit_when_done()

    def _exit_when_done(self) -> None:
        if self._exit_if_done not in self.loop.turn_hooks:
            self.loop.turn_hooks.append(self._exit_if_done)

    def _exit_if_done(self) -> bool:
        """Withdraw the service addresses once all requests are answered and no client is connected.

        Stops the loop once the BGP session, which sends the withdrawal to the router, has ended.
        """
        if not self.parts.forwarder.exchanges and self.parts.fronts.is_idle:
            self.parts.announcer.stop()
            if self.parts.announcer.is_finished:
                self.loop.stop()
        return False  # turn hook result: no further work in this turn
