"""Applies the peer's HTTP/2 frames, as decoded by h2, to the calls of a connection."""

import contextlib
from collections.abc import Callable
from typing import Protocol

import h2.errors
import h2.events
import h2.exceptions

from query_gateway.rpc.call import Call, CallConnection, CallHandler
from query_gateway.rpc.errors import FramingError

MAX_STREAM_ID = 2**31 - 1  # RFC 9113 section 5.1.1
HeadersEvent = h2.events.ResponseReceived | h2.events.TrailersReceived
CallAcceptor = Callable[[dict[str, str], Call], CallHandler]  # request headers, new call -> its handler


class CallOwner(CallConnection, Protocol):
    """The interface of a connection to the handler of its peer's events."""

    is_client: bool
    draining: bool  # neither side opens further calls; open calls continue
    calls: dict[int, Call]  # the open calls by their stream id
    on_call: CallAcceptor | None  # server side only; called for each new call


class PeerEventHandler:
    """Applies h2's events to the calls of one connection and notifies their handlers."""

    def __init__(self, connection: CallOwner) -> None:
        """Start without any call or GOAWAY of the peer."""
        self.connection = connection
        self.newest_stream_id = 0  # of the peer's last call that was not refused
        self.goaway_stream_id = MAX_STREAM_ID  # the last stream that the peer's GOAWAY does not refuse

    def is_refused(self, call: Call) -> bool:
        """Whether the peer's GOAWAY guarantees that it did not process this call (RFC 9113 section 6.8)."""
        return call.stream_id > self.goaway_stream_id

    def handle(self, event: h2.events.Event) -> None:
        """Apply one event; headers, ends and resets of calls that are not open are ignored."""
        if isinstance(event, h2.events.ConnectionTerminated):
            self._on_goaway(event)
        elif isinstance(event, h2.events.RequestReceived):
            self._on_request(event)
        elif isinstance(event, h2.events.DataReceived):
            self._on_data(event)
        elif isinstance(event, HeadersEvent | h2.events.StreamEnded | h2.events.StreamReset) and (
            call := self._find_call(event.stream_id)
        ):
            if isinstance(event, HeadersEvent):
                call.handler.on_headers(_header_dict(event))
            elif isinstance(event, h2.events.StreamEnded):
                self._on_end_stream(call)
            else:
                self._on_reset(call, event)

    def call_of(self, event: h2.events.Event) -> Call | None:
        """The open call that an event belongs to; None if it belongs to the connection."""
        return self._find_call(getattr(event, "stream_id", None))

    def _find_call(self, stream_id: int | None) -> Call | None:
        return None if stream_id is None else self.connection.calls.get(stream_id)

    def _on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        self.connection.draining = True
        self.goaway_stream_id = event.last_stream_id or 0
        for call in [call for call in self.connection.calls.values() if self.is_refused(call)]:
            self.connection.remove_call(call)
            call.handler.on_aborted(True)

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        accept_call = self.connection.on_call
        if not accept_call or not event.stream_id:
            return
        headers = _header_dict(event)
        if self.connection.draining or self.connection.stream.loop.receive_budget.is_overdrawn:
            # The client sent the call before it received our GOAWAY, or there is no memory for it.
            # REFUSED_STREAM guarantees that the call was not processed, so the client may retry it elsewhere
            # (RFC 9113 section 8.7)
            with contextlib.suppress(h2.exceptions.ProtocolError):  # the client has reset it already
                self.connection.h2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
            return
        self.newest_stream_id = event.stream_id
        call = Call(self.connection, event.stream_id, CallHandler())
        self.connection.calls[event.stream_id] = call
        call.count_held()
        call.handler = accept_call(headers, call)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        if event.stream_id is None:
            return
        flow_controlled_bytes = event.flow_controlled_length or 0
        call = self._find_call(event.stream_id)
        if call is None or call.is_closed:
            # Data for a closed call still counts towards the connection's flow-control window (RFC 9113
            # section 5.1) and is acknowledged nowhere else. Without the acknowledgement, the window would
            # shrink until the peer could not send on any call
            self.connection.h2.acknowledge_received_data(flow_controlled_bytes, event.stream_id)
        else:
            self._decode_messages(call, event.data or b"", flow_controlled_bytes)

    def _decode_messages(self, call: Call, data: bytes, flow_controlled_bytes: int) -> None:
        try:
            messages = call.decoder.feed(data)
        except FramingError:
            call.reset()
            call.handler.on_aborted(False)
            return
        # Data that completes no message is acknowledged at once: otherwise the peer could never send the rest
        # of a message that exceeds the window, and the call would stall
        if not messages and self.connection.is_client:
            call.acknowledge(flow_controlled_bytes)
        elif not messages:
            call.acknowledge_partial_message(flow_controlled_bytes)
        if messages and not self.connection.is_client:
            call.count_held()
        for index, message in enumerate(messages):
            call.handler.on_message(message, flow_controlled_bytes if index == 0 else 0)

    def _on_end_stream(self, call: Call) -> None:
        call.handler.on_end_stream()
        if self.connection.is_client:
            self.connection.remove_call(call)

    def _on_reset(self, call: Call, event: h2.events.StreamReset) -> None:
        is_refused = event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM
        # A peer processes a call only after it has received the complete message
        never_ran = is_refused or bool(call.queue)
        self.connection.remove_call(call)
        call.handler.on_aborted(never_ran)


def _header_dict(event: h2.events.RequestReceived | HeadersEvent) -> dict[str, str]:
    """The headers as text; bytes that are not UTF-8 are replaced, so that only their call is refused."""
    return {_header_text(name): _header_text(value) for name, value in event.headers or []}


def _header_text(text: bytes | str) -> str:
    return text if isinstance(text, str) else text.decode(errors="replace")
