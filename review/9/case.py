"""While large loads of other keys are read, the later of two loads of one key overtakes the earlier."""

import random
import threading
import time

from kit_3 import (
    RIDGE_SETTINGS,
    Case,
    CaseError,
    HttpClient,
    Journal,
    LineEngine,
    Run,
    free_address,
    host,
    load_headers,
    run_case,
    start_gateway,
    warm_connections,
    write_config,
)

OTHERS = 8  # loads of FULL_BYTES that are sent at once, each with a key of its own
PAIRS = 8  # keys with a short load and, SPACING_SECONDS later, a large one
FULL_BYTES = 240_000
SPACING_SECONDS = 0.08  # at least 0.06 between two requests of a key (users/PROTOCOL.md)
LEAST_SPACING_SECONDS = 0.06
RUN_SECONDS = 0.001
MAX_PLAY_SECONDS = 90.0
BEHIND_SECONDS = 0.006  # a load that runs so long after the last of the others was read after it


def large_load(table: int, size: int) -> str:
    """A load of many rows into the schema `staging`, which belongs to no group of tables."""
    row = f"({table}, NULL, TRUE, DATE '2026-12-05', DEFAULT, NULL)"
    rows = ", ".join([row] * (size // (len(row) + 2)))
    return f"INSERT INTO staging.returns_{table} (id, a, b, c, d, e) VALUES {rows}"


class Round:
    """One round of a nightly job: the other loads, then the two loads of each key."""

    def __init__(self, case: Case, number: int, first_table: int) -> None:
        self.case, self.number, self.table = case, number, first_table
        self.threads: list[threading.Thread] = []
        self.statuses: list[int] = []
        self.keys = [f"{number:08x}{pair:08x}" for pair in range(PAIRS)]

    def send(self, client: HttpClient, statement: str, key: str) -> None:
        """Send a load on a thread of its own."""
        arguments = ("load", statement, 20_000, load_headers(key, 40.0))
        self.threads.append(threading.Thread(target=self._post, args=(client, arguments), daemon=True))
        self.threads[-1].start()

    def _post(self, client: HttpClient, arguments: tuple[str, str, int, dict[str, str]]) -> None:
        self.statuses.append(client.post(*arguments)[0])

    def send_large(self, client: HttpClient, size: int, key: str) -> int:
        """Send a load into a table of its own; return the number of the table."""
        self.table += 1
        self.send(client, large_load(self.table, size), key)
        return self.table

    def wait(self) -> None:
        """Wait for all answers; raises CaseError if a connection ended without one."""
        for thread in self.threads:
            thread.join(30)
        if 0 in self.statuses or len(self.statuses) < len(self.threads):
            raise CaseError("a client lost its connection")


def first_run(runs: list[Run], beginning: str) -> Run | None:
    """The first run of the statement that begins so; None if it was refused."""
    found = [run for run in runs if run.statement.startswith(beginning)]
    return min(found, key=lambda run: run.began_at, default=None)


def main(case: Case) -> list[str]:
    generator = random.Random(11)
    engines = [LineEngine(case, f"e{number}", lambda _: RUN_SECONDS) for number in range(3)]
    journal = Journal(case, [host(engine.name, engine.address) for engine in engines])
    address = free_address()
    config = write_config(case, address, journal, RIDGE_SETTINGS)
    start_gateway(case, "gateway", config, address).wait_until_live()
    others = warm_connections(case, address, OTHERS, "other")
    firsts = warm_connections(case, address, PAIRS, "first")
    seconds = warm_connections(case, address, PAIRS, "second")
    time.sleep(0.3)  # 0.25 between requests of a key after one that came on a new connection
    breaks: list[str] = []
    pairs_seen = number = table = 0
    center, spread = 0.85, 0.30  # of the sizes of the second loads, as shares of FULL_BYTES
    while not breaks and case.now() < MAX_PLAY_SECONDS:
        number += 1
        play = Round(case, number, table)
        other_tables = []
        if case.trouble:
            other_tables = [
                play.send_large(client, FULL_BYTES, f"ffff{number:04x}{other:08x}")
                for other, client in enumerate(others)
            ]
        time.sleep(0.02)
        for client, key in zip(firsts, play.keys, strict=True):
            play.send(client, f"UPDATE lending_17.loans SET n = {number} WHERE member = '{key}'", key)
        time.sleep(SPACING_SECONDS)
        shares = [center + spread * ((pair + generator.random()) / PAIRS - 0.5) for pair in range(PAIRS)]
        tables = [
            play.send_large(client, int(FULL_BYTES * share), key)
            for client, share, key in zip(seconds, shares, play.keys, strict=True)
        ]
        play.wait()
        table = play.table
        runs = [run for engine in engines for run in engine.runs]
        others_run = [first_run(runs, f"INSERT INTO staging.returns_{other} ") for other in other_tables]
        last_other = max((run.began_at for run in others_run if run), default=0.0)
        behind = []
        for pair, key in enumerate(play.keys):
            first = first_run(runs, f"UPDATE lending_17.loans SET n = {number} WHERE member = '{key}'")
            second = first_run(runs, f"INSERT INTO staging.returns_{tables[pair]} ")
            spacing = seconds[pair].began_at - firsts[pair].sent_at
            if not first or not second or spacing < LEAST_SPACING_SECONDS:
                continue
            pairs_seen += 1
            if second.began_at > last_other + BEHIND_SECONDS:
                behind.append(shares[pair])
            if second.began_at < first.began_at:
                breaks.append(
                    f"of key {key}, load {first.request_id} was sent whole at {firsts[pair].sent_at:.3f} s and load "
                    f"{second.request_id} from {seconds[pair].began_at:.3f} s on, but the second came to an engine "
                    f"at {second.began_at:.4f} s and the first at {first.began_at:.4f} s"
                )
        # The next sizes lie about the one at which a second load is read just behind the last of the others
        if len(behind) in (0, PAIRS):
            center = min(1.0, max(0.3, center + (-spread if behind else spread) / 2))
        else:
            center = min(behind)
        spread = max(0.08, spread * 0.7)
        time.sleep(0.3)
        if not case.trouble and number == 12:
            break
    case.record(f"{number} rounds, {pairs_seen} pairs of loads of which both ran")
    if not pairs_seen and not case.trouble:
        raise CaseError("of no key both loads were run")
    return breaks


run_case(main)
