"""A Flight SQL client that sends the parts of a call one by one, for tests that set when each is sent."""

import contextlib
import socket
from uuid import uuid4

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ResponseReceived, TrailersReceived
from hyperframe.frame import GoAwayFrame

from query_gateway.flight import messages
from query_gateway.flight.messages import FlightMethod
from query_gateway.rpc.framing import encode_message

STREAM_ID = 1
READ_TIMEOUT_S = 0.01
FRAME_LENGTH_BYTES, FRAME_TYPE_OFFSET, FRAME_HEADER_BYTES = 3, 3, 9  # RFC 9113 section 4.1
Headers = list[tuple[str, str]]


def call_headers(method: FlightMethod, **metadata: str) -> Headers:
    """The request headers of a call. Underscores in the names of `metadata` become hyphens."""
    headers = {"x_txn": uuid4().hex[:16]} | metadata
    return [
        (":method", "POST"), (":scheme", "http"), (":path", messages.SERVICE_PATH + method.value),
        (":authority", "x"), *((name.replace("_", "-"), value) for name, value in headers.items()),
    ]  # fmt: skip


def update_headers() -> Headers:
    """The request headers of an update (DoPut) in the request class `load`."""
    return call_headers(FlightMethod.DO_PUT, x_class="load", x_row="7f3a9c21e0b4d655", x_txn_key=uuid4().hex)


def encode_ticket(statement: str) -> bytes:
    """The request message of a DoGet for the result of a query."""
    descriptor = messages.encode_query_descriptor(statement)
    [ticket] = messages.decode_flight_info_tickets(messages.encode_flight_info(descriptor, statement))
    return ticket


class FlightTestClient:
    """One connection that carries one call."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connects without sending anything."""
        self.socket = socket.create_connection(address)
        self.socket.settimeout(READ_TIMEOUT_S)
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.initiate_connection()
        self._inbox = b""
        self.response_headers: dict[str, str] = {}  # including the trailers

    def send_headers(self, headers: Headers) -> None:
        """Opens the call."""
        self.h2.send_headers(STREAM_ID, headers)
        self._flush()

    def send_message(self, message: bytes) -> None:
        """Sends the one message of the call and half-closes the stream."""
        self.h2.send_data(STREAM_ID, encode_message(message), end_stream=True)
        self._flush()

    def send_part(self, message: bytes, start: int, end: int | None = None) -> None:
        """Sends the bytes of the one message from `start` to `end`; without `end`, half-closes the stream."""
        data = encode_message(message)
        self.h2.send_data(STREAM_ID, data[start:end], end_stream=end is None)
        self._flush()

    def send_call(self, headers: Headers, message: bytes) -> None:
        """Opens the call and sends its message in the same segment."""
        self.h2.send_headers(STREAM_ID, headers)
        self.send_message(message)

    def cancel(self) -> None:
        """Cancels the call with RST_STREAM."""
        self.h2.reset_stream(STREAM_ID)
        self._flush()

    def read(self) -> str:
        """Reads once. Returns the gRPC status of the call, empty until one has been received."""
        with contextlib.suppress(TimeoutError):
            self._inbox += self.socket.recv(65_536)
        while frame := self._take_frame():
            if frame[FRAME_TYPE_OFFSET] == GoAwayFrame.type:
                continue  # not passed to h2, which would then accept no more frames of the open call
            for event in self.h2.receive_data(frame):
                if isinstance(event, ResponseReceived | TrailersReceived):
                    self.response_headers |= {str(name): str(value) for name, value in event.headers or []}
        return self.response_headers.get("grpc-status", "")

    def _take_frame(self) -> bytes:
        """The next complete frame, empty if there is none yet."""
        frame_end = FRAME_HEADER_BYTES + int.from_bytes(self._inbox[:FRAME_LENGTH_BYTES])
        if len(self._inbox) < max(frame_end, FRAME_HEADER_BYTES):
            return b""
        frame, self._inbox = self._inbox[:frame_end], self._inbox[frame_end:]
        return frame

    def close(self) -> None:
        self.socket.close()

    def _flush(self) -> None:
        self.socket.sendall(self.h2.data_to_send())
