"""Tests of which hosts get heartbeats, and how often."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from jackdawspur.front._availability import Availability
from jackdawspur.front._heartbeats import Heartbeats
from jackdawspur.group import (
    FOLLOWER_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    Group,
    HostAddress,
    HostHeartbeat,
)

HOSTS = tuple("abcdefghijklm")
LEADER = "a"
TICK_S = 0.025
UNIX_MS = 1_800_000_000_000


def address(name: str) -> HostAddress:
    return HostAddress(name, "z1", f"127.0.0.1:{9000 + ord(name)}", UNIX_MS - 60_000)


@dataclass
class Routes:
    """Routes with a configuration in force."""

    version: int = 1


@dataclass
class View:
    """A view of the store that was read just now."""

    entries: tuple = ("w",)

    def age_s(self, now: float) -> float:
        return 0.0


@dataclass
class IdleLeader:
    """A leader driver without jobs."""

    availability = Availability()

    @property
    def exchange(self) -> "IdleLeader":
        return self

    def progress_by_host(self) -> dict:
        return {}

    def hosts_with_jobs(self) -> set[str]:
        return set()

    def capacity_for(self, leaders: list[str], now: float) -> dict:
        return {}

    def loads_for(self, leaders: list[str], now: float) -> dict:
        return {}

    def needs_capacity(self, now: float) -> bool:
        return False

    def next_learned(self, now: float) -> None:
        return None

    def next_demand(self, now: float) -> None:
        return None


@dataclass
class Callers:
    """A caller service without callers."""

    def remote_leaders(self) -> set[str]:
        return set()


class FakeMesh:
    """Records messages that were sent and hosts that were redialled."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, HostHeartbeat]] = []
        self.redialled: list[str] = []

    def send(self, name: str, heartbeat: HostHeartbeat) -> None:
        self.sent.append((name, heartbeat))

    def redial(self, name: str) -> None:
        self.redialled.append(name)


@dataclass
class Host:
    """The heartbeats of a host among hosts that all follow the same leader."""

    name: str = "b"
    knows: str = ""
    now: float = 50.0
    can_lead: bool = True
    routes: Routes = field(default_factory=Routes)
    view: View = field(default_factory=View)
    leader_driver: IdleLeader = field(default_factory=IdleLeader)
    callers: Callers = field(default_factory=Callers)

    def __post_init__(self) -> None:
        self.address = address(self.name)
        self.group = Group(self.address, self.now)
        self.mesh = FakeMesh()
        self.heartbeats = Heartbeats(self, self.mesh)
        for name in self.knows:
            self.group.add_host(address(name))
        for name in HOSTS:
            if name != self.name and not self.knows:
                self.receive_heartbeat(name)

    def receive_heartbeat(self, name: str, follows: int = 7) -> HostHeartbeat:
        leads = name == LEADER
        heartbeat = HostHeartbeat(
            host=address(name),
            sent_at=self.now,
            leads=leads,
            fence=7 if leads else 0,
            ready=True,
            draining=False,
            slow=False,
            configuration=1,
            upstreams_age_s=0.0,
            knows=(),
            follows=follows,
        )
        self.group.record_heartbeat(heartbeat, self.now)
        return heartbeat

    def send(self, heartbeats: int) -> None:
        for _ in range(heartbeats):
            self.now += HEARTBEAT_INTERVAL_S
            self.receive_heartbeat(LEADER)
            self.heartbeats.send(self.now)


@pytest.fixture
def host() -> Host:
    return Host()


def test_followers_seldom_send_heartbeats_to_each_other(host: Host):
    # Hosts without callers take most of the processor time of a large deployment: each
    # of 13 in a zone sent heartbeats to all others ten times a second.
    host.send(10)
    counts = Counter(name for name, _heartbeat in host.mesh.sent)
    assert counts.pop(LEADER) == 10
    assert set(counts.values()) == {1} and len(counts) == len(HOSTS) - 2


def test_followers_are_not_redialled_although_they_are_seldom_heard(host: Host):
    host.send(12)
    assert host.mesh.redialled == []


def test_an_unresponsive_host_is_redialled(host: Host):
    host.send(round((FOLLOWER_TIMEOUT_S + 1.0) / HEARTBEAT_INTERVAL_S))
    assert "c" in host.mesh.redialled


