"""A gRPC connection for the soak's stand-in engines and clients, on h2 and asyncio streams."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.events
import h2.exceptions

from query_gateway.rpc.framing import MessageDecoder, encode_message

READ_SIZE = 65_536
FRAME_HEADER_BYTES, FRAME_TYPE_OFFSET, GOAWAY_TYPE = 9, 3, 7
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
Headers = list[tuple[str, str]]


@dataclass(slots=True)
class PeerCall:
    """One call as this side of the connection sees it."""

    stream_id: int
    headers: dict[str, str] = field(default_factory=dict)
    messages: list[bytes] = field(default_factory=list)
    decoder: MessageDecoder = field(default_factory=MessageDecoder)
    ended: bool = False  # by the other side, with END_STREAM or a reset
    reset: bool = False
    refused: bool = False  # its stream is above the last one that the other side's GOAWAY accepts
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class GrpcPeer:
    """One connection and its calls."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_client: bool) -> None:
        """Send the connection preface."""
        self.reader, self.writer = reader, writer
        config = h2.config.H2Configuration(client_side=is_client, header_encoding="utf-8")
        self.h2 = h2.connection.H2Connection(config)
        self.calls: dict[int, PeerCall] = {}
        self.draining = False  # the other side has sent GOAWAY and accepts no further call
        self.closed = False
        self._preface_bytes_left = 0 if is_client else len(PREFACE)
        self._buffer = bytearray()
        self.h2.initiate_connection()
        self.flush()

    def flush(self) -> None:
        """Write the pending output of h2."""
        if data := self.h2.data_to_send():
            self.writer.write(data)

    def open_call(self, headers: Headers, message: bytes) -> PeerCall:
        """Start a call with a single message; raises h2's ProtocolError if no stream can be opened."""
        stream_id = self.h2.get_next_available_stream_id()
        call = self.calls[stream_id] = PeerCall(stream_id)
        self.h2.send_headers(stream_id, headers)
        self.h2.send_data(stream_id, encode_message(message), end_stream=True)
        self.flush()
        return call

    def answer(self, stream_id: int, messages: list[bytes], trailers: Headers) -> None:
        """Send the complete answer to a call: headers, messages and trailers."""
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.send_headers(stream_id, [(":status", "200"), ("content-type", "application/grpc")])
            for message in messages:
                self.h2.send_data(stream_id, encode_message(message))
            self.h2.send_headers(stream_id, trailers, end_stream=True)
            self.flush()

    def reset(self, stream_id: int) -> None:
        """Cancel a call with RST_STREAM (CANCEL)."""
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(stream_id, 8)
            self.flush()

    async def receive(self) -> list[int]:
        """Read until calls change and return their stream ids; an empty list at the connection's end."""
        while not self.closed:
            try:
                data = await self.reader.read(READ_SIZE)
                events = self.h2.receive_data(self._remove_goaway(data)) if data else []
            except (OSError, h2.exceptions.ProtocolError):
                data, events = b"", []
            if not data:
                break
            changed = [stream_id for event in events if (stream_id := self._apply(event))]
            self.flush()
            if changed:
                return changed
        self.closed = True
        for call in self.calls.values():
            call.reset |= not call.ended
            call.ended = True
            call.changed.set()
        return []

    def _remove_goaway(self, data: bytes) -> bytes:
        """Return the complete frames except GOAWAY, after which h2 would discard the data of open calls."""
        self._buffer += data
        passed = bytes(self._buffer[: self._preface_bytes_left])
        del self._buffer[: len(passed)]
        self._preface_bytes_left -= len(passed)
        while len(self._buffer) >= FRAME_HEADER_BYTES:
            end = FRAME_HEADER_BYTES + int.from_bytes(self._buffer[:3], "big")
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[:end])
            del self._buffer[:end]
            if frame[FRAME_TYPE_OFFSET] == GOAWAY_TYPE:
                self._on_goaway(int.from_bytes(frame[FRAME_HEADER_BYTES : FRAME_HEADER_BYTES + 4], "big"))
            else:
                passed += frame
        return passed

    def _on_goaway(self, last_stream_id: int) -> None:
        self.draining = True
        for stream_id, call in self.calls.items():
            if stream_id > last_stream_id:
                call.refused = call.ended = True
                call.changed.set()

    def _apply(self, event: h2.events.Event) -> int:
        """Apply an event to its call; return the stream id, or 0 if it concerns no call."""
        stream_id = int(getattr(event, "stream_id", 0) or 0)
        if not stream_id:
            return 0
        call = self.calls.setdefault(stream_id, PeerCall(stream_id))
        if isinstance(
            event, h2.events.RequestReceived | h2.events.ResponseReceived | h2.events.TrailersReceived
        ):
            call.headers |= {str(name): str(value) for name, value in event.headers}
        elif isinstance(event, h2.events.DataReceived):
            call.messages += call.decoder.feed(event.data)
            self.h2.acknowledge_received_data(event.flow_controlled_length, stream_id)
        elif isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
            call.ended = True
            call.reset |= isinstance(event, h2.events.StreamReset)
        call.changed.set()
        return stream_id
