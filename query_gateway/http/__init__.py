"""The platform's HTTP/1.1 protocol: one request at a time on a connection, complete results in one response.

Decides how requests are decoded and rejected before the forwarder knows them, which client connection is
evicted at the limit, and when connections close. Owns the client connections and their listener. Imported by
the composition root; the Flight front shares the decoding of headers (`request_decoding`).

Modules import in one direction: `server`, `connection`, then what serves one request (`request_handler`,
`h11_request`, `plain_request`, `routing`, `response_sender`), then `request_decoding` and `responses`. What a
lower one needs of the server is a Protocol (`ConnectionContext`, `RequestContext`). Why a client connection
ends is decided in `end_reasons`.
"""
