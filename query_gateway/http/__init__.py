"""The HTTP/1.1 front: one request at a time per connection, with the complete result in one response.

Decodes requests, rejects those that are invalid before they reach the forwarder, evicts client connections
at the connection limit and closes connections. Owns the client connections and their listener. Imported by
the composition root; the Flight front uses the header decoding of `request_decoding`.

Imports between the modules are acyclic: `server`, `connection`, then the modules that serve a single request
(`request_handler`, `h11_request`, `plain_request`, `routing`, `response_sender`), then `request_decoding` and
`responses`. Lower modules access the server through the protocols `ConnectionContext` and `RequestContext`.
`end_reasons` determines the reason code of a closed client connection.
"""
