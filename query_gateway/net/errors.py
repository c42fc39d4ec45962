"""Classes of system call errors, according to the Linux manual pages."""

import errno

# The call would block, was interrupted by a signal, or failed because the host is short of memory or buffers.
# The socket is unchanged, so the call is retried later
TRANSIENT_ERRORS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))
WOULD_BLOCK_ERRORS = frozenset((errno.EAGAIN, errno.EWOULDBLOCK))
# Dial errors caused by this host, which lacks a port, a route or a buffer. The peer was not reached, so they
# do not count against it
LOCAL_DIAL_ERRORS = frozenset(
    (errno.EAGAIN, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.ENOMEM)
)
# Linux's accept() passes on pending network errors of the new connection; only that connection is lost
BACKLOG_CONNECTION_ERRORS = frozenset((
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN,
    errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.EPERM,
))  # fmt: skip


def is_transient(error: OSError) -> bool:
    """Whether the same call may succeed if retried, and nothing is lost until then."""
    return error.errno in TRANSIENT_ERRORS
