"""BGP-4 messages (RFC 4271): encoders and a decoder, limited to what an announce-only speaker needs.

Performs no I/O. A protocol error carries the fields of the NOTIFICATION to send in response.
"""

from dataclasses import dataclass
from enum import IntEnum
from ipaddress import IPv4Address, IPv4Network

MARKER = b"\xff" * 16
HEADER_BYTES = 19  # marker, length and type
MAX_MESSAGE_BYTES = 4_096
NOTIFICATION_HEADER_BYTES = 21  # the message header, error code and error subcode
VERSION = 4

MAX_TWO_OCTET_ASN = 65_535
AS_TRANS = 23_456  # replaces an AS number that exceeds two octets in the AS field of an OPEN (RFC 6793)

OPTIONAL_PARAMETER_CAPABILITIES = 2
CAPABILITY_MULTIPROTOCOL = 1
CAPABILITY_FOUR_OCTET_ASN = 65
IPV4_UNICAST = bytes([0, 1, 0, 1])  # AFI 1, a reserved octet, SAFI 1

WELL_KNOWN_TRANSITIVE = 0x40  # the flags of every path attribute that this speaker sends
ATTRIBUTE_ORIGIN = 1
ATTRIBUTE_AS_PATH = 2
ATTRIBUTE_NEXT_HOP = 3
ATTRIBUTE_LOCAL_PREF = 5
ORIGIN_IGP = 0
AS_SEQUENCE = 2
LOCAL_PREF = 100


class MessageType(IntEnum):
    """The values of the type octet in the message header."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4


MIN_MESSAGE_BYTES = {
    MessageType.OPEN: 29,
    MessageType.UPDATE: 23,
    MessageType.NOTIFICATION: 21,
    MessageType.KEEPALIVE: 19,
}  # including the header


class ErrorCode(IntEnum):
    """The error codes of a NOTIFICATION."""

    MESSAGE_HEADER = 1
    OPEN_MESSAGE = 2
    UPDATE_MESSAGE = 3
    HOLD_TIMER_EXPIRED = 4
    FINITE_STATE_MACHINE = 5
    CEASE = 6


class HeaderError(IntEnum):
    """The subcodes of `ErrorCode.MESSAGE_HEADER`."""

    NOT_SYNCHRONIZED = 1
    BAD_LENGTH = 2
    BAD_TYPE = 3


class OpenError(IntEnum):
    """The subcodes of `ErrorCode.OPEN_MESSAGE`."""

    UNSPECIFIC = 0
    UNSUPPORTED_VERSION = 1
    BAD_PEER_AS = 2
    BAD_IDENTIFIER = 3
    UNSUPPORTED_PARAMETER = 4
    UNACCEPTABLE_HOLD_TIME = 6


class UpdateError(IntEnum):
    """The subcodes of `ErrorCode.UPDATE_MESSAGE`."""

    MALFORMED_ATTRIBUTE_LIST = 1
    INVALID_NETWORK_FIELD = 10


UNSPECIFIC = 0  # the subcode for error codes without subcodes
ADMINISTRATIVE_SHUTDOWN = 2  # a subcode of `ErrorCode.CEASE` (RFC 4486)


class BgpProtocolError(Exception):
    """The peer violated the protocol; holds the fields of the NOTIFICATION to send in response."""

    def __init__(self, code: ErrorCode, subcode: int, data: bytes = b"") -> None:
        """Store the error code, the subcode and the data field of the NOTIFICATION."""
        super().__init__(f"{code}/{subcode}")
        self.code, self.subcode, self.data = code, subcode, data


@dataclass(slots=True, frozen=True)
class Open:
    """OPEN: the identity of the sender and the hold time that it proposes, in seconds."""

    asn: int
    hold_time: int
    identifier: IPv4Address
    four_octet_asn: bool = False  # the sender supports four-octet AS numbers


@dataclass(slots=True, frozen=True)
class Update:
    """UPDATE: the withdrawn and the announced prefixes; path attributes are not decoded."""

    withdrawn: tuple[IPv4Network, ...] = ()
    announced: tuple[IPv4Network, ...] = ()


@dataclass(slots=True, frozen=True)
class Notification:
    """NOTIFICATION: the reason for which the sender ends the session."""

    code: int
    subcode: int
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Keepalive:
    """KEEPALIVE: restarts the receiver's hold timer; has no fields."""


Message = Open | Update | Notification | Keepalive


@dataclass(slots=True, frozen=True)
class MessageHeader:
    """The header of a message; `length` is in bytes and includes the header."""

    message_type: MessageType
    length: int


def _encode(message_type: MessageType, body: bytes = b"") -> bytes:
    return MARKER + (HEADER_BYTES + len(body)).to_bytes(2, "big") + bytes([message_type]) + body


