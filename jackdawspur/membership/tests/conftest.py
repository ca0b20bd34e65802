"""A handful of views joined by messages on virtual time."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from jackdawspur.links import Envelope, encode
from jackdawspur.membership import Addressed, View
from jackdawspur.messages import CustomerUsage, Heartbeat, Pulse
from jackdawspur.model import ClusterSpec, EntryHost, HostId

STEP = 0.05
PACKET = 90


@dataclass
class Net:
    """Deliver heartbeats one step later, but not over cuts or to the dead."""

    world: ClusterSpec
    views: dict[HostId, View] = field(default_factory=dict)
    now: float = 0.0
    cut: set[str] = field(default_factory=set)
    paused: set[HostId] = field(default_factory=set)
    bad: dict[HostId, tuple] = field(default_factory=dict)
    usage: tuple[CustomerUsage, ...] = ()
    sent: Counter[HostId] = field(default_factory=Counter)
    received: Counter[HostId] = field(default_factory=Counter)
    sequence: int = 0

    def start(self, host):
        view = self.views[host] = View(host, self.now)
        view.set_cluster_spec(self.world, self.now)
        return view

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            flights = [flight for host in self.views for flight in self._send(host)]
            for sender, to, message in flights:
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
        for out in self.views[host].heartbeats_due(state, self.now):
            self.sent[host] += _size(host, out)
            yield host, out.to, out.message

    def _deliver(self, sender, to, message):
        apart = sender.zone != to.zone and self.cut & {sender.zone, to.zone}
        for host in self.views.keys() - self.paused:
            if apart or not host.same_host(to):
                continue
            self.received[host] += _size(sender, Addressed(to, message))
            if isinstance(message, Pulse):
                self.views[host].record_pulse(sender, message, self.now)
            else:
                self.views[host].record_heartbeat(message, self.now)


def _size(sender, out):
    return len(encode(Envelope(sender, out.to, 1000.5, out.message))) + PACKET


def build(zones, hosts):
    """Return a net of zones of equal size, all hosts started."""
    names = [
        (f"zone-{z:02}", f"entry-{h:02}") for z in range(zones) for h in range(hosts)
    ]
    net = Net(
        ClusterSpec(0, entry_hosts=tuple(EntryHost(*name, "", "") for name in names))
    )
    for name in names:
        net.start(HostId(*name, 1))
    return net


@pytest.fixture
def net():
    """Return three zones of two hosts, after a first exchange."""
    net = build(3, 2)
    net.run(5)
    return net


@pytest.fixture
def hosts(net):
    return list(net.views)
