"""The figures as text: a line each, `svc_NAME{LABEL} VALUE`."""

from query_gateway.forwarder.counters import Counters
from query_gateway.forwarder.messages import Verdict

NAMES = {
    Verdict.SERVED: "svc_succeeded_total",
    Verdict.REJECTED: "svc_declined_total",
    Verdict.FAILED: "svc_aborted_total",
}


def _quoted(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def rendered(counters: Counters, outstanding: int, discovered: int, ejected: int) -> list[str]:
    lines = [
        f'{name}{{service="{_quoted(class_name)}"}} {counts[verdict]}'
        for verdict, name in NAMES.items()
        for class_name, counts in counters.answers.items()
    ]
    return [
        *lines,
        f"svc_forwards_total {counters.forwards}",
        f"svc_outstanding {outstanding}",
        f"svc_discovered {discovered}",
        f"svc_ejected {ejected}",
        f"svc_sighup_applied_total {counters.reloads_applied}",
        f"svc_sighup_rejected_total {counters.reloads_rejected}",
    ]
