"""Responses as a status, a JSON body and headers, and their encoding with or without h11."""

import http
import json
from dataclasses import dataclass

import h11

from query_gateway.forwarder.messages import Answer, Verdict

COLUMN_SEPARATOR = "\t"
ROW_END = "\n"
JSON_HEADER = ("Content-Type", "application/json")
CLOSE_HEADER = ("Connection", "close")
# The platform's counterpart of Retry-After, in milliseconds. Every rejection has it; 0 permits an immediate
# retry
RETRY_AFTER_HEADER = "X-Throttle-Ms"

Headers = list[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class Response:
    """The response to one request; `body` is encoded as JSON."""

    status: int
    body: object
    headers: tuple[tuple[str, str], ...] = ()


def failure_response(status: int, failure: str) -> Response:
    """Create an error response in the platform's JSON form."""
    return Response(status, {"failure": failure})


def decode_rows(pages: tuple[bytes, ...]) -> list[list[str]]:
    """Decode result pages into rows: columns are separated by tabs, each row ends with a line feed.

    Raises ValueError if a page ends within a row or is not UTF-8.
    """
    rows: list[list[str]] = []
    for page in pages:
        text = page.decode()
        if text and not text.endswith(ROW_END):
            raise ValueError("a page ends within a row")
        rows.extend(line.split(COLUMN_SEPARATOR) for line in text.split(ROW_END)[:-1])
    return rows


def response_to(answer: Answer) -> Response:
    """Convert the forwarder's final answer into a response."""
    if answer.verdict is Verdict.REJECTED:
        return Response(429, {"failure": "Overloaded"}, ((RETRY_AFTER_HEADER, str(answer.retry_after_ms)),))
    if answer.verdict is Verdict.FAILED:
        return failure_response(500, "Internal")
    try:
        rows = decode_rows(answer.pages)
    except ValueError:
        return failure_response(500, "Internal")
    return Response(200, {"rows": rows})


def _headers_and_body(response: Response, closing: bool) -> tuple[Headers, bytes]:
    body = json.dumps(response.body, ensure_ascii=False, separators=(",", ":")).encode()
    headers = [JSON_HEADER, ("Content-Length", str(len(body))), *response.headers]
    if closing:
        headers.append(CLOSE_HEADER)
    return headers, body


def encode_plain_response(response: Response, closing: bool) -> bytes:
    """Encode the response to a request that h11 has not parsed; `closing` adds `Connection: close`."""
    headers, body = _headers_and_body(response, closing)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    phrase = http.HTTPStatus(response.status).phrase
    return f"HTTP/1.1 {response.status} {phrase}\r\n{lines}\r\n".encode() + body


def encode_h11_response(
    connection: h11.Connection, response: Response, closing: bool, with_body: bool = True
) -> bytes:
    """Encode the response to the request that the h11 connection has parsed, and advance its state.

    `with_body` is False for the response to a HEAD, which has no body (RFC 9110 section 9.3.2).
    """
    headers, body = _headers_and_body(response, closing)
    data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
    if with_body:
        data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    return data
