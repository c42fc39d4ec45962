"""What a successor inherits: requested from the predecessor before anything else of this process is built."""

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

OFFER_TIMEOUT_SECONDS = 2.0  # in which a predecessor must answer


@dataclass(slots=True)
class InheritedState:
    """What a predecessor offers: its listeners by front, its learned state, and the connection to it.

    The learned states are JSON values that have not been checked yet, or None where there are none.
    """

    connection: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)
    scheduler_state: Any = None
    statement_costs: Any = None


def request_inherited_state(path: str) -> InheritedState | None:
    """Request a predecessor's state; None if there is no predecessor, or if it ends meanwhile.

    Blocks for `OFFER_TIMEOUT_SECONDS` at most: nothing else runs in this process yet.
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
            log("upgrade", f"no predecessor to follow: {error!r}")
        sock.close()
        return None
    for listener in listeners:
        listener.setblocking(False)
    sock.setblocking(False)
    return InheritedState(sock, by_front, offer.scheduler_state, offer.statement_costs)
