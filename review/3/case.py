"""Case: the journal service answers slowly, and the gateway never hears that an engine drains."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    SECOND, CouldNotRun, GatewayProcess, JournalService, LineEngine, Record, has_trouble, host, post, ridge_settings,
    run_case, service,
)  # fmt: skip

SLOW_ANSWER_S = 3.2  # the journal service's answers come this late
TOLD_AT_LATEST_S = 7.0  # users/PROTOCOL.md, "Figures"
DRAIN_GRACE_S, SLACK_S = 0.25, 0.05  # of the site; "every time limit being 50 ms longer"
LOOKUPS_PER_S, LOADS_PER_S = 8, 4
LOOKUP_WORK_S, LOAD_WORK_S = 0.2, 3.0
BEFORE_S, SLOW_BEFORE_EVENT_S, AFTER_EVENT_S = 4.0, 4.0, 16.0


def trentvale_settings() -> dict[str, Any]:
    """Settings like those of trentvale-main, for a single gateway."""
    settings = ridge_settings()
    settings["zones"], settings["flavors"] = ["room-a", "room-b", "room-c"], ["std-8"]
    settings["family-info"] |= {
        "cpu-of-kind": [8], "memory-by-kind-mb": [16384.0], "parallelism": [1, 3, 2], "priorities": False,
        "progress": 0, "out-of-memory": "wait",
    }  # fmt: skip
    settings["limits"] |= {"retry-after": False, "may-probe": True, "max-retry-after": 2 * SECOND}
    settings["rules"] |= {
        "start-capacity": 0.32, "overload-factor": 3.0, "tip-after": 2 * SECOND, "drain-grace": SECOND // 4,
    }  # fmt: skip
    settings["services"] = [
        service("lookup", 6.0, 1.2, "idempotent", 1.0),
        service("report", 15.0, 2.0, "idempotent", 2.5),
        service("load", 25.0, 4.0, "at_most_once", 6.0),
    ]
    return settings


def of_room(entry: dict[str, Any]) -> dict[str, Any]:
    """The engine in a room of the site, of the site's kind."""
    return entry | {"site": "room-a", "class": "std-8"}


async def play(record: Record) -> str:
    """Play the case."""
    journal = JournalService(record)
    engines = [LineEngine(record, f"e{number}", LOOKUP_WORK_S, LOAD_WORK_S) for number in range(3)]
    for engine in engines:
        await engine.start()
    journal.publish(*(of_room(host(engine.name, engine.address)) for engine in engines))
    await journal.start()
    gateway = GatewayProcess(record, trentvale_settings(), journal)
    try:
        await gateway.start()
        statuses: dict[str, list[int]] = {"lookup": [], "load": []}
        calls: set[asyncio.Task[None]] = set()

        async def one(class_name: str, number: int) -> None:
            if class_name == "load":
                statement, ttl_ms, cpu_ms = f"INSERT INTO ledger_{number % 7}.invoices VALUES ({number})", 20_000, 3000.0
            else:
                statement, ttl_ms, cpu_ms = f"SELECT level FROM depot_{number % 7}.tanks WHERE tag = 'x'", 5_000, 200.0
            status, _ = await post(record, gateway.port, class_name, statement, ttl_ms, cpu_ms=cpu_ms)
            statuses[class_name].append(status)

        async def traffic(seconds: float) -> None:
            for number in range(int(seconds * LOOKUPS_PER_S)):
                calls.add(asyncio.create_task(one("lookup", number)))
                if number % (LOOKUPS_PER_S // LOADS_PER_S) == 0:
                    calls.add(asyncio.create_task(one("load", number)))
                await asyncio.sleep(1 / LOOKUPS_PER_S)

        await traffic(BEFORE_S)
        if has_trouble():
            journal.answer_delay_s = SLOW_ANSWER_S
            record.write("journal", "slow", f"answers come {SLOW_ANSWER_S} s late")
        await traffic(SLOW_BEFORE_EVENT_S)
        drained = engines[1]
        if not drained.requests:
            raise CouldNotRun("the engine that shall drain got no request before")
        event_at = journal.publish(of_room(host(drained.name, drained.address, "draining")))
        position = len(journal.events)
        await traffic(AFTER_EVENT_S)
        drained.end()
        journal.publish(of_room(host(drained.name, drained.address, "removed")))
        await traffic(1.0)
        await asyncio.gather(*calls)
    finally:
        gateway.close()
    answered_at = min((at for at, last in journal.answered if last >= position), default=float("inf"))
    told_at = min(answered_at, event_at + TOLD_AT_LATEST_S)
    late = {txn: at for at, txn in drained.requests if at > told_at + DRAIN_GRACE_S + SLACK_S}
    cut = sum(txn in late for txn in drained.cut)
    record.write(
        "script", "summary",
        f"event at {event_at:.3f}, told at {told_at:.3f}, {len(late)} requests to {drained.name} after the grace; "
        + "; ".join(
            f"{name}: {codes.count(200)} of {len(codes)} served, {codes.count(500)} failed" for name, codes in statuses.items()
        )
        + f"; cut at the end of {drained.name}: {len(drained.cut)}, {cut} of them sent after the grace",
    )  # fmt: skip
    if not late:
        return ""
    return (
        f"{len(late)} requests sent to a draining engine, up to {max(late.values()) - told_at:.2f} s after the gateway "
        f"counts as told; {cut} of them were cut by its end"
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
