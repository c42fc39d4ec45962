"""Counts and traces early rejections: requests rejected before a planner decides, each with its reason."""

from collections.abc import Callable
from typing import Final

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import EarlyRejection
from query_gateway.forwarder.trace import RequestTrace, TraceStep

NO_REQUEST_ID: Final = 0  # the request id in the trace of a request that was never accepted


class EarlyRejections:
    """Records early rejections; the caller of `record` decides whether to reject a request."""

    def __init__(
        self, counters: Counters, clock: Callable[[], int], trace: Callable[[], RequestTrace | None]
    ) -> None:
        """`trace` returns the sink of the request trace, or None if requests are not traced."""
        self.counters, self.clock, self.trace = counters, clock, trace

    def record(self, client_request_id: str, reason: EarlyRejection, request_id: int = NO_REQUEST_ID) -> None:
        """Count and trace one rejection; `request_id` is the forwarder's own id, if it has assigned one."""
        self.counters.early_rejections[reason] += 1
        if sink := self.trace():
            step = TraceStep.REJECTED_EARLY
            sink.record(self.clock(), request_id, client_request_id, step, reason.value)
