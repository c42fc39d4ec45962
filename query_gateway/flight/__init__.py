"""Flight SQL on both sides: the server that clients call, and the connections to the engines.

Decides how a Flight SQL call becomes a request of the forwarder, how an attempt becomes calls to an engine,
and which gRPC status an answer gets. Owns the clients' and the engines' gRPC connections. Imported by the
composition root alone, and only where Flight SQL is on.

Modules import in one direction: `server`, `client_call`, `requests`, `messages`; `engines` uses `messages`
alone. What a client's call needs of the server is the Protocol `FlightCallContext`.
"""
