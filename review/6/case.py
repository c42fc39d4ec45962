"""A load that is read while a new configuration comes is repeated by its rules, without the key that they need."""

import copy
import signal
import socket
import threading
import time
from typing import Any

from kit_3 import (
    SEC,
    TRENTVALE_SETTINGS,
    Case,
    CaseError,
    HttpClient,
    Journal,
    LineEngine,
    Run,
    free_address,
    host,
    reset_connection,
    run_case,
    start_gateway,
    write_config,
)

ENGINES = 6
LOADS = 16  # sent at once, each by a client of its own
STATEMENT_BYTES = 250_000
RUN_SECONDS = 0.5
RELOAD_AFTER_SECONDS = 0.1  # from the moment in which the last client has sent its load


def new_settings() -> dict[str, Any]:
    """The settings of the site, but the engines now drop a repeat of a load by its key."""
    settings = copy.deepcopy(TRENTVALE_SETTINGS)
    settings["services"][2] |= {"repeat": "deduplicated", "dedup-scope": "all", "memory-span": 25 * SEC}
    return settings


def statement(number: int) -> str:
    """A load of many rows into the schema `staging`, which belongs to no group of tables."""
    row = f"({number}, NULL, TRUE, DATE '2026-12-05', DEFAULT, NULL)"
    rows = STATEMENT_BYTES // (len(row) + 2)
    return f"INSERT INTO staging.returns_{number} (id, a, b, c, d, e) VALUES " + ", ".join([row] * rows)


def main(case: Case) -> list[str]:
    engines = [LineEngine(case, f"e{number}", lambda _: RUN_SECONDS, notes=False) for number in range(ENGINES)]
    whole_runs: list[Run] = []  # which have had their whole effect
    lock = threading.Lock()

    def before_answer(run: Run, sock: socket.socket) -> bool:
        """Record a run that is complete; the connection of the first one is reset before its answer."""
        with lock:
            whole_runs.append(run)
            is_first = len(whole_runs) == 1
        case.record(f"engine {run.engine} has run {run.request_id}, uniq {run.fields.get('uniq', '-')}")
        if is_first:
            case.record(f"connection {run.connection} to engine {run.engine} is reset")
            reset_connection(sock)
        return not is_first

    for engine in engines:
        engine.before_answer = before_answer
    journal = Journal(
        case, [host(engine.name, engine.address, site="room-a") | {"class": "std-8"} for engine in engines]
    )
    address = free_address()
    config = write_config(case, address, journal, TRENTVALE_SETTINGS)
    gateway = start_gateway(case, "gateway", config, address)
    gateway.wait_until_live()
    clients = [HttpClient(case, address, f"c{number}") for number in range(LOADS)]
    statuses: list[int] = []

    def send(client: HttpClient, number: int) -> None:
        headers = {"X-Cpu-Hint": f"{2_000 * RUN_SECONDS:.1f}", "X-Memory": "64"}
        statuses.append(client.post("load", statement(number), 24_000, headers)[0])

    threads = [
        threading.Thread(target=send, args=(client, number), daemon=True)
        for number, client in enumerate(clients)
    ]
    for thread in threads:
        thread.start()
    for client in clients:
        if not client.sent.wait(10):
            raise CaseError("a load was not sent")
    time.sleep(RELOAD_AFTER_SECONDS)
    if whole_runs or any(engine.runs for engine in engines):
        case.record("some loads have been sent to engines already")
    if case.trouble:
        write_config(case, address, journal, new_settings())
        gateway.send_signal(signal.SIGHUP)
        gateway.wait_for_log("reload journal", 10)
        case.record("the new configuration is in force: loads are deduplicated by their key")
    for thread in threads:
        thread.join(35)
    if 0 in statuses or len(statuses) < LOADS:
        raise CaseError("a client lost its connection")
    if not whole_runs and not case.trouble:  # under trouble all may be refused
        raise CaseError("no load was run")
    breaks = []
    for request_id in dict.fromkeys(run.request_id for run in whole_runs):
        same = [run for run in whole_runs if run.request_id == request_id]
        if len(same) > 1 and not all("uniq" in run.fields for run in same):
            places = ", ".join(f"{run.engine} from {run.began_at:.3f} s on" for run in same)
            breaks.append(f"load {request_id}, which has no key, ran {len(same)} times: {places}")
    return breaks


run_case(main)
