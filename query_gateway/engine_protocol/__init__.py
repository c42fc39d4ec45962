"""The engine client for the platform's line protocol, which multiplexes requests over a few connections.

Chooses the connection for each attempt, retires connections, detects unresponsive ones, and validates
results. Owns the connections to the engines. Imported by the composition root; the forwarder depends only on
the interface `EngineClient`.
"""
