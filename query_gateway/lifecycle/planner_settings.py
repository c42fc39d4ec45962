"""The settings that planners work under, derived from the configuration in force."""

from dataclasses import replace

from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.configuration.platform import Configuration
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.lifecycle.active_configuration import ActiveConfiguration
from query_gateway.model.settings import Settings

FLIGHT_EXTRA_RUN_TIME_NS = 500_000_000  # that an attempt on the Flight wire may take beyond its run time
DESCRIPTORS_PER_CLIENT = 3  # at most a third of the descriptors are client connections


def planner_settings(config: Configuration, operator: OperatorSettings, planner_index: int = 0) -> Settings:
    """The settings of one planner; of several planners each counts as a gateway instance of its own."""
    settings, planner_count = config.settings, max(1, len(operator.planner_addresses))
    # Engines send no progress notes on the Flight wire. With an interval set, the scheduler would take their
    # absence for a fault and eject healthy engines; 0 means that none are expected.
    progress_interval = 0 if operator.flight_address else settings.progress_interval
    # A call on that wire may take some 50 ms for a connect alone. Without extra run time the scheduler would
    # take that for a slow run.
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
    """Puts new settings in force at forwarder and planners, with this process's slow-start share."""

    def __init__(self, forwarder: Forwarder, active: ActiveConfiguration, slow_start_share: float) -> None:
        """`slow_start_share`: the part, 0 to 1, of every slow-start budget that this process may use."""
        self.forwarder, self.active = forwarder, active
        self.slow_start_share = forwarder.slow_start_budgets.share = slow_start_share

    def publish(self, settings: Settings, new_classes: tuple[int, ...] = ()) -> None:
        """Put `settings` in force; `new_classes`: numbers that stand for another class from now on."""
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
        """Put another share in force; the settings stay."""
        self.slow_start_share = self.forwarder.slow_start_budgets.share = slow_start_share
        self.publish(self.forwarder.settings)