def encode_open(asn: int, hold_time: int, identifier: IPv4Address) -> bytes:
    """Encode an OPEN with the capabilities for IPv4 unicast and for four-octet AS numbers (RFC 6793)."""
    capabilities = bytes([CAPABILITY_MULTIPROTOCOL, len(IPV4_UNICAST)]) + IPV4_UNICAST
    capabilities += bytes([CAPABILITY_FOUR_OCTET_ASN, 4]) + asn.to_bytes(4, "big")
    parameters = bytes([OPTIONAL_PARAMETER_CAPABILITIES, len(capabilities)]) + capabilities
    two_octet_asn = asn if asn <= MAX_TWO_OCTET_ASN else AS_TRANS
    body = bytes([VERSION]) + two_octet_asn.to_bytes(2, "big") + hold_time.to_bytes(2, "big")
    body += identifier.packed + bytes([len(parameters)]) + parameters
    return _encode(MessageType.OPEN, body)


def encode_keepalive() -> bytes:
    """Encode a KEEPALIVE, which consists of the header only."""
    return _encode(MessageType.KEEPALIVE)


def encode_notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    """Encode a NOTIFICATION; the data is truncated to the maximum message length."""
    body = bytes([code, subcode]) + data[: MAX_MESSAGE_BYTES - NOTIFICATION_HEADER_BYTES]
    return _encode(MessageType.NOTIFICATION, body)


