"""Flight SQL stand-ins of the third review: an engine and a client, on h2 and the public specifications."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

from bench.fault_soak.grpc_peer import GrpcPeer, PeerCall
from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMethod

from kit_3 import Case

OK, EXHAUSTED, INTERNAL = "0", "8", "13"
CHUNK_BYTES = 16_384


@dataclass
class FlightRun:
    """One statement that an engine has run. Times are seconds since the start of the case."""

    engine: str
    request_id: str
    idempotency_key: str
    statement: str
    began_at: float


class FlightEngine:
    """A stand-in engine. `run` is called for each DoGet and DoPut, in which a statement runs."""

    def __init__(self, case: Case, name: str, run: Callable[["FlightEngine", GrpcPeer, PeerCall, str], Awaitable[None]]) -> None:
        self.case, self.name, self.run = case, name, run
        self.runs: list[FlightRun] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._server = server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = GrpcPeer(reader, writer, is_client=False)
        tasks: dict[int, asyncio.Task[None]] = {}
        while changed := await peer.receive():
            for stream_id in changed:
                call = peer.calls[stream_id]
                if call.reset and stream_id in tasks:
                    tasks[stream_id].cancel()
                elif call.ended and not call.reset and stream_id not in tasks:
                    tasks[stream_id] = asyncio.create_task(self._handle(peer, call))
        for task in tasks.values():
            task.cancel()
        writer.close()

    async def _handle(self, peer: GrpcPeer, call: PeerCall) -> None:
        method = call.headers[":path"].rpartition("/")[2]
        if method == FlightMethod.GET_FLIGHT_INFO.value:
            statement = messages.decode_query_descriptor(call.messages[0])
            peer.answer(
                call.stream_id, [messages.encode_flight_info(call.messages[0], statement)], [("grpc-status", OK)]
            )
            return
        is_update = method == FlightMethod.DO_PUT.value
        statement = (messages.decode_update if is_update else messages.decode_ticket)(call.messages[0])
        await self.run(self, peer, call, statement)

    def record_run(self, call: PeerCall, statement: str) -> FlightRun:
        """Record that the statement begins to run, which has its effect."""
        run = FlightRun(
            self.name, call.headers.get("x-txn", ""), call.headers.get("x-txn-key", ""), statement, self.case.now()
        )
        self.runs.append(run)
        self.case.record(
            f"engine {self.name} runs {run.request_id}, x-txn-key {run.idempotency_key or '-'}: {statement[:70]}"
        )
        return run


class FlightClient:
    """One connection of a Flight SQL client."""

    def __init__(self, case: Case, peer: GrpcPeer, writer: asyncio.StreamWriter) -> None:
        self.case, self.peer, self.writer = case, peer, writer
        self.sent = asyncio.Event()  # all of the newest call has been written
        self.receiving = asyncio.create_task(self._receive())

    @staticmethod
    async def connect(case: Case, address: tuple[str, int]) -> "FlightClient":
        """Connect to the gateway's Flight SQL front."""
        reader, writer = await asyncio.open_connection(*address)
        return FlightClient(case, GrpcPeer(reader, writer, is_client=True), writer)

    async def _receive(self) -> None:
        while await self.peer.receive():
            pass

    async def call(
        self, method: FlightMethod, statement: str, class_name: str, timeout_ms: int, **metadata: str
    ) -> tuple[str, str]:
        """Send a DoGet with the ticket of a query, or a DoPut; return the request's id and the gRPC status."""
        request_id = uuid4().hex[:16]
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", messages.SERVICE_PATH + method.value),
            (":authority", "gateway"), ("te", "trailers"), ("content-type", "application/grpc"),
            ("grpc-timeout", f"{timeout_ms}m"), ("x-class", class_name), ("x-txn", request_id),
            *((name.replace("_", "-"), value) for name, value in metadata.items()),
        ]  # fmt: skip
        if method is FlightMethod.DO_PUT:
            message = messages.encode_update(statement)
        else:
            descriptor = messages.encode_query_descriptor(statement)
            info = messages.encode_flight_info(descriptor, statement)
            [message] = messages.decode_flight_info_tickets(info)
        self.case.record(f"client sends {method.value} {class_name} {request_id}: {statement[:70]}")
        call = await self._open(headers, message)
        self.sent.set()
        self.case.record(f"client has sent all of {request_id}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1_000 + 5):
                while not call.ended:
                    call.changed.clear()
                    await call.changed.wait()
        status = "reset" if call.reset else call.headers.get("grpc-status", "none")
        self.case.record(
            f"client got status {status} {call.headers.get('grpc-message', '')} and {len(call.messages)} "
            f"messages for {request_id}"
        )
        return request_id, status

    async def _open(self, headers: list[tuple[str, str]], message: bytes) -> PeerCall:
        """Send a call in pieces, as the windows allow."""
        peer, h2 = self.peer, self.peer.h2
        stream_id = h2.get_next_available_stream_id()
        call = peer.calls[stream_id] = PeerCall(stream_id)
        h2.send_headers(stream_id, headers)
        data = memoryview(b"\0" + len(message).to_bytes(4, "big") + message)
        while data and not call.ended:
            size = min(len(data), CHUNK_BYTES, h2.local_flow_control_window(stream_id))
            if size <= 0:
                await asyncio.sleep(0.001)
                continue
            h2.send_data(stream_id, bytes(data[:size]), end_stream=size == len(data))
            data = data[size:]
            peer.flush()
            await self.writer.drain()
        peer.flush()
        return call
