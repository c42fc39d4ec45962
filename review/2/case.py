"""Case: one large load over Flight SQL takes the gateway over its memory limit, and all that is open dies with it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_stand_ins import FlightClient, FlightEngine  # noqa: E402
from stand_ins import (  # noqa: E402
    CouldNotRun, GatewayProcess, JournalService, LineEngine, MemoryLimit, Record, free_port, has_trouble, host,
    post, ridge_settings, run_case,
)  # fmt: skip

OPERATOR_FILE = """
[flight]
listen = "127.0.0.1:{port}"
query_class = "lookup"
update_class = "load"
"""
MEMORY_MB = 192  # DEPLOY: "On scored days the limits are at most 192 MB"; so is the configuration's `memory_mb`
PICTURE_BYTES, USUAL_BYTES = 2_000_000, 2_000  # of the text of one value: a cover picture of 1.5 MB, or its thumbnail
LOADS = 3  # one of them has the picture
LOAD_TIMEOUT_S = 20.0  # 80 % of the 25 s of the class
LOOKUPS_PER_S, LOOKUP_TTL_MS = 10, 6_000
QUIET_S, LOADING_S = 2.0, 6.0


def load(number: int, size: int) -> str:
    """A load of one title with its cover picture."""
    picture = "iVBORw0KGgo" * (size // 11)
    return f"INSERT INTO lending_{number}.covers (title, picture) VALUES ({number}, '{picture}')"


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engine, flight_engine = LineEngine(record, "e0", 0.5), FlightEngine(record, "e1")
    await engine.start()
    await flight_engine.start()
    journal.publish(host("e0", engine.address, flight=flight_engine.address))
    await journal.start()
    port = free_port()
    gateway = GatewayProcess(record, ridge_settings(), journal, OPERATOR_FILE.format(port=port))
    limit = MemoryLimit(record, gateway, MEMORY_MB)
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

    async def send_load(number: int, size: int) -> str:
        statement, label = load(number, size), f"load {number}"
        client = await FlightClient.connect(record, port)
        call = await client.put(statement, label, LOAD_TIMEOUT_S, x_txn_key=f"{number:032x}", x_row=f"{number:016x}")
        return await client.finished(call, label, LOAD_TIMEOUT_S)

    try:
        await gateway.start()
        watching = asyncio.create_task(limit.enforce())
        await lookups(QUIET_S)
        if limit.was_exceeded or 0 in statuses:
            raise CouldNotRun("the gateway does not serve lookups without a load")
        sizes = [PICTURE_BYTES if has_trouble() and number == 1 else USUAL_BYTES for number in range(LOADS)]
        loads = [asyncio.create_task(send_load(number, size)) for number, size in enumerate(sizes)]
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
