"""Which errors of system calls are momentary, as the Linux manual pages document them."""

import errno

# The machine is short of memory or buffers just now, or a signal came. The socket is as it was before, so the
# call is made again later
MOMENTARY = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))
NOTHING_THERE = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))  # of these: there was nothing to do
# A dial failed because this machine lacks a port, a route or a buffer. The peer was not reached: it is not at
# fault
LOCAL_DIAL_FAILURES = frozenset(
    (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENOMEM)
)
# Linux's accept() returns errors of the connection that it would have returned: only that one is lost
CONNECTION_LOST_IN_BACKLOG = frozenset((
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN,
    errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.EPERM,
))  # fmt: skip


def is_momentary(error: OSError) -> bool:
    """Whether the same call may succeed soon, and nothing is lost meanwhile."""
    return error.errno in MOMENTARY
