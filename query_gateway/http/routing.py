"""Routes requests by path and method: to a request class, or to the liveness path."""

from query_gateway.http.h11_request import HttpRequest
from query_gateway.http.request_decoding import RequestError
from query_gateway.http.responses import Response

SERVICE_PREFIX = "/svc"
LIVENESS_PATH = "/status/live"


def liveness_response(request: HttpRequest, is_ready: bool) -> Response | None:
    """The response to a request for the liveness path, or None for any other path.

    `is_ready` is whether clients should send requests to this gateway. Raises RequestError for an
    unsupported method.
    """
    if request.path != LIVENESS_PATH:
        return None
    if request.method not in ("GET", "HEAD"):
        raise RequestError(405, "only GET is known here")
    return Response(200 if is_ready else 503, {"live": is_ready})


def addressed_class_name(request: HttpRequest) -> str:
    """The name of the request class that a POST addresses; raises RequestError for any other request.

    `decode_request` checks that the class exists.
    """
    prefix, _, class_name = request.path.rpartition("/")
    if prefix != SERVICE_PREFIX:
        raise RequestError(404, "the path is unknown")
    if request.method != "POST":
        raise RequestError(405, "only POST is known here")
    return class_name
