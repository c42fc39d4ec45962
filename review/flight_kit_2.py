"""Flight SQL stand-ins of the second review, from the public specifications: a sound engine and a client.

Both keep HTTP/2 flow control: nothing is sent beyond the peer's window. Messages are built by the project's
own encoder, `query_gateway.flight.messages`.
"""

import asyncio
import contextlib
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
from hyperframe.frame import GoAwayFrame
from kit_2 import ROOT, Record, abort, free_port, spawn

sys.path.insert(0, str(ROOT))
from query_gateway.flight import messages  # noqa: E402
from query_gateway.flight.messages import FlightMethod  # noqa: E402
from query_gateway.rpc.framing import MessageDecoder, encode_message  # noqa: E402

OK, REFUSED = "0", "8"


@dataclass(slots=True)
class PeerCall:
    """One call, as one side sees it."""

    stream_id: int
    headers: dict[str, str] = field(default_factory=dict)
    messages: list[bytes] = field(default_factory=list)
    decoder: MessageDecoder = field(default_factory=MessageDecoder)
    received_bytes: int = 0
    withheld: int = 0  # received and not acknowledged
    reads: bool = True  # whether received data is acknowledged, so that the peer may send more
    ended: bool = False
    reset: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class H2Peer:
    """One HTTP/2 connection without TLS."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_client: bool) -> None:
        self.reader, self.writer = reader, writer
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=is_client, header_encoding="utf-8")
        )
        self.calls: dict[int, PeerCall] = {}
        self.window_changed = asyncio.Event()
        self.closed = False
        self.on_call: Callable[[PeerCall], Awaitable[None]] | None = None
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.sending: set[str] = set()  # requests whose result is being sent
        self.h2.initiate_connection()
        self.flush()

    def flush(self) -> None:
        if data := self.h2.data_to_send():
            self.writer.write(data)

    async def run(self) -> None:
        """Receive until the connection ends."""
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            while data := await self.reader.read(65_536):
                for event in self.h2.receive_data(data):
                    self._apply(event)
                self.flush()
        self.closed = True
        for call in self.calls.values():
            call.reset |= not call.ended
            call.ended = True
            call.changed.set()
        self.window_changed.set()
        for task in self.tasks.values():
            task.cancel()
        self.writer.close()

    def _apply(self, event: Any) -> None:
        if isinstance(event, (h2.events.WindowUpdated, h2.events.RemoteSettingsChanged)):
            self.window_changed.set()
        stream_id = int(getattr(event, "stream_id", 0) or 0)
        if not stream_id:
            return
        call = self.calls.setdefault(stream_id, PeerCall(stream_id))
        if isinstance(event, (h2.events.RequestReceived, h2.events.ResponseReceived, h2.events.TrailersReceived)):
            call.headers |= {str(name): str(value) for name, value in event.headers}
        elif isinstance(event, h2.events.DataReceived):
            call.received_bytes += len(event.data)
            call.messages += call.decoder.feed(event.data)
            call.withheld += event.flow_controlled_length
            if call.reads:
                self.acknowledge(call)
        elif isinstance(event, h2.events.StreamEnded):
            call.ended = True
            if self.on_call:
                self.tasks[stream_id] = spawn(self.on_call(call))
        elif isinstance(event, h2.events.StreamReset):
            call.ended = call.reset = True
            if task := self.tasks.pop(stream_id, None):
                task.cancel()
            self.sending.discard(call.headers.get("x-txn", ""))
            self.window_changed.set()
        call.changed.set()

    def acknowledge(self, call: PeerCall) -> None:
        """Let the peer send as much again as was received and not acknowledged."""
        if call.withheld:
            withheld, call.withheld = call.withheld, 0
            with contextlib.suppress(h2.exceptions.ProtocolError):
                self.h2.acknowledge_received_data(withheld, call.stream_id)
            self.flush()

    async def send(self, call: PeerCall, data: bytes) -> None:
        """Send data within the peer's windows, waiting for them."""
        while data and not call.reset and not self.closed:
            size = min(self.h2.local_flow_control_window(call.stream_id), self.h2.max_outbound_frame_size, len(data))
            if size <= 0:
                self.window_changed.clear()
                await self.window_changed.wait()
                continue
            self.h2.send_data(call.stream_id, data[:size])
            self.flush()
            data = data[size:]

    def send_headers(self, call: PeerCall, headers: list[tuple[str, str]], end: bool = False) -> None:
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.send_headers(call.stream_id, headers, end_stream=end)
            self.flush()

    def cancel(self, call: PeerCall) -> None:
        """Cancel a call; as RFC 9113 has it, what was received of it is credited to the connection."""
        self.acknowledge(call)
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(call.stream_id, h2.errors.ErrorCodes.CANCEL)
        call.ended = call.reset = True
        self.flush()


HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


@dataclass(slots=True)
class FlightRun:
    """One query or update that reached an engine whole."""

    engine: str
    request_id: str
    method: str
    statement: str
    idempotency_key: str
    at: float
    applied: bool = False


