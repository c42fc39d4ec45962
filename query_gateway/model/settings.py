"""The settings of a site, as the scheduler gets them.

Times and durations are in nanoseconds unless a name says otherwise."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a query may run more than once. The values stand in the messages to planner processes."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Where engines recognise an idempotency key that was seen before."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortage(Enum):
    """What an engine does when the memory granted passes what it has."""

    WAIT = "wait"  # queries wait at the engine until memory is free
    SHRINK = "shrink"  # they run with less memory, and spill
    PAGE = "page"  # it swaps; only memory in use counts


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """The rules of one class of queries."""

    latency_objective: int  # nanoseconds
    objective_per_run_time: float  # added to the objective, in run times
    timeout: int  # nanoseconds until clients give up
    priority_weight: float  # what an answer in time counts for, beside those of other classes
    late_weight: float  # share of it that a late answer counts for
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # nanoseconds
    threads: int  # of one query
    locks_tables: bool
    waits_for_locks: bool
    ordered_by_key: bool
    allowed_zones: tuple[int, ...] | None
    allowed_kinds: tuple[int, ...] | None


@dataclass(slots=True, frozen=True)
class Settings:
    """The rules and limits of a site; `None` stands for one that it does not have.

    No decision uses those marked as validated: they are read so that a malformed value is rejected.
    """

    instance_index: int
    instance_count: int
    zone: int
    classes: tuple[ClassSettings, ...]
    tenant_quotas: tuple[float, ...]  # requests per second of each tenant, over all instances; 0: none stated
    over_quota_weight: float
    cores_by_kind: tuple[int, ...]  # by kind
    memory_mb_by_kind: tuple[float, ...]  # by kind
    max_grant_share: float
    memory_shortage: MemoryShortage
    takes_memory_grants: bool
    heeds_priorities: bool
    progress_interval: int  # nanoseconds between progress notes; 0: none
    reports_cost: bool
    load_report_fields: tuple[str, ...]
    polls_endpoint_list: bool
    allows_health_checks: bool  # validated, but health comes from answers alone
    allows_gossip: bool
    allows_cancellation: bool
    allows_hedging: bool
    allows_retry_after: bool
    max_retry_after: int  # nanoseconds
    max_attempts: int
    marks_retry: bool  # validated; each request has its own mark, `Request.is_retry`
    cross_zone_cost: float
    slow_start_initial_capacity: float  # share of its capacity that an engine starts with
    slow_start_window: int  # nanoseconds
    slow_start_overload_factor: float  # over the capacity, within the window; 0: no slow start
    slow_start_overload_window: int  # nanoseconds
    key_quarantine: int  # nanoseconds
    max_poll_interval: int  # nanoseconds; validated; the watch of the endpoint list is left open
    retry_allowance: float | None
    retries_per_request: float
    retry_window: int  # nanoseconds
    slow_start_share: float = 1.0  # this process's part of what one instance may send in slow start
    max_client_connections: int = 0  # connections that clients may hold; 0: no such limit is known
    # Nanoseconds added to the run time from which an attempt is overdue: the wire's own connects and pauses
    extra_run_time: int = 0

    def check(self) -> None:
        """Raise ValueError, naming the setting, where they contradict themselves or one another."""
        faults = {
            "instances": self.instance_count < 1,
            "me": not 0 <= self.instance_index < self.instance_count,
            "services": not self.classes,
            "limits.max-attempts": self.max_attempts < 1,
            "rules.start-capacity": not 0 < self.slow_start_initial_capacity <= 1,
            "rules.counted-over": self.retry_allowance is not None and self.retry_window <= 0,
            "family-info.cpu-of-kind": any(cores <= 0 for cores in self.cores_by_kind),
            "family-info.memory-by-kind-mb": len(self.cores_by_kind) != len(self.memory_mb_by_kind),
            "family-info.parallelism": any(rules.threads < 1 for rules in self.classes),
            "services[].give-up": any(rules.timeout <= 0 for rules in self.classes),
        }
        for name, bad in faults.items():
            if bad:
                raise ValueError(f"setting {name} contradicts itself or the others")
