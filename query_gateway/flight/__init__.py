"""Flight SQL: the server for client calls, and the client for engines.

Maps a Flight SQL call to a request of the forwarder, an attempt to calls at an engine, and an answer to a
gRPC status. Owns the gRPC connections of clients and engines. Imported only where Flight SQL is enabled.

Modules import in one direction: `server`, `client_call`, `requests`, `messages`; `engines` imports only
`messages`. The Protocol `FlightCallContext` is the interface of the server to a client's call.
"""
