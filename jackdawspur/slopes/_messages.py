"""Encoded sizes of the messages between entry hosts, in bytes."""

from collections.abc import Iterator

from jackdawspur.links import Envelope, encode
from jackdawspur.membership import heartbeat_bandwidth, heartbeat_intervals
from jackdawspur.messages import (
    CustomerUsage,
    Delegate,
    Forward,
    Heartbeat,
    LivePeer,
    Message,
    Pulse,
    SlotGrant,
    UpstreamSlots,
    ZoneStatus,
)
from jackdawspur.model import (
    ClusterSpec,
    HostId,
    JobRequest,
    SubmissionId,
    TaskSpec,
    UpstreamId,
)
from jackdawspur.slopes._fit import Slope, fit
from jackdawspur.slopes._host import Sizes, make_cluster_spec

__all__ = ["message_slopes", "heartbeat_lines"]

HOST_ID = HostId("region-1-zone-1", "entry-10", 1_700_000_000_000)
SENT_AT = 1_000_000.5
SUBMISSION = SubmissionId(HOST_ID, 100_000)
USAGE = CustomerUsage("customer-100", 1000, 1000)
ONE_REPEAT = 1
MESHES = ((1, 6), (3, 2), (18, 6), (18, 12), (18, 24))
CUSTOMERS = 140


def message_slopes() -> Iterator[Slope]:
    """Yield the growth of message sizes, which are the same in every repeat."""
    sizes = (1, 6, 24)
    yield fit("heartbeat", "B", "listed host", sizes, _hosts_size, ONE_REPEAT)
    yield fit("heartbeat", "B", "zone reported", (0, 3, 17), _zones_size, ONE_REPEAT)
    yield fit(
        "heartbeat", "B", "customer's usage", (0, 16, 32), _usage_size, ONE_REPEAT
    )
    yield fit("pulse", "B", "listed host", sizes, _pulse_size, ONE_REPEAT)
    yield fit(
        "delegate, 32 B per task", "B", "task", (1, 24, 360), _delegate_size, ONE_REPEAT
    )
    yield fit(
        "forward, 32 B per task", "B", "task", (1, 24, 360), _forward_size, ONE_REPEAT
    )
    yield fit("slot grant", "B", "upstream lent", (1, 8, 64), _grant_size, ONE_REPEAT)


def heartbeat_lines() -> Iterator[str]:
    """Yield the bandwidth and timeouts that follow from the heartbeat intervals."""
    for zones, hosts in MESHES:
        bandwidth = heartbeat_bandwidth(zones, hosts, CUSTOMERS)
        intervals = heartbeat_intervals(_cluster_spec(zones, hosts))
        yield (
            f"control traffic, {zones} zones of {hosts} hosts, {CUSTOMERS} customers: "
            f"{bandwidth.sent:.0f} B/s sent, {bandwidth.received:.0f} B/s received; "
            f"timeouts: {intervals.zone_peer_timeout:.1f} s for a peer in the same "
            f"zone, "
            f"{intervals.link_timeout:.1f} s for a linked host of another zone, "
            f"{intervals.relayed_zone_timeout:.1f} s for a zone that peers report on"
        )


def _cluster_spec(zones: int, hosts: int) -> ClusterSpec:
    return make_cluster_spec(Sizes(0, hosts, zones, CUSTOMERS))


def _encoded_size(message: Message) -> float:
    return float(len(encode(Envelope(HOST_ID, HOST_ID, SENT_AT, message))))


def _heartbeat_size(**lists) -> float:
    heartbeat = Heartbeat(
        HOST_ID, 100_000, True, False, 100_000, 100, 1000, 99.5, **lists
    )
    return _encoded_size(heartbeat)


def _hosts_size(count: int) -> float:
    return _heartbeat_size(seen=(LivePeer(HOST_ID),) * count)


def _zones_size(count: int) -> float:
    return _heartbeat_size(
        zones=(ZoneStatus(HOST_ID.zone, 100_000, 100, 1000, 10),) * count
    )


def _usage_size(count: int) -> float:
    return _heartbeat_size(usage=(USAGE,) * count)


def _pulse_size(_count: int) -> float:
    return _encoded_size(Pulse(100_000, 100, 1000, 99.5))


def _make_request(tasks: int) -> JobRequest:
    return JobRequest(
        "customer-100", "class-1", (TaskSpec("x" * 32, 200.0),) * tasks, 10_000.0
    )


def _delegate_size(tasks: int) -> float:
    return _encoded_size(Delegate(SUBMISSION, _make_request(tasks), 9000.0))


def _forward_size(tasks: int) -> float:
    return _encoded_size(
        Forward(7, "customer-100", SUBMISSION, True, _make_request(tasks))
    )


def _grant_size(upstreams: int) -> float:
    lent = (UpstreamSlots(UpstreamId(HOST_ID.zone, "w1000"), 1),) * upstreams
    return _encoded_size(SlotGrant(1000, 1000.0, lent, 1000))
