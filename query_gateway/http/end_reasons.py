"""Why a client connection ends: each reason code that this front gives of its own accord.

A connection that fails while a request is read or handled ends with the reason that this step returns
(`h11_request`, `request_handler`); `docs/on-call.md` says what to do about each code.
"""

from query_gateway.http.request_handler import RequestHandler
from query_gateway.net.stream import Reason, Stream

REQUEST_TIMEOUT_STATUS = 408


def reason_of_lost_connection(stream: Stream) -> Reason:
    """Of one that the client ended between two requests."""
    return Reason.RESET if stream.reset else Reason.PEER_CLOSED


def reason_of_unused_connection(closing: bool, has_sent_request: bool) -> Reason:
    """Of one on which no request began in time, or none will as the server closes (`closing`)."""
    if closing:
        return Reason.STOPPING
    return Reason.IDLE if has_sent_request else Reason.UNRESPONSIVE


def reason_of_drained_connection(has_sent_request: bool) -> Reason:
    """Of one without an open request while the gateway drains."""
    return Reason.DRAINED if has_sent_request else Reason.UNRESPONSIVE


def reason_after_rejection(status: int) -> Reason:
    """Of one whose request could not be accepted; `status` is that of the response."""
    return Reason.SLOW_REQUEST if status == REQUEST_TIMEOUT_STATUS else Reason.BAD_REQUEST


def reason_after_last_response(handler: RequestHandler, closing: bool, draining: bool) -> Reason:
    """Of one that ended with a response, as its handler, the server's close or a drain required.

    If none of them did, the connection ended as HTTP asks.
    """
    if handler.is_over_connection_limit:
        return Reason.TOO_MANY
    if handler.discarded_bytes:
        return Reason.BAD_REQUEST
    if closing:
        return Reason.STOPPING
    return Reason.DRAINED if draining else Reason.DONE
