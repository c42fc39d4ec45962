"""BGP-4 messages (RFC 4271), as far as a speaker needs that only announces: encoders and one decoder."""

from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network

MARKER = b"\xff" * 16
HEADER, LONGEST = 19, 4_096
OPEN, UPDATE, NOTIFICATION, KEEPALIVE = 1, 2, 3, 4
LEAST = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19}
AS_TRANS = 23_456  # stands in an OPEN for a number of more than two octets

HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, STATE_ERROR, CEASE = 1, 2, 3, 4, 5, 6


class Malformed(Exception):
    """What is wrong, as the NOTIFICATION that answers it."""

    def __init__(self, code: int, subcode: int, data: bytes = b"") -> None:
        super().__init__(f"{code}/{subcode}")
        self.code, self.subcode, self.data = code, subcode, data


@dataclass(slots=True, frozen=True)
class Open:
    asn: int
    hold: int
    identifier: IPv4Address
    wide: bool = False  # it reads numbers of four octets


@dataclass(slots=True, frozen=True)
class Update:
    withdrawn: tuple[IPv4Network, ...] = ()
    announced: tuple[IPv4Network, ...] = ()


@dataclass(slots=True, frozen=True)
class Notification:
    code: int
    subcode: int
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Keepalive:
    pass


Message = Open | Update | Notification | Keepalive


def _message(kind: int, body: bytes = b"") -> bytes:
    return MARKER + (HEADER + len(body)).to_bytes(2, "big") + bytes([kind]) + body


def open_(asn: int, hold: int, identifier: IPv4Address) -> bytes:
    """With the capabilities for IPv4 unicast routes and for numbers of four octets (RFC 6793)."""
    capabilities = bytes([1, 4, 0, 1, 0, 1, 65, 4]) + asn.to_bytes(4, "big")
    options = bytes([2, len(capabilities)]) + capabilities
    short = asn if asn < 65_536 else AS_TRANS
    body = bytes([4]) + short.to_bytes(2, "big") + hold.to_bytes(2, "big") + identifier.packed
    return _message(OPEN, body + bytes([len(options)]) + options)


def keepalive() -> bytes:
    return _message(KEEPALIVE)


def notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    return _message(NOTIFICATION, bytes([code, subcode]) + data[: LONGEST - 21])


def _prefixes(networks: tuple[IPv4Network, ...]) -> bytes:
    return b"".join(
        bytes([n.prefixlen]) + n.network_address.packed[: (n.prefixlen + 7) // 8] for n in networks
    )


def withdraw(networks: tuple[IPv4Network, ...]) -> bytes:
    gone = _prefixes(networks)
    return _message(UPDATE, len(gone).to_bytes(2, "big") + gone + b"\0\0")


def announce(
    networks: tuple[IPv4Network, ...], asn: int, next_hop: IPv4Address, wide: bool, inner: bool
) -> bytes:
    """`wide`: the peer reads numbers of four octets; `inner`: it is of our own system, so no path."""
    path = b"" if inner else bytes([2, 1]) + asn.to_bytes(4 if wide else 2, "big")
    attributes = bytes([0x40, 1, 1, 0]) + bytes([0x40, 2, len(path)]) + path
    attributes += bytes([0x40, 3, 4]) + next_hop.packed
    if inner:
        attributes += bytes([0x40, 5, 4]) + (100).to_bytes(4, "big")  # LOCAL_PREF
    return _message(UPDATE, b"\0\0" + len(attributes).to_bytes(2, "big") + attributes + _prefixes(networks))


class Decoder:
    """Bytes in, whole messages out; raises Malformed with the right NOTIFICATION."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        self.buffer += data
        out: list[Message] = []
        while len(self.buffer) >= HEADER:
            length, kind = int.from_bytes(self.buffer[16:18], "big"), self.buffer[18]
            if self.buffer[:16] != MARKER:
                raise Malformed(HEADER_ERROR, 1)
            if kind not in LEAST:
                if not HEADER <= length <= LONGEST:
                    raise Malformed(HEADER_ERROR, 2, bytes(self.buffer[16:18]))
                raise Malformed(HEADER_ERROR, 3, bytes([kind]))
            wrong = length > LONGEST or length < LEAST[kind] or (kind == KEEPALIVE and length != HEADER)
            if wrong:
                raise Malformed(HEADER_ERROR, 2, bytes(self.buffer[16:18]))
            if len(self.buffer) < length:
                break
            body = bytes(self.buffer[HEADER:length])
            del self.buffer[:length]
            out.append(_decode(kind, body))
        return out


def _decode(kind: int, body: bytes) -> Message:
    if kind == OPEN:
        return _decode_open(body)
    if kind == UPDATE:
        return _decode_update(body)
    if kind == NOTIFICATION:
        return Notification(body[0], body[1], body[2:])
    return Keepalive()


def _decode_open(body: bytes) -> Open:
    if body[0] != 4:
        raise Malformed(OPEN_ERROR, 1, (4).to_bytes(2, "big"))
    asn, hold = int.from_bytes(body[1:3], "big"), int.from_bytes(body[3:5], "big")
    identifier = IPv4Address(body[5:9])
    if hold in (1, 2):
        raise Malformed(OPEN_ERROR, 6)
    if int(identifier) == 0:
        raise Malformed(OPEN_ERROR, 3)
    options, wide = body[10:], False
    if len(options) != body[9]:
        raise Malformed(OPEN_ERROR, 0)
    while options:
        if len(options) < 2 or len(options) < 2 + options[1]:
            raise Malformed(OPEN_ERROR, 0)
        if options[0] != 2:
            raise Malformed(OPEN_ERROR, 4)
        found = _wide_number(options[2 : 2 + options[1]])
        asn, wide = (asn, wide) if found is None else (found, True)
        options = options[2 + options[1] :]
    if asn == 0:
        raise Malformed(OPEN_ERROR, 2)
    return Open(asn, hold, identifier, wide)


def _wide_number(capabilities: bytes) -> int | None:
    asn = None
    while capabilities:
        if len(capabilities) < 2 or len(capabilities) < 2 + capabilities[1]:
            raise Malformed(OPEN_ERROR, 0)
        if capabilities[0] == 65 and capabilities[1] == 4:
            asn = int.from_bytes(capabilities[2:6], "big")
        capabilities = capabilities[2 + capabilities[1] :]
    return asn


def _decode_update(body: bytes) -> Update:
    gone = int.from_bytes(body[:2], "big")
    if gone + 4 > len(body):
        raise Malformed(UPDATE_ERROR, 1)
    size = int.from_bytes(body[2 + gone : 4 + gone], "big")
    if gone + 4 + size > len(body):
        raise Malformed(UPDATE_ERROR, 1)
    withdrawn = _networks(body[2 : 2 + gone], 1)
    return Update(withdrawn, _networks(body[4 + gone + size :], 10))


def _networks(data: bytes, subcode: int) -> tuple[IPv4Network, ...]:
    out = []
    while data:
        bits, size = data[0], (data[0] + 7) // 8
        if bits > 32 or len(data) < 1 + size:
            raise Malformed(UPDATE_ERROR, subcode)
        address = data[1 : 1 + size].ljust(4, b"\0")
        out.append(IPv4Network((address, bits), strict=False))
        data = data[1 + size :]
    return tuple(out)
