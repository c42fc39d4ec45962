"""A bare SQL load whose answer is lost is refused with "trying again is harmless"; the retry applies it again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_kit_2 import FlightClient, FlightEngine, FlightRun, abort  # noqa: E402
from kit_2 import (  # noqa: E402
    BROKEN, HELD, CannotRunError, Discovery, Gateway, LineEngine, Record, free_port, host, ridge, run_case, trouble,
)  # fmt: skip

LOADS = 1
LOAD_RUN_S = 8.0  # of the load whose answer is lost; loads are widely spread, and given up after 25 s
DEADLINE_MS = 25_000
RETRY_WAIT_S = 0.3  # a client's own wait before its one retry

OPERATOR = """
[flight]
listen = "127.0.0.1:{port}"
query_class = "lookup"
update_class = "load"

[statements]
dialect = "postgres"
load = "load"

[[statements.keys]]
table = "lending_*.loans"
column = "member"
type = "integer"
"""


async def main(record: Record) -> int:
    discovery = Discovery()
    await discovery.start()
    runs: list[FlightRun] = []
    remembered: dict[str, float] = {}
    engines = [FlightEngine(f"e{number}", record, runs, remembered) for number in range(3)]
    has_reset: set[str] = set()

    def before_answer(run: FlightRun, writer: asyncio.StreamWriter) -> bool:
        """Reset the connection under the first attempt of each load, once it has run: its answer is lost."""
        if not trouble() or not run.applied or run.statement in has_reset:
            return True
        has_reset.add(run.statement)
        record.write(f"DISRUPTION the connection to {run.engine} is reset under {run.request_id}")
        abort(writer)
        return False

    hosts = []
    for engine in engines:
        engine.before_answer = before_answer
        engine.run_time = lambda statement: LOAD_RUN_S if statement not in has_reset else 0.1
        await engine.start()
        line_engine = LineEngine(engine.name, record, lambda run: 0.05, [])
        await line_engine.start()
        hosts.append(host(engine.name, line_engine.port, engine.port))
    discovery.publish(*hosts)
    flight_port = free_port()
    gateway = Gateway(record, "n1", ridge(), discovery, operator=OPERATOR.format(port=flight_port))
    gateway.start()
    try:
        await gateway.ready()
        client = FlightClient(record, flight_port)
        await client.connect()
        answers = await asyncio.gather(*(load(record, client, 40 + number) for number in range(LOADS)))
    finally:
        gateway.close()
    if "silent" in answers or not runs:
        raise CannotRunError(f"the loads ended as {answers}")
    doubled = 0
    for number in range(LOADS):
        applied = [run.request_id for run in runs if run.applied and f"({40 + number}," in run.statement]
        record.write(f"load of member {40 + number}: applied {len(applied)} times, by {applied}")
        doubled += len(applied) > 1
    return BROKEN if doubled else HELD


async def load(record: Record, client: FlightClient, member: int) -> str:
    """Post one loan; if the gateway says that trying again is harmless, try again once."""
    statement = f"INSERT INTO lending_7.loans (member, title) VALUES ({member}, 'a title')"
    verdict = ""
    for attempt in ("first try", "retry"):
        request_id, call = client.open(statement, is_update=True, timeout_ms=DEADLINE_MS)
        record.write(f"client sends {request_id} ({attempt}) {statement!r}")
        verdict = await client.wait(call, DEADLINE_MS / 1000 + 1)
        record.write(
            f"client got {verdict} for {request_id}: grpc-status {call.headers.get('grpc-status')},"
            f" x-throttle-ms {call.headers.get('x-throttle-ms')}"
        )
        if verdict != "refused":
            break
        await asyncio.sleep(RETRY_WAIT_S)
    return verdict


run_case(FOLDER, main)
