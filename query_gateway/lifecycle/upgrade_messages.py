"""The messages that predecessor and successor exchange, and their packets.

A packet is one JSON object, some with file descriptors beside it:

    from         message         packet                                                   descriptors
    successor    Hello           {"hello": VERSION}
    successor    Ready           {"ready": true}
    predecessor  Offer           {"fronts": [...], "learned": {...}, "statements": {...}} listening sockets
    predecessor  Draining        {"leaving": true}
    predecessor  ClientTransfer  {"client": PEER, "asked": BOOL}                          the connection

The other process may run an earlier or a later version of this program, so the keys and the names of the
fronts never change. They stand in this module alone.
"""

import json
from dataclasses import dataclass
from typing import Any

PROTOCOL_VERSION = 1
MAX_PACKET_BYTES = 200_000
MAX_DESCRIPTORS = 8  # with one packet

HELLO_KEY = "hello"
READY_KEY = "ready"
FRONTS_KEY = "fronts"
SCHEDULER_STATE_KEY = "learned"
STATEMENT_COSTS_KEY = "statements"
DRAINING_KEY = "leaving"
CLIENT_KEY = "client"
HAS_SENT_REQUEST_KEY = "asked"

HTTP_FRONT, FLIGHT_FRONT = "web", "flight"  # the names that `fronts` holds

Packet = dict[str, Any]  # a packet's JSON object


class UpgradeMessageError(Exception):
    """A packet that cannot be decoded, or that is not the expected one; says what it holds."""


@dataclass(slots=True, frozen=True)
class Hello:
    """The successor has started and requests the state that it inherits."""


@dataclass(slots=True, frozen=True)
class Ready:
    """The successor accepts clients."""


@dataclass(slots=True, frozen=True)
class Offer:
    """What the successor inherits; the listening sockets come as descriptors, in the order of `fronts`.

    The states are plain JSON values, or None where there is none or it does not fit into a packet.
    """

    fronts: tuple[str, ...]
    scheduler_state: Any = None
    statement_costs: Any = None


@dataclass(slots=True, frozen=True)
class Draining:
    """The predecessor accepts no more clients."""


@dataclass(slots=True, frozen=True)
class ClientTransfer:
    """A client's idle connection, which comes as the one descriptor."""

    peer: str
    has_sent_request: bool  # whether a request has been answered on it


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """An object with none of the expected keys: perhaps of a later version."""


FromSuccessor = Hello | Ready | UnknownMessage
FromPredecessor = Draining | ClientTransfer | UnknownMessage
UpgradeMessage = Hello | Ready | Offer | Draining | ClientTransfer


def encode(message: UpgradeMessage) -> bytes:
    """The packet of a message."""
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
    """An offer that fits into a packet: one that is too long lacks the costs, then the scheduler's state."""
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
    """The object that a packet holds. Raises UpgradeMessageError."""
    try:
        packet = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise UpgradeMessageError(f"a packet is no JSON: {error!r}") from None
    if not isinstance(packet, dict):
        raise UpgradeMessageError(f"a packet holds {packet!r:.40} in place of an object")
    return packet


def decode_offer(data: bytes) -> Offer:
    """What a predecessor answers to "hello". Raises UpgradeMessageError."""
    packet = decode_packet(data)
    fronts = packet.get(FRONTS_KEY)
    if not isinstance(fronts, list) or not all(isinstance(front, str) for front in fronts):
        raise UpgradeMessageError(f"an offer names {fronts!r:.40} in place of its fronts")
    return Offer(tuple(fronts), packet.get(SCHEDULER_STATE_KEY), packet.get(STATEMENT_COSTS_KEY))


def decode_from_successor(packet: Packet) -> FromSuccessor:
    """The message that a successor sent; a hello of another protocol version is unknown here."""
    if packet.get(HELLO_KEY) == PROTOCOL_VERSION:
        return Hello()
    if packet.get(READY_KEY) is True:
        return Ready()
    return UnknownMessage()


def decode_from_predecessor(packet: Packet) -> FromPredecessor:
    """The message that a predecessor sent after its offer."""
    peer, has_sent_request = packet.get(CLIENT_KEY), packet.get(HAS_SENT_REQUEST_KEY)
    if isinstance(peer, str) and isinstance(has_sent_request, bool):
        return ClientTransfer(peer, has_sent_request)
    if packet.get(DRAINING_KEY) is True:
        return Draining()
    return UnknownMessage()
