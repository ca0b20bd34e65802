"""The lead goes to a host that carries more, once nothing else is going on."""

import pytest

from jackdawspur.group import Group, HostAddress
from jackdawspur.group._group import FIRST_VACANT_S
from jackdawspur.group._leadership_transfer import MIN_LEADERSHIP_S
from jackdawspur.group.tests.beats import beat_of

UNIX_MS = 1_800_000_000_000.0
STEP_S = 0.05
CORES = {"weak-1": 0.5, "weak-2": 0.5, "far": 0.5, "strong": 2.0}


class Zone:
    """Let hosts of unlike processors hear each other."""

    def __init__(self) -> None:
        self.now = 0.0
        self.groups: dict[str, Group] = {}
        self.addresses: dict[str, HostAddress] = {}
        self.slow: set[str] = set()
        self.storeless: set[str] = set()
        self.led: list[str] = []

    def start(self, name: str, zone: str = "z1") -> None:
        """Start a host, or start it again."""
        started_ms = int(UNIX_MS + self.now * 1000)
        address = HostAddress(name, zone, f"{name}:1", started_ms, CORES[name])
        self.addresses[name] = address
        self.groups[name] = Group(address, self.now)

    def stop(self, name: str) -> None:
        """Let a host go without a word."""
        del self.groups[name]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            beats = {
                name: beat_of(group, self.addresses[name], self.now)
                for name, group in self.groups.items()
            }
            for name, group in self.groups.items():
                for other in beats.keys() - {name}:
                    group.record_heartbeat(beats[other], self.now)
            for name, group in self.groups.items():
                group.slow = name in self.slow
                group.store_reachable = name not in self.storeless
                group.update_leadership(True, UNIX_MS + self.now * 1000, self.now)
            self._note_lead()

    def _note_lead(self) -> None:
        for name in self.leaders():
            if self.led[-1:] != [name]:
                self.led.append(name)

    def leaders(self) -> list[str]:
        """Return the hosts that lead."""
        return [name for name, group in self.groups.items() if group.is_leader]


@pytest.fixture
def zone() -> Zone:
    """Return a zone that a weak host leads, with a strong one just started."""
    one = Zone()
    one.start("weak-1")
    one.start("weak-2")
    one.run(FIRST_VACANT_S + 3 * MIN_LEADERSHIP_S)
    one.start("strong")
    return one


def test_a_strong_host_that_comes_late_gets_the_lead(zone: Zone):
    zone.run(MIN_LEADERSHIP_S - 0.5)
    (weak,) = zone.leaders()
    assert weak != "strong"
    fence = zone.groups[weak].fence
    zone.run(1.5)
    assert zone.leaders() == ["strong"]
    assert zone.groups["strong"].fence > fence


def test_a_host_that_loses_the_lead_gets_it_less_and_less_often(zone: Zone):
    # Guards against the lead going to and fro with a strong host that fails again and
    # again.
    zone.run(2 * MIN_LEADERSHIP_S)
    for _ in range(20):
        zone.slow = {"strong"}
        zone.run(1.0)
        zone.slow = set()
        zone.run(MIN_LEADERSHIP_S)
    assert 3 < zone.led.count("strong") < 12


def test_a_slow_strong_host_does_not_get_the_lead(zone: Zone):
    zone.slow = {"strong"}
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]


def test_the_lead_stays_while_the_store_is_away(zone: Zone):
    zone.storeless = set(zone.groups)
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]
    zone.storeless = set()
    zone.run(1.0)
    assert zone.leaders() == ["strong"]


def test_the_lead_stays_while_a_zone_is_away(zone: Zone):
    zone.start("far", "z2")
    zone.run(1.0)
    zone.stop("far")
    zone.run(3 * MIN_LEADERSHIP_S)
    assert zone.leaders() != ["strong"]


def test_hosts_alike_keep_the_lead_where_it_is(zone: Zone):
    zone.stop("strong")
    zone.run(0.5)
    (leader,) = zone.leaders()
    zone.run(4 * MIN_LEADERSHIP_S)
    assert zone.leaders() == [leader]
