"""What Linux tells of a TCP connection (tcp(7), `struct tcp_info` in linux/tcp.h)."""

import socket
import sys

STATE_OFFSET = 0
LAST_DATA_RECEIVED_OFFSET = 52  # tcpi_last_data_recv: 32 bits, milliseconds ago
INFO_SIZE_BYTES = 56
NO_STATE = 0  # no TCP state has this number: the call was answered without being understood


def seconds_since_last_data(sock: socket.socket) -> float | None:
    """How long ago the machine received the newest data of a connection, read or not; None if not known.

    By the machine's own monotonic clock, to its timer tick (10 ms at most).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE_BYTES)
    except OSError:
        return None
    if len(info) < INFO_SIZE_BYTES or info[STATE_OFFSET] == NO_STATE:
        return None
    return int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:INFO_SIZE_BYTES], sys.byteorder) / 1_000
