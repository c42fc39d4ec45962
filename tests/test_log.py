"""The log on standard error: slow readers, long lines, and text that cannot be encoded."""

import contextlib
import fcntl
import os
import sys
import threading
from collections.abc import Iterator
from unittest import mock

from query_gateway.net.log import MAX_LINE_BYTES, Log

PIPE_BYTES = 4 * MAX_LINE_BYTES
LINES = 100
BLOCKED_AFTER_S = 5.0


@contextlib.contextmanager
def stderr_in_pipe() -> Iterator[int]:
    """Replace standard error by a pipe; yield its non-blocking reading end."""
    reading_end, writing_end = os.pipe()
    os.set_blocking(reading_end, False)
    fcntl.fcntl(writing_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with (
        os.fdopen(writing_end, "w", errors="backslashreplace") as stderr,
        mock.patch.object(sys, "stderr", stderr),
    ):
        yield reading_end
    os.close(reading_end)


def write_lines(log: Log) -> None:
    for number in range(LINES):
        log(f"kind{number}", "x" * 1_000)


def test_a_reader_that_does_not_read_the_log_does_not_stop_the_process() -> None:
    """Guards against a gateway that stops answering because its log blocks.

    A write to standard error blocks when the pipe is full and its reader does not read.
    """
    log = Log()
    with stderr_in_pipe() as reading_end:
        writer = threading.Thread(target=write_lines, args=(log,), daemon=True)
        writer.start()
        writer.join(BLOCKED_AFTER_S)
        is_blocked = writer.is_alive()
        received = os.read(reading_end, PIPE_BYTES)
        while is_blocked and writer.is_alive():
            with contextlib.suppress(BlockingIOError):
                os.read(reading_end, PIPE_BYTES)
        assert not is_blocked and 0 < received.count(b"\n") < LINES
        log(f"kind{LINES - 1}", "after")
        after = os.read(reading_end, PIPE_BYTES)
    assert after.endswith(b" kind99 after (+1 lines like it left out)\n")


def test_a_line_is_cut_to_what_a_pipe_takes_at_once() -> None:
    """Guards against a log call that blocks or raises.

    A line longer than a pipe takes in one write blocks half-written; a lone surrogate cannot be encoded.
    """
    with stderr_in_pipe() as reading_end:
        Log()("kind", "\udc80" + "\u00e9" * MAX_LINE_BYTES)
        received = os.read(reading_end, PIPE_BYTES)
    assert received.endswith("\u00e9\n".encode()) and b" kind \\udc80" in received
    assert MAX_LINE_BYTES - 2 <= len(received) <= MAX_LINE_BYTES
