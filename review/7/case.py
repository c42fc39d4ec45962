"""The answer to an unsafe load is lost with its connection; the client repeats the call; the load runs again."""

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit_2 import (  # noqa: E402
    BROKEN, HELD, CannotRunError, Discovery, Gateway, LineEngine, Record, Run, abort, free_port, host,
    http_request, read_answer, run_case, spawn, trentvale, trouble,
)  # fmt: skip

LOADS = 3
RUN_S = 1.2
TTL_MS = 25_000
MAX_REPEATS = 3  # of a call whose connection ended before any answer


async def main(record: Record) -> int:
    discovery = Discovery()
    await discovery.start()
    runs: list[Run] = []
    engines = [LineEngine(f"e{number}", record, lambda run: RUN_S, runs) for number in range(6)]
    for engine in engines:
        engine.progress_s = 0.0  # this site's engines send no notes
        await engine.start()
    discovery.publish(*(host(engine.name, engine.port, zone="room-a", kind="std-8") for engine in engines))
    gateway = Gateway(record, "n1", trentvale(), discovery)
    gateway.start()
    answers_to_lose = [1 if trouble() else 0]

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay a client's connection; with the disruption, lose one answer and reset the connection."""
        from_gateway, to_gateway = await asyncio.open_connection("127.0.0.1", gateway.port)

        async def relay_calls() -> None:
            with contextlib.suppress(OSError):
                while data := await reader.read(65_536):
                    to_gateway.write(data)
            to_gateway.close()

        spawn(relay_calls())
        with contextlib.suppress(OSError):
            while data := await from_gateway.read(65_536):
                if answers_to_lose[0]:
                    answers_to_lose[0] -= 1
                    record.write("DISRUPTION an answer is lost and the client's connection is reset")
                    abort(writer)
                    to_gateway.close()
                    return
                writer.write(data)
        writer.close()

    port = free_port()
    await asyncio.start_server(relay, "127.0.0.1", port)
    try:
        await gateway.ready()
        verdicts = await asyncio.gather(*(load(record, port, number) for number in range(LOADS)))
    finally:
        gateway.close()
    if "lost" in verdicts:
        raise CannotRunError(f"the clients got {verdicts}")
    by_id: dict[str, list[str]] = {}
    for run in runs:
        by_id.setdefault(run.request_id, []).append(f"{run.engine} {run.end}")
    for request_id, ends in by_id.items():
        record.write(f"{request_id} reached engines {len(ends)} times: {', '.join(ends)}")
    return BROKEN if any(len(ends) > 1 for ends in by_id.values()) else HELD


async def load(record: Record, port: int, number: int) -> str:
    """Send one load as PROTOCOL has it: a call whose connection ends before any answer is repeated."""
    await asyncio.sleep(0.5 * number)
    statement = b"UPDATE depot_3.stock SET litres = litres - 500 WHERE tank = %d" % number
    request_id, call = http_request("load", statement, TTL_MS, X_Cpu_Hint="2400.0", X_Memory="90",
                                    X_Merchant="burton-depot")  # fmt: skip
    answer = "lost"
    for _ in range(1 + MAX_REPEATS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(call)
        record.write(f"client writes the call {request_id} on a new connection")
        answer = (await read_answer(record, reader, request_id)).verdict
        record.write(f"client got {answer} for {request_id}")
        writer.close()
        if answer != "lost":
            break
    return answer


run_case(FOLDER, main)
