"""Closes idle connections when a client cannot be accepted because the process is out of descriptors."""

from query_gateway.engine_protocol.pool import ConnectionPool
from query_gateway.http.server import HttpServer
from query_gateway.net.descriptors import has_free_descriptor

ENGINE_CONNECTIONS_PER_RECLAIM = 8  # retired as a batch, since more clients may follow the first


class DescriptorReclaim:
    """Closes idle connections of the engine pool and the HTTP server; owns none of them."""

    def __init__(self, engine_pool: ConnectionPool, http_server: HttpServer) -> None:
        """Engine connections are closed first, because they are dialled again on demand."""
        self.engine_pool, self.http_server = engine_pool, http_server

    def reclaim(self) -> bool:
        """Close some idle connections if no descriptor is free; returns whether any was closed."""
        if has_free_descriptor():
            return False
        return self.engine_pool.retire_idle(ENGINE_CONNECTIONS_PER_RECLAIM) or self.http_server.evict()
