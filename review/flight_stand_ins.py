"""Flight SQL stand-ins: an HTTP/2 endpoint on asyncio streams, a client and an engine.

The messages of Flight SQL are those of the public specification; `query_gateway.flight.messages` encodes them.
"""

import asyncio
import contextlib
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
from hyperframe.frame import GoAwayFrame

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from query_gateway.flight import messages  # noqa: E402
from query_gateway.flight.messages import FlightMethod  # noqa: E402
from query_gateway.rpc.framing import MessageDecoder, encode_message  # noqa: E402
from stand_ins import Record, free_port  # noqa: E402

READ_SIZE = 65_536
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_BYTES, FRAME_TYPE_OFFSET, GOAWAY_TYPE = 9, 3, 7
Headers = list[tuple[str, str]]


@dataclass(eq=False)
class Stream:
    """One call, as this side sees it."""

    stream_id: int
    headers: dict[str, str] = field(default_factory=dict)  # with the trailers
    messages: list[bytes] = field(default_factory=list)
    unacknowledged: int = 0  # flow-controlled bytes that were received and not given back
    ended: bool = False  # by the other side, also by a reset
    reset: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    decoder: MessageDecoder = field(default_factory=MessageDecoder)


class Endpoint:
    """One HTTP/2 connection, on either side.

    A GOAWAY of the other side only ends the opening of new calls; h2 gets the other frames alone, as it takes a
    GOAWAY for the end of all calls, while RFC 9113, section 6.8, lets the open ones go on.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_client: bool, window: int = 65_535
    ) -> None:
        self.reader, self.writer = reader, writer
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=is_client, header_encoding="utf-8")
        )
        self.h2.local_settings = h2.settings.Settings(
            client=is_client, initial_values={h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: window}
        )
        self.streams: dict[int, Stream] = {}
        self.on_request: Callable[[Stream], Awaitable[None]] | None = None  # server side: a call is complete
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.acknowledges = True  # whether received data is acknowledged at once
        self.closed = asyncio.Event()
        self.window_opened = asyncio.Event()
        self._preface_left = 0 if is_client else len(PREFACE)
        self._buffer = bytearray()
        self.newest_stream_id = 0
        self.h2.initiate_connection()
        self.flush()
        self.reading = asyncio.create_task(self._read())

    def flush(self) -> None:
        if data := self.h2.data_to_send():
            self.writer.write(data)

    async def _read(self) -> None:
        with contextlib.suppress(OSError, h2.exceptions.ProtocolError):
            while data := await self.reader.read(READ_SIZE):
                for event in self.h2.receive_data(self._without_goaway(data)):
                    self._apply(event)
                self.flush()
        self.closed.set()
        self.window_opened.set()
        for stream in self.streams.values():
            stream.reset |= not stream.ended
            stream.ended = True
            stream.changed.set()

    def _without_goaway(self, data: bytes) -> bytes:
        self._buffer += data
        passed = bytes(self._buffer[: self._preface_left])
        del self._buffer[: len(passed)]
        self._preface_left -= len(passed)
        while len(self._buffer) >= FRAME_HEADER_BYTES:
            end = FRAME_HEADER_BYTES + int.from_bytes(self._buffer[:3], "big")
            if len(self._buffer) < end:
                break
            if self._buffer[FRAME_TYPE_OFFSET] != GOAWAY_TYPE:
                passed += bytes(self._buffer[:end])
            del self._buffer[:end]
        return passed

    def _apply(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            self.window_opened.set()
            self.window_opened = asyncio.Event()
        stream_id = int(getattr(event, "stream_id", 0) or 0)
        if not stream_id:
            return
        stream = self.streams.setdefault(stream_id, Stream(stream_id))
        if isinstance(event, h2.events.RequestReceived | h2.events.ResponseReceived | h2.events.TrailersReceived):
            stream.headers |= {str(name): str(value) for name, value in event.headers or []}
            self.newest_stream_id = max(self.newest_stream_id, stream_id)
        elif isinstance(event, h2.events.DataReceived):
            stream.messages += stream.decoder.feed(event.data or b"")
            stream.unacknowledged += event.flow_controlled_length or 0
            if self.acknowledges:
                self.acknowledge(stream)
        elif isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
            stream.ended = True
            stream.reset |= isinstance(event, h2.events.StreamReset)
            if stream.reset and (task := self.tasks.pop(stream_id, None)):
                task.cancel()
            if not stream.reset and self.on_request:
                self.tasks[stream_id] = asyncio.create_task(self.on_request(stream))
        stream.changed.set()

    def acknowledge(self, stream: Stream) -> None:
        """Give back all flow-control credit of a call."""
        if stream.unacknowledged:
            self.h2.acknowledge_received_data(stream.unacknowledged, stream.stream_id)
            stream.unacknowledged = 0

    def goaway(self) -> None:
        """Announce that no further call is accepted; the open ones go on (RFC 9113, section 6.8)."""
        self.flush()
        self.writer.write(GoAwayFrame(0, last_stream_id=self.newest_stream_id).serialize())

    async def send(self, stream: Stream, message: bytes) -> bool:
        """Send a message as the windows admit; False if the call or the connection has ended before."""
        data = encode_message(message)
        while data:
            if self.closed.is_set() or stream.reset:
                return False
            window = min(self.h2.local_flow_control_window(stream.stream_id), self.h2.max_outbound_frame_size)
            if window <= 0:
                await self.window_opened.wait()
                continue
            self.h2.send_data(stream.stream_id, data[:window])
            data = data[window:]
            self.flush()
            await self.writer.drain()
        return True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def request_headers(method: FlightMethod, timeout_s: float, metadata: dict[str, str]) -> Headers:
    """The headers of a client's call."""
    return [
        (":method", "POST"), (":scheme", "http"), (":path", messages.SERVICE_PATH + method.value),
        (":authority", "x"), ("te", "trailers"), ("content-type", "application/grpc"),
        ("grpc-timeout", f"{int(timeout_s * 1000)}m"),
        *((name.replace("_", "-"), value) for name, value in metadata.items()),
    ]  # fmt: skip


