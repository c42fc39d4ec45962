"""Sends the responses of one client connection, encoded with or without h11."""

from collections.abc import Generator

import h11

from query_gateway.http.responses import Response, encode_h11_response, encode_plain_response
from query_gateway.net.stream import Reason, Stream

RESPONSE_TIMEOUT_SECONDS = 30.0  # for the client to read a response


class ResponseSender:
    """Writes responses to the stream of a connection; does not read from it or close it."""

    def __init__(self, stream: Stream, http: h11.Connection) -> None:
        """`http` is the h11 state machine of the connection; responses that h11 encodes advance it."""
        self.stream, self.http = stream, http
        self.bypasses_h11 = False  # the current request was parsed by `plain_request`
        self.wants_body = True  # False if the current request is a HEAD
        self.announced_close = False  # a response with `Connection: close` has been written

    @property
    def may_send(self) -> bool:
        """Whether HTTP permits a response now: to the current request, or before any request is complete."""
        return self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def write(self, response: Response, is_last: bool) -> None:
        """Write the response; with `is_last`, it announces that the connection closes after it."""
        if is_last:
            self.announced_close = True
        if self.bypasses_h11:
            self.stream.write(encode_plain_response(response, is_last))
        else:
            self.stream.write(encode_h11_response(self.http, response, is_last, self.wants_body))

    def wait_until_sent(self) -> Generator[float | None, None, Reason | None]:
        """Wait until the kernel has accepted all bytes; return the reason if the connection must end first.

        This is the case if the client resets it, or does not read for `RESPONSE_TIMEOUT_SECONDS`.
        """
        stream = self.stream
        deadline = stream.loop.now() + RESPONSE_TIMEOUT_SECONDS
        while stream.outbox:
            if stream.reset:
                return Reason.RESET
            if stream.loop.now() >= deadline:
                return Reason.SLOW_READER
            yield deadline
        return None
