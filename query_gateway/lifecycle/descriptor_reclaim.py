"""Gives back descriptors of idle connections when a client waits and none is left to accept it with."""

from query_gateway.engine_protocol.pool import ConnectionPool
from query_gateway.http.server import HttpServer
from query_gateway.net.descriptors import has_free_descriptor

ENGINE_CONNECTIONS_AT_ONCE = 8  # retired together, as one client may be followed by more


class DescriptorReclaim:
    """Ends connections that nothing uses; owns none of them."""

    def __init__(self, engine_pool: ConnectionPool, http_server: HttpServer) -> None:
        """Engines' connections go first: they are dialled again when they are needed."""
        self.engine_pool, self.http_server = engine_pool, http_server

    def reclaim(self) -> bool:
        """End some connections, if descriptors are what lacks; whether any was ended."""
        if has_free_descriptor():
            return False
        return self.engine_pool.retire_idle(ENGINE_CONNECTIONS_AT_ONCE) or self.http_server.evict()