def test_all_hosts_get_heartbeats_while_there_is_no_leader(host: Host):
    host.now += 1.0
    host.heartbeats.send(host.now)
    assert len(host.mesh.sent) == len(HOSTS) - 1


def test_a_host_without_a_leader_gets_heartbeats_of_all_others(host: Host):
    host.send(1)
    host.mesh.sent.clear()
    host.receive_heartbeat("c", follows=0)
    host.send(2)
    assert sum(name == "c" for name, _heartbeat in host.mesh.sent) == 2


class Zone:
    """Hosts that elect a leader through heartbeats, except across partitioned pairs."""

    def __init__(self, names: str) -> None:
        self.now = 50.0
        self.hosts = {name: Host(name, knows=names) for name in names}
        self.stopped: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.new_leaders: set[str] = set()
        self._heartbeat_due = dict.fromkeys(names, self.now)
        self._followed: dict[str, str | None] = dict.fromkeys(names)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for name, host in self.hosts.items():
                if name not in self.stopped:
                    self._tick(name, host)

    def _tick(self, name: str, host: Host) -> None:
        changed = host.group.update_leadership(
            True, UNIX_MS + 1000 * self.now, self.now
        )
        if changed and host.group.is_leader:
            self.new_leaders.add(name)
        leader = host.group.leader(self.now)
        lost = leader is None and self._followed[name] is not None
        self._followed[name] = leader
        if changed or lost or self.now >= self._heartbeat_due[name]:
            self._heartbeat_due[name] = self.now + HEARTBEAT_INTERVAL_S - TICK_S / 2
            host.heartbeats.send(self.now, to_all=changed or lost)
        self._deliver(name)

    def _deliver(self, sender: str) -> None:
        sent, self.hosts[sender].mesh.sent = self.hosts[sender].mesh.sent, []
        for name, heartbeat in sent:
            if name in self.stopped or frozenset((sender, name)) in self.partitions:
                continue
            receiver = self.hosts[name]
            receiver.group.record_heartbeat(heartbeat, self.now)
            self._deliver(name)

    def leaders(self) -> list[str]:
        return [n for n, host in self.hosts.items() if host.group.is_leader]


@pytest.fixture
def zone() -> Zone:
    zone = Zone("abcdefghijklm")
    zone.advance(2.0)
    zone.new_leaders.clear()
    return zone


def test_one_host_leads_a_zone_of_hosts_that_start_together(zone: Zone):
    assert len(zone.leaders()) == 1


def test_one_host_takes_over_when_the_leader_dies(zone: Zone):
    # Callers wait: the leader lost power, and the others, which rarely send each other
    # heartbeats, must elect exactly one of them immediately.
    (leader,) = zone.leaders()
    zone.stopped.add(leader)
    zone.advance(0.6)
    assert len(zone.new_leaders) == 1
    zone.advance(2.0)
    assert len(zone.new_leaders) == 1


def test_no_third_host_leads_while_hosts_reconnect(zone: Zone):
    # All jobs are handed over twice: on the side whose leader stepped down, hosts did
    # not know the other side's leader yet, and one of them led for a moment.
    (first,) = zone.leaders()
    one_side = {first, "k", "l", "m"}
    other_side = set(zone.hosts) - one_side
    zone.partitions = {frozenset((n, o)) for n in one_side for o in other_side}
    zone.advance(1.5)
    (second,) = [name for name in zone.leaders() if name != first]
    zone.new_leaders.clear()
    zone.partitions.remove(frozenset((first, second)))
    zone.advance(0.5)
    assert zone.new_leaders == set()
    zone.partitions.clear()
    zone.advance(1.0)
    assert zone.new_leaders == set() and zone.leaders() == [second]


def test_one_host_takes_over_when_another_host_dies_with_the_leader(zone: Zone):
    # The host that would lead next dies at the same time as the leader.
    (leader,) = zone.leaders()
    zone.stopped.add(leader)
    zone.stopped.add(next(name for name in zone.hosts if name != leader))
    zone.advance(0.6)
    assert len(zone.new_leaders) == 1


def test_only_hosts_just_connected_to_are_greeted(host: Host):
    # Guards against a host that starts among a hundred others and sends heartbeats to
    # all of them with each one that it discovers, which blocks its loop for seconds.
    host.heartbeats.greet(["c", "d"], host.now)
    assert [name for name, _heartbeat in host.mesh.sent] == ["c", "d"]
