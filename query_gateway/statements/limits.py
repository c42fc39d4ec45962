"""How many of a shape may run at once, once it has done harm; which engine runs them stays the module's to
say.

A shape is free until it does harm: it spilled, ran many times longer than it is used to, or failed on
several engines in a row. Then it is held: few at once, fewer each time harm comes again, and one more as
runs end well. Harm that one engine alone does is not the shape's, so failures count once for an engine.
"""

from dataclasses import dataclass, field

SEC = 1_000_000_000
ENGINES = 3  # that a shape fails on in a row, before it is held
RUNAWAY = 8.0  # times its usual time
HELD = 4  # at once, at first
WELL = 5  # runs in a row that end well, for one more at once
FREE = 16  # at once: from here on it is free again
FORGET = 300 * SEC  # without harm, after which nothing is held against it
MOST = 512  # shapes held or watched


@dataclass(slots=True)
class Record:
    failed: set[str] = field(default_factory=set)  # engines it failed on since it last ran well
    most: int = 0  # at once; 0: free
    well: int = 0
    harm_at: int = 0
    why: str = ""


class ShapeLimits:
    """Bounded by what is open, and by `most` records; the one that goes is of the shape whose harm is
    oldest.
    """

    def __init__(self, most: int = MOST) -> None:
        self.room = most
        self.records: dict[bytes, Record] = {}
        self.running: dict[bytes, int] = {}  # requests open, by shape
        self.turned_down = 0

    def may_run(self, digest: bytes, now: int) -> str:
        """Empty if one more may be taken, else why not. `now`: clock time in nanoseconds."""
        record = self.records.get(digest)
        if record is None or not record.most:
            return ""
        if now - record.harm_at > FORGET:
            del self.records[digest]
            return ""
        if self.running.get(digest, 0) < record.most:
            return ""
        self.turned_down += 1
        return f"{record.most} of this shape run already: {record.why}"

    def begun(self, digest: bytes) -> None:
        self.running[digest] = self.running.get(digest, 0) + 1

    def ended(self, digest: bytes) -> None:
        """One that begun was told of has its answer."""
        left = self.running.get(digest, 0) - 1
        if left > 0:
            self.running[digest] = left
        else:
            self.running.pop(digest, None)

    # ---- what its attempts did

    def ran_well(self, digest: bytes, took_ns: int, usual_ns: int | None, now: int) -> None:
        if usual_ns and took_ns > RUNAWAY * usual_ns and took_ns > SEC:
            self._harm(digest, now, f"one ran {took_ns / usual_ns:.0f} times as long as usual")
            return
        record = self.records.get(digest)
        if record is None:
            return
        record.failed.clear()
        if record.most:
            record.well += 1
            if record.well >= WELL:
                record.well = 0
                record.most += 1
        if not record.most or record.most >= FREE:
            del self.records[digest]

    def spilled(self, digest: bytes, now: int) -> None:
        self._harm(digest, now, "one spilled")

    def failed(self, digest: bytes, engine: str, now: int) -> None:
        record = self._record(digest)
        record.failed.add(engine)
        record.well = 0
        if len(record.failed) >= ENGINES:
            engines = len(record.failed)
            record.failed.clear()
            self._harm(digest, now, f"failed on {engines} engines in a row")

    def _harm(self, digest: bytes, now: int, why: str) -> None:
        record = self._record(digest)
        record.most = max(1, record.most // 2) if record.most else HELD
        record.well, record.harm_at, record.why = 0, now, why

    def _record(self, digest: bytes) -> Record:
        record = self.records.get(digest)
        if record is None:
            if len(self.records) >= self.room:
                held = min(self.records, key=lambda d: (self.records[d].most > 0, self.records[d].harm_at))
                del self.records[held]
            record = self.records[digest] = Record()
        return record

    @property
    def held(self) -> int:
        return sum(1 for record in self.records.values() if record.most)