class FlightClient:
    """One connection of a Flight SQL client."""

    def __init__(self, record: Record, endpoint: Endpoint) -> None:
        self.record, self.endpoint = record, endpoint

    @classmethod
    async def connect(cls, record: Record, port: int, window: int = 65_535) -> "FlightClient":
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        return cls(record, Endpoint(reader, writer, True, window))

    def call(self, method: FlightMethod, message: bytes, label: str, timeout_s: float, **metadata: str) -> Stream:
        """Open a call and send its one message."""
        endpoint = self.endpoint
        stream_id = endpoint.h2.get_next_available_stream_id()
        stream = endpoint.streams[stream_id] = Stream(stream_id)
        endpoint.h2.send_headers(stream_id, request_headers(method, timeout_s, metadata))
        endpoint.h2.send_data(stream_id, encode_message(message), end_stream=True)
        self.record.write("client", "sent", f"{label} {method.value}")
        endpoint.flush()
        return stream

    def query(self, statement: str, label: str, timeout_s: float, **metadata: str) -> Stream:
        """Ask for the result of a query, with a ticket as the gateway's GetFlightInfo makes it."""
        descriptor = messages.encode_query_descriptor(statement)
        ticket = messages.decode_flight_info_tickets(messages.encode_flight_info(descriptor, statement))[0]
        return self.call(FlightMethod.DO_GET, ticket, label, timeout_s, **metadata)

    def update(self, statement: str, label: str, timeout_s: float, **metadata: str) -> Stream:
        """Send an update."""
        return self.call(FlightMethod.DO_PUT, messages.encode_update(statement), label, timeout_s, **metadata)

    async def put(self, statement: str, label: str, timeout_s: float, **metadata: str) -> Stream:
        """Send an update of any size, as the windows admit."""
        endpoint = self.endpoint
        stream_id = endpoint.h2.get_next_available_stream_id()
        stream = endpoint.streams[stream_id] = Stream(stream_id)
        endpoint.h2.send_headers(stream_id, request_headers(FlightMethod.DO_PUT, timeout_s, metadata))
        message = messages.encode_update(statement)
        await endpoint.send(stream, message)
        if not stream.ended and not endpoint.closed.is_set():
            endpoint.h2.end_stream(stream_id)
            endpoint.flush()
            self.record.write("client", "sent", f"{label} DoPut, {len(message)} bytes")
        return stream

    def cancel(self, stream: Stream, label: str) -> None:
        """Cancel a call, as a client that wants no more of its result does."""
        self.endpoint.h2.reset_stream(stream.stream_id, 8)
        stream.reset = stream.ended = True
        self.endpoint.flush()
        self.record.write("client", "cancelled", label)

    async def finished(self, stream: Stream, label: str, timeout_s: float) -> str:
        """The status of a call at its end; empty: it got no final answer in this time or was broken off."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while not stream.ended and loop.time() < until:
            stream.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stream.changed.wait(), max(0.0, until - loop.time()))
        status = stream.headers.get("grpc-status", "") if stream.ended and not stream.reset else ""
        self.record.write(
            "client", "answer",
            f"{label} grpc-status={status or 'none'} {stream.headers.get('grpc-message', '')} messages={len(stream.messages)}",
        )
        return status


class FlightEngine:
    """A Flight SQL engine. `batches` of `batch_bytes` make a result, one each `batch_interval_s`."""

    def __init__(
        self, record: Record, name: str, batches: int = 3, batch_bytes: int = 1_000, batch_interval_s: float = 0.0,
        work_s: float = 0.05,
    ) -> None:  # fmt: skip
        self.record, self.name, self.work_s = record, name, work_s
        self.batches, self.batch_bytes, self.batch_interval_s = batches, batch_bytes, batch_interval_s
        self.port = free_port()
        self.started: list[tuple[float, str, str]] = []  # time, method, statement
        self.completed: list[str] = []  # statements whose answer was written whole
        self.connections: list[Endpoint] = []
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        endpoint = Endpoint(reader, writer, False)
        endpoint.on_request = lambda stream: self._serve(endpoint, stream)
        self.connections.append(endpoint)
        await endpoint.closed.wait()
        self.record.write(self.name, "conn-ended")
        writer.close()

    def goaway(self) -> None:
        """Accept no further calls on the connections there are."""
        for endpoint in self.connections:
            if not endpoint.closed.is_set():
                endpoint.goaway()
                self.record.write(self.name, "goaway", f"last stream {endpoint.newest_stream_id}")

    async def _serve(self, endpoint: Endpoint, stream: Stream) -> None:
        method = stream.headers[":path"].rpartition("/")[2]
        message = stream.messages[0]
        if method == FlightMethod.GET_FLIGHT_INFO.value:
            statement = messages.decode_query_descriptor(message)
            parts = [messages.encode_flight_info(message, statement)]
        elif method == FlightMethod.DO_GET.value:
            statement = messages.decode_ticket(message)
            parts = [bytes([65 + number % 26]) * self.batch_bytes for number in range(self.batches)]
        else:
            statement = messages.decode_update(message)
            parts = [b"\x08\x01"]
        self.started.append((self.record.write(self.name, "run", f"{method} {statement}"), method, statement))
        if method != FlightMethod.GET_FLIGHT_INFO.value:
            await asyncio.sleep(self.work_s)
        with contextlib.suppress(h2.exceptions.ProtocolError, OSError):
            endpoint.h2.send_headers(
                stream.stream_id, [(":status", "200"), ("content-type", "application/grpc")]
            )
            for part in parts:
                if not await endpoint.send(stream, part):
                    self.record.write(self.name, "cut", f"{method} {statement}")
                    return
                if method == FlightMethod.DO_GET.value:
                    await asyncio.sleep(self.batch_interval_s)
            endpoint.h2.send_headers(stream.stream_id, [("grpc-status", "0")], end_stream=True)
            endpoint.flush()
            await endpoint.writer.drain()
            if not endpoint.closed.is_set():
                self.completed.append(statement)
                self.record.write(self.name, "completed", f"{method} {statement}")
                return
        self.record.write(self.name, "cut", f"{method} {statement}")
