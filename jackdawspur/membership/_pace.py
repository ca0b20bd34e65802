"""How often heartbeats go out, so that their bytes stay within the budget."""

from collections import Counter
from dataclasses import dataclass, replace
from functools import lru_cache

from jackdawspur.links import Envelope, encode
from jackdawspur.membership._limits import (
    FASTEST_LINK,
    FASTEST_RELAY,
    FASTEST_SIBLING,
    FULL_EVERY,
    LINK_SHARE,
    LINKS_A_ZONE_PAIR,
    MISSED_BEATS,
    OWN_USAGE_REPORTED,
    PACKET_OVERHEAD,
    SENT_BUDGET,
    SIBLING_BUDGET,
    USAGE_REPORTED,
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
SAMPLE_BEAT = Heartbeat(SAMPLE_HOST, 100_000, True, False, 100_000, 100, 1000, 99.5)
SAMPLE_PULSE = Pulse(100_000, 100, 1000, 99.5)
SAMPLE_SENT_AT = 1_000_000.5
SAMPLE_USAGE = CustomerUsage("customer-100", 1000, 1000)
SAMPLE_ZONE = ZoneStatus(SAMPLE_HOST.zone, 100_000, 100, 1000, 10)


@dataclass(frozen=True, slots=True)
class HeartbeatIntervals:
    """Hold the intervals of heartbeats, in seconds.

    `relay` is that of the heartbeats which tell siblings of other zones.
    """

    sibling: float = FASTEST_SIBLING
    link: float = FASTEST_LINK
    relay: float = FASTEST_RELAY

    @property
    def sibling_timeout(self) -> float:
        """Return how long a sibling may be silent."""
        return MISSED_BEATS * self.sibling

    @property
    def link_timeout(self) -> float:
        """Return how long a host of another zone that talks to us may be silent."""
        return MISSED_BEATS * self.link

    @property
    def mention_timeout(self) -> float:
        """Return how long a host may go unmentioned by its own zone's hosts."""
        return MISSED_BEATS * FULL_EVERY * self.link

    @property
    def relay_timeout(self) -> float:
        """Return how long another zone may go unmentioned by siblings."""
        return self.link_timeout + MISSED_BEATS * self.relay

    @property
    def relayed_timeout(self) -> float:
        """Return how long another zone's host may go unmentioned by siblings."""
        return self.mention_timeout + MISSED_BEATS * FULL_EVERY * self.relay


@dataclass(frozen=True, slots=True)
class HeartbeatBandwidth:
    """Hold the mean bytes a second that heartbeats cost a host."""

    sent: float
    received: float


@dataclass(frozen=True, slots=True)
class _Sizes:
    sibling: float
    link: float
    relay: float


def heartbeat_intervals(world: ClusterSpec) -> HeartbeatIntervals:
    """Return the pace for the configured hosts; all hosts compute the same."""
    zones = Counter(host.zone for host in world.entry_hosts)
    hosts = max(zones.values(), default=1)
    return _pace(max(1, len(zones)), hosts, len(world.customers))


def heartbeat_bandwidth(zones: int, hosts: int, customers: int) -> HeartbeatBandwidth:
    """Return the bytes a second a host, for zones of equal size."""
    pace = _pace(zones, hosts, customers)
    sizes = _round_bytes(zones, hosts, customers)
    sent = (
        sizes.sibling / pace.sibling + sizes.link / pace.link + sizes.relay / pace.relay
    )
    # Every message sent is received by a host of the same kind.
    return HeartbeatBandwidth(sent, sent)


@lru_cache
def _pace(zones: int, hosts: int, customers: int) -> HeartbeatIntervals:
    sizes = _round_bytes(zones, hosts, customers)
    sibling = max(FASTEST_SIBLING, sizes.sibling / SIBLING_BUDGET)
    left = SENT_BUDGET - sizes.sibling / sibling
    return HeartbeatIntervals(
        sibling=sibling,
        link=max(FASTEST_LINK, sizes.link / (left * LINK_SHARE)),
        relay=max(FASTEST_RELAY, sizes.relay / (left * (1 - LINK_SHARE))),
    )


def _round_bytes(zones: int, hosts: int, customers: int) -> _Sizes:
    usage = (SAMPLE_USAGE,) * min(customers, USAGE_REPORTED)
    own_usage = (SAMPLE_USAGE,) * min(customers, OWN_USAGE_REPORTED)
    seen = (LivePeer(SAMPLE_HOST),) * hosts
    summary = replace(SAMPLE_ZONE, usage=usage)
    # The links of a zone are spread over its hosts by hash, two a pair of zones; of
    # the two hosts that hear a zone one passes it on.
    links = (zones - 1) * min(hosts, LINKS_A_ZONE_PAIR) / hosts
    passed = (zones - 1) / hosts
    brief = _size(replace(SAMPLE_BEAT, zones=(SAMPLE_ZONE,)))
    full = _size(replace(SAMPLE_BEAT, seen=seen, zones=(summary,)))
    bare = _size(SAMPLE_BEAT)
    brief_relay = bare + passed * (brief - bare)
    full_relay = _size(replace(SAMPLE_BEAT, usage=own_usage)) + passed * (full - bare)
    return _Sizes(
        sibling=(hosts - 1) * (_size(SAMPLE_PULSE) + PACKET_OVERHEAD),
        link=links * (_mean(brief, full) + PACKET_OVERHEAD),
        relay=(hosts - 1) * (_mean(brief_relay, full_relay) + PACKET_OVERHEAD),
    )


def _mean(brief: float, full: float) -> float:
    return (full + (FULL_EVERY - 1) * brief) / FULL_EVERY


def _size(message: Heartbeat | Pulse) -> int:
    return len(encode(Envelope(SAMPLE_HOST, SAMPLE_HOST, SAMPLE_SENT_AT, message)))
