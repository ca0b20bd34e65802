"""Tests of the transfer of the leadership to a stronger host."""

import pytest

from jackdawspur.group import Group, HostAddress
from jackdawspur.group._leadership_transfer import MIN_LEADERSHIP_S
from jackdawspur.group._vacancy import INITIAL_VACANCY_S
from jackdawspur.group.tests.heartbeats import heartbeat_of

UNIX_MS = 1_800_000_000_000.0
STEP_S = 0.05
CORES = {"weak-1": 0.5, "weak-2": 0.5, "far": 0.5, "strong": 2.0}


class Zone:
    """Hosts with different processor shares that receive each other's heartbeats."""

    def __init__(self) -> None:
        self.now = 0.0
        self.groups: dict[str, Group] = {}
        self.addresses: dict[str, HostAddress] = {}
        self.slow: set[str] = set()
        self.storeless: set[str] = set()
        self.leader_history: list[str] = []

    def start(self, name: str, zone: str = "z1") -> None:
        """Start or restart a host."""
        started_ms = int(UNIX_MS + self.now * 1000)
        address = HostAddress(name, zone, f"{name}:1", started_ms, CORES[name])
        self.addresses[name] = address
        self.groups[name] = Group(address, self.now)

    def stop(self, name: str) -> None:
        """Stop a host, which sends no further message."""
        del self.groups[name]

    def run(self, seconds: float) -> None:
        """Advance the time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            heartbeats = {
                name: heartbeat_of(group, self.addresses[name], self.now)
                for name, group in self.groups.items()
            }
            for name, group in self.groups.items():
                for other in heartbeats.keys() - {name}:
                    group.record_heartbeat(heartbeats[other], self.now)
            for name, group in self.groups.items():
                group.slow = name in self.slow
                group.store_reachable = name not in self.storeless
                group.update_leadership(True, UNIX_MS + self.now * 1000, self.now)
            self._record_leader()

    def _record_leader(self) -> None:
        for name in self.leaders():
            if self.leader_history[-1:] != [name]:
                self.leader_history.append(name)

    def leaders(self) -> list[str]:
        """Return the hosts that lead."""
        return [name for name, group in self.groups.items() if group.is_leader]


@pytest.fixture
def zone() -> Zone:
    """Return a zone led by a weak host, in which a strong one has just started."""
    weakly_led = Zone()
    weakly_led.start("weak-1")
    weakly_led.start("weak-2")
    weakly_led.run(INITIAL_VACANCY_S + 3 * MIN_LEADERSHIP_S)
    weakly_led.start("strong")
    return weakly_led


def test_a_strong_host_that_starts_later_becomes_the_leader(zone: Zone):
    zone.run(MIN_LEADERSHIP_S - 0.5)
    (weak,) = zone.leaders()
    assert weak != "strong"
    fence = zone.groups[weak].fence
    zone.run(1.5)
    assert zone.leaders() == ["strong"]
    assert zone.groups["strong"].fence > fence


def test_a_host_that_loses_the_leadership_gets_it_back_less_and_less_often(zone: Zone):
    # Guards against leadership that oscillates with a strong host that often fails.
    zone.run(2 * MIN_LEADERSHIP_S)
    for _ in range(20):
        zone.slow = {"strong"}
        zone.run(1.0)
        zone.slow = set()
        zone.run(MIN_LEADERSHIP_S)
    assert 3 < zone.leader_history.count("strong") < 12


def test_a_slow_strong_host_does_not_become_the_leader(zone: Zone):
    zone.slow = {"strong"}
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]


def test_the_leader_stays_while_the_store_is_down(zone: Zone):
    zone.storeless = set(zone.groups)
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]
    zone.storeless = set()
    zone.run(1.0)
    assert zone.leaders() == ["strong"]


def test_the_leader_stays_while_a_zone_is_missing(zone: Zone):
    zone.start("far", "z2")
    zone.run(1.0)
    zone.stop("far")
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]


def test_the_leader_stays_among_equally_strong_hosts(zone: Zone):
    zone.stop("strong")
    zone.run(0.5)
    (leader,) = zone.leaders()
    zone.run(4 * MIN_LEADERSHIP_S)
    assert zone.leaders() == [leader]