def _encode_prefixes(networks: tuple[IPv4Network, ...]) -> bytes:
    return b"".join(
        bytes([network.prefixlen]) + network.network_address.packed[: (network.prefixlen + 7) // 8]
        for network in networks
    )


def encode_withdrawal(networks: tuple[IPv4Network, ...]) -> bytes:
    """Encode an UPDATE that withdraws `networks`."""
    withdrawn = _encode_prefixes(networks)
    return _encode(MessageType.UPDATE, len(withdrawn).to_bytes(2, "big") + withdrawn + b"\0\0")


def _encode_attribute(attribute: int, value: bytes) -> bytes:
    return bytes([WELL_KNOWN_TRANSITIVE, attribute, len(value)]) + value


def encode_announcement(
    networks: tuple[IPv4Network, ...],
    asn: int,
    next_hop: IPv4Address,
    four_octet_asn: bool,
    internal: bool,
) -> bytes:
    """Encode an UPDATE that announces `networks`.

    `four_octet_asn`: the peer supports four-octet AS numbers; `internal`: the peer belongs to our own AS, so
    the AS_PATH is empty and LOCAL_PREF is mandatory.
    """
    segment = bytes([AS_SEQUENCE, 1]) + asn.to_bytes(4 if four_octet_asn else 2, "big")
    attributes = _encode_attribute(ATTRIBUTE_ORIGIN, bytes([ORIGIN_IGP]))
    attributes += _encode_attribute(ATTRIBUTE_AS_PATH, b"" if internal else segment)
    attributes += _encode_attribute(ATTRIBUTE_NEXT_HOP, next_hop.packed)
    if internal:
        attributes += _encode_attribute(ATTRIBUTE_LOCAL_PREF, LOCAL_PREF.to_bytes(4, "big"))
    body = b"\0\0" + len(attributes).to_bytes(2, "big") + attributes + _encode_prefixes(networks)
    return _encode(MessageType.UPDATE, body)


class MessageDecoder:
    """Decodes the byte stream of a connection into messages, regardless of how it is split into reads."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()  # the received part of an incomplete message

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that `data` completes, in order.

        Raises BgpProtocolError for the first malformed message; the decoder must not be used afterwards.
        """
        self.buffer += data
        messages: list[Message] = []
        while len(self.buffer) >= HEADER_BYTES:
            header = self._decode_header()
            if len(self.buffer) < header.length:
                break
            body = bytes(self.buffer[HEADER_BYTES : header.length])
            del self.buffer[: header.length]
            messages.append(_decode(header.message_type, body))
        return messages

    def _decode_header(self) -> MessageHeader:
        """Return the header at the start of the buffer; raises BgpProtocolError (RFC 4271 section 6.1)."""
        if self.buffer[:16] != MARKER:
            raise _header_error(HeaderError.NOT_SYNCHRONIZED)
        length_field, type_octet = bytes(self.buffer[16:18]), self.buffer[18]
        length = int.from_bytes(length_field, "big")
        if not HEADER_BYTES <= length <= MAX_MESSAGE_BYTES:
            raise _header_error(HeaderError.BAD_LENGTH, length_field)
        if type_octet not in MIN_MESSAGE_BYTES:
            raise _header_error(HeaderError.BAD_TYPE, bytes([type_octet]))
        message_type = MessageType(type_octet)
        if length < MIN_MESSAGE_BYTES[message_type]:
            raise _header_error(HeaderError.BAD_LENGTH, length_field)
        if message_type is MessageType.KEEPALIVE and length != HEADER_BYTES:
            raise _header_error(HeaderError.BAD_LENGTH, length_field)
        return MessageHeader(message_type, length)


def _decode(message_type: MessageType, body: bytes) -> Message:
    if message_type is MessageType.OPEN:
        return _decode_open(body)
    if message_type is MessageType.UPDATE:
        return _decode_update(body)
    if message_type is MessageType.NOTIFICATION:
        return Notification(body[0], body[1], body[2:])
    return Keepalive()


def _header_error(subcode: HeaderError, data: bytes = b"") -> BgpProtocolError:
    return BgpProtocolError(ErrorCode.MESSAGE_HEADER, subcode, data)


def _open_error(subcode: OpenError, data: bytes = b"") -> BgpProtocolError:
    return BgpProtocolError(ErrorCode.OPEN_MESSAGE, subcode, data)


def _decode_open(body: bytes) -> Open:
    if body[0] != VERSION:
        raise _open_error(OpenError.UNSUPPORTED_VERSION, VERSION.to_bytes(2, "big"))
    two_octet_asn, hold_time = int.from_bytes(body[1:3], "big"), int.from_bytes(body[3:5], "big")
    identifier = IPv4Address(body[5:9])
    if hold_time in (1, 2):
        raise _open_error(OpenError.UNACCEPTABLE_HOLD_TIME)
    if int(identifier) == 0:
        raise _open_error(OpenError.BAD_IDENTIFIER)
    parameters = body[10:]
    if len(parameters) != body[9]:
        raise _open_error(OpenError.UNSPECIFIC)
    four_octet_asn = _decode_parameters(parameters)
    asn = two_octet_asn if four_octet_asn is None else four_octet_asn
    if asn == 0:
        raise _open_error(OpenError.BAD_PEER_AS)
    return Open(asn, hold_time, identifier, four_octet_asn is not None)


def _decode_parameters(parameters: bytes) -> int | None:
    """Return the four-octet AS number in the optional parameters of an OPEN; None if there is none."""
    asn = None
    while parameters:
        if len(parameters) < 2 or len(parameters) < 2 + parameters[1]:
            raise _open_error(OpenError.UNSPECIFIC)
        if parameters[0] != OPTIONAL_PARAMETER_CAPABILITIES:
            raise _open_error(OpenError.UNSUPPORTED_PARAMETER)
        capability_asn = _decode_capabilities(parameters[2 : 2 + parameters[1]])
        asn = asn if capability_asn is None else capability_asn
        parameters = parameters[2 + parameters[1] :]
    return asn


def _decode_capabilities(capabilities: bytes) -> int | None:
    """Return the AS number in the four-octet AS number capability, if any; other capabilities are skipped."""
    asn = None
    while capabilities:
        if len(capabilities) < 2 or len(capabilities) < 2 + capabilities[1]:
            raise _open_error(OpenError.UNSPECIFIC)
        if capabilities[0] == CAPABILITY_FOUR_OCTET_ASN and capabilities[1] == 4:
            asn = int.from_bytes(capabilities[2:6], "big")
        capabilities = capabilities[2 + capabilities[1] :]
    return asn


def _decode_update(body: bytes) -> Update:
    malformed = BgpProtocolError(ErrorCode.UPDATE_MESSAGE, UpdateError.MALFORMED_ATTRIBUTE_LIST)
    withdrawn_length = int.from_bytes(body[:2], "big")
    if withdrawn_length + 4 > len(body):
        raise malformed
    attributes_start = 4 + withdrawn_length
    attributes_length = int.from_bytes(body[2 + withdrawn_length : attributes_start], "big")
    if attributes_start + attributes_length > len(body):
        raise malformed
    withdrawn = _decode_prefixes(body[2 : 2 + withdrawn_length], UpdateError.MALFORMED_ATTRIBUTE_LIST)
    announced = _decode_prefixes(
        body[attributes_start + attributes_length :], UpdateError.INVALID_NETWORK_FIELD
    )
    return Update(withdrawn, announced)


def _decode_prefixes(data: bytes, subcode: UpdateError) -> tuple[IPv4Network, ...]:
    networks = []
    while data:
        prefix_length, octets = data[0], (data[0] + 7) // 8
        if prefix_length > 32 or len(data) < 1 + octets:
            raise BgpProtocolError(ErrorCode.UPDATE_MESSAGE, subcode)
        address = data[1 : 1 + octets].ljust(4, b"\0")
        networks.append(IPv4Network((address, prefix_length), strict=False))
        data = data[1 + octets :]
    return tuple(networks)
