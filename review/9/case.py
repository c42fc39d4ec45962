"""A node drains while it streams a result, and says so (GOAWAY); the gateway cuts the result off."""

import asyncio
import time
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_kit_2 import FlightClient, FlightEngine, FlightRun  # noqa: E402
from kit_2 import (  # noqa: E402
    BROKEN, HELD, CannotRunError, Discovery, Gateway, LineEngine, Record, free_port, host, ridge, run_case, trouble,
)  # fmt: skip

REPORTS = 3
RESULT_BYTES = 1_500_000
STREAM_S = 4.0  # in which a client reads its result, steadily
DRAIN_AFTER_S = 1.0
DEADLINE_MS = 25_000

OPERATOR = """
[flight]
listen = "127.0.0.1:{port}"
query_class = "lookup"
update_class = "load"
"""


async def main(record: Record) -> int:
    discovery = Discovery()
    await discovery.start()
    runs: list[FlightRun] = []
    remembered: dict[str, float] = {}
    engines, hosts = [], []
    for number in range(3):
        engine = FlightEngine(f"e{number}", record, runs, remembered)
        engine.result_bytes = lambda statement: RESULT_BYTES
        await engine.start()
        line_engine = LineEngine(engine.name, record, lambda run: 0.05, [])
        await line_engine.start()
        engines.append(engine)
        hosts.append(host(engine.name, line_engine.port, engine.port))
    discovery.publish(*hosts)
    flight_port = free_port()
    gateway = Gateway(record, "n1", ridge(), discovery, operator=OPERATOR.format(port=flight_port))
    gateway.start()
    try:
        await gateway.ready()
        reports = [asyncio.create_task(report(record, flight_port, number)) for number in range(REPORTS)]
        await asyncio.sleep(DRAIN_AFTER_S)
        if not runs or any(task.done() for task in reports):
            raise CannotRunError("no report is being streamed")
        draining = next(engine for engine in engines if engine.name == runs[0].engine)
        if trouble():
            entry = hosts[engines.index(draining)] | {"health": "draining"}
            discovery.publish(entry)
            draining.drain()
        verdicts = await asyncio.gather(*reports)
        streams = [run.request_id for run in runs if run.engine == draining.name]
        record.write(f"{draining.name} streamed {streams}; cut off by the gateway: {draining.cut_off}")
    finally:
        gateway.close()
    return BROKEN if draining.cut_off and any(verdict != "served" for verdict in verdicts) else HELD


async def report(record: Record, port: int, number: int) -> str:
    """Ask for a report and read its result steadily."""
    client = FlightClient(record, port)
    await client.connect()
    request_id, call = client.open(
        f"SELECT * FROM lending_7.loans WHERE branch = {number}", False, DEADLINE_MS, [("x-class", "report")], reads=False
    )
    record.write(f"client sends {request_id}")
    started_at, allowed = time.monotonic(), 0.0
    assert client.peer
    while not call.ended and time.monotonic() < started_at + DEADLINE_MS / 1000:
        await asyncio.sleep(0.05)
        allowed = RESULT_BYTES * (time.monotonic() - started_at) / STREAM_S
        if call.received_bytes < allowed:
            client.peer.acknowledge(call)
    verdict = await client.wait(call, 1.0)
    record.write(
        f"client got {verdict} for {request_id}: grpc-status {call.headers.get('grpc-status')},"
        f" {call.received_bytes} bytes"
    )
    client.close()
    return verdict


run_case(FOLDER, main)
