"""A fast path that parses the most common form of request with a regular expression instead of h11.

Nearly all requests have this form, and for them the cost of h11's state machine is avoided. All other input
(another method, unusual or repeated headers, an incomplete body, more than one request) is left to h11.
"""

import re
from typing import NamedTuple

PLAIN_REQUEST = re.compile(rb"POST (/svc/[\w.-]+) HTTP/1\.1\r\n((?:[\w-]+: ?[!-~][ -~]*\r\n){1,40})\r\n")
HEADERS_FOR_H11 = frozenset(("transfer-encoding", "expect", "connection", "upgrade"))
MAX_LENGTH_DIGITS = 6


class PlainRequest(NamedTuple):
    """One complete request; header names are in lower case."""

    path: str
    headers: dict[str, str]
    body: bytes


def parse_plain_request(data: bytes | bytearray) -> PlainRequest | None:
    """Parse the bytes if they are exactly one complete request of the common form; else return None."""
    match = PLAIN_REQUEST.match(data)
    if match is None:
        return None
    lines = match[2].decode("ascii").split("\r\n")[:-1]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = headers.get("content-length", "")
    has_repeated_headers = len(headers) != len(lines)
    if has_repeated_headers or "host" not in headers or not HEADERS_FOR_H11.isdisjoint(headers):
        return None
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS or len(data) != match.end() + int(length):
        return None
    return PlainRequest(match[1].decode("ascii"), headers, bytes(data[match.end() :]))
