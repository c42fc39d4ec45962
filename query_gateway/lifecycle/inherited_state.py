"""The state that a successor requests from its predecessor before it builds any other part."""

import socket
from dataclasses import dataclass, field
from typing import Any

from query_gateway.lifecycle.upgrade_messages import (
    MAX_DESCRIPTORS,
    MAX_PACKET_BYTES,
    Hello,
    UpgradeMessageError,
    decode_offer,
    encode,
)
from query_gateway.net.log import log

OFFER_TIMEOUT_SECONDS = 2.0  # for each socket operation until the offer is received


@dataclass(slots=True)
class InheritedState:
    """A predecessor's offer: its listeners by front, its learned state, and the connection to it.

    The learned states are JSON values that have not been validated yet, or None if there are none.
    """

    connection: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)
    scheduler_state: Any = None
    statement_costs: Any = None


def request_inherited_state(path: str) -> InheritedState | None:
    """Request a predecessor's state; returns None if there is no predecessor or it sends no valid offer.

    Each socket operation blocks for `OFFER_TIMEOUT_SECONDS` at most. Blocking is safe here because nothing
    else runs in this process yet.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(OFFER_TIMEOUT_SECONDS)
    try:
        sock.connect(path)
        sock.send(encode(Hello()))
        data, descriptors, _, _ = socket.recv_fds(sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        offer = decode_offer(data)
        by_front = dict(zip(offer.fronts, listeners, strict=True))
    except (OSError, ValueError, UpgradeMessageError) as error:
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log("upgrade", f"cannot inherit state from a predecessor: {error!r}")
        sock.close()
        return None
    for listener in listeners:
        listener.setblocking(False)
    sock.setblocking(False)
    return InheritedState(sock, by_front, offer.scheduler_state, offer.statement_costs)
