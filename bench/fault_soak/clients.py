"""Clients of the platform's protocol: correct, slow, leaving early, or sending garbage."""

import asyncio
import contextlib
import json
import random
import socket
import time
from dataclasses import dataclass, field
from uuid import uuid4

from bench.fault_soak.key_spacing import NEW_CONNECTION_SPACING_S, KeySpacing
from bench.fault_soak.records import ClientRecord, Ending
from bench.fault_soak.settings import (
    ANSWER_SLACK_S,
    CLASS_WEIGHTS,
    CLASSES,
    LOAD,
    LOOKUP,
    MEAN_WORK_S,
    TIMEOUT_SHARES,
)
from bench.fault_soak.statements import draw_column, draw_table

CLOSE_CROSSING_S = 0.05  # a request may cross the close of its connection so long; clients then repeat it
READ_LIMIT = 1 << 20
RECONNECT_PAUSE_S = 0.05


@dataclass(slots=True)
class Gate:
    """A gateway as clients reach it; `admitted`: the front sends clients there."""

    name: str
    port: int
    admitted: bool = True


@dataclass(slots=True)
class Connection:
    """One connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


@dataclass(slots=True)
class Population:
    """All clients of a run; each request leaves a record."""

    gates: list[Gate]
    random: random.Random
    longest_deadline_s: float
    spacing: KeySpacing = field(default_factory=KeySpacing)
    records: list[ClientRecord] = field(default_factory=list)
    stopped: bool = False

    async def run_client(self) -> None:
        """One client: request after request, on a connection that it mostly keeps.

        It goes on using an open connection to a gateway to which no new one is made.
        """
        connection: Connection | None = None
        gate: Gate | None = None
        while not self.stopped:
            if connection is None or gate is None or (gate.admitted and self.random.random() < 0.2):
                if connection:
                    connection.writer.close()
                gate, connection = await self._connect()
                if connection is None or gate is None:
                    await asyncio.sleep(RECONNECT_PAUSE_S)
                    continue
            connection = await self._one_request(gate, connection)
            await asyncio.sleep(self.random.expovariate(1 / 0.12))
        if connection:
            connection.writer.close()

    async def run_key_pair_client(self, number: int) -> None:
        """Pairs of loads of one key: the first on a new connection, the other on one that was open before.

        The second is written as soon behind the first as the platform's clients do it.
        """
        key = f"{number:08x}{'f' * 8}"
        while not self.stopped:
            gate, opened = await self._connect()
            while gate and opened and gate.admitted and not self.stopped:
                _, fresh = await self._connect_to(gate)
                if fresh is None or not await self._key_pair(gate, key, fresh, opened):
                    break
                await asyncio.sleep(
                    self.random.uniform(NEW_CONNECTION_SPACING_S, 2 * NEW_CONNECTION_SPACING_S)
                )
            if opened:
                opened.writer.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _key_pair(self, gate: Gate, key: str, fresh: Connection, opened: Connection) -> bool:
        """Send both and wait for both answers; whether the open connection can be used again."""
        first, second = self._new_load(gate, key, reused=False), self._new_load(gate, key, reused=True)
        if not await self._write_all(fresh, [first], self._encode(first)):
            fresh.writer.close()
            return True
        first_answer = asyncio.create_task(self._await_answer(fresh, first, None))
        await asyncio.sleep(NEW_CONNECTION_SPACING_S)
        is_written = await self._write_all(opened, [second], self._encode(second))
        is_usable = is_written and await self._await_answer(opened, second, None)
        await first_answer
        fresh.writer.close()
        return is_usable

    def _new_load(self, gate: Gate, key: str, reused: bool) -> ClientRecord:
        record = ClientRecord(
            uuid4().hex[:16], gate.name, LOAD, self.longest_deadline_s, key, uuid4().hex, reused
        )
        self.records.append(record)
        return record

    async def _connect(self) -> tuple[Gate | None, Connection | None]:
        admitted = [gate for gate in self.gates if gate.admitted]
        if not admitted:
            return None, None
        return await self._connect_to(self.random.choice(admitted))

    @staticmethod
    async def _connect_to(gate: Gate) -> tuple[Gate, Connection | None]:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", gate.port, limit=READ_LIMIT), 1.0
            )
        except (TimeoutError, OSError):
            return gate, None
        return gate, Connection(reader, writer)

    def _new_record(self, gate: Gate, reused: bool) -> ClientRecord:
        request_class = self.random.choices(CLASSES, CLASS_WEIGHTS)[0]
        ttl = self.longest_deadline_s * self.random.choice(TIMEOUT_SHARES)
        record = ClientRecord(uuid4().hex[:16], gate.name, request_class, ttl, reused_connection=reused)
        if request_class == LOAD:
            key = self.spacing.reserve(gate.name, self.random, time.monotonic())
            record.request_class = LOAD if key else LOOKUP
            record.key, record.idempotency_key = key or "", uuid4().hex if key else ""
        self.records.append(record)
        return record

    def _encode(self, record: ClientRecord) -> bytes:
        statement = (
            f"SELECT {draw_column(self.random)} FROM {draw_table(self.random)}"
            f" WHERE tag = '{record.client_request_id}'"
        )
        headers = {
            "Host": "gateway", "X-Txn": record.client_request_id, "X-Ttl-Ms": str(int(record.ttl * 1000)),
            "X-Cpu-Hint": f"{MEAN_WORK_S * 1000:.1f}", "X-Memory": "96",
            "Content-Length": str(len(statement)),
        }  # fmt: skip
        if record.key:
            headers |= {"X-Row": record.key, "X-Txn-Key": record.idempotency_key}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return f"POST /svc/{record.request_class} HTTP/1.1\r\n{lines}\r\n{statement}".encode()

    async def _one_request(self, gate: Gate, connection: Connection) -> Connection | None:
        """Send one request, as this client happens to; return the connection if it can be used again."""
        manner = self.random.random()
        if manner < 0.02:
            await self._misbehave(connection)
            return None
        if manner < 0.06:
            return await self._pipeline(gate, connection)
        record = self._new_record(gate, connection.used)
        data = self._encode(record)
        is_written = await self._write(connection, record, data, slowly=manner > 0.94)
        self._note_written([record])
        if not is_written:
            return None
        leaves_after = self.random.uniform(0.0, 0.6) if 0.06 <= manner < 0.13 else None
        usable = await self._await_answer(connection, record, leaves_after)
        return connection if usable else None

    async def _pipeline(self, gate: Gate, connection: Connection) -> Connection | None:
        """Several requests in one write: their time runs from then on, answers come one after the other."""
        records = [self._new_record(gate, connection.used) for _ in range(3)]
        for record in records[1:]:
            record.pipelined = True
        is_written = await self._write_all(connection, records, b"".join(map(self._encode, records)))
        self._note_written(records)
        if not is_written:
            return None
        for position, record in enumerate(records):
            record.turn_at = records[position - 1].ended_at if position else 0.0
            if not await self._await_answer(connection, record, None):
                self._mark_not_accepted(record, records[position + 1 :])
                return None
        return connection

    def _note_written(self, records: list[ClientRecord]) -> None:
        """Their keys may be used again after a while."""
        for record in records:
            if record.key:
                is_first = not record.reused_connection
                self.spacing.on_written(record.gateway, record.key, time.monotonic(), is_first)

    @staticmethod
    def _mark_not_accepted(ended: ClientRecord, following: list[ClientRecord]) -> None:
        """Requests pipelined after the last one that was answered: the client is to send them again."""
        for record in following:
            record.ending, record.detail = Ending.NOT_ACCEPTED, f"pipelined behind {ended.ending.value}"
            record.left_at = record.ended_at = ended.ended_at

    async def _write(self, connection: Connection, record: ClientRecord, data: bytes, slowly: bool) -> bool:
        if not slowly:
            return await self._write_all(connection, [record], data)
        cut = self.random.randrange(1, len(data))
        try:
            connection.writer.write(data[:cut])
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        except OSError:
            return False
        return await self._write_all(connection, [record], data[cut:])

    async def _write_all(self, connection: Connection, records: list[ClientRecord], data: bytes) -> bool:
        if connection.reader.at_eof() or connection.writer.is_closing():
            return False
        try:
            connection.writer.write(data)
            await connection.writer.drain()
        except OSError:
            return False
        now = time.monotonic()
        for record in records:
            record.sent_at, record.ending = now, Ending.SILENT
        connection.used = True
        return True

    async def _await_answer(
        self, connection: Connection, record: ClientRecord, leaves_after: float | None
    ) -> bool:
        """Wait for the answer as long as it may take; whether the connection can be used again."""
        give_up_at = max(record.sent_at + record.ttl, record.turn_at) + ANSWER_SLACK_S
        if leaves_after is not None:
            give_up_at = min(give_up_at, record.sent_at + leaves_after)
        try:
            remaining = max(0.0, give_up_at - time.monotonic())
            closing = await asyncio.wait_for(self._read_answer(connection, record), remaining)
        except TimeoutError:
            if leaves_after is not None:
                record.ending, record.left_at = Ending.LEFT, time.monotonic()
            connection.writer.transport.abort() if self.random.random() < 0.3 else connection.writer.close()
            closing = True
        except (OSError, asyncio.IncompleteReadError) as error:
            record.ending, record.detail, closing = Ending.CLOSED, type(error).__name__, True
        except (ValueError, KeyError, IndexError) as error:
            record.ending, record.detail, closing = Ending.UNREADABLE, repr(error)[:200], True
        record.ended_at = time.monotonic()
        if closing:
            connection.writer.close()
        return not closing

    async def _read_answer(self, connection: Connection, record: ClientRecord) -> bool:
        """Read one answer; whether the connection ends with it."""
        head = (await connection.reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
        }
        body = json.loads(await connection.reader.readexactly(int(headers["content-length"])))
        if status == 200:
            rows = body.get("rows", [])
            if any(row[0] != record.client_request_id for row in rows) or not rows:
                raise ValueError(f"rows of another request: {rows[:1]}")
            record.ending = Ending.SERVED
        else:
            record.ending = Ending.REJECTED if status in (429, 503) else Ending.FAILED
            record.detail = f"{status} {body.get('failure')}"
        return headers.get("connection") == "close"

    async def _misbehave(self, connection: Connection) -> None:
        """Garbage, a flood or half a request, and away."""
        data = self.random.choice(
            (b"\x16\x03\x01\x02\x00" * 40, b"POST /svc/lookup HT", b"GET / HTTP/1.1\r\n\r\n" * 400)
        )
        with contextlib.suppress(OSError):
            connection.writer.write(data)
            await asyncio.sleep(self.random.uniform(0, 0.2))
        connection.writer.transport.abort()

    def open_idle_connections(self, gate: Gate, count: int) -> list[socket.socket]:
        """A crowd of clients that say nothing; the caller closes them."""
        crowd = []
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", gate.port))
            crowd.append(sock)
        return crowd
