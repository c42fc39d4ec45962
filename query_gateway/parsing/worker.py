"""A parser process: rules once, then shapes in and plans out on its standard input, a socket."""

import resource
import signal
import socket
import sys

from query_gateway.parsing.frames import LENGTH, ParseResponse, decode_request, decode_rules, encode_frame
from query_gateway.statements.messages import ParseResult
from query_gateway.statements.normalizer import normalize
from query_gateway.statements.reader import Reader

WARM = ("SELECT a, count(*) FROM b WHERE c = 1 GROUP BY a ORDER BY 1", "DELETE FROM a WHERE b = 1")
MEMORY = 1 << 30  # bytes of address space: guards the machine against a parse that never stops growing


def _read(sock: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        more = sock.recv(size - len(data))
        if not more:
            sys.exit(0)  # the gateway has ended
        data += more
    return data


def _frame(sock: socket.socket) -> bytes:
    return _read(sock, LENGTH.unpack(_read(sock, LENGTH.size))[0])


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the gateway's own end ends this process
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
    sock = socket.socket(fileno=0)
    sock.setblocking(True)
    reader = Reader(decode_rules(_frame(sock)))
    for text in WARM:  # guards the first statements' time against what the parser builds at its first use
        reader.read(normalize(text))
    sock.sendall(encode_frame(ParseResponse(0)))
    while True:
        ask = decode_request(_frame(sock))
        try:
            plan = reader.read(ask.shape())
        except (RecursionError, MemoryError):
            plan = ParseResult(True, reason="it nests too deep", is_parsed=False)
        except Exception as fault:  # guards the others: a parser's own fault turns down one statement
            plan = ParseResult(
                True, reason=f"the parser broke on it: {type(fault).__name__}", is_parsed=False
            )
        sock.sendall(encode_frame(ParseResponse(ask.request_number, plan)))


if __name__ == "__main__":
    main()
