"""Sends the responses of one client connection, with or without h11, and waits until they are read."""

from collections.abc import Generator

import h11

from query_gateway.http.responses import Response, encode_h11_response, encode_plain_response
from query_gateway.net.stream import Reason, Stream

RESPONSE_TIMEOUT_SECONDS = 30.0  # until the client has read a response


class ResponseSender:
    """Writes to the stream of a connection; neither reads from it nor closes it."""

    def __init__(self, stream: Stream, http: h11.Connection) -> None:
        """`http` is the connection's HTTP state; it moves on with each response that h11 encodes."""
        self.stream, self.http = stream, http
        self.bypasses_h11 = False  # the current request was read by the fast parser
        self.wants_body = True  # the current request is no HEAD
        self.announced_close = False  # the last response has the header `Connection: close`

    @property
    def may_send(self) -> bool:
        """Whether HTTP still allows a response to the current request, or one without a request."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def write(self, response: Response, is_last: bool) -> None:
        """Write the response; with `is_last` it announces that the connection ends with it."""
        if is_last:
            self.announced_close = True
        if self.bypasses_h11:
            self.stream.write(encode_plain_response(response, is_last))
        else:
            self.stream.write(encode_h11_response(self.http, response, is_last, self.wants_body))

    def wait_until_sent(self) -> Generator[float | None, None, Reason | None]:
        """Wait until the machine has taken all that was written; a reason if the client does not read it."""
        stream = self.stream
        deadline = stream.loop.now() + RESPONSE_TIMEOUT_SECONDS
        while stream.outbox:
            if stream.reset:
                return Reason.RESET
            if stream.loop.now() >= deadline:
                return Reason.SLOW_READER
            yield deadline
        return None
