"""A client cancels one call at once; the gateway ends the connection, and its other queries get no answer."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from flight_kit_2 import FlightClient, FlightEngine, FlightRun, PeerCall  # noqa: E402
from kit_2 import (  # noqa: E402
    BROKEN, HELD, CannotRunError, Discovery, Gateway, LineEngine, Record, free_port, host, ridge, run_case, trouble,
)  # fmt: skip
from query_gateway.flight import messages  # noqa: E402
from query_gateway.rpc.framing import encode_message  # noqa: E402

QUERIES = 6  # open on the connection while the client cancels another call
RUN_S = 2.0
DEADLINE_MS = 7_500

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
    hosts = []
    for number in range(3):
        engine = FlightEngine(f"e{number}", record, runs, remembered, run_s=RUN_S)
        await engine.start()
        line_engine = LineEngine(engine.name, record, lambda run: RUN_S, [])
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
        calls = []
        for number in range(QUERIES):
            is_load = number == 0
            text = f"INSERT INTO lending_7.loans (member) VALUES ({number})" if is_load else f"SELECT title FROM lending_7.books WHERE id = {number}"
            extra = [("x-class", "load"), ("x-row", "7f3a9c21e0b4d655"), ("x-txn-key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")] if is_load else [("x-class", "lookup")]
            request_id, call = client.open(text, is_load, DEADLINE_MS, extra)
            record.write(f"client sends {request_id} {text!r}")
            calls.append((request_id, call))
        await asyncio.sleep(0.7)
        if len(runs) < QUERIES or any(call.ended for _, call in calls):
            raise CannotRunError("the queries do not run yet, or have ended already")
        if trouble():
            plan_and_cancel(record, client)
        verdicts = []
        for request_id, call in calls:
            verdict = await client.wait(call, DEADLINE_MS / 1000 + 1)
            record.write(f"client got {verdict} for {request_id}: grpc-status {call.headers.get('grpc-status')}")
            verdicts.append(verdict)
    finally:
        gateway.close()
    return BROKEN if "lost" in verdicts or "silent" in verdicts else HELD


def plan_and_cancel(record: Record, client: FlightClient) -> None:
    """Ask for a plan (GetFlightInfo) and cancel that call at once: both leave in one write."""
    assert client.peer
    peer = client.peer
    stream_id = peer.h2.get_next_available_stream_id()
    peer.calls[stream_id] = PeerCall(stream_id)
    headers = [
        (":method", "POST"), (":scheme", "http"), (":path", f"{messages.SERVICE_PATH}GetFlightInfo"),
        (":authority", "gateway"), ("te", "trailers"), ("content-type", "application/grpc"),
    ]  # fmt: skip
    descriptor = messages.encode_query_descriptor("SELECT title FROM lending_7.books WHERE id = 99")
    peer.h2.send_headers(stream_id, headers)
    peer.h2.send_data(stream_id, encode_message(descriptor), end_stream=True)
    peer.h2.reset_stream(stream_id, 8)  # CANCEL
    peer.flush()
    record.write("DISRUPTION the client asks for a plan and cancels that call at once")


run_case(FOLDER, main)
