"""Formats the figures as text lines of the form `svc_NAME{LABEL="..."} VALUE`."""

from dataclasses import dataclass

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import Verdict

ANSWER_FIGURE_NAMES = {
    Verdict.SERVED: "svc_succeeded_total",
    Verdict.REJECTED: "svc_declined_total",
    Verdict.FAILED: "svc_aborted_total",
}


def _escape_label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


@dataclass(slots=True, frozen=True)
class Gauges:
    """The figures that are sampled when they are requested, rather than counted."""

    outstanding: int  # unanswered requests
    discovered: int  # engines in the endpoint list
    ejected: int  # engines of the list that the planners have ejected
    held_for_order: int  # requests with a key that wait until the gateway has read all earlier requests
    accept_failures: int  # failed calls of accept(), summed over all listeners
    endpoint_list_age_ms: int  # since the list was last known to be complete
    endpoint_list_age_limit_ms: int
    longest_turn_ms: int  # of the event loop, without its sleep, since the process started
    slow_turns: int  # turns of the event loop over the limit
    turn_limit_ms: int
    received_bytes: int  # of clients, that are held in memory
    most_received_bytes: int  # the most since the process started
    received_bytes_limit: int
    waiting_for_memory: int  # calls whose message waits for memory
    paused_tasks: int  # tasks with long work that wait for their next slice


def render_figures(counters: Counters, gauges: Gauges) -> list[str]:
    """Format all figures as lines without line feeds."""
    answers = [
        f'{name}{{service="{_escape_label(class_name)}"}} {counts[verdict]}'
        for verdict, name in ANSWER_FIGURE_NAMES.items()
        for class_name, counts in counters.answers.items()
    ]
    early_rejections = [
        f'svc_early_rejections_total{{reason="{reason.value}"}} {count}'
        for reason, count in counters.early_rejections.items()
    ]
    return [
        *answers,
        *early_rejections,
        f"svc_forwards_total {counters.forwards}",
        f"svc_outstanding {gauges.outstanding}",
        f"svc_held_for_order {gauges.held_for_order}",
        f"svc_discovered {gauges.discovered}",
        f"svc_ejected {gauges.ejected}",
        f"svc_accept_failures_total {gauges.accept_failures}",
        f"svc_endpoint_list_age_ms {gauges.endpoint_list_age_ms}",
        f"svc_endpoint_list_age_limit_ms {gauges.endpoint_list_age_limit_ms}",
        f"svc_longest_turn_ms {gauges.longest_turn_ms}",
        f"svc_turn_limit_ms {gauges.turn_limit_ms}",
        f"svc_slow_turns_total {gauges.slow_turns}",
        f"svc_received_bytes {gauges.received_bytes}",
        f"svc_most_received_bytes {gauges.most_received_bytes}",
        f"svc_received_bytes_limit {gauges.received_bytes_limit}",
        f"svc_waiting_for_memory {gauges.waiting_for_memory}",
        f"svc_paused_tasks {gauges.paused_tasks}",
        f"svc_sighup_applied_total {counters.reloads_applied}",
        f"svc_sighup_rejected_total {counters.reloads_rejected}",
    ]
