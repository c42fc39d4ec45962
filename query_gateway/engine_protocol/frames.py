"""The engines' wire: lines of words ended by CR LF, some followed by so many bytes."""

from dataclasses import dataclass, field

LINE = 4_096  # bytes of one line
BODY = 1_048_576  # bytes that may follow one
WORDS = frozenset(("ok", "refused", "error", "stale", "progress", "batch", "yes", "no"))


class BadFrame(Exception):
    """Bytes that are no answer of an engine."""


@dataclass(slots=True, frozen=True)
class Frame:
    name: str
    word: str
    fields: dict[str, str] = field(default_factory=dict)
    data: bytes = b""


def _fields(text: str) -> dict[str, str]:
    if text == "-":
        return {}
    out = {}
    for pair in text.split(","):
        name, mark, value = pair.partition("=")
        if not mark or not name:
            raise BadFrame(f"{pair[:40]!r} is not name=value")
        out[name] = value
    return out


def request(name: str, fields: dict[str, str], statement: bytes) -> bytes:
    told = ",".join(f"{k}={v}" for k, v in fields.items()) or "-"
    return b"REQ %b %b %d\r\n%b\r\n" % (name.encode(), told.encode(), len(statement), statement)


def stop(name: str) -> bytes:
    return f"STOP {name}\r\n".encode()


def nice(name: str, priority: int) -> bytes:
    return f"NICE {name} {priority}\r\n".encode()


def fetch(name: str, page: int) -> bytes:
    return f"FETCH {name} {page}\r\n".encode()


def end(name: str) -> bytes:
    return f"END {name}\r\n".encode()


class Decoder:
    """Bytes in, whole frames out; what is not yet whole is kept, and no more than one frame of it."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.head: tuple[str, str, dict[str, str], int] | None = None

    @property
    def partial(self) -> bool:
        return self.head is not None or bool(self.buffer)

    def feed(self, data: bytes) -> list[Frame]:
        self.buffer += data
        out: list[Frame] = []
        while (frame := self._next()) is not None:
            out.append(frame)
        return out

    def _next(self) -> Frame | None:
        while self.head is None:
            at = self.buffer.find(b"\n")
            if at < 0 or at > LINE:
                if at > LINE or len(self.buffer) > LINE:
                    raise BadFrame("a line is too long")
                return None
            line = bytes(self.buffer[:at])
            del self.buffer[: at + 1]
            if line not in (b"", b"\r"):
                self.head = self._head(line)
        name, word, fields, length = self.head
        if length and len(self.buffer) < length + 2:
            return None
        data = bytes(self.buffer[:length])
        if length:
            if self.buffer[length : length + 2] != b"\r\n":
                raise BadFrame("no CR LF behind the bytes")
            del self.buffer[: length + 2]
        self.head = None
        return Frame(name, word, fields, data)

    @staticmethod
    def _head(line: bytes) -> tuple[str, str, dict[str, str], int]:
        if not line.endswith(b"\r"):
            raise BadFrame("a line ends without CR")
        try:
            words = line[:-1].decode("ascii").split(" ")
        except UnicodeDecodeError:
            raise BadFrame("a line is not ASCII") from None
        if len(words) != 4 or words[1] not in WORDS:
            raise BadFrame(f"{line[:60]!r} is no answer")
        length = words[3]
        if not length.isdigit() or len(length) > 7 or int(length) > BODY:
            raise BadFrame("the length is no number or too long")
        return words[0], words[1], _fields(words[2]), int(length)
