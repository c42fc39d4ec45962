"""Case: one large load over Flight SQL takes the gateway over its memory limit, and all that is open dies with it."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_stand_ins import FlightClient, FlightEngine  # noqa: E402
from stand_ins import (  # noqa: E402
    CouldNotRun, GatewayProcess, JournalService, LineEngine, Record, free_port, has_trouble, host, post,
    ridge_settings, run_case,
)  # fmt: skip

OPERATOR_FILE = """
[flight]
listen = "127.0.0.1:{port}"
query_class = "lookup"
update_class = "load"
"""
MEMORY_MB = 192  # DEPLOY: "On scored days the limits are at most 192 MB"; so is the configuration's `memory_mb`
LARGE_ROWS, USUAL_ROWS = 330_000, 60  # 9.3 MB and 1.5 KB of text
LOADS = 3  # one of them is large
LOAD_TIMEOUT_S = 20.0  # 80 % of the 25 s of the class
LOOKUPS_PER_S, LOOKUP_TTL_MS = 10, 6_000
QUIET_S, LOADING_S = 2.0, 6.0
POLL_S = 0.01


def load(number: int, rows: int) -> str:
    """A nightly load of returns."""
    values = ", ".join(f"({row}, {row % 97}, '2026-12-0{row % 9 + 1}')" for row in range(rows))
    return f"INSERT INTO lending_{number}.returns (title, branch, day) VALUES {values}"


def resident_mb(pid: int) -> float:
    """The resident memory of a process; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS:")), 0.0)


class MemoryLimit:
    """The platform's limit: over `memory_mb` the gateway is killed."""

    def __init__(self, record: Record, gateway: GatewayProcess) -> None:
        self.record, self.gateway = record, gateway
        self.highest_mb = 0.0
        self.was_exceeded = False

    async def enforce(self) -> None:
        """Watch the gateway until cancelled."""
        assert self.gateway.process
        while not self.was_exceeded:
            resident = resident_mb(self.gateway.process.pid)
            self.highest_mb = max(self.highest_mb, resident)
            if resident > MEMORY_MB:
                self.was_exceeded = True
                self.record.write("platform", "over-limit", f"{resident:.0f} MB of {MEMORY_MB}")
                self.gateway.signal(signal.SIGKILL)
            await asyncio.sleep(POLL_S)


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engine, flight_engine = LineEngine(record, "e0", 0.1), FlightEngine(record, "e1")
    await engine.start()
    await flight_engine.start()
    journal.publish(host("e0", engine.address, flight=flight_engine.address))
    await journal.start()
    port = free_port()
    gateway = GatewayProcess(record, ridge_settings(), journal, OPERATOR_FILE.format(port=port))
    limit = MemoryLimit(record, gateway)
    statuses: list[int] = []
    calls: set[asyncio.Task[None]] = set()

    async def lookup(number: int) -> None:
        statement = f"SELECT title FROM lending_{number % 5}.books WHERE tag = '3f9c'"
        statuses.append((await post(record, gateway.port, "lookup", statement, LOOKUP_TTL_MS))[0])

    async def lookups(seconds: float) -> None:
        for number in range(int(seconds * LOOKUPS_PER_S)):
            if limit.was_exceeded:
                return
            calls.add(asyncio.create_task(lookup(number)))
            await asyncio.sleep(1 / LOOKUPS_PER_S)

    async def send_load(number: int, rows: int) -> str:
        statement, label = load(number, rows), f"load {number}, {rows} rows"
        client = await FlightClient.connect(record, port)
        call = await client.put(statement, label, LOAD_TIMEOUT_S, x_txn_key=f"{number:032x}", x_row=f"{number:016x}")
        return await client.finished(call, label, LOAD_TIMEOUT_S)

    try:
        await gateway.start()
        watching = asyncio.create_task(limit.enforce())
        await lookups(QUIET_S)
        if limit.was_exceeded or 0 in statuses:
            raise CouldNotRun("the gateway does not serve lookups without a load")
        rows = [LARGE_ROWS if has_trouble() and number == 1 else USUAL_ROWS for number in range(LOADS)]
        loads = [asyncio.create_task(send_load(number, count)) for number, count in enumerate(rows)]
        await lookups(LOADING_S)
        await asyncio.gather(*calls)
        answers = await asyncio.gather(*loads, return_exceptions=True)
        watching.cancel()
    finally:
        gateway.close()
    record.write(
        "script", "summary",
        f"{limit.highest_mb:.0f} MB at most; lookups without an answer: {statuses.count(0)} of {len(statuses)}; "
        f"loads: {[str(answer) or 'no answer' for answer in answers]}",
    )  # fmt: skip
    if limit.was_exceeded:
        return (
            f"the gateway took {limit.highest_mb:.0f} MB of {MEMORY_MB} and was killed; of the requests open then "
            f"{statuses.count(0)} lookups and {sum(answer != '0' for answer in answers)} loads have no answer"
        )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
