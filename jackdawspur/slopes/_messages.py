"""Bytes of the messages between entry hosts, as the links encode them."""

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
from jackdawspur.slopes._host import Sizes, world_of_size

__all__ = ["message_slopes", "pace_lines"]

HOST = HostId("region-1-zone-1", "entry-10", 1_700_000_000_000)
SENT_AT = 1_000_000.5
SUBMISSION = SubmissionId(HOST, 100_000)
USAGE = CustomerUsage("customer-100", 1000, 1000)
EXACT = 1
MESHES = ((1, 6), (3, 2), (18, 6), (18, 12), (18, 24))
CUSTOMERS = 140


def message_slopes() -> Iterator[Slope]:
    """Yield how messages grow; sizes repeat exactly."""
    sizes = (1, 6, 24)
    yield fit("heartbeat", "B", "host named", sizes, _seen, EXACT)
    yield fit("heartbeat", "B", "zone told of", (0, 3, 17), _zones, EXACT)
    yield fit("heartbeat", "B", "customer's usage", (0, 16, 32), _usage, EXACT)
    yield fit("pulse", "B", "host named", sizes, _pulse, EXACT)
    yield fit("delegate, 32 B a task", "B", "task", (1, 24, 360), _delegate, EXACT)
    yield fit("forward, 32 B a task", "B", "task", (1, 24, 360), _forward, EXACT)
    yield fit("slot grant", "B", "upstream lent", (1, 8, 64), _grant, EXACT)


def pace_lines() -> Iterator[str]:
    """Yield the bytes a second and the intervals that the pace formula gives."""
    for zones, hosts in MESHES:
        cost = heartbeat_bandwidth(zones, hosts, CUSTOMERS)
        pace = heartbeat_intervals(_world(zones, hosts))
        yield (
            f"control traffic, {zones} zones of {hosts} hosts, {CUSTOMERS} customers: "
            f"{cost.sent:.0f} B/s sent, {cost.received:.0f} B/s received; a sibling "
            f"is missed after {pace.zone_peer_timeout:.1f} s, a linked host of another "
            f"zone after {pace.link_timeout:.1f} s, a zone that siblings tell of "
            f"after {pace.relayed_zone_timeout:.1f} s"
        )


def _world(zones: int, hosts: int) -> ClusterSpec:
    return world_of_size(Sizes(0, hosts, zones, CUSTOMERS))


def _size(message: Message) -> float:
    return float(len(encode(Envelope(HOST, HOST, SENT_AT, message))))


def _beat(**lists) -> float:
    beat = Heartbeat(HOST, 100_000, True, False, 100_000, 100, 1000, 99.5, **lists)
    return _size(beat)


def _seen(count: int) -> float:
    return _beat(seen=(LivePeer(HOST),) * count)


def _zones(count: int) -> float:
    return _beat(zones=(ZoneStatus(HOST.zone, 100_000, 100, 1000, 10),) * count)


def _usage(count: int) -> float:
    return _beat(usage=(USAGE,) * count)


def _pulse(_count: int) -> float:
    return _size(Pulse(100_000, 100, 1000, 99.5))


def _request(tasks: int) -> JobRequest:
    return JobRequest(
        "customer-100", "class-1", (TaskSpec("x" * 32, 200.0),) * tasks, 10_000.0
    )


def _delegate(tasks: int) -> float:
    return _size(Delegate(SUBMISSION, _request(tasks), 9000.0))


def _forward(tasks: int) -> float:
    return _size(Forward(7, "customer-100", SUBMISSION, True, _request(tasks)))


def _grant(upstreams: int) -> float:
    lent = (UpstreamSlots(UpstreamId(HOST.zone, "w1000"), 1),) * upstreams
    return _size(SlotGrant(1000, 1000.0, lent, 1000))
