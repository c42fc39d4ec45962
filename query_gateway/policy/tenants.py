"""Quotas of tenants: our share of each, by what gateways gossip, and the weight of what comes beyond it."""

import math

from query_gateway.model.actions import SendGossip
from query_gateway.model.records import ClassState
from query_gateway.model.state import SchedulerState
from query_gateway.model.units import MS, SEC

BURST_SECONDS = 4.0  # of a tenant's quota that it may draw at once: a restarted peer brings its clients
GOSSIP_FANOUT = 2  # peers that get our counts each period: to all of them grows with the square
GOSSIP_PERIOD_NS = 1 * SEC  # the period of the controller, which sends it
GOSSIP_LIFETIME_NS = 3 * SEC  # how long a report counts: a lost one or two do no harm
MIN_OBSERVED_NS = 100 * MS  # taken as observed by a gateway that has just started


def request_weight(state: SchedulerState, request_class: ClassState, tenant: int) -> float:
    """The weight of a class; what a tenant requests beyond its quota has the weight that the site says."""
    settings, weight = state.settings, request_class.settings.priority_weight
    if tenant >= len(state.buckets) or settings.tenant_quotas[tenant] <= 0:
        return weight
    state.traffic.counts[tenant].add(1.0, state.now, GOSSIP_LIFETIME_NS)
    rate = settings.tenant_quotas[tenant] * quota_share(state, tenant)
    burst = rate * BURST_SECONDS + 1 + math.sqrt(rate * BURST_SECONDS)  # a small share comes unevenly
    within = state.buckets[tenant].take(rate, burst, state.now)
    return weight * (1.0 if within else settings.over_quota_weight)


def quota_share(state: SchedulerState, tenant: int) -> float:
    """Our share of a tenant's traffic: by what peers reported of theirs, else an even one."""
    if not state.settings.allows_gossip:
        return 1 / state.settings.instance_count
    peers, now, traffic = state.settings.instance_count - 1, state.now, state.traffic
    reporting = GOSSIP_FANOUT * GOSSIP_LIFETIME_NS / GOSSIP_PERIOD_NS
    others = traffic.peer_requests_of_all(tenant, now, GOSSIP_LIFETIME_NS, peers, reporting)
    own = max(1.0, traffic.local_requests(tenant, now, GOSSIP_LIFETIME_NS, _observed_time(state)))
    return own / (own + others)


def send_gossip(state: SchedulerState) -> None:
    """Tell a few peers how much each tenant requested here, once a period where the site allows it."""
    settings, due = state.settings, state.now - state.gossip_sent_at >= GOSSIP_PERIOD_NS
    if not settings.allows_gossip or not state.traffic.counts or not due:
        return
    peers = [peer for peer in range(settings.instance_count) if peer != settings.instance_index]
    data = state.traffic.message(state.now, GOSSIP_LIFETIME_NS, _observed_time(state))
    receivers = state.random.sample(peers, min(GOSSIP_FANOUT, len(peers)))
    state.actions.extend(SendGossip(data, peer) for peer in receivers)
    state.gossip_sent_at = state.now


def _observed_time(state: SchedulerState) -> int:
    # Guards a gateway that has just restarted against counting too few
    return state.now - state.started_at + MIN_OBSERVED_NS
