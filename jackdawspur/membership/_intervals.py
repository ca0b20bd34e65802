"""Intervals of heartbeats, computed to keep their bytes within the budget."""

from collections import Counter
from dataclasses import dataclass, replace
from functools import lru_cache

from jackdawspur.links import Envelope, encode
from jackdawspur.membership._limits import (
    FULL_HEARTBEAT_EVERY,
    LINK_SHARE,
    LINKS_PER_ZONE_PAIR,
    MAX_HOST_USAGE_ENTRIES,
    MAX_ZONE_USAGE_ENTRIES,
    MIN_LINK_INTERVAL,
    MIN_RELAY_INTERVAL,
    MIN_ZONE_PEER_INTERVAL,
    MISSED_HEARTBEATS,
    PACKET_OVERHEAD,
    SENT_BUDGET,
    ZONE_PEER_BUDGET,
)
from jackdawspur.messages import CustomerUsage, Heartbeat, LivePeer, Pulse, ZoneStatus
from jackdawspur.model import ClusterSpec, HostId

__all__ = [
    "HeartbeatBandwidth",
    "HeartbeatIntervals",
    "heartbeat_bandwidth",
    "heartbeat_intervals",
]

SAMPLE_HOST = HostId("region-1-zone-1", "entry-10", 1_700_000_000_000)
SAMPLE_HEARTBEAT = Heartbeat(
    SAMPLE_HOST, 100_000, True, False, 100_000, 100, 1000, 99.5
)
SAMPLE_PULSE = Pulse(100_000, 100, 1000, 99.5)
SAMPLE_SENT_AT = 1_000_000.5
SAMPLE_USAGE = CustomerUsage("customer-100", 1000, 1000)
SAMPLE_ZONE = ZoneStatus(SAMPLE_HOST.zone, 100_000, 100, 1000, 10)


@dataclass(frozen=True, slots=True)
class HeartbeatIntervals:
    """Intervals of heartbeats, in seconds.

    `zone_peer` is for heartbeats within the zone, `link` for those to other zones, and
    `relay` for those within the zone that report what arrived from other zones.
    """

    zone_peer: float = MIN_ZONE_PEER_INTERVAL
    link: float = MIN_LINK_INTERVAL
    relay: float = MIN_RELAY_INTERVAL

    @property
    def zone_peer_timeout(self) -> float:
        """Return the timeout of a peer in the same zone."""
        return MISSED_HEARTBEATS * self.zone_peer

    @property
    def link_timeout(self) -> float:
        """Return the timeout of a linked host of another zone."""
        return MISSED_HEARTBEATS * self.link

    @property
    def reported_host_timeout(self) -> float:
        """Return the timeout of a remote host that linked hosts of its zone report."""
        return MISSED_HEARTBEATS * FULL_HEARTBEAT_EVERY * self.link

    @property
    def relayed_zone_timeout(self) -> float:
        """Return the timeout of another zone that peers in this zone report."""
        return self.link_timeout + MISSED_HEARTBEATS * self.relay

    @property
    def relayed_host_timeout(self) -> float:
        """Return the timeout of a remote host that peers in this zone report."""
        return (
            self.reported_host_timeout
            + MISSED_HEARTBEATS * FULL_HEARTBEAT_EVERY * self.relay
        )


@dataclass(frozen=True, slots=True)
class HeartbeatBandwidth:
    """Mean bytes per second that a host sends and receives as heartbeats."""

    sent: float
    received: float


@dataclass(frozen=True, slots=True)
class _RoundBytes:
    zone_peer: float
    link: float
    relay: float


def heartbeat_intervals(cluster_spec: ClusterSpec) -> HeartbeatIntervals:
    """Return the intervals for the configured hosts; equal on all hosts."""
    zones = Counter(host.zone for host in cluster_spec.entry_hosts)
    hosts = max(zones.values(), default=1)
    return _compute_intervals(max(1, len(zones)), hosts, len(cluster_spec.customers))


def heartbeat_bandwidth(zones: int, hosts: int, customers: int) -> HeartbeatBandwidth:
    """Return the heartbeat bandwidth of each host, for zones of equal size."""
    intervals = _compute_intervals(zones, hosts, customers)
    sizes = _bytes_per_round(zones, hosts, customers)
    sent = (
        sizes.zone_peer / intervals.zone_peer
        + sizes.link / intervals.link
        + sizes.relay / intervals.relay
    )
    # In zones of equal size a host receives as much as it sends.
    return HeartbeatBandwidth(sent, sent)


@lru_cache
def _compute_intervals(zones: int, hosts: int, customers: int) -> HeartbeatIntervals:
    sizes = _bytes_per_round(zones, hosts, customers)
    zone_peer = max(MIN_ZONE_PEER_INTERVAL, sizes.zone_peer / ZONE_PEER_BUDGET)
    remaining = SENT_BUDGET - sizes.zone_peer / zone_peer
    return HeartbeatIntervals(
        zone_peer=zone_peer,
        link=max(MIN_LINK_INTERVAL, sizes.link / (remaining * LINK_SHARE)),
        relay=max(MIN_RELAY_INTERVAL, sizes.relay / (remaining * (1 - LINK_SHARE))),
    )


def _bytes_per_round(zones: int, hosts: int, customers: int) -> _RoundBytes:
    usage = (SAMPLE_USAGE,) * min(customers, MAX_ZONE_USAGE_ENTRIES)
    own_usage = (SAMPLE_USAGE,) * min(customers, MAX_HOST_USAGE_ENTRIES)
    seen = (LivePeer(SAMPLE_HOST),) * hosts
    summary = replace(SAMPLE_ZONE, usage=usage)
    # The links of a zone, two per pair of zones, are spread over its hosts by hash. One
    # of the two hosts that are linked to a zone relays its reports.
    links = (zones - 1) * min(hosts, LINKS_PER_ZONE_PAIR) / hosts
    relayed = (zones - 1) / hosts
    brief = _size(replace(SAMPLE_HEARTBEAT, zones=(SAMPLE_ZONE,)))
    full = _size(replace(SAMPLE_HEARTBEAT, seen=seen, zones=(summary,)))
    bare = _size(SAMPLE_HEARTBEAT)
    brief_relay = bare + relayed * (brief - bare)
    full_relay = _size(replace(SAMPLE_HEARTBEAT, usage=own_usage)) + relayed * (
        full - bare
    )
    return _RoundBytes(
        zone_peer=(hosts - 1) * (_size(SAMPLE_PULSE) + PACKET_OVERHEAD),
        link=links * (_mean(brief, full) + PACKET_OVERHEAD),
        relay=(hosts - 1) * (_mean(brief_relay, full_relay) + PACKET_OVERHEAD),
    )


def _mean(brief: float, full: float) -> float:
    return (full + (FULL_HEARTBEAT_EVERY - 1) * brief) / FULL_HEARTBEAT_EVERY


def _size(message: Heartbeat | Pulse) -> int:
    return len(encode(Envelope(SAMPLE_HOST, SAMPLE_HOST, SAMPLE_SENT_AT, message)))
