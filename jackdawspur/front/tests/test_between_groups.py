"""A job is run by one group, whatever its host takes for its group meanwhile."""

from collections import Counter
from collections.abc import Callable

import pytest

from jackdawspur.front.tests.virtual import Asked, World

ZONES = ("z1", "z2")
HOSTS = (("a1", "z1"), ("b1", "z2"), ("a2", "z1"), ("b2", "z2"))
BEAT_S = 0.1


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
        world.run(1.0 + turn * BEAT_S / 2)
        world.shown[late] = turn % 2
        world.start(late, "z2")
        for _ in range(5):
            world.run(0.02)
            asked.append(world.submit(late, 0.3))
        world.shown.clear()
        world.run(2.5)
    assert world.tally.two_at_once == 0
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
        assert world.tally.two_at_once == world.tally.over_capacity == 0
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
    held = process.lead.dispatcher.fleet.held
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
