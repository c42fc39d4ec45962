"""The settings of the BGP speaker, in a module of their own as the speaker is imported only if enabled."""

from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network


@dataclass(slots=True, frozen=True)
class BgpSettings:
    """The local speaker, its peer, and the networks to announce."""

    peer: tuple[str, int]
    asn: int
    peer_asn: int
    identifier: IPv4Address
    next_hop: IPv4Address
    networks: tuple[IPv4Network, ...]
    hold_time: int = 90  # seconds, as proposed in our OPEN; 0: neither a hold timer nor keepalives
    reconnect_delay: float = 5.0  # seconds from the end of a connection to the next attempt to connect
