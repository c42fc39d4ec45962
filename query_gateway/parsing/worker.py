"""A parser process: receives the rules on its standard input, a socket, then answers parse requests."""

import contextlib
import resource
import signal
import socket
import sys

from query_gateway.parsing.frames import (
    LENGTH,
    READY,
    ParseResponse,
    decode_request,
    decode_rules,
    encode_frame,
)
from query_gateway.statements.messages import ParseResult
from query_gateway.statements.normalizer import NormalizedStatement, normalize
from query_gateway.statements.reader import Reader

WARM_UP_STATEMENTS = (
    "SELECT a, count(*) FROM b WHERE c = 1 GROUP BY a ORDER BY 1",
    "DELETE FROM a WHERE b = 1",
)
# Limit of the address space. A parse whose syntax tree keeps growing would exhaust the machine's memory; with
# the limit it fails with a MemoryError and its statement is rejected.
MAX_MEMORY_BYTES = 1 << 30
STDIN = 0


def _receive(sock: socket.socket, size: int) -> bytes:
    """Receive exactly `size` bytes; exits the process if the gateway has closed the connection."""
    data = b""
    while len(data) < size:
        chunk = sock.recv(size - len(data))
        if not chunk:
            sys.exit(0)
        data += chunk
    return data


def _receive_frame(sock: socket.socket) -> bytes:
    return _receive(sock, LENGTH.unpack(_receive(sock, LENGTH.size))[0])


def _parse(reader: Reader, statement: NormalizedStatement) -> ParseResult:
    try:
        return reader.read(statement)
    except (RecursionError, MemoryError):
        return ParseResult(True, reason="it nests too deep", is_parsed=False)
    except Exception as error:  # an error of the parser rejects this statement only; the process goes on
        return ParseResult(True, reason=f"the parser broke on it: {type(error).__name__}", is_parsed=False)


def main() -> None:
    """Serve parse requests until the gateway closes its end of the socket."""
    # Ctrl-C in a terminal also signals this process, which is to exit when the gateway closes its socket
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    # A gateway that exits may leave responses unread, which makes the next send or receive fail
    with socket.socket(fileno=STDIN) as sock, contextlib.suppress(BrokenPipeError, ConnectionResetError):
        sock.setblocking(True)
        reader = Reader(decode_rules(_receive_frame(sock)))
        # The parser builds its tables at first use; without the warm-up this would delay the first statement
        for text in WARM_UP_STATEMENTS:
            reader.read(normalize(text))
        sock.sendall(encode_frame(ParseResponse(READY)))
        while True:
            request = decode_request(_receive_frame(sock))
            result = _parse(reader, request.statement())
            sock.sendall(encode_frame(ParseResponse(request.request_number, result)))


if __name__ == "__main__":
    main()
