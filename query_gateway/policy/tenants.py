"""Tenant quotas: this gateway's share of each quota, by its peers' gossip, and the weight of excess requests.

    a request within its tenant's quota     the priority weight of its class
    a request beyond it                     that weight times `over_quota_weight`

Input: the quotas in requests per second over all gateways, the requests counted here, and the counts that
peers reported within `GOSSIP_LIFETIME_NS`. Gossip is sent when the controller checks the costs. The forwarder
does not transmit it (`Forwarder.apply` drops `SendGossip`), so a scheduler behind it receives no reports.
"""

import math
from typing import Final

from query_gateway.model.actions import SendGossip
from query_gateway.model.request_classes import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC

BURST_SECONDS: Final = 4.0  # seconds of quota that may be used at once, as when a peer's clients move here
# Peers that get the counts each period; sent to all, the messages would grow quadratically with the gateways
GOSSIP_FANOUT: Final = 2
GOSSIP_PERIOD_NS: Final = 1 * SEC
GOSSIP_LIFETIME_NS: Final = 3 * SEC  # how long a report counts; one or two lost reports are tolerated
MIN_OBSERVED_NS: Final = 100 * MS  # added to the observation time, which is 0 when a gateway starts


def request_weight(state: SchedulerState, request_class: ClassState, tenant: int) -> float:
    """Count a tenant's request against its quota and return its priority weight."""
    settings, weight = state.settings, request_class.settings.priority_weight
    buckets = state.tenants.buckets
    if tenant >= len(buckets) or settings.tenant_quotas[tenant] <= 0:
        return weight
    state.tenants.traffic.counts[tenant].add(1.0, state.now, GOSSIP_LIFETIME_NS)
    rate = settings.tenant_quotas[tenant] * quota_share(state, tenant)
    # The square root allows for the uneven arrivals of a small share
    burst = rate * BURST_SECONDS + 1 + math.sqrt(rate * BURST_SECONDS)
    within_quota = buckets[tenant].take(rate, burst, state.now)
    return weight * (1.0 if within_quota else settings.over_quota_weight)


def quota_share(state: SchedulerState, tenant: int) -> float:
    """This gateway's share of a tenant's quota.

    Where the site allows gossip, this is its share of the tenant's traffic, by the counts that peers
    reported: 1 if none has reported. Otherwise all gateways have equal shares.
    """
    if not state.settings.allows_gossip:
        return 1 / state.settings.instance_count
    peers, now, traffic = state.settings.instance_count - 1, state.now, state.tenants.traffic
    reporting_peers = GOSSIP_FANOUT * GOSSIP_LIFETIME_NS / GOSSIP_PERIOD_NS
    peer_requests = traffic.extrapolated_peer_requests(
        tenant, now, GOSSIP_LIFETIME_NS, peers, reporting_peers
    )
    own_requests = max(1.0, traffic.local_requests(tenant, now, GOSSIP_LIFETIME_NS, _observed_time(state)))
    return own_requests / (own_requests + peer_requests)


def send_gossip(state: SchedulerState) -> None:
    """Send the request counts per tenant to a few peers, once a period where the site allows gossip."""
    settings, tenants = state.settings, state.tenants
    is_due = state.now - tenants.gossip_sent_at >= GOSSIP_PERIOD_NS
    if not settings.allows_gossip or not tenants.traffic.counts or not is_due:
        return
    peers = [peer for peer in range(settings.instance_count) if peer != settings.instance_index]
    data = tenants.traffic.message(state.now, GOSSIP_LIFETIME_NS, _observed_time(state))
    receivers = state.random.sample(peers, min(GOSSIP_FANOUT, len(peers)))
    state.actions.extend(SendGossip(data, peer) for peer in receivers)
    tenants.gossip_sent_at = state.now


def _observed_time(state: SchedulerState) -> int:
    """How long this gateway has counted requests, in nanoseconds.

    A gateway that has just started has counted few requests. If these were taken for its usual traffic, its
    share of each quota would be small and it would reject its clients. Counts are scaled up by this time
    instead.
    """
    return state.now - state.started_at + MIN_OBSERVED_NS
