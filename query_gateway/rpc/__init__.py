"""gRPC over HTTP/2: connections and calls with bounded buffers and end-to-end flow control.

Decides when a connection stops accepting calls, and when a silent or idle connection is closed. Owns the h2
state of each connection and the queued messages of each call; the socket buffers belong to `net`. Imported
only by the Flight SQL server and engine client, and independent of their message types.

Modules import in one direction: `connection`, `peer_events`, `call`, `framing`. `peer_events` and `call`
access the connection through the Protocols `CallOwner` and `CallConnection`.
"""
