"""The configuration in force, and the limits that follow from it.

It is lost with the process: each process reads the files itself, also a successor.
"""

from dataclasses import dataclass

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.engine_protocol.pool import ConnectionLimits
from query_gateway.forwarder.messages import RequestClasses

MAX_OPEN_REQUESTS = 4_000  # whatever the settings allow: more would not fit into the memory


@dataclass(slots=True)
class ActiveConfiguration:
    """The configuration of the process. Only a reload changes it; every part reads it here when it needs it.

    `classes` holds each class by name, with the number that it has in this process: after a reload that may
    be another number than the position in the file.
    """

    config: Configuration
    operator: OperatorSettings
    classes: RequestClasses

    @property
    def longest_timeout(self) -> float:
        """Seconds until the last deadline of a request accepted now; retired classes do not count."""
        return max(settings.timeout for settings in self.config.settings.classes) / 1e9


def max_exchanges(config: Configuration) -> int:
    """How many requests may be open at once."""
    return min(config.max_open_requests, MAX_OPEN_REQUESTS)


def connection_limits(config: Configuration) -> ConnectionLimits:
    """The limits of connections to engines."""
    return ConnectionLimits(
        streams_per_connection=config.streams_per_connection,
        dial_timeout=config.dial_timeout,
        idle_timeout=config.connection_idle_timeout,
        progress_interval=config.settings.progress_interval / 1e9,
    )
