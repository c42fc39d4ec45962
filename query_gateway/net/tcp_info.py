"""Reads TCP_INFO of a connection (tcp(7), `struct tcp_info` in linux/tcp.h)."""

import socket
import sys

STATE_OFFSET = 0
LAST_DATA_RECEIVED_OFFSET = 52  # tcpi_last_data_recv: 32 bits, milliseconds ago
INFO_SIZE_BYTES = 56
NO_STATE = 0  # not a TCP state: the call succeeded without filling in the structure


def seconds_since_last_data(sock: socket.socket) -> float | None:
    """Seconds since the kernel received the newest data of a connection, read or unread; None if unknown.

    Measured by the kernel's monotonic clock, with the resolution of its timer tick (at most 10 ms).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE_BYTES)
    except OSError:
        return None
    if len(info) < INFO_SIZE_BYTES or info[STATE_OFFSET] == NO_STATE:
        return None
    return int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:INFO_SIZE_BYTES], sys.byteorder) / 1_000
