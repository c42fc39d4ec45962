"""The settings of the BGP speaker; the speaker itself is imported only where it is on."""

from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network


@dataclass(slots=True, frozen=True)
class BgpSettings:
    """Who we are, who the peer is, and what is announced to it."""

    peer: tuple[str, int]
    asn: int
    peer_asn: int
    identifier: IPv4Address
    next_hop: IPv4Address
    networks: tuple[IPv4Network, ...]
    hold_time: int = 90  # seconds; 0: no keepalives
    reconnect_delay: float = 5.0  # seconds before a new connection
