"""The figures as text, a line each: `svc_NAME{LABEL} VALUE`."""

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import Verdict

ANSWER_FIGURES = {
    Verdict.SERVED: "svc_succeeded_total",
    Verdict.REJECTED: "svc_declined_total",
    Verdict.FAILED: "svc_aborted_total",
}


def _escape_label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render_figures(counters: Counters, outstanding: int, discovered: int, ejected: int) -> list[str]:
    """The lines, without line feeds.

    `outstanding` counts open requests, `discovered` the engines on the endpoint list, `ejected` those of them
    that planners have ejected.
    """
    answers = [
        f'{name}{{service="{_escape_label(class_name)}"}} {counts[verdict]}'
        for verdict, name in ANSWER_FIGURES.items()
        for class_name, counts in counters.answers.items()
    ]
    return [
        *answers,
        f"svc_forwards_total {counters.forwards}",
        f"svc_outstanding {outstanding}",
        f"svc_discovered {discovered}",
        f"svc_ejected {ejected}",
        f"svc_sighup_applied_total {counters.reloads_applied}",
        f"svc_sighup_rejected_total {counters.reloads_rejected}",
    ]
