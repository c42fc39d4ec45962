"""How predecessor and successor divide the slow-start budget: what engines that have just started can bear.

A process without another beside it uses all of every budget. `overlap` says which share each process has at
which step of a hot upgrade. The share is lost with the process; each process begins with the share that fits
its start.
"""

from query_gateway.lifecycle.planner_settings import PlannerSettingsPublisher
from query_gateway.net.loop import Loop

FULL_SHARE = 1.0
OVERLAP_SHARE = 0.5  # of each process, while both take requests
LEAVING_SHARE = 0.1  # of a predecessor that shuts down: it forwards only requests that it has queued


class SlowStartShare:
    """This process's share; a later change replaces one that is still due."""

    def __init__(self, loop: Loop, publisher: PlannerSettingsPublisher) -> None:
        """The publisher starts with a share of its own."""
        self.loop, self.publisher = loop, publisher
        self._last_change = 0  # counts the requested changes

    def change(self, share: float) -> None:
        """Use another share from the next turn of the loop on."""
        self._change_after(0.0, share)

    def change_after_window(self, share: float) -> None:
        """Use another share once requests that the other process forwarded no longer count at the engines.

        Used at once, both processes' requests together would overload an engine in slow start: those that the
        other one forwarded under its larger share still run there. An engine counts requests over one
        overload window, so after that time the two shares add up to one budget at most.
        """
        self._change_after(self.publisher.forwarder.settings.slow_start_overload_window / 1e9, share)

    def _change_after(self, delay: float, share: float) -> None:
        self._last_change += 1
        change = self._last_change

        def apply() -> None:
            """Publish the share, unless another change has been requested since."""
            if change == self._last_change:
                self.publisher.publish_share(share)

        self.loop.call_at(self.loop.now() + delay, apply)
