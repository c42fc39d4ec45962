"""Counts and traces the requests that are rejected before a planner decides, each with its reason."""

from collections.abc import Callable
from typing import Final

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import EarlyRejection
from query_gateway.forwarder.trace import RequestTrace, TraceStep

NO_REQUEST_ID: Final = 0  # in the trace, of a request that was not accepted


class EarlyRejections:
    """Records; it rejects nothing itself."""

    def __init__(
        self, counters: Counters, clock: Callable[[], int], trace: Callable[[], RequestTrace | None]
    ) -> None:
        """`trace` returns the sink of the request trace, if it is on."""
        self.counters, self.clock, self.trace = counters, clock, trace

    def record(self, client_request_id: str, reason: EarlyRejection, request_id: int = NO_REQUEST_ID) -> None:
        """Note that a request is rejected; `request_id` is ours, if it has one."""
        self.counters.early_rejections[reason] += 1
        if sink := self.trace():
            step = TraceStep.REJECTED_EARLY
            sink.record(self.clock(), request_id, client_request_id, step, reason.value)
