"""Request counts by tenant: those that this gateway counts itself, and those that its peers report."""

import math
from dataclasses import dataclass, field

from query_gateway.model.averages import DecayedAverage

MAX_DIGITS = 9  # of one count in a message; bounds the value that a peer can report


@dataclass(slots=True, frozen=True)
class PeerReport:
    """The last report of one peer."""

    received_at: int  # clock time, nanoseconds
    counts: list[int]  # requests by tenant


@dataclass(slots=True)
class TenantTraffic:
    """Recent requests of each tenant at this gateway, and the last report of each peer by its index."""

    counts: list[DecayedAverage] = field(default_factory=list)
    reports: dict[int, PeerReport] = field(default_factory=dict)

    def local_requests(self, tenant: int, now: int, lifetime: int, observed: int) -> float:
        """Requests of a tenant at this gateway within `lifetime`, extrapolated if `observed` is shorter.

        `observed` is how long this gateway has counted. Both are in nanoseconds.
        """
        covered = 1 - math.exp(-observed / lifetime)
        return self.counts[tenant].weight_at(now, lifetime) / covered

    def peer_requests(self, tenant: int, now: int, lifetime: int) -> int:
        """Requests of a tenant in the peer reports received within `lifetime` nanoseconds."""
        fresh = (report for report in self.reports.values() if now - report.received_at < lifetime)
        return sum(report.counts[tenant] for report in fresh)

    def extrapolated_peer_requests(
        self, tenant: int, now: int, lifetime: int, peers: int, reporting: float
    ) -> float:
        """Requests of a tenant at all `peers`, extrapolated from the reports of some of them.

        `reporting` is the number of reports that this gateway expects within `lifetime` nanoseconds.
        """
        return self.peer_requests(tenant, now, lifetime) * peers / max(1, min(peers, reporting))

    def message(self, now: int, lifetime: int, observed: int) -> str:
        """Encode this gateway's report: comma-separated counts by tenant."""
        tenants = range(len(self.counts))
        requests = (self.local_requests(tenant, now, lifetime, observed) for tenant in tenants)
        return ",".join(str(round(count)) for count in requests)

    def record_report(self, sender: int, data: str, now: int) -> None:
        """Store a peer's report, comma-separated counts by tenant; malformed reports are ignored."""
        counts = data.split(",")
        valid = all(count.isdigit() and len(count) <= MAX_DIGITS for count in counts)
        if len(counts) == len(self.counts) and valid:
            self.reports[sender] = PeerReport(now, [int(count) for count in counts])
