"""The planners' settings, derived from the active configuration."""

from dataclasses import replace

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.model.settings import Settings

FLIGHT_EXTRA_RUN_TIME_NS = 500_000_000  # with Flight, added to the run time after which an attempt is overdue
DESCRIPTORS_PER_CLIENT = 3  # planners assume that clients use at most a third of the descriptors


def planner_settings(config: Configuration, operator: OperatorSettings, planner_index: int = 0) -> Settings:
    """The settings of one planner; each of several planners counts as a separate gateway instance."""
    settings, planner_count = config.settings, max(1, len(operator.planner_addresses))
    # Engines send no progress notes over Flight. With an interval set, the scheduler would treat the absence
    # of notes as a fault and eject healthy engines; 0 means that no notes are expected.
    progress_interval = 0 if operator.flight_address else settings.progress_interval
    # A Flight call may need about 50 ms for the connect alone. Without extra run time the scheduler would
    # treat it as a slow run.
    extra_run_time = FLIGHT_EXTRA_RUN_TIME_NS if operator.flight_address else settings.extra_run_time
    return replace(
        settings,
        progress_interval=progress_interval,
        instance_index=settings.instance_index * planner_count + planner_index,
        instance_count=settings.instance_count * planner_count,
        max_client_connections=max(1, config.max_descriptors // DESCRIPTORS_PER_CLIENT // planner_count),
        extra_run_time=extra_run_time,
    )


class PlannerSettingsPublisher:
    """Publishes settings to the forwarder and the planners, with this process's slow-start share."""

    def __init__(self, forwarder: Forwarder, active: ActiveConfiguration, slow_start_share: float) -> None:
        """`slow_start_share`: the fraction, 0 to 1, of every slow-start budget that this process may use."""
        self.forwarder, self.active = forwarder, active
        self.slow_start_share = forwarder.slow_start_budgets.share = slow_start_share

    def publish(self, settings: Settings, new_classes: tuple[int, ...] = ()) -> None:
        """Publish `settings`; `new_classes`: numbers that are assigned to a different class from now on."""
        config = replace(self.active.config, settings=settings)
        by_planner = [
            replace(
                planner_settings(config, self.active.operator, planner_index),
                slow_start_share=self.slow_start_share,
            )
            for planner_index in range(len(self.forwarder.planners))
        ]
        self.forwarder.update_settings(settings, by_planner, new_classes)

    def publish_share(self, slow_start_share: float) -> None:
        """Publish a new share with unchanged settings."""
        self.slow_start_share = self.forwarder.slow_start_budgets.share = slow_start_share
        self.publish(self.forwarder.settings)
