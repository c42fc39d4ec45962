"""gRPC over HTTP/2: connections and calls with bounded buffers and flow control from end to end.

Decides when a connection accepts no more calls, and when one that is silent or idle is closed. Owns each
connection's h2 state and each call's queued messages; the socket's buffers belong to `net`. Imported by the
Flight SQL server and engine client alone; knows no message of theirs.

Modules import in one direction: `connection`, `peer_events`, `call`, `framing`. What a lower one needs of the
connection is a Protocol (`CallOwner`, `CallConnection`).
"""
