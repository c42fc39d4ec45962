"""The active configuration, and the limits that are derived from it.

The configuration is not passed to other processes: each, including a successor, reads the files itself.
"""

from dataclasses import dataclass

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.engine_protocol.pool import ConnectionLimits
from query_gateway.forwarder.messages import RequestClasses

MAX_OPEN_REQUESTS = 4_000  # upper bound on the configured limit: more would not fit into memory


@dataclass(slots=True)
class ActiveConfiguration:
    """The configuration of the process. Only a reload changes it; parts read it here on each use.

    `classes` maps each class name to the class with its number in this process. After a reload the number may
    differ from the position in the file.
    """

    config: Configuration
    operator: OperatorSettings
    classes: RequestClasses

    @property
    def longest_timeout(self) -> float:
        """The longest request timeout of the active classes, in seconds; retired classes do not count."""
        return max(settings.timeout for settings in self.config.settings.classes) / 1e9


def max_exchanges(config: Configuration) -> int:
    """The maximum number of open requests."""
    return min(config.max_open_requests, MAX_OPEN_REQUESTS)


def connection_limits(config: Configuration) -> ConnectionLimits:
    """The limits for connections to engines."""
    return ConnectionLimits(
        streams_per_connection=config.streams_per_connection,
        dial_timeout=config.dial_timeout,
        idle_timeout=config.connection_idle_timeout,
        progress_interval=config.settings.progress_interval / 1e9,
    )
