"""Reason codes for client connections that end between two requests or after a response.

If a connection fails while a request is being read or handled, `h11_request` and `request_handler` return the
reason instead. `docs/on-call.md` documents what an operator should do about each code.
"""

from query_gateway.http.request_handler import RequestHandler
from query_gateway.net.stream import Reason, Stream

REQUEST_TIMEOUT_STATUS = 408


def reason_of_lost_connection(stream: Stream) -> Reason:
    """The reason for a connection that the client has closed or reset between two requests."""
    return Reason.RESET if stream.reset else Reason.PEER_CLOSED


def reason_of_unused_connection(closing: bool, has_sent_request: bool) -> Reason:
    """The reason for an unused connection: no request began in time, or the server is `closing`."""
    if closing:
        return Reason.STOPPING
    return Reason.IDLE if has_sent_request else Reason.UNRESPONSIVE


def reason_of_drained_connection(has_sent_request: bool) -> Reason:
    """The reason for a connection without an open request that is closed because the gateway drains."""
    return Reason.DRAINED if has_sent_request else Reason.UNRESPONSIVE


def reason_after_rejection(status: int) -> Reason:
    """The reason for a connection whose request was answered with the error `status`."""
    return Reason.SLOW_REQUEST if status == REQUEST_TIMEOUT_STATUS else Reason.BAD_REQUEST


def reason_after_last_response(handler: RequestHandler, closing: bool, draining: bool) -> Reason:
    """The reason for a connection that closes after a response.

    Without a cause in the handler, a closing server or a drain, the close was required by HTTP, for example
    by the client's header `Connection: close`.
    """
    if handler.is_over_connection_limit:
        return Reason.TOO_MANY
    if handler.discarded_bytes:
        return Reason.BAD_REQUEST
    if closing:
        return Reason.STOPPING
    return Reason.DRAINED if draining else Reason.DONE
