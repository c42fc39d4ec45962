"""The endpoint list as the discovery service and the configuration write it, decoded into endpoints.

The keys and words of that JSON stand in this module alone.
"""

from dataclasses import dataclass
from typing import Any

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.units import MS
from query_gateway.net.stream import address_of

STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
ADDRESS_KEYS = {"web": "dial", "flight": "flight"}  # by wire
MAX_NAME_LENGTH = 200  # characters of an endpoint's name
MAX_ENDPOINTS = 4_096  # in one event


class EndpointListError(Exception):
    """A part of an endpoint list that cannot be decoded; says which one and why."""


class ZoneAndKindNames:
    """The numbers of zones and kinds: their positions in the settings."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        """Number both from 0."""
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}


@dataclass(slots=True, frozen=True)
class EndpointListEvent:
    """One numbered event: a snapshot holds all endpoints, a delta those that have changed."""

    position: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True, frozen=True)
class EndpointListAnswer:
    """An answer to a poll: the position of the service's last event, and events up to it in their order."""

    position: int
    events: tuple[EndpointListEvent, ...]


def parse_endpoint(raw: Any, names: ZoneAndKindNames) -> Endpoint:
    """Decode one endpoint of an event; raises EndpointListError.

    A zone or kind that the settings do not name gets the number after theirs.
    """
    try:
        name, state = str(raw["host"]), STATES[raw["health"]]
        addresses = {wire: str(raw[key]) for wire, key in ADDRESS_KEYS.items() if raw.get(key)}
        if state is not EndpointState.REMOVED:
            for address in addresses.values():
                address_of(address)
        if not 0 < len(name) <= MAX_NAME_LENGTH or any(character.isspace() for character in name):
            raise EndpointListError("an endpoint's name is invalid")
        # JSON may contain a lone surrogate, which cannot be encoded: the planner raises an error at such a
        # name, and so does each one that is started after it. Encoded here, it is rejected here.
        name.encode()
        info = EndpointInfo(
            name=name,
            state=state,
            zone=names.zones.get(raw.get("site", ""), len(names.zones)),
            kind=names.kinds.get(raw.get("class", ""), len(names.kinds)),
            group=int(raw.get("block") or 0),
            started_at=int(raw.get("born_ms") or 0) * MS,
            size=float(raw.get("share", 1.0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"an endpoint of the list is invalid ({error})") from None
    return Endpoint(info, addresses)


def _parse_event(raw: Any, names: ZoneAndKindNames) -> EndpointListEvent:
    hosts = raw.get("hosts")
    if hosts is None:  # another kind of event, of a later version: only its position matters
        return EndpointListEvent(int(raw["pos"]), False, ())
    if len(hosts["hosts"]) > MAX_ENDPOINTS:
        raise EndpointListError("the list is too long")
    endpoints = tuple(parse_endpoint(host, names) for host in hosts["hosts"])
    return EndpointListEvent(int(raw["pos"]), bool(hosts.get("whole")), endpoints)


def parse_answer(raw: Any, names: ZoneAndKindNames) -> EndpointListAnswer:
    """Decode an answer of the discovery service, or the list in the configuration.

    Raises EndpointListError at the first part that cannot be decoded.
    """
    try:
        events = tuple(_parse_event(event, names) for event in raw["entries"])
        return EndpointListAnswer(int(raw["pos"]), events)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"an endpoint list event is invalid ({error})") from None
