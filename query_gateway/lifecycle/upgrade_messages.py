"""The messages between predecessor and successor, and their encoding as packets.

A packet is one JSON object. Some messages also carry file descriptors:

    from         message         packet                                                   descriptors
    successor    Hello           {"hello": VERSION}
    successor    Ready           {"ready": true}
    predecessor  Offer           {"fronts": [...], "learned": {...}, "statements": {...}} listening sockets
    predecessor  Draining        {"leaving": true}
    predecessor  ClientTransfer  {"client": PEER, "asked": BOOL}                          the connection

The other process may run an earlier or a later version of this program, so the keys and the front names must
never change. They are defined only in this module.
"""

import json
from dataclasses import dataclass
from typing import Any

PROTOCOL_VERSION = 1
MAX_PACKET_BYTES = 200_000
MAX_DESCRIPTORS = 8  # per packet

HELLO_KEY = "hello"
READY_KEY = "ready"
FRONTS_KEY = "fronts"
SCHEDULER_STATE_KEY = "learned"
STATEMENT_COSTS_KEY = "statements"
DRAINING_KEY = "leaving"
CLIENT_KEY = "client"
HAS_SENT_REQUEST_KEY = "asked"

HTTP_FRONT, FLIGHT_FRONT = "web", "flight"  # names of the client-facing servers in `Offer.fronts`

Packet = dict[str, Any]  # the JSON object of a packet


class UpgradeMessageError(Exception):
    """Raised for a packet that cannot be decoded or is not the expected one; its text shows the content."""


@dataclass(slots=True, frozen=True)
class Hello:
    """The successor has started and requests an offer."""


@dataclass(slots=True, frozen=True)
class Ready:
    """The successor accepts clients."""


@dataclass(slots=True, frozen=True)
class Offer:
    """The state for a successor; the listening sockets are sent as descriptors, in the order of `fronts`.

    `scheduler_state` and `statement_costs` are JSON values; None if there is no such state or it does not fit
    into a packet.
    """

    fronts: tuple[str, ...]
    scheduler_state: Any = None
    statement_costs: Any = None


@dataclass(slots=True, frozen=True)
class Draining:
    """The predecessor accepts no more clients."""


@dataclass(slots=True, frozen=True)
class ClientTransfer:
    """An idle client connection, sent as the only descriptor."""

    peer: str
    has_sent_request: bool  # whether a request has been answered on this connection


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A JSON object without any expected key, possibly from a later version of the program."""


FromSuccessor = Hello | Ready | UnknownMessage
FromPredecessor = Draining | ClientTransfer | UnknownMessage
UpgradeMessage = Hello | Ready | Offer | Draining | ClientTransfer


def encode(message: UpgradeMessage) -> bytes:
    """Encode a message as a packet."""
    return json.dumps(_packet_of(message)).encode()


def _packet_of(message: UpgradeMessage) -> Packet:
    match message:
        case Hello():
            return {HELLO_KEY: PROTOCOL_VERSION}
        case Ready():
            return {READY_KEY: True}
        case Draining():
            return {DRAINING_KEY: True}
        case ClientTransfer(peer, has_sent_request):
            return {CLIENT_KEY: peer, HAS_SENT_REQUEST_KEY: has_sent_request}
        case Offer():
            return _offer_packet(message)


def _offer_packet(offer: Offer) -> Packet:
    """An offer that fits into a packet; if too long, drops the statement costs, then the scheduler state."""
    packet: Packet = {FRONTS_KEY: list(offer.fronts)}
    if offer.scheduler_state is not None:
        packet[SCHEDULER_STATE_KEY] = offer.scheduler_state
    if offer.statement_costs is not None:
        packet[STATEMENT_COSTS_KEY] = offer.statement_costs
    for key in (STATEMENT_COSTS_KEY, SCHEDULER_STATE_KEY):
        if len(json.dumps(packet)) > MAX_PACKET_BYTES:
            packet.pop(key, None)
    return packet


def decode_packet(data: bytes) -> Packet:
    """Decode the JSON object of a packet. Raises UpgradeMessageError."""
    try:
        packet = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise UpgradeMessageError(f"packet is not valid JSON: {error!r}") from None
    if not isinstance(packet, dict):
        raise UpgradeMessageError(f"packet holds {packet!r:.40}; expected a JSON object")
    return packet


def decode_offer(data: bytes) -> Offer:
    """Decode a predecessor's answer to a hello. Raises UpgradeMessageError."""
    packet = decode_packet(data)
    fronts = packet.get(FRONTS_KEY)
    if not isinstance(fronts, list) or not all(isinstance(front, str) for front in fronts):
        raise UpgradeMessageError(f"offer has fronts {fronts!r:.40}; expected a list of names")
    return Offer(tuple(fronts), packet.get(SCHEDULER_STATE_KEY), packet.get(STATEMENT_COSTS_KEY))


def decode_from_successor(packet: Packet) -> FromSuccessor:
    """Decode a successor's message; a hello with another protocol version is an unknown message."""
    if packet.get(HELLO_KEY) == PROTOCOL_VERSION:
        return Hello()
    if packet.get(READY_KEY) is True:
        return Ready()
    return UnknownMessage()


def decode_from_predecessor(packet: Packet) -> FromPredecessor:
    """Decode a message that a predecessor sends after its offer."""
    peer, has_sent_request = packet.get(CLIENT_KEY), packet.get(HAS_SENT_REQUEST_KEY)
    if isinstance(peer, str) and isinstance(has_sent_request, bool):
        return ClientTransfer(peer, has_sent_request)
    if packet.get(DRAINING_KEY) is True:
        return Draining()
    return UnknownMessage()
