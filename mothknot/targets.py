"""The list of engines, as the journal's events and the configuration write it, decoded into targets."""

from dataclasses import dataclass, replace
from typing import Any

from mothknot.core.messages import Target
from mothknot.interface import Entry, State
from mothknot.net.stream import address_of

MS = 1_000_000
STATES = {"up": State.UP, "draining": State.DRAINING, "removed": State.GONE}
WIRES = (("web", "dial"), ("flight", "flight"))  # each wire and the word for its address
NAME = 200  # characters of an engine's name
MOST = 4_096  # engines in one event


class BadList(Exception):
    """A list event that cannot be read."""


class Names:
    """Zones and kinds by number, as the settings order them."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}


def target_of(raw: Any, names: Names) -> Target:
    try:
        engine, state = str(raw["host"]), STATES[raw["health"]]
        dials = {wire: str(raw[word]) for wire, word in WIRES if raw.get(word)}
        if state is not State.GONE:
            for dial in dials.values():
                address_of(dial)
        if not 0 < len(engine) <= NAME or any(c.isspace() for c in engine):
            raise BadList("a host's name is unusable")
        engine.encode()  # guards the planner and its link against what is no text
        entry = Entry(
            engine=engine,
            state=state,
            zone=names.zones.get(raw.get("site", ""), len(names.zones)),
            kind=names.kinds.get(raw.get("class", ""), len(names.kinds)),
            group=int(raw.get("block") or 0),
            launched=int(raw.get("born_ms") or 0) * MS,
            size=float(raw.get("share", 1.0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise BadList(f"an entry of the list is unusable ({bad})") from None
    return Target(entry, dials)


Change = tuple[int, bool, list[Target]]  # an event's number, whether it holds the whole list, its targets


def changes_of(raw: Any, names: Names) -> tuple[int, list[Change]]:
    """The number of the journal's last event, and each event told."""
    try:
        found: list[Change] = []
        for event in raw["entries"]:
            hosts = event.get("hosts")
            if hosts is None:
                found.append((int(event["pos"]), False, []))  # a kind of news not known here
                continue
            if len(hosts["hosts"]) > MOST:
                raise BadList("the list is too long")
            targets = [target_of(h, names) for h in hosts["hosts"]]
            found.append((int(event["pos"]), bool(hosts.get("whole")), targets))
        return int(raw["pos"]), found
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise BadList(f"a list event is unusable ({bad})") from None


class Ends:
    """Engines of which a drain or an end was told.

    Guards the drain against a service that counts anew and knows less than we have heard: what it calls up is
    not, unless it has started since.
    """

    def __init__(self) -> None:
        self.told: dict[str, tuple[State, int]] = {}  # by name; and when the engine had started

    def note(self, targets: list[Target], whole: bool, known: dict[str, Target]) -> None:
        """`known`: the list that this news changes; with a whole one, what it leaves out is gone."""
        named = {target.entry.engine for target in targets}
        gone = [replace(t.entry, state=State.GONE) for n, t in known.items() if whole and n not in named]
        for entry in (*gone, *(target.entry for target in targets)):
            self.told.pop(entry.engine, None)
            if entry.state is not State.UP:
                old = known.get(entry.engine)
                self.told[entry.engine] = entry.state, old.entry.launched if old else entry.launched
        while len(self.told) > MOST:
            del self.told[next(iter(self.told))]

    def kept(self, targets: list[Target]) -> list[Target]:
        """The same, but what has been told of an engine's end stands."""
        out = []
        for target in targets:
            state, launched = self.told.get(target.entry.engine, (State.UP, 0))
            if state is State.UP or target.entry.state is not State.UP or launched != target.entry.launched:
                out.append(target)
            elif state is State.DRAINING:
                out.append(replace(target, entry=replace(target.entry, state=state)))
        return out


@dataclass(slots=True, frozen=True)
class News:
    """What an answer changes: the last event now held (0: ask for all of them), and the targets told anew."""

    position: int
    whole: bool
    targets: list[Target]
    fault: str = ""


def follow(held: int, last: int, changes: list[Change], again: Change | None = None) -> News:
    """Hold an answer to a call behind event `held` against the numbers, which go up by one.

    `again`: that event as it was told, where it was asked for once more. If it is another one now, the
    service counts anew and has passed our number.

    Whatever it tells is heeded, in one step. Where events must be missing, all are to be asked for: guards
    against a list that stays as it is for good, as the service counts anew, or tells its end too soon.
    """
    anew = last < held or (again is not None and again not in changes)
    at, whole, told = (0 if anew else held), False, dict[str, Target]()
    missing, repeated = False, bool(changes) and changes[-1][0] <= at and not again
    for number, full, targets in changes:
        if number <= at:  # told twice
            continue
        if full:
            whole, told = True, {}
        missing |= number != at + 1 and not full
        at = number
        told |= {target.entry.engine: target for target in targets}
    missing |= at < last
    if whole:
        told = {name: target for name, target in told.items() if target.entry.state is not State.GONE}
    faults = (anew, "began-anew"), (missing, "skipped"), (repeated, "repeated")
    fault = next((name for found, name in faults if found), "")
    return News(0 if missing else at, whole, list(told.values()), fault)
