"""The graceful shutdown: from SIGTERM until every request is answered and the process exits.

    SERVING --SIGTERM--> FINISHING --abort time--> ABORTED
                             |                        |
                             +--> the process exits <-+  once no request and no connection is open

The readiness of FINISHING and ABORTED is `Phase.STOPPING`. `Phase.DRAINING` is another state: an operator
sends clients away and may take that back.

Whoever sent SIGTERM sends SIGKILL some time later. Clients and routers notice the shutdown only after a
while, so FINISHING begins with the withdrawal of the addresses, and clients that still come are served.
Shortly before the SIGKILL every open request is aborted: it gets an answer without a planner. It is rejected
where a retry of its client is safe, else it has failed.

Who accepts clients while the process is not SERVING (`Listener` holds the state of each listening socket):

    successor               this process                                    function
    none                    accepts until the end of the grace period,      _close_fronts
                            then closes its listeners
    connected, not ready    accepts, also beyond the grace period           transfer_to_successor
    ready                   leaves the accept queue to the successor,       _release_to_successor
                            transfers idle connections
    died, ready or not      accepts until the end of the grace period,      continue_without_successor
                            then closes its listeners

If this process dies before it is done, its open requests are lost and their clients see a reset connection.
"""

from dataclasses import dataclass
from enum import Enum

from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.readiness import Readiness
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.lifecycle.client_fronts import ClientFronts
from query_gateway.lifecycle.hot_upgrade import HotUpgrade
from query_gateway.lifecycle.route_announcer import RouteAnnouncer
from query_gateway.lifecycle.slow_start_share import LEAVING_SHARE, SlowStartShare
from query_gateway.net.log import log
from query_gateway.net.loop import Loop

ACCEPT_GRACE_SECONDS = 0.8  # after SIGTERM; the platform's clients and routers may take 0.6 s to notice it
ANSWER_SECONDS = 3.0  # after SIGTERM for open requests; the platform sends SIGKILL 0.7 s later
ABORT_MARGIN_SECONDS = 0.4  # after the answer seconds, or after the longest deadline if that comes first


class ShutdownState(Enum):
    """How far the shutdown is; see the drawing above. No state is entered again once it was left."""

    SERVING = "serving"  # no SIGTERM yet
    FINISHING = "finishing"  # open requests go on to their answers
    ABORTED = "aborted"  # open requests were rejected or failed, and new ones are rejected


@dataclass(slots=True, frozen=True)
class ShutdownParts:
    """What the shutdown stops; nothing of it is owned here."""

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
        self._grace_period_ends_at = 0.0  # loop time

    @property
    def _has_successor(self) -> bool:
        """Whether a successor has connected, whether or not it has our listeners or is ready yet."""
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor is not None

    @property
    def _successor_ready(self) -> bool:
        hot_upgrade = self.parts.hot_upgrade
        return hot_upgrade is not None and hot_upgrade.successor_ready

    def begin(self, signalled_at: float) -> None:
        """Stop gracefully, as told at this loop time; a second call changes nothing."""
        if self.state is ShutdownState.SERVING:
            self._serving_to_finishing(signalled_at)

    def _serving_to_finishing(self, signalled_at: float) -> None:
        self.state = ShutdownState.FINISHING
        log("shutdown", f"stopping with {self.parts.forwarder.open_request_count} requests open")
        # Withdraws the addresses, so that clients go elsewhere; those that still come are served
        self.parts.readiness.stop()
        # Whoever sends SIGKILL counts from the signal, however late the loop turned to it
        self.loop.call_at(signalled_at + self._seconds_until_abort(), self.abort_open_requests)
        self._grace_period_ends_at = signalled_at + ACCEPT_GRACE_SECONDS
        if self._has_successor:
            self.transfer_to_successor()
        else:
            self.loop.call_at(self._grace_period_ends_at, self._close_fronts)

    def _seconds_until_abort(self) -> float:
        return min(self.parts.active.longest_timeout, ANSWER_SECONDS) + ABORT_MARGIN_SECONDS

    def transfer_to_successor(self) -> None:
        """Accept no more clients: open requests are answered here, idle connections go to the successor.

        Until the successor is ready it accepts nobody, so this process goes on; then this is called again.
        """
        if self._successor_ready:
            self._release_to_successor()

    def _release_to_successor(self) -> None:
        hot_upgrade = self.parts.hot_upgrade
        assert hot_upgrade
        # The successor accepts at the same sockets, so no client in the accept queue is lost
        for listener in self.parts.fronts.listeners:
            listener.release()
        # The successor is notified before it receives the first connection, so that it uses its larger share
        # for the requests on these
        self.parts.slow_start_share.change(LEAVING_SHARE)
        hot_upgrade.notify_leaving()
        self.parts.fronts.http_server.start_transfer(hot_upgrade.transfer)
        self.parts.fronts.close_flight()
        self._exit_when_done()

    def continue_without_successor(self) -> None:
        """The successor died after SIGTERM: accept clients until the end of the grace period.

        Idle connections stay here, as nobody takes them.
        """
        self.parts.fronts.http_server.transfer = None
        for listener in self.parts.fronts.listeners:
            listener.resume()
        self.loop.call_at(self._grace_period_ends_at, self._close_fronts)

    def abort_open_requests(self) -> None:
        """FINISHING to ABORTED: answer every open request and reject new ones, before SIGKILL comes.

        SIGKILL would reset the clients' connections, and they could not know whether their requests ran. With
        a rejection in time they may retry; a failure says that the request may have run.
        """
        self.state = ShutdownState.ABORTED
        self.parts.forwarder.past_abort_time = True
        self.parts.fronts.give_up_classifying()
        for exchange in list(self.parts.forwarder.exchanges.values()):
            exchange.end_without_planner()
        if not self._successor_ready:
            self._close_fronts()  # clients in the accept queue are rejected here

    def _close_fronts(self) -> None:
        """The grace period is over, or open requests were aborted: accept nothing more."""
        if self._has_successor and self.state is not ShutdownState.ABORTED:  # it has started meanwhile
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
