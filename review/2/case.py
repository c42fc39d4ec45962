"""Case: the gateway stalls for a moment, and two loads of a key on one Flight SQL connection change places."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_stand_ins import FlightClient, FlightEngine  # noqa: E402
from stand_ins import (  # noqa: E402
    CouldNotRun, GatewayProcess, JournalService, Record, free_port, has_trouble, host, ridge_settings, run_case,
)  # fmt: skip

OPERATOR_FILE = """
[flight]
listen = "127.0.0.1:{port}"
query_class = "lookup"
update_class = "load"

[statements]
dialect = "postgres"
load = "load"
mismatch = "refuse"

[[statements.keys]]
table = "lending_*.loans"
column = "member"
type = "integer"
"""
MEMBERS = (41, 42, 43)
TIMEOUT_S = 20.0
SPACING_S = 0.1  # between two loads; "at least 60 ms" for one key
START_TRIES = 20  # of the first load, once a second: the gateway's parser processes need their time to start
LEAD_S, TAIL_S = 0.02, 0.05  # of the stall, before the first load and after the last


def insert(member: int, title: int) -> str:
    """A load that adds a row."""
    return f"INSERT INTO lending_7.loans (member, title) VALUES ({member}, {title})"


def delete(member: int) -> str:
    """A load that removes the rows of a member."""
    return f"DELETE FROM lending_7.loans WHERE member = {member}"


async def serve_first_load(client: FlightClient) -> None:
    """Send an insert of the usual form, as the service has seen many, until one is served."""
    for number in range(START_TRIES):
        await asyncio.sleep(1.0)
        label = f"insert for member 7, try {number}"
        if await client.finished(client.update(insert(7, number), label, TIMEOUT_S), label, TIMEOUT_S) == "0":
            return
    raise CouldNotRun("a single load is not served")


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engine = FlightEngine(record, "e0")
    await engine.start()
    journal.publish(host("e0", flight=engine.address))
    await journal.start()
    port = free_port()
    gateway = GatewayProcess(record, ridge_settings(), journal, OPERATOR_FILE.format(port=port))
    try:
        await gateway.start()
        client = await FlightClient.connect(record, port)
        await serve_first_load(client)
        await asyncio.sleep(0.5)

        if has_trouble():
            gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(LEAD_S)
        calls = {}
        for statement in (*map(delete, MEMBERS), *(insert(member, 8) for member in MEMBERS)):
            calls[statement] = client.update(statement, statement, TIMEOUT_S)
            await asyncio.sleep(SPACING_S)
        await asyncio.sleep(TAIL_S)
        if has_trouble():
            gateway.signal(signal.SIGCONT)
        statuses = {
            statement: await client.finished(call, statement, TIMEOUT_S) for statement, call in calls.items()
        }
    finally:
        gateway.close()

    ran = [statement for _, _, statement in engine.started]
    if not all(status == "0" for status in statuses.values()):
        record.write("script", "summary", f"not all loads were served: {statuses}")
    both = [member for member in MEMBERS if delete(member) in ran and insert(member, 8) in ran]
    swapped = [member for member in both if ran.index(insert(member, 8)) < ran.index(delete(member))]
    record.write("script", "summary", f"members whose two loads ran: {both}; out of turn: {swapped}")
    if not both:
        raise CouldNotRun("no two loads of a key have run")
    if not swapped:
        return ""
    return f"loads of members {swapped} ran out of the order in which they were sent: their new rows are deleted"


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
