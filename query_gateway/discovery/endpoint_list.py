"""The list of engines, as the journal's events and the configuration write it, decoded into targets."""

from dataclasses import dataclass, replace
from typing import Any

from query_gateway.forwarder.messages import Endpoint
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.net.stream import address_of

MS = 1_000_000
STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}
WIRES = (("web", "dial"), ("flight", "flight"))  # each wire and the word for its address
NAME = 200  # characters of an engine's name
MOST = 4_096  # engines in one event


class EndpointListError(Exception):
    """A list event that cannot be read."""


class ZoneAndKindNames:
    """Zones and kinds by number, as the settings order them."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}


def target_of(raw: Any, names: ZoneAndKindNames) -> Endpoint:
    try:
        engine, state = str(raw["host"]), STATES[raw["health"]]
        dials = {wire: str(raw[word]) for wire, word in WIRES if raw.get(word)}
        if state is not EndpointState.REMOVED:
            for dial in dials.values():
                address_of(dial)
        if not 0 < len(engine) <= NAME or any(c.isspace() for c in engine):
            raise EndpointListError("a host's name is unusable")
        engine.encode()  # guards the planner and its link against what is no text
        entry = EndpointInfo(
            name=engine,
            state=state,
            zone=names.zones.get(raw.get("site", ""), len(names.zones)),
            kind=names.kinds.get(raw.get("class", ""), len(names.kinds)),
            group=int(raw.get("block") or 0),
            started_at=int(raw.get("born_ms") or 0) * MS,
            size=float(raw.get("share", 1.0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise EndpointListError(f"an entry of the list is unusable ({bad})") from None
    return Endpoint(entry, dials)


EndpointListEvent = tuple[
    int, bool, list[Endpoint]
]  # an event's number, whether it holds the whole list, its targets


def changes_of(raw: Any, names: ZoneAndKindNames) -> tuple[int, list[EndpointListEvent]]:
    """The number of the journal's last event, and each event told."""
    try:
        found: list[EndpointListEvent] = []
        for event in raw["entries"]:
            hosts = event.get("hosts")
            if hosts is None:
                found.append((int(event["pos"]), False, []))  # a kind of news not known here
                continue
            if len(hosts["hosts"]) > MOST:
                raise EndpointListError("the list is too long")
            targets = [target_of(h, names) for h in hosts["hosts"]]
            found.append((int(event["pos"]), bool(hosts.get("whole")), targets))
        return int(raw["pos"]), found
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise EndpointListError(f"a list event is unusable ({bad})") from None


class EndpointTombstones:
    """Engines of which a drain or an end was told.

    Guards the drain against a service that counts anew and knows less than we have heard: what it calls up is
    not, unless it has started since.
    """

    def __init__(self) -> None:
        self.told: dict[str, tuple[EndpointState, int]] = {}  # by name; and when the engine had started

    def record(self, targets: list[Endpoint], whole: bool, known: dict[str, Endpoint]) -> None:
        """`known`: the list that this news changes; with a whole one, what it leaves out is gone."""
        named = {target.info.name for target in targets}
        gone = [
            replace(t.info, state=EndpointState.REMOVED) for n, t in known.items() if whole and n not in named
        ]
        for entry in (*gone, *(target.info for target in targets)):
            self.told.pop(entry.name, None)
            if entry.state is not EndpointState.UP:
                old = known.get(entry.name)
                self.told[entry.name] = entry.state, old.info.started_at if old else entry.started_at
        while len(self.told) > MOST:
            del self.told[next(iter(self.told))]

    def apply(self, targets: list[Endpoint]) -> list[Endpoint]:
        """The same, but what has been told of an engine's end stands."""
        out = []
        for target in targets:
            state, launched = self.told.get(target.info.name, (EndpointState.UP, 0))
            if (
                state is EndpointState.UP
                or target.info.state is not EndpointState.UP
                or launched != target.info.started_at
            ):
                out.append(target)
            elif state is EndpointState.DRAINING:
                out.append(replace(target, info=replace(target.info, state=state)))
        return out


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """What an answer changes: the last event now held (0: ask for all of them), and the targets told anew."""

    position: int
    is_snapshot: bool
    endpoints: list[Endpoint]
    anomaly: str = ""


def follow(
    held: int, last: int, changes: list[EndpointListEvent], again: EndpointListEvent | None = None
) -> EndpointListChange:
    """Hold an answer to a call behind event `held` against the numbers, which go up by one.

    `again`: that event as it was told, where it was asked for once more. If it is another one now, the
    service counts anew and has passed our number.

    Whatever it tells is heeded, in one step. Where events must be missing, all are to be asked for: guards
    against a list that stays as it is for good, as the service counts anew, or tells its end too soon.
    """
    anew = last < held or (again is not None and again not in changes)
    at, whole, told = (0 if anew else held), False, dict[str, Endpoint]()
    missing, repeated = False, bool(changes) and changes[-1][0] <= at and not again
    for number, full, targets in changes:
        if number <= at:  # told twice
            continue
        if full:
            whole, told = True, {}
        missing |= number != at + 1 and not full
        at = number
        told |= {target.info.name: target for target in targets}
    missing |= at < last
    if whole:
        told = {
            name: target for name, target in told.items() if target.info.state is not EndpointState.REMOVED
        }
    faults = (anew, "began-anew"), (missing, "skipped"), (repeated, "repeated")
    fault = next((name for found, name in faults if found), "")
    return EndpointListChange(0 if missing else at, whole, list(told.values()), fault)
