"""A parser process: rules once, then requests in and responses out on its standard input, a socket."""

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

WARM_UP = ("SELECT a, count(*) FROM b WHERE c = 1 GROUP BY a ORDER BY 1", "DELETE FROM a WHERE b = 1")
MAX_MEMORY_BYTES = 1 << 30  # of address space: guards the machine against a parse that never stops growing
STDIN = 0


def _receive(sock: socket.socket, size: int) -> bytes:
    """Exactly `size` bytes; ends the process when the gateway has ended."""
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
    except Exception as fault:  # guards the others: a parser's own fault rejects one statement
        return ParseResult(True, reason=f"the parser broke on it: {type(fault).__name__}", is_parsed=False)


def main() -> None:
    """Parse what is requested until the gateway closes its end of the socket."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the gateway's own end ends this process
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    # A gateway that ends does not read what it has asked for
    with socket.socket(fileno=STDIN) as sock, contextlib.suppress(BrokenPipeError, ConnectionResetError):
        sock.setblocking(True)
        reader = Reader(decode_rules(_receive_frame(sock)))
        for text in WARM_UP:  # guards the first statements' time against what the parser builds at first use
            reader.read(normalize(text))
        sock.sendall(encode_frame(ParseResponse(READY)))
        while True:
            request = decode_request(_receive_frame(sock))
            result = _parse(reader, request.statement())
            sock.sendall(encode_frame(ParseResponse(request.request_number, result)))


if __name__ == "__main__":
    main()
