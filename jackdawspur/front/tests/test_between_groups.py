"""A job is run by one group, whatever its host takes for its group meanwhile."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from jackdawspur.front.tests import virtual
from jackdawspur.front.tests.virtual import Asked, Life, World

ZONES = ("z1", "z2")
HOSTS = (("a1", "z1"), ("b1", "z2"), ("a2", "z1"), ("b2", "z2"))
HEARTBEAT_INTERVAL_S = 0.1


def start_all(world: World, apart_s: float = 0.0) -> None:
    for name, zone in HOSTS:
        world.run(apart_s)
        world.start(name, zone)
    world.run(3.0)


@pytest.fixture
def two_groups(monkeypatch) -> World:
    """Return two zones with a leading host each, that of z1 under the higher fence."""
    world = World(monkeypatch, most_upstreams=2)
    for zone in ZONES:
        world.add_upstreams(zone, 2)
    start_all(world)
    world.kill(leader_of(world, "z1"))
    world.run(1.0)
    assert sorted(world.leaders().values()) == ["z1", "z2"]
    return world


@pytest.fixture
def at_the_limit(monkeypatch) -> Callable[[int, int, int], World]:
    """Return a way to make zones, with what each has and how far apart hosts start."""

    def make(first: int, second: int, step: int) -> World:
        world = World(monkeypatch, most_upstreams=6)
        world.add_upstreams("z1", first)
        world.add_upstreams("z2", second)
        start_all(world, apart_s=0.07 * step)
        return world

    return make


def leader_of(world: World, zone: str) -> str:
    return next(name for name, where in world.leaders().items() if where == zone)


def ask_all_hosts(world: World, seconds: float) -> list[Asked]:
    """Send jobs of a quarter of a second to all hosts all the time."""
    asked: list[Asked] = []
    end = world.now + seconds
    while world.now < end:
        asked += [world.submit(name, 0.25) for name in world.lives]
        world.run(0.1)
    return asked


def test_a_job_of_a_host_that_starts_is_run_by_one_group(two_groups: World):
    # One order is carried out twice at one time. A host starts while the store is away
    # or has just come back. It has no list of upstreams, or one on which most are
    # missing, takes all zones for one group, and offers its callers' jobs to the
    # leading host of another zone. With the whole list it learns that each zone has a
    # group of its own, and hands the jobs over to its own zone's leading host. That one
    # holds all its upstreams, which says nothing of the other's.
    world = two_groups
    late = next(
        name
        for name, zone in world.zones.items()
        if zone == "z2" and name not in world.leaders()
    )
    asked: list[Asked] = []
    for turn in range(20):
        world.kill(late)
        # At another moment between two heartbeats of the other zone each time.
        world.run(1.0 + turn * HEARTBEAT_INTERVAL_S / 2)
        world.shown[late] = turn % 2
        world.start(late, "z2")
        for _ in range(5):
            world.run(0.02)
            asked.append(world.submit(late, 0.3))
        world.shown.clear()
        world.run(2.5)
    assert world.counters.two_at_once == 0
    assert {one.reply.status for one in asked} <= {200, 503}


@pytest.mark.parametrize(
    ("before", "after", "leading"),
    [((3, 3), 8, 2), ((3, 6), 4, 1)],
    ids=["split", "join"],
)
def test_a_job_is_run_by_one_group_while_groups_change(
    at_the_limit, before: tuple[int, int], after: int, leading: int
):
    # One order is carried out twice at one time. Upstreams are added or taken away, and
    # hosts learn at different moments, up to two seconds apart, that each zone has a
    # group of its own now, or has none any more. A host that knows it hands its jobs
    # over to a leading host that does not, or that holds other upstreams than the one
    # that had them.
    for step in range(4):
        world = at_the_limit(*before, step)
        asked = ask_all_hosts(world, 2.0)
        world.listed = world.listed[:after]
        world.add_upstreams("z2", after - len(world.listed))
        asked += ask_all_hosts(world, 4.0)
        world.run(2.0)
        assert len(world.leaders()) == leading
        assert world.counters.two_at_once == world.counters.over_capacity == 0
        statuses = Counter(one.reply.status for one in asked)
        assert statuses[200] > 0.8 * len(asked)


def test_a_leading_host_uses_the_upstreams_of_the_zones_that_it_names(
    two_groups: World,
):
    # Upstreams stand idle though callers wait: the zones of a group changed between two
    # reads of the list, when another zone's leading host was heard no more, and its own
    # held those that it had before.
    world = two_groups
    process = world.lives[leader_of(world, "z1")].process
    for name in [name for name, zone in world.zones.items() if zone == "z2"]:
        world.kill(name)
    world.listed = world.listed[2:3]
    world.run(1.5)
    assert process.group.by_zone
    world.run(2.0)
    assert not process.group.by_zone
    held = process.leader_driver.dispatcher.upstream_pool.upstreams
    assert {one.entry.id for one in held} == {world.listed[0].id}


def test_a_zone_whose_hosts_start_again_while_the_store_is_away_is_served(
    two_groups: World,
):
    # Callers of a zone are refused until the store is back. Its hosts were started
    # again one after the other meanwhile. None of them got a list of upstreams, since
    # the others' lists were older than what is passed on, and so none could lead.
    world = two_groups
    world.storeless.update(world.lives)
    world.run(3.0)
    for name in [name for name, zone in world.zones.items() if zone == "z2"]:
        world.kill(name)
        world.run(1.0)
        world.start(name, "z2")
        world.run(3.0)
    asked = [world.submit(name, 0.1) for name in ("b1", "b2")]
    world.run(1.0)
    assert "z2" in world.leaders().values()
    assert [one.reply.status for one in asked] == [200, 200]


class LateWorld(World):
    """Deliver what is sent over a cut link when the cut ends, as TCP does."""

    def __init__(self, monkeypatch, most_upstreams: int) -> None:
        self.late_until: dict[frozenset[str], float] = {}
        super().__init__(monkeypatch, most_upstreams)

    def carry(self, sender: Life, name: str, data: bytes) -> None:
        until = self.late_until.get(frozenset((sender.name, name)), self.now)
        if until > self.now:
            self.after(until - self.now, lambda: self.carry(sender, name, data))
        else:
            super().carry(sender, name, data)


def test_groups_join_while_upstreams_that_left_still_run_tasks(monkeypatch):
    # One order is carried out twice at one time. So many entries lapse that two zones
    # become one group, and the upstreams without an entry run on. The leading host of
    # all zones starts what is handed over to it at once, since those that it knows
    # answer. It forgot what its own zone had, or never held what the other's leading
    # host, whose list is older, still starts tasks on.
    of_own_zone, of_other_zone = (
        ((3, 3), 4, (0, 1, 3), 0.0),
        ((2, 4), 5, (0, 1, 2), 0.75),
    )
    twice = Counter()
    for counts, most, left, late_s in (of_own_zone, of_other_zone):
        for step in range(4):
            world = World(monkeypatch, most_upstreams=most)
            for zone, count in zip(ZONES, counts, strict=True):
                world.add_upstreams(zone, count)
            start_all(world, apart_s=0.07 * step)
            assert len(world.leaders()) == len(ZONES)
            ask_all_hosts(world, 2.0)
            world.storeless = {name for name, zone in HOSTS if zone == "z2" and late_s}
            world.listed = tuple(world.listed[number] for number in left)
            ask_all_hosts(world, late_s)
            world.storeless.clear()
            ask_all_hosts(world, 4.0)
            world.run(2.0)
            assert len(world.leaders()) == 1
            twice[left] += world.counters.two_at_once
    assert not +twice


def test_an_offer_that_comes_late_is_not_taken_for_a_new_job(monkeypatch):
    # One order is carried out twice at one time. A group splits, and a job stays with
    # the other zone's leading host. Its host is cut off from that one, which drops the
    # job, and hands it over to its own zone. At the end of the cut offers sent during
    # it arrive, and the other zone's leading host takes them for a new job.
    monkeypatch.setattr(virtual, "ROUTE", replace(virtual.ROUTE, timeout_ms=5000.0))
    twice = Counter()
    for late_s in (1.3, 1.4, 1.5):
        world = LateWorld(monkeypatch, most_upstreams=4)
        for zone in ZONES:
            world.add_upstreams(zone, 2)
        start_all(world)
        ((leader, zone),) = world.leaders().items()
        others = [name for name, where in HOSTS if where != zone]
        for name in others:
            world.submit(name, 1.5)
        world.run(0.1)
        for one in ZONES:
            world.add_upstreams(one, 1)
        world.run(0.6)
        assert len(world.leaders()) == len(ZONES)
        for name in others:
            world.late_until[frozenset((leader, name))] = world.now + late_s
        world.run(5.0)
        twice[late_s] += world.counters.two_at_once
    assert not +twice
