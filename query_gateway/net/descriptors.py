"""How many descriptors this process has open, and whether it can open another."""

import os
import resource

DESCRIPTOR_FOLDER = "/proc/self/fd"


def describe_descriptors() -> str:
    """`N of LIMIT descriptors open`; without N where not even one is free to count them with."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        open_count = len(os.listdir(DESCRIPTOR_FOLDER)) - 1  # less the one that lists them
    except OSError:
        return f"none of {limit} descriptors free"
    return f"{open_count} of {limit} descriptors open"


def has_free_descriptor() -> bool:
    """Whether this process can open one more descriptor just now."""
    try:
        os.close(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
    except OSError:
        return False
    return True
