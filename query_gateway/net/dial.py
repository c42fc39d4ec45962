"""The outcome of a dial: a connect on a non-blocking socket, by the error code that Linux gives for it."""

import errno
import socket

NO_ERROR = 0
# A connect that was interrupted goes on, as one that is in progress
DIAL_UNDER_WAY = (NO_ERROR, errno.EINPROGRESS, errno.EINTR)


def begin_dial(sock: socket.socket, address: tuple[str, int]) -> int:
    """Begin to connect; the error with which the dial failed at once, or NO_ERROR: it is under way."""
    code = sock.connect_ex(address)
    return NO_ERROR if code in DIAL_UNDER_WAY else code


def dial_result(sock: socket.socket) -> int | None:
    """The error with which the dial failed, NO_ERROR if it succeeded, None while it is under way.

    On loopback a dial of a port where nobody listens may be given that port itself and connect to itself: its
    peer would be this process, and echo what is written. It counts as refused.
    """
    if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return error
    try:
        is_connected_to_itself = sock.getpeername() == sock.getsockname()
    except OSError:
        return None
    return errno.ECONNREFUSED if is_connected_to_itself else NO_ERROR
