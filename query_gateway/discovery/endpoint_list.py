"""Decodes the endpoint list as the discovery service and the configuration encode it in JSON.

Only this module knows the keys and values of that JSON.
"""

from dataclasses import dataclass
from typing import Any

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.units import MS
from query_gateway.net.stream import address_of

STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
ADDRESS_KEYS = {"web": "dial", "flight": "flight"}  # JSON keys of the addresses, by wire
MAX_NAME_LENGTH = 200  # in characters
MAX_ENDPOINTS = 4_096  # in one event


class EndpointListError(Exception):
    """Part of an endpoint list cannot be decoded; the message says which part and why."""


class ZoneAndKindNames:
    """Maps the names of zones and kinds to their numbers, which are their positions in the settings."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        """Number the zones and the kinds, each from 0."""
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
    """An answer to a poll: the position of the service's last event, and the events up to it in order."""

    position: int
    events: tuple[EndpointListEvent, ...]


def parse_endpoint(raw: Any, names: ZoneAndKindNames) -> Endpoint:
    """Decode one endpoint of an event; raises EndpointListError.

    A zone or kind that is not in the settings gets the number after the last one there.
    """
    try:
        name, state = str(raw["host"]), STATES[raw["health"]]
        addresses = {wire: str(raw[key]) for wire, key in ADDRESS_KEYS.items() if raw.get(key)}
        if state is not EndpointState.REMOVED:
            for address in addresses.values():
                address_of(address)
        if not 0 < len(name) <= MAX_NAME_LENGTH or any(character.isspace() for character in name):
            raise EndpointListError(
                f"an endpoint name is empty, over {MAX_NAME_LENGTH} characters or has white space"
            )
        # JSON strings may contain lone surrogates, which cannot be encoded as UTF-8. The planner would raise
        # an error on such a name, and so would each planner restarted after it; so it is rejected here
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
        raise EndpointListError(f"invalid endpoint in the endpoint list ({error})") from None
    return Endpoint(info, addresses)


def _parse_event(raw: Any, names: ZoneAndKindNames) -> EndpointListEvent:
    hosts = raw.get("hosts")
    if hosts is None:  # an event type of a later version: only its position is used
        return EndpointListEvent(int(raw["pos"]), False, ())
    if len(hosts["hosts"]) > MAX_ENDPOINTS:
        raise EndpointListError(f"an endpoint list event has more than {MAX_ENDPOINTS} endpoints")
    endpoints = tuple(parse_endpoint(host, names) for host in hosts["hosts"])
    return EndpointListEvent(int(raw["pos"]), bool(hosts.get("whole")), endpoints)


def parse_answer(raw: Any, names: ZoneAndKindNames) -> EndpointListAnswer:
    """Decode an answer of the discovery service, or the list in the configuration.

    Raises EndpointListError for the first part that cannot be decoded.
    """
    try:
        events = tuple(_parse_event(event, names) for event in raw["entries"])
        return EndpointListAnswer(int(raw["pos"]), events)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"invalid event in the endpoint list ({error})") from None
