"""Clients of the Flight SQL front that send queries and updates and cancel some of them."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from uuid import uuid4

import h2.exceptions

from bench.fault_soak.clients import GatewayTarget
from bench.fault_soak.grpc_peer import GrpcPeer, Headers, PeerCall
from bench.fault_soak.key_spacing import KeySpacing
from bench.fault_soak.records import ClientRecord, Ending
from bench.fault_soak.settings import ANSWER_SLACK_S, LOAD, LOOKUP, MEAN_WORK_S, REPORT, TIMEOUT_SHARES
from bench.fault_soak.statements import draw_column, draw_table
from query_gateway.flight import messages

CANCELLED_SHARE = 0.1  # of the calls


@dataclass(slots=True)
class FlightPopulation:
    """All Flight clients of a gateway; every call is recorded in `records`, the run's list."""

    target: GatewayTarget
    port: int
    random: random.Random
    records: list[ClientRecord]
    spacing: KeySpacing
    longest_deadline_s: float
    stopped: bool = False
    is_first_call: bool = True  # whether the next call is the first on the newest connection
    receiving: set[asyncio.Task[None]] = field(default_factory=set)

    async def run_client(self) -> None:
        """Send calls in sequence, on a connection that is mostly kept as long as it is usable."""
        peer: GrpcPeer | None = None
        while not self.stopped:
            is_usable = peer is not None and not peer.closed and not peer.draining
            if not self.target.in_rotation and not is_usable:
                await asyncio.sleep(0.05)
                continue
            if not is_usable or (self.target.in_rotation and self.random.random() < 0.05):
                peer, self.is_first_call = await self._connect(), True
            if peer is not None and not await self._call(peer):
                peer.writer.close()
                peer = None
            await asyncio.sleep(self.random.expovariate(1 / 0.15))

    async def _connect(self) -> GrpcPeer | None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 1.0)
        except (OSError, TimeoutError):
            return None
        peer = GrpcPeer(reader, writer, is_client=True)
        task = asyncio.create_task(self._receive(peer))
        self.receiving.add(task)
        task.add_done_callback(self.receiving.discard)
        return peer

    @staticmethod
    async def _receive(peer: GrpcPeer) -> None:
        while await peer.receive():
            pass

    def _new_record(self) -> ClientRecord:
        request_class = self.random.choices((LOOKUP, REPORT, LOAD), (70, 15, 15))[0]
        ttl = self.longest_deadline_s * self.random.choice(TIMEOUT_SHARES[1:])
        record = ClientRecord(uuid4().hex[:16], self.target.name, request_class, ttl)
        if request_class == LOAD:
            key = self.spacing.reserve(self.target.name, self.random, time.monotonic())
            record.request_class = LOAD if key else LOOKUP
            record.key, record.idempotency_key = key or "", uuid4().hex if key else ""
        self.records.append(record)
        return record

    def _headers(self, record: ClientRecord, method: messages.FlightMethod) -> Headers:
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", messages.SERVICE_PATH + method.value),
            (":authority", "gateway"), ("te", "trailers"), ("content-type", "application/grpc"),
            ("grpc-timeout", f"{int(record.ttl * 1000)}m"), ("x-class", record.request_class),
            ("x-txn", record.client_request_id), ("x-cpu-hint", f"{MEAN_WORK_S * 1000:.1f}"),
        ]  # fmt: skip
        if record.key:
            headers += [("x-row", record.key), ("x-txn-key", record.idempotency_key)]
        return headers

    async def _call(self, peer: GrpcPeer) -> bool:
        """Send a query or an update and await its end; return whether the connection is reusable."""
        record = self._new_record()
        table, column = draw_table(self.random), draw_column(self.random)
        if record.request_class == LOAD:
            method = messages.FlightMethod.DO_PUT
            message = messages.encode_update(f"INSERT INTO {table} ({column}) VALUES (1)")
        else:
            method = messages.FlightMethod.DO_GET
            statement = f"SELECT {column} FROM {table} WHERE b = 1"
            descriptor = messages.encode_query_descriptor(statement)
            info = messages.encode_flight_info(descriptor, statement)
            [message] = messages.decode_flight_info_tickets(info)
        try:
            call = peer.open_call(self._headers(record, method), message)
        except (h2.exceptions.ProtocolError, OSError):
            self._report_written(record)
            return False
        record.sent_at, record.ending = time.monotonic(), Ending.SILENT
        self._report_written(record)
        is_cancelled_early = self.random.random() < CANCELLED_SHARE
        wait_s = self.random.uniform(0, 0.5) if is_cancelled_early else record.ttl + ANSWER_SLACK_S
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wait_for_end(call), wait_s)
        record.ended_at = time.monotonic()
        self._record_ending(record, call, is_cancelled_early)
        if not call.ended:
            peer.reset(call.stream_id)
        return not peer.closed and not peer.draining

    def _report_written(self, record: ClientRecord) -> None:
        """Start the interval in which the record's key may not be reused."""
        if record.key:
            self.spacing.on_written(self.target.name, record.key, time.monotonic(), self.is_first_call)
        self.is_first_call = False

    @staticmethod
    async def _wait_for_end(call: PeerCall) -> None:
        while not call.ended:
            call.changed.clear()
            await call.changed.wait()

    @staticmethod
    def _record_ending(record: ClientRecord, call: PeerCall, is_cancelled_early: bool) -> None:
        status = call.headers.get("grpc-status")
        if not call.ended:
            if is_cancelled_early:
                record.ending, record.left_at = Ending.LEFT, record.ended_at
            return
        if call.refused:
            record.ending = Ending.NOT_ACCEPTED
            return
        record.detail = f"{status} {call.headers.get('grpc-message', '')}"
        if call.reset or status is None:
            record.ending = Ending.CLOSED
        elif status == "0":
            record.ending = Ending.SERVED
            if any(not message.startswith(record.client_request_id.encode()) for message in call.messages):
                record.ending = Ending.UNREADABLE
        else:
            record.ending = Ending.REJECTED if status == "8" else Ending.FAILED
