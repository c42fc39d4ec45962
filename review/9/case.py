"""After a short stall of the gateway, the later of two loads of one key runs before the earlier one."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_kit_2 import FlightClient, FlightEngine, FlightRun, PeerCall  # noqa: E402
from kit_2 import (  # noqa: E402
    BROKEN, HELD, CannotRunError, Discovery, Gateway, LineEngine, Record, free_port, host, ridge, run_case, trouble,
)  # fmt: skip

MEMBER = 42
STALL_S = 0.7
FIRST_AFTER_S, SECOND_AFTER_S = 0.2, 0.3  # the two loads, after the stall began and after the first
DEADLINE_MS = 25_000

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
    hosts = []
    for number in range(3):
        engine = FlightEngine(f"e{number}", record, runs, remembered, run_s=0.3)
        await engine.start()
        line_engine = LineEngine(engine.name, record, lambda run: 0.3, [])
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
        await learn_shape(record, client)
        runs.clear()
        if trouble():
            record.write(f"DISRUPTION the gateway stalls for {STALL_S} s")
            gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FIRST_AFTER_S)
        first = send(record, client, f"UPDATE lending_7.loans SET due = due + 14 WHERE member = {MEMBER}")
        await asyncio.sleep(SECOND_AFTER_S)
        second = send(record, client, f"DELETE FROM lending_7.loans WHERE member = {MEMBER}")
        await asyncio.sleep(STALL_S - FIRST_AFTER_S - SECOND_AFTER_S)
        gateway.send_signal(signal.SIGCONT)
        for request_id, call in (first, second):
            verdict = await client.wait(call, DEADLINE_MS / 1000 + 1)
            record.write(f"client got {verdict} for {request_id}")
    finally:
        gateway.close()
    order = [run.request_id for run in runs]
    if first[0] not in order or second[0] not in order:
        record.write("one of the loads was not sent to an engine")
        return HELD
    record.write(f"engines got {order}; written were {[first[0], second[0]]}")
    return BROKEN if order.index(second[0]) < order.index(first[0]) else HELD


async def learn_shape(record: Record, client: FlightClient) -> None:
    """Send loads of other members until the shape of the later load is known, as in any service that has run."""
    for member in range(3):
        request_id, call = send(record, client, f"DELETE FROM lending_7.loans WHERE member = {member}")
        verdict = await client.wait(call, DEADLINE_MS / 1000)
        record.write(f"client got {verdict} for {request_id}")
        await asyncio.sleep(0.3)
    if verdict != "served":
        raise CannotRunError("a load without any disruption was not served")


def send(record: Record, client: FlightClient, statement: str) -> tuple[str, PeerCall]:
    request_id, call = client.open(statement, is_update=True, timeout_ms=DEADLINE_MS)
    record.write(f"client sends {request_id} {statement!r}")
    return request_id, call


run_case(FOLDER, main)
