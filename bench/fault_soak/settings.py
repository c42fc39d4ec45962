"""The settings of the gateways in a run: one class per kind of idempotency, with short deadlines."""

import math
from dataclasses import dataclass
from typing import Any

SECOND = 1_000_000_000
LOOKUP, REPORT, LOAD = "lookup", "report", "load"
CLASSES = (LOOKUP, REPORT, LOAD)
CLASS_WEIGHTS = (70, 15, 15)
DEADLINES_S = (0.6, 1.5, 3.0)  # the longest deadline of a deployment is drawn from these
MAX_COUNTED_DEADLINE_S, KILL_MARGIN_S = 3.0, 0.7
TIMEOUT_SHARES = (0.05, 0.13, 0.27, 0.5, 0.83, 1.0)  # client timeouts, as shares of the longest deadline
DEDUPLICATION_WINDOW_S = 2.0
DRAIN_GRACE_S = 0.5
NOTIFICATION_DEADLINE_S = 7.0  # a gateway counts as notified this long after a change of an endpoint
ANSWER_SLACK_S = 0.5
CORES, MEAN_WORK_S = 4, 0.08  # of a stand-in engine: its cores and its mean run time
SLOW_START_S, START_CAPACITY, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S = 6.0, 0.31, 2.5, 1.0


@dataclass(frozen=True, slots=True)
class Deadlines:
    """The deadlines of a deployment, in seconds."""

    longest_s: float
    latency_objective_share: float = 0.5  # of the longest deadline

    @property
    def kill_after_s(self) -> float:
        """The shortest grace period from SIGTERM to SIGKILL: the longest deadline, capped, plus a margin."""
        return min(self.longest_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S


def _service(name: str, repeat: str, **extra: Any) -> dict[str, Any]:
    return {"name": name, "worth": 1.0, "repeat": repeat, **extra}


def settings(gateway_number: int, gateway_count: int, deadlines: Deadlines) -> dict[str, Any]:
    """The settings object of a gateway's configuration."""
    settings_object = _base_settings(gateway_number, gateway_count)
    for service in settings_object["services"]:
        service["give-up"] = int(deadlines.longest_s * SECOND)
        service["aim"] = int(service["give-up"] * deadlines.latency_objective_share)
    return settings_object


def _base_settings(gateway_number: int, gateway_count: int) -> dict[str, Any]:
    return {
        "instances": gateway_count,
        "me": gateway_number,
        "zones": ["hall-a", "hall-b"],
        "flavors": ["std-16"],
        "registry-mode": "push",
        "family-info": {
            "cpu-of-kind": [CORES], "memory-by-kind-mb": [32768.0], "parallelism": [1, 1, 1],
            "takes-grants": True, "loads": [False, False, False], "waits-for-loads": [False, False, False],
            "priorities": True, "progress": SECOND // 2, "out-of-memory": "shrink", "max-grant-share": 0.4,
        },
        "limits": {
            "max-attempts": 3, "cancelling": True, "retry-after": True, "max-retry-after": SECOND // 2,
            "streams-per-conn": 16, "dial-timeout": SECOND * 3 // 2, "conn-idle": 4 * SECOND,
            "most-held": 1000, "second-copies": False,
        },
        "rules": {
            "cold": int(SLOW_START_S * SECOND), "start-capacity": START_CAPACITY,
            "settle-after-doubt": 3 * SECOND // 10,
            "overload-factor": OVERLOAD_FACTOR, "tip-after": int(OVERLOAD_WINDOW_S * SECOND),
            "drain-grace": int(DRAIN_GRACE_S * SECOND), "answer-slack": SECOND // 50,
        },
        "services": [
            _service(LOOKUP, "idempotent"),
            _service(REPORT, "at_most_once"),
            _service(LOAD, "deduplicated", **{
                "in-turn": True, "memory-span": int(DEDUPLICATION_WINDOW_S * SECOND), "dedup-scope": "all",
            }),
        ],
    }  # fmt: skip


def request_allowance_in_slow_start(age_s: float) -> float:
    """How many requests an engine may get within `OVERLOAD_WINDOW_S`, `age_s` seconds after its restart.

    The bound for requests of mean work, plus two or three standard deviations for chance.
    """
    capacity = START_CAPACITY + (1 - START_CAPACITY) * min(1.0, max(0.0, age_s) / SLOW_START_S)
    allowed = OVERLOAD_FACTOR * CORES * capacity * OVERLOAD_WINDOW_S / MEAN_WORK_S
    root = math.sqrt(allowed)
    return allowed + (2 * root + 2 if allowed >= 30 else 3 * root + 3)
