"""The platform's engines: their line protocol, few connections to each, many requests on every one.

Decides which connection an attempt uses, when a connection is retired or found unresponsive, and what counts
as a valid result. Owns the connections to the engines. Imported by the composition root; the forwarder knows
it as an `EngineClient` only.
"""
