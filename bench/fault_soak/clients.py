"""Clients of the platform's HTTP protocol: correct, slow, disconnecting early or sending invalid data."""

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

# The platform's clients repeat a request if its connection closes within this time of the write
CLOSE_RACE_S = 0.05
READ_LIMIT = 1 << 20
RECONNECT_PAUSE_S = 0.05


@dataclass(slots=True)
class GatewayTarget:
    """A gateway as clients reach it; they open new connections to it only while `in_rotation`.

    This stands for the platform's front, which routes new connections only to gateways in its rotation.
    """

    name: str
    port: int
    in_rotation: bool = True


@dataclass(slots=True)
class Connection:
    """A client connection; `used` is set once a request was written to it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


@dataclass(slots=True)
class Population:
    """All HTTP clients of a run; `records` holds every valid request that they send."""

    targets: list[GatewayTarget]
    random: random.Random
    longest_deadline_s: float
    spacing: KeySpacing = field(default_factory=KeySpacing)
    records: list[ClientRecord] = field(default_factory=list)
    stopped: bool = False

    async def run_client(self) -> None:
        """Send requests in sequence, on a connection that is replaced only now and then.

        An open connection stays in use after its gateway has left the rotation.
        """
        connection: Connection | None = None
        target: GatewayTarget | None = None
        while not self.stopped:
            if connection is None or target is None or (target.in_rotation and self.random.random() < 0.2):
                if connection:
                    connection.writer.close()
                target, connection = await self._connect()
                if connection is None or target is None:
                    await asyncio.sleep(RECONNECT_PAUSE_S)
                    continue
            connection = await self._one_request(target, connection)
            await asyncio.sleep(self.random.expovariate(1 / 0.12))
        if connection:
            connection.writer.close()

    async def run_key_pair_client(self, number: int) -> None:
        """Send pairs of loads of one key: the first on a new connection, the second on an existing one.

        The second is written as soon after the first as the spacing of the platform's clients allows.
        """
        key = f"{number:08x}{'f' * 8}"
        while not self.stopped:
            target, open_connection = await self._connect()
            while target and open_connection and target.in_rotation and not self.stopped:
                _, new_connection = await self._connect_to(target)
                if new_connection is None or not await self._send_key_pair(
                    target, key, new_connection, open_connection
                ):
                    break
                await asyncio.sleep(
                    self.random.uniform(NEW_CONNECTION_SPACING_S, 2 * NEW_CONNECTION_SPACING_S)
                )
            if open_connection:
                open_connection.writer.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _send_key_pair(
        self, target: GatewayTarget, key: str, new_connection: Connection, open_connection: Connection
    ) -> bool:
        """Send both loads and await both answers; return whether the existing connection is reusable."""
        first, second = self._new_load(target, key, reused=False), self._new_load(target, key, reused=True)
        if not await self._write_all(new_connection, [first], self._encode(first)):
            new_connection.writer.close()
            return True
        first_answer = asyncio.create_task(self._await_answer(new_connection, first, None))
        await asyncio.sleep(NEW_CONNECTION_SPACING_S)
        is_written = await self._write_all(open_connection, [second], self._encode(second))
        is_usable = is_written and await self._await_answer(open_connection, second, None)
        await first_answer
        new_connection.writer.close()
        return is_usable

    def _new_load(self, target: GatewayTarget, key: str, reused: bool) -> ClientRecord:
        record = ClientRecord(
            uuid4().hex[:16], target.name, LOAD, self.longest_deadline_s, key, uuid4().hex, reused
        )
        self.records.append(record)
        return record

    async def _connect(self) -> tuple[GatewayTarget | None, Connection | None]:
        candidates = [target for target in self.targets if target.in_rotation]
        if not candidates:
            return None, None
        return await self._connect_to(self.random.choice(candidates))

    @staticmethod
    async def _connect_to(target: GatewayTarget) -> tuple[GatewayTarget, Connection | None]:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", target.port, limit=READ_LIMIT), 1.0
            )
        except (TimeoutError, OSError):
            return target, None
        return target, Connection(reader, writer)

    def _new_record(self, target: GatewayTarget, reused: bool) -> ClientRecord:
        request_class = self.random.choices(CLASSES, CLASS_WEIGHTS)[0]
        ttl = self.longest_deadline_s * self.random.choice(TIMEOUT_SHARES)
        record = ClientRecord(uuid4().hex[:16], target.name, request_class, ttl, reused_connection=reused)
        if request_class == LOAD:
            key = self.spacing.reserve(target.name, self.random, time.monotonic())
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

    async def _one_request(self, target: GatewayTarget, connection: Connection) -> Connection | None:
        """Send one request with randomly drawn behaviour; return the connection if it is reusable."""
        behaviour_draw = self.random.random()
        if behaviour_draw < 0.02:
            await self._send_invalid_data(connection)
            return None
        if behaviour_draw < 0.06:
            return await self._pipeline(target, connection)
        record = self._new_record(target, connection.used)
        data = self._encode(record)
        is_written = await self._write(connection, record, data, slowly=behaviour_draw > 0.94)
        self._report_written([record])
        if not is_written:
            return None
        disconnect_after_s = self.random.uniform(0.0, 0.6) if 0.06 <= behaviour_draw < 0.13 else None
        usable = await self._await_answer(connection, record, disconnect_after_s)
        return connection if usable else None

    async def _pipeline(self, target: GatewayTarget, connection: Connection) -> Connection | None:
        """Send three requests in one write and read their answers in turn.

        All three deadlines are counted from that write.
        """
        records = [self._new_record(target, connection.used) for _ in range(3)]
        for record in records[1:]:
            record.pipelined = True
        is_written = await self._write_all(connection, records, b"".join(map(self._encode, records)))
        self._report_written(records)
        if not is_written:
            return None
        for position, record in enumerate(records):
            record.turn_at = records[position - 1].ended_at if position else 0.0
            if not await self._await_answer(connection, record, None):
                self._mark_not_accepted(record, records[position + 1 :])
                return None
        return connection

    def _report_written(self, records: list[ClientRecord]) -> None:
        """Start the interval in which the keys of these requests may not be reused."""
        for record in records:
            if record.key:
                is_first = not record.reused_connection
                self.spacing.on_written(record.gateway, record.key, time.monotonic(), is_first)

    @staticmethod
    def _mark_not_accepted(ended: ClientRecord, following: list[ClientRecord]) -> None:
        """Record the requests pipelined behind `ended` as not accepted, as their connection ended with it.

        A client of the platform would have to repeat them.
        """
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
        self, connection: Connection, record: ClientRecord, disconnect_after_s: float | None
    ) -> bool:
        """Await the answer and record how the request ended; return whether the connection is reusable.

        The client leaves `ANSWER_SLACK_S` after the deadline, or `disconnect_after_s` after the write if that
        is earlier.
        """
        give_up_at = max(record.sent_at + record.ttl, record.turn_at) + ANSWER_SLACK_S
        if disconnect_after_s is not None:
            give_up_at = min(give_up_at, record.sent_at + disconnect_after_s)
        try:
            remaining = max(0.0, give_up_at - time.monotonic())
            ends_connection = await asyncio.wait_for(self._read_answer(connection, record), remaining)
        except TimeoutError:
            if disconnect_after_s is not None:
                record.ending, record.left_at = Ending.LEFT, time.monotonic()
            connection.writer.transport.abort() if self.random.random() < 0.3 else connection.writer.close()
            ends_connection = True
        except (OSError, asyncio.IncompleteReadError) as error:
            record.ending, record.detail, ends_connection = Ending.CLOSED, type(error).__name__, True
        except (ValueError, KeyError, IndexError) as error:
            record.ending, record.detail, ends_connection = Ending.UNREADABLE, repr(error)[:200], True
        record.ended_at = time.monotonic()
        if ends_connection:
            connection.writer.close()
        return not ends_connection

    async def _read_answer(self, connection: Connection, record: ClientRecord) -> bool:
        """Read one answer; return whether the gateway closes the connection after it."""
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

    async def _send_invalid_data(self, connection: Connection) -> None:
        """Send invalid bytes, a burst of requests or an incomplete request, then abort the connection."""
        data = self.random.choice(
            (b"\x16\x03\x01\x02\x00" * 40, b"POST /svc/lookup HT", b"GET / HTTP/1.1\r\n\r\n" * 400)
        )
        with contextlib.suppress(OSError):
            connection.writer.write(data)
            await asyncio.sleep(self.random.uniform(0, 0.2))
        connection.writer.transport.abort()

    def open_idle_connections(self, target: GatewayTarget, count: int) -> list[socket.socket]:
        """Open connections that send nothing; the caller closes the returned sockets."""
        sockets = []
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", target.port))
            sockets.append(sock)
        return sockets
