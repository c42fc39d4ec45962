"""The settings of a site, as passed to the scheduler.

Times and durations are in nanoseconds unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a query may safely run more than once: always, only with an idempotency key, or never.

    The values are part of the messages between forwarders and planners in separate processes.
    """

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The engines among which an idempotency key is deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortage(Enum):
    """Behaviour of an engine when the memory granted exceeds its memory."""

    WAIT = "wait"  # queries wait at the engine until memory is free
    SHRINK = "shrink"  # queries run with less memory, and spill
    PAGE = "page"  # the engine swaps; only memory in use counts


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """The settings of one class of queries."""

    latency_objective: int  # nanoseconds
    objective_per_run_time: float  # expected uncontended run times added to the latency objective
    timeout: int  # nanoseconds until clients time out
    priority_weight: float  # value of an answer in time, relative to other classes
    late_weight: float  # value of a late answer, as a share of the priority weight
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # nanoseconds for which an engine drops duplicates of an idempotency key
    threads: int  # per query
    locks_tables: bool
    waits_for_locks: bool
    ordered_by_key: bool
    allowed_zones: tuple[int, ...] | None
    allowed_kinds: tuple[int, ...] | None


@dataclass(slots=True, frozen=True)
class Settings:
    """The rules and limits of a site; `None` means that the site has no such rule or limit.

    Fields marked "validated only" are not used by any decision; they are read to reject malformed values.
    """

    instance_index: int
    instance_count: int
    zone: int
    classes: tuple[ClassSettings, ...]
    tenant_quotas: tuple[float, ...]  # requests per second by tenant, over all instances; 0: no quota
    over_quota_weight: float
    cores_by_kind: tuple[int, ...]
    memory_mb_by_kind: tuple[float, ...]
    max_grant_share: float
    memory_shortage: MemoryShortage
    takes_memory_grants: bool
    heeds_priorities: bool
    progress_interval: int  # nanoseconds between progress notes; 0: engines send none
    reports_cost: bool
    load_report_fields: tuple[str, ...]
    polls_endpoint_list: bool
    allows_health_checks: bool  # validated only: health is derived from answers
    allows_gossip: bool
    allows_cancellation: bool
    allows_hedging: bool
    allows_retry_after: bool
    max_retry_after: int  # nanoseconds
    max_attempts: int
    marks_retry: bool  # validated only: each request has `Request.is_retry`
    cross_zone_cost: float
    slow_start_initial_capacity: float  # share of its capacity with which an engine starts
    slow_start_window: int  # nanoseconds
    # Work sent within an overload window, as a multiple of what the engine can do in it at its present
    # capacity, above which the engine fails; 0: no slow start
    slow_start_overload_factor: float
    slow_start_overload_window: int  # nanoseconds
    key_quarantine: int  # nanoseconds
    max_poll_interval: int  # nanoseconds; validated only: the endpoint list is watched
    retry_allowance: float | None
    retries_per_request: float
    retry_window: int  # nanoseconds
    # Share of this instance's slow-start sends that this process may make; below 1 during a hot upgrade
    slow_start_share: float = 1.0
    max_client_connections: int = 0  # limit of open client connections; 0: unknown
    # Nanoseconds added to the run time after which an attempt is overdue, for connects and network pauses
    extra_run_time: int = 0

    def check(self) -> None:
        """Raise ValueError, naming the setting, if a value is out of range or conflicts with another."""
        checks = {
            "instances": self.instance_count < 1,
            "me": not 0 <= self.instance_index < self.instance_count,
            "services": not self.classes,
            "limits.max-attempts": self.max_attempts < 1,
            "rules.start-capacity": not 0 < self.slow_start_initial_capacity <= 1,
            "rules.counted-over": self.retry_allowance is not None and self.retry_window <= 0,
            "family-info.cpu-of-kind": any(cores <= 0 for cores in self.cores_by_kind),
            "family-info.memory-by-kind-mb": len(self.cores_by_kind) != len(self.memory_mb_by_kind),
            "family-info.parallelism": any(settings.threads < 1 for settings in self.classes),
            "services[].give-up": any(settings.timeout <= 0 for settings in self.classes),
        }
        for name, invalid in checks.items():
            if invalid:
                raise ValueError(f"setting {name} is out of range or conflicts with another setting")
