"""Counts the open file descriptors of this process and checks whether it can open another."""

import os
import resource

DESCRIPTOR_DIRECTORY = "/proc/self/fd"


def describe_descriptors() -> str:
    """Return `N of LIMIT descriptors open`, or `none of LIMIT descriptors free` if they cannot be counted.

    Counting needs one free descriptor, to read the directory that lists the open ones.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        open_count = len(os.listdir(DESCRIPTOR_DIRECTORY)) - 1  # without the one that reads the directory
    except OSError:
        return f"none of {limit} descriptors free"
    return f"{open_count} of {limit} descriptors open"


def has_free_descriptor() -> bool:
    """Whether this process can open one more descriptor now."""
    try:
        os.close(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
    except OSError:
        return False
    return True
