"""Fake network that connects the views of several hosts, in virtual time."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from jackdawspur.links import Envelope, encode
from jackdawspur.membership import OutgoingHeartbeat, View
from jackdawspur.messages import CustomerUsage, Heartbeat, Pulse
from jackdawspur.model import ClusterSpec, EntryHost, HostId

STEP = 0.05
PACKET_OVERHEAD = 90


@dataclass
class FakeNetwork:
    """Deliver heartbeats in each step, except across partitions or to paused hosts.

    `partitioned` holds the zones that are partitioned from all others.
    """

    cluster_spec: ClusterSpec
    views: dict[HostId, View] = field(default_factory=dict)
    now: float = 0.0
    partitioned: set[str] = field(default_factory=set)
    paused: set[HostId] = field(default_factory=set)
    unhealthy_upstreams: dict[HostId, tuple] = field(default_factory=dict)
    usage: tuple[CustomerUsage, ...] = ()
    sent: Counter[HostId] = field(default_factory=Counter)
    received: Counter[HostId] = field(default_factory=Counter)
    sequence: int = 0

    def start(self, host):
        view = self.views[host] = View(host, self.now)
        view.set_cluster_spec(self.cluster_spec, self.now)
        return view

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            sent = [item for host in self.views for item in self._send(host)]
            for sender, to, message in sent:
                self._deliver(sender, to, message)
            for host in self.views.keys() - self.paused:
                self.views[host].tick(self.now)

    def _send(self, host):
        if host in self.paused:
            return
        self.sequence += 1
        state = Heartbeat(
            host, self.sequence, True, False, 7, 4, 2, 1.0, usage=self.usage
        )
        for outgoing in self.views[host].heartbeats_due(state, self.now):
            self.sent[host] += _size(host, outgoing)
            yield host, outgoing.to, outgoing.message

    def _deliver(self, sender, to, message):
        is_partitioned = sender.zone != to.zone and self.partitioned & {
            sender.zone,
            to.zone,
        }
        for host in self.views.keys() - self.paused:
            if is_partitioned or not host.same_host(to):
                continue
            self.received[host] += _size(sender, OutgoingHeartbeat(to, message))
            if isinstance(message, Pulse):
                self.views[host].record_pulse(sender, message, self.now)
            else:
                self.views[host].record_heartbeat(message, self.now)


def _size(sender, outgoing):
    return (
        len(encode(Envelope(sender, outgoing.to, 1000.5, outgoing.message)))
        + PACKET_OVERHEAD
    )


def build(zones, hosts):
    """Return a network of zones of equal size with all hosts started."""
    names = [
        (f"zone-{z:02}", f"entry-{h:02}") for z in range(zones) for h in range(hosts)
    ]
    network = FakeNetwork(
        ClusterSpec(0, entry_hosts=tuple(EntryHost(*name, "", "") for name in names))
    )
    for name in names:
        network.start(HostId(*name, 1))
    return network


@pytest.fixture
def network():
    """Return three zones of two hosts after they have exchanged heartbeats."""
    network = build(3, 2)
    network.run(5)
    return network


@pytest.fixture
def hosts(network):
    return list(network.views)
