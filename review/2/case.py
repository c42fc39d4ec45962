"""Case: clients send many commands at once on a connection; the gateway throws most of them away unanswered."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    CouldNotRun, GatewayProcess, JournalService, LineEngine, PipeliningClient, Record, encode_post, has_trouble, host,
    ridge_settings, run_case,
)  # fmt: skip

LOOKUPS, TAGS = 130, 270  # of one client, and in each: a school class looks for its set works, 3 KB of text
LOADS, ROWS = 8, 1_600  # of the other client, and in each: a branch's returns, 45 KB of text
LOOKUP_TTL_MS, LOAD_TTL_MS = 6_000, 20_000  # 80 % of the give-up time, as the least patient clients have it
LOOKUP_WORK_S, LOAD_WORK_S = 0.005, 0.5


def lookup(number: int) -> str:
    """A lookup of one school class's list of set works."""
    tags = ", ".join(f"'{number:04d}{tag:04d}'" for tag in range(TAGS))
    return f"SELECT title, branch, loans FROM lending_{number % 5}.books WHERE tag IN ({tags})"


def load(number: int) -> str:
    """A load of one branch's returns of the day."""
    rows = ", ".join(f"({row}, {row % 97}, '2026-12-04')" for row in range(10_000, 10_000 + ROWS))
    return f"INSERT INTO lending_{number}.returns (title, branch, day) VALUES {rows}"


async def send(client: PipeliningClient, commands: list[tuple[str, bytes]], ttl_s: float) -> None:
    """Send all commands at once or, without the disruption, one call at a time; wait for the answers."""
    await client.connect()
    for batch in [commands] if has_trouble() else [[command] for command in commands]:
        await client.send(batch, ttl_s)
        await client.answered(ttl_s + 1.0)


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engines = [LineEngine(record, f"e{number}", LOOKUP_WORK_S, LOAD_WORK_S) for number in range(3)]
    for engine in engines:
        await engine.start()
    journal.publish(*(host(engine.name, engine.address) for engine in engines))
    await journal.start()
    gateway = GatewayProcess(record, ridge_settings(), journal)
    try:
        await gateway.start()
        clients = [PipeliningClient(record, name, gateway.port) for name in ("lookups", "loads")]
        lookups = [encode_post("lookup", lookup(number), LOOKUP_TTL_MS, cpu_ms=10.0) for number in range(LOOKUPS)]
        loads = [encode_post("load", load(number), LOAD_TTL_MS, cpu_ms=1_000.0) for number in range(LOADS)]
        await asyncio.gather(
            send(clients[0], lookups, LOOKUP_TTL_MS / 1000), send(clients[1], loads, LOAD_TTL_MS / 1000)
        )
        await asyncio.sleep(0.2)
        for client in clients:
            client.close()
    finally:
        gateway.close()
    broken = []
    for client in clients:
        requests = client.requests
        lost = sum(request.is_lost() for request in requests)
        by_status = {status: sum(request.status == status for request in requests) for status in (200, 429, 500, 0)}
        record.write("script", "summary", f"{client.name}: {len(requests)} taken, answers by status (0: none): {by_status}")
        if not requests or (not has_trouble() and by_status[200] < len(requests) / 2):
            raise CouldNotRun(f"{client.name} fail without a disruption: {by_status}")
        if lost:
            broken.append(f"{lost} of {len(requests)} {client.name}")
    return f"no answer up to half a second after their time: {', '.join(broken)}" if broken else ""


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
