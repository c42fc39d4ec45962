"""Case: a planned restart; of the requests that a client has sent behind its open one, none is answered."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    CouldNotRun, GatewayProcess, JournalService, LineEngine, PipeliningClient, Record, encode_post, has_trouble, host,
    ridge_settings, run_case,
)  # fmt: skip

CLIENTS = 4
COMMANDS = 3  # of each client: reports
TTL_MS = 20_000  # 80 % of the 25 s of the class
WORK_S = 4.6  # of a report; "2,200 to 4,600 ms of work on average, widely spread"
SIGTERM_AFTER_S = 1.0
SIGKILL_AFTER_S = 3.9  # after SIGTERM; "no earlier than the longest deadline (taken as 3 s where it is longer) plus 0.7 s"


def report(number: int) -> str:
    """A circulation report."""
    return f"SELECT day, count(*), max(note) FROM lending_{number % 5}.loans WHERE branch = '{number}' GROUP BY day"


async def restart(gateway: GatewayProcess) -> None:
    """Stop the gateway as the platform does at a planned restart."""
    gateway.signal(signal.SIGTERM)
    assert gateway.process
    loop = asyncio.get_running_loop()
    until = loop.time() + SIGKILL_AFTER_S
    while gateway.process.poll() is None and loop.time() < until:
        await asyncio.sleep(0.02)
    if gateway.process.poll() is None:
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()
    gateway.record.write("gateway", "ended", f"code {gateway.process.returncode}")


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engines = [LineEngine(record, f"e{number}", WORK_S) for number in range(3)]
    for engine in engines:
        await engine.start()
    journal.publish(*(host(engine.name, engine.address) for engine in engines))
    await journal.start()
    gateway = GatewayProcess(record, ridge_settings(), journal)
    try:
        await gateway.start()
        clients = [PipeliningClient(record, f"client{number}", gateway.port) for number in range(CLIENTS)]
        for number, client in enumerate(clients):
            await client.connect()
            commands = [
                encode_post("report", report(10 * number + place), TTL_MS, cpu_ms=4_600.0) for place in range(COMMANDS)
            ]
            await client.send(commands, TTL_MS / 1000)
        await asyncio.sleep(SIGTERM_AFTER_S)
        if not all(len(client.requests) == COMMANDS and len(client.unanswered) == COMMANDS for client in clients):
            raise CouldNotRun("the reports were not all taken and open before the restart")
        if has_trouble():
            await restart(gateway)
        await asyncio.gather(*(client.answered(TTL_MS / 1000 + 1.0) for client in clients))
        for client in clients:
            client.close()
    finally:
        gateway.close()
    requests = [request for client in clients for request in client.requests]
    lost = [request for request in requests if request.is_lost()]
    by_status = {status: sum(request.status == status for request in requests) for status in (200, 429, 500, 0)}
    record.write(
        "script", "summary", f"{len(requests)} requests taken, answers by status (0: none): {by_status}"
    )
    if not has_trouble() and by_status[200] < len(requests) / 2:
        raise CouldNotRun(f"reports fail without a disruption: {by_status}")
    return f"{len(lost)} of {len(requests)} requests taken before SIGTERM got no answer at all" if lost else ""


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
