"""Which errors of system calls pass by themselves, as Linux documents them."""

import errno

# The machine is short of memory or buffers just now, or a signal came: the call is made again later, and the
# socket is as it was before.
MOMENTARY = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))
# A dial that fails for want of something of our own machine: it says nothing of the peer
LOCAL_DIAL_FAILURES = frozenset(
    (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENOMEM)
)
# accept() passes on errors of the connection that it would have returned; the next one may be well
CONNECTION_LOST_IN_BACKLOG = frozenset((
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN,
    errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.EPERM,
))  # fmt: skip


def is_momentary(error: OSError) -> bool:
    """Whether the same call may succeed soon, and nothing is lost meanwhile."""
    return error.errno in MOMENTARY
