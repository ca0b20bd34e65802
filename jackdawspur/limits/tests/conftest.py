"""A few hosts that exchange heartbeats on virtual time."""

import heapq
import itertools
from collections.abc import Callable

import pytest

from jackdawspur.limits import Quotas
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import ClusterSpec, Customer, EntryHost, HostId

STEP = 0.05
HEARTBEAT = 0.5
DELAY = 0.05
TASK_S = 0.4


class Host:
    """Start as much as the quota allows of what is wanted."""

    def __init__(self, host_id: HostId, world: ClusterSpec) -> None:
        self.id = host_id
        self.quotas = Quotas(host_id)
        self.quotas.set_cluster_spec(world)
        self.wanted = 0
        self.ends: list[float] = []
        self.alive = True

    @property
    def running(self) -> int:
        return len(self.ends)

    def step(self, now: float) -> None:
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
            self.quotas.ended("a")
        while self.running < self.wanted and self.quotas.may_start("a", now):
            self.quotas.started("a")
            heapq.heappush(self.ends, now + TASK_S)


class Hosts:
    """Step hosts and carry their heartbeats, save between cut zones."""

    def __init__(self, quota: int, zones: int = 3, in_zone: int = 2) -> None:
        places = [(f"z{z}", f"e{h}") for z in range(zones) for h in range(in_zone)]
        entries = tuple(EntryHost(zone, name, "", "") for zone, name in places)
        world = ClusterSpec(1, (Customer("a", quota),), entries)
        self.hosts = [Host(HostId(zone, name, 1), world) for zone, name in places]
        self.cut: set[str] = set()
        self.now = 0.0
        self.most = 0
        self._mail: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._heartbeats = [HEARTBEAT * n / len(places) for n in range(len(places))]
        for host in self.hosts:
            host.quotas.set_live_hosts([other.id for other in self.hosts])
        self.run(2.0)

    @property
    def running(self) -> int:
        return sum(host.running for host in self.hosts)

    def run(self, seconds: float) -> None:
        """Go on and keep the most tasks that ever ran at once."""
        self.most = 0
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._step()
            self.most = max(self.most, self.running)

    def _step(self) -> None:
        while self._mail and self._mail[0][0] <= self.now:
            heapq.heappop(self._mail)[2]()
        for place, host in enumerate(self.hosts):
            host.step(self.now)
            # The dispatch core asks on each tick, whether a heartbeat is due or not.
            self._usage(host)
            if host.alive and self.now >= self._heartbeats[place]:
                self._heartbeats[place] += HEARTBEAT
                self._send(host)

    def _send(self, host: Host) -> None:
        usage = self._usage(host)
        for other in self.hosts:
            split = (host.id.zone in self.cut) != (other.id.zone in self.cut)
            if other is not host and not split:
                self._post(host, other, usage)

    def _usage(self, host: Host) -> tuple[CustomerUsage, ...]:
        waiting = host.wanted - host.running
        return host.quotas.advertise({"a": waiting} if waiting > 0 else {}, self.now)

    def _post(self, host: Host, other: Host, usage) -> None:
        def deliver() -> None:
            other.quotas.update_peer_usage(host.id, usage, self.now)

        heapq.heappush(self._mail, (self.now + DELAY, next(self._order), deliver))


@pytest.fixture
def make_hosts() -> Callable[..., Hosts]:
    return Hosts
