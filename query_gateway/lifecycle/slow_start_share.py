"""The share of the slow-start budgets that this process uses.

A slow-start budget limits the load on an engine that has just started. Outside an overlap one process uses
every budget in full. `overlap` lists the share of predecessor and successor at each step of a hot upgrade.
The share is lost with the process. A process starts with the full share, a successor with OVERLAP_SHARE.
"""

from query_gateway.lifecycle.planner_settings import PlannerSettingsPublisher
from query_gateway.net.loop import Loop

FULL_SHARE = 1.0
OVERLAP_SHARE = 0.5  # of each process, while both accept requests
DRAINING_SHARE = 0.1  # of a draining predecessor, which forwards only requests that it has queued


class SlowStartShare:
    """Changes this process's share; a new change replaces one that is still pending."""

    def __init__(self, loop: Loop, publisher: PlannerSettingsPublisher) -> None:
        """Change nothing yet: the publisher already has its initial share."""
        self.loop, self.publisher = loop, publisher
        self._last_change_number = 0  # counts the requested changes

    def change(self, share: float) -> None:
        """Use a new share from the next time on that the loop runs its timers."""
        self._change_after(0.0, share)

    def change_after_window(self, share: float) -> None:
        """Use a new share after the setting `slow_start_overload_window`.

        Until now the other process may have forwarded requests under a larger share. If this process used its
        new share at once, the requests of both could overload an engine in slow start. A budget limits the
        work sent within one overload window, so after that time the earlier requests no longer count, and the
        two shares add up to one budget at most.
        """
        self._change_after(self.publisher.forwarder.settings.slow_start_overload_window / 1e9, share)

    def _change_after(self, delay: float, share: float) -> None:
        self._last_change_number += 1
        change_number = self._last_change_number

        def apply() -> None:
            """Publish the share unless a newer change has been requested."""
            if change_number == self._last_change_number:
                self.publisher.publish_share(share)

        self.loop.call_at(self.loop.now() + delay, apply)