class FlightEngine:
    """A sound Flight SQL engine: plans, streams results of `result_bytes`, applies updates once a key.

    All engines of a deployment share `remembered`: a repeat of an idempotency key within 25 s is dropped and
    answered as the first was.
    """

    def __init__(
        self, name: str, record: Record, runs: list[FlightRun], remembered: dict[str, float], run_s: float = 0.05
    ) -> None:
        self.name, self.record, self.runs, self.remembered, self.run_s = name, record, runs, remembered, run_s
        self.port = free_port()
        self.result_bytes: Callable[[str], int] = lambda statement: 300
        self.verbose = True
        self.before_answer: Callable[[FlightRun, asyncio.StreamWriter], bool] = lambda run, writer: True
        self.run_time: Callable[[str], float] = lambda statement: self.run_s
        self.connections = 0
        self.peers: list[H2Peer] = []
        self.cut_off: list[str] = []  # requests whose connection ended while their result was being sent

    async def start(self) -> None:
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        peer = H2Peer(reader, writer, is_client=False)
        self.peers.append(peer)
        peer.on_call = lambda call: self._call(peer, call)
        await peer.run()
        for request_id in peer.sending:
            self.cut_off.append(request_id)
            self.record.write(f"{self.name}: the gateway ended the connection under the result of {request_id}")

    def drain(self) -> None:
        """Announce on each connection that no further calls are accepted; those that are open go on.

        RFC 9113, section 6.8: GOAWAY with the last stream that is served.
        """
        for peer in self.peers:
            if not peer.closed:
                last = max(peer.calls, default=0)
                self.record.write(f"DISRUPTION {self.name} drains: GOAWAY, last stream {last}")
                peer.writer.write(GoAwayFrame(0, last_stream_id=last).serialize())

    async def _call(self, peer: H2Peer, call: PeerCall) -> None:
        method = call.headers[":path"].rpartition("/")[2]
        request_id = call.headers.get("x-txn", "")
        if method == FlightMethod.GET_FLIGHT_INFO.value:
            statement = messages.decode_query_descriptor(call.messages[0])
            peer.send_headers(call, HEADERS)
            await peer.send(call, encode_message(messages.encode_flight_info(call.messages[0], statement)))
            peer.send_headers(call, [("grpc-status", OK)], end=True)
            return
        is_update = method == FlightMethod.DO_PUT.value
        statement = messages.decode_update(call.messages[0]) if is_update else messages.decode_ticket(call.messages[0])
        run = FlightRun(self.name, request_id, method, statement, call.headers.get("x-txn-key", ""), self.record.now())
        self.runs.append(run)
        if self.verbose:
            self.record.write(f"{self.name} got {request_id} {method} key {run.idempotency_key or '-'} {statement[:70]!r}")
        await asyncio.sleep(self.run_time(statement))
        if is_update:
            self._apply(run)
        if not self.before_answer(run, peer.writer):
            return
        peer.send_headers(call, HEADERS)
        left = 0 if is_update else self.result_bytes(statement)
        peer.sending.add(request_id)
        await peer.send(call, encode_message(f"{request_id} begin".encode()))
        while left > 0:
            piece = min(left, 4_000)
            left -= piece
            await peer.send(call, encode_message(request_id.encode() + b"r" * piece))
        if not peer.closed:
            peer.sending.discard(request_id)
        peer.send_headers(call, [("grpc-status", OK)], end=True)

    def _apply(self, run: FlightRun) -> None:
        """Apply an update, unless it repeats one whose key is remembered."""
        now = time.monotonic()
        seen_at = self.remembered.get(run.idempotency_key) if run.idempotency_key else None
        if seen_at is not None and now - seen_at < 25.0:
            self.record.write(f"{self.name} dropped {run.request_id}: a repeat of its key {run.idempotency_key}")
            return
        self.remembered[run.idempotency_key] = now
        run.applied = True
        self.record.write(f"{self.name} APPLIED {run.request_id} {run.statement[:90]!r}")


class FlightClient:
    """A client's connection to the gateway's Flight SQL front."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.peer: H2Peer | None = None

    async def connect(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.peer = H2Peer(reader, writer, is_client=True)
        spawn(self.peer.run())

    def close(self) -> None:
        if self.peer:
            self.peer.writer.close()

    def open(
        self, statement: str, is_update: bool, timeout_ms: int, extra: list[tuple[str, str]] | None = None,
        reads: bool = True,
    ) -> tuple[str, PeerCall]:  # fmt: skip
        """Send a query (DoGet) or an update (DoPut)."""
        assert self.peer
        request_id = uuid4().hex[:16]
        method = FlightMethod.DO_PUT if is_update else FlightMethod.DO_GET
        if is_update:
            message = messages.encode_update(statement)
        else:
            descriptor = messages.encode_query_descriptor(statement)
            [message] = messages.decode_flight_info_tickets(messages.encode_flight_info(descriptor, statement))
        headers = [
            (":method", "POST"), (":scheme", "http"), (":path", messages.SERVICE_PATH + method.value),
            (":authority", "gateway"), ("te", "trailers"), ("content-type", "application/grpc"),
            ("grpc-timeout", f"{timeout_ms}m"), ("x-txn", request_id), *(extra or []),
        ]  # fmt: skip
        stream_id = self.peer.h2.get_next_available_stream_id()
        call = self.peer.calls[stream_id] = PeerCall(stream_id, reads=reads)
        self.peer.h2.send_headers(stream_id, headers)
        self.peer.h2.send_data(stream_id, encode_message(message), end_stream=True)
        self.peer.flush()
        return request_id, call

    async def wait(self, call: PeerCall, seconds: float) -> str:
        """Wait for the end of a call: served, refused, failed, lost (no status), or silent (no end in time)."""
        until = time.monotonic() + seconds
        while not call.ended and time.monotonic() < until:
            call.changed.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(call.changed.wait(), max(0.001, until - time.monotonic()))
        if not call.ended:
            return "silent"
        status = call.headers.get("grpc-status")
        if call.reset or status is None:
            return "lost"
        return {OK: "served", REFUSED: "refused"}.get(status, "failed")


__all__ = ["FlightClient", "FlightEngine", "FlightRun", "H2Peer", "PeerCall", "abort"]
