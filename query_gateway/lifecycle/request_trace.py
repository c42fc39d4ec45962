"""The request trace: a file with every step of every request, whose path is set by an environment variable.

The line format is `CLOCK PID REQUEST CLIENT-ID STEP DETAILS`, with the clock in seconds of the host's
monotonic clock. Tracing is disabled without the variable. Unlike the log, the trace is complete, up to
`MAX_TRACE_BYTES`.
"""

import os
from collections.abc import Mapping

from query_gateway.forwarder.trace import TraceStep
from query_gateway.net.log import log
from query_gateway.net.steady_clock import loop_time_of

TRACE_VARIABLE = "QUERY_GATEWAY_TRACE"
MAX_TRACE_BYTES = 256 << 20


class RequestTraceFile:
    """Appends to a file that the processes of one gateway may share; owns its descriptor.

    A write error ends the trace and has no other effect.
    """

    def __init__(self, path: str) -> None:
        """Open the file. Raises OSError."""
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._bytes_left = MAX_TRACE_BYTES

    def record(
        self, clock_time: int, request_id: int, client_request_id: str, step: TraceStep, details: str
    ) -> None:
        """Write one step as a line; `clock_time` is in nanoseconds."""
        if self._bytes_left <= 0:
            return
        request = f"{request_id} {client_request_id}"
        line = f"{loop_time_of(clock_time):.6f} {os.getpid()} {request} {step.value} {details}\n"
        try:
            self._bytes_left -= os.write(self._descriptor, line.encode())
        except OSError as error:
            self._bytes_left = 0
            log("trace", f"cannot be written and ends: {error.strerror}")


def open_request_trace(environ: Mapping[str, str]) -> RequestTraceFile | None:
    """Open the trace at the path in the environment; None without a path or if it cannot be opened."""
    path = environ.get(TRACE_VARIABLE)
    if not path:
        return None
    try:
        return RequestTraceFile(path)
    except OSError as error:
        log("trace", f"{path} cannot be written: {error.strerror}")
        return None
