"""A simulation of hosts that exchange heartbeats in virtual time."""

import heapq
import itertools
from collections.abc import Callable

import pytest

from jackdawspur.limits import Quotas
from jackdawspur.messages import CustomerUsage
from jackdawspur.model import ClusterSpec, Customer, EntryHost, HostId

STEP_S = 0.05
HEARTBEAT_INTERVAL_S = 0.5
DELAY_S = 0.05
TASK_S = 0.4


class Host:
    """A host that runs up to `wanted` tasks, as far as the quota allows."""

    def __init__(self, host_id: HostId, cluster_spec: ClusterSpec) -> None:
        self.id = host_id
        self.quotas = Quotas(host_id)
        self.quotas.set_cluster_spec(cluster_spec)
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
    """Simulated hosts and their heartbeats, which don't cross a partition."""

    def __init__(self, quota: int, zones: int = 3, hosts_per_zone: int = 2) -> None:
        host_keys = [
            (f"z{z}", f"e{h}") for z in range(zones) for h in range(hosts_per_zone)
        ]
        entries = tuple(EntryHost(zone, name, "", "") for zone, name in host_keys)
        cluster_spec = ClusterSpec(1, (Customer("a", quota),), entries)
        self.hosts = [
            Host(HostId(zone, name, 1), cluster_spec) for zone, name in host_keys
        ]
        self.partitioned_zones: set[str] = set()
        self.now = 0.0
        self.max_running = 0
        self._messages: list[tuple[float, int, Callable[[], None]]] = []
        self._message_numbers = itertools.count()
        self._heartbeats = [
            HEARTBEAT_INTERVAL_S * n / len(host_keys) for n in range(len(host_keys))
        ]
        for host in self.hosts:
            host.quotas.set_live_hosts([other.id for other in self.hosts])
        self.run(2.0)

    @property
    def running(self) -> int:
        return sum(host.running for host in self.hosts)

    def run(self, seconds: float) -> None:
        """Continue the simulation and record the maximum of running tasks."""
        self.max_running = 0
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._step()
            self.max_running = max(self.max_running, self.running)

    def _step(self) -> None:
        while self._messages and self._messages[0][0] <= self.now:
            heapq.heappop(self._messages)[2]()
        for index, host in enumerate(self.hosts):
            host.step(self.now)
            # The dispatch core calls `advertise` on every tick, even when no heartbeat
            # is due.
            self._usage(host)
            if host.alive and self.now >= self._heartbeats[index]:
                self._heartbeats[index] += HEARTBEAT_INTERVAL_S
                self._send(host)

    def _send(self, host: Host) -> None:
        usage = self._usage(host)
        for other in self.hosts:
            is_partitioned = (host.id.zone in self.partitioned_zones) != (
                other.id.zone in self.partitioned_zones
            )
            if other is not host and not is_partitioned:
                self._send_to(host, other, usage)

    def _usage(self, host: Host) -> tuple[CustomerUsage, ...]:
        waiting = host.wanted - host.running
        return host.quotas.advertise({"a": waiting} if waiting > 0 else {}, self.now)

    def _send_to(self, host: Host, other: Host, usage) -> None:
        def deliver() -> None:
            other.quotas.update_peer_usage(host.id, usage, self.now)

        heapq.heappush(
            self._messages, (self.now + DELAY_S, next(self._message_numbers), deliver)
        )


@pytest.fixture
def make_hosts() -> Callable[..., Hosts]:
    return Hosts
