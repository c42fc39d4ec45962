"""Dials (connects on non-blocking sockets) and their results as Linux error codes."""

import errno
import socket

NO_ERROR = 0
# A connect that a signal interrupts continues asynchronously, like one in progress
DIAL_IN_PROGRESS = (NO_ERROR, errno.EINPROGRESS, errno.EINTR)


def begin_dial(sock: socket.socket, address: tuple[str, int]) -> int:
    """Start to connect; return the error if the dial failed immediately, else NO_ERROR."""
    code = sock.connect_ex(address)
    return NO_ERROR if code in DIAL_IN_PROGRESS else code


def dial_result(sock: socket.socket) -> int | None:
    """The error with which the dial failed, NO_ERROR if it succeeded, None while it is in progress.

    On loopback, a dial to a port without a listener may get that same port as its local port and connect to
    itself (a TCP self-connect); it would read back what it writes. That counts as refused.
    """
    if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return error
    try:
        is_connected_to_itself = sock.getpeername() == sock.getsockname()
    except OSError:
        return None
    return errno.ECONNREFUSED if is_connected_to_itself else NO_ERROR
