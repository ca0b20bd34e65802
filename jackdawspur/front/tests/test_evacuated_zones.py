"""Nothing more starts in a zone that is evacuated, until it is taken back."""

import pytest

from jackdawspur.front.tests.virtual import World

# Until the leading host has read the request and what it had sent before has arrived.
READ_S = 0.1
SHORT_S = 0.2
HOSTS = {"a1": "z1", "a2": "z1", "b1": "z2", "b2": "z2"}


@pytest.fixture(params=[64, 2], ids=["one group", "two groups"])
def world(request, monkeypatch) -> World:
    """Return hosts of two zones with two upstreams each."""
    one = World(monkeypatch, most_upstreams=request.param)
    for zone in ("z1", "z2"):
        one.add_upstreams(zone, 2)
    for name, zone in HOSTS.items():
        one.start(name, zone)
    one.run(3.0)
    return one


def runs_in(world: World, zone: str) -> int:
    """Return how many runs there are in a zone."""
    return sum(
        len(upstream.report(world.now).running)
        for one, upstream in world.upstreams.items()
        if one.zone == zone
    )


def most_in(world: World, zone: str, seconds: float) -> int:
    """Let jobs come from all hosts; return the most runs seen at a time in a zone."""
    most = 0
    for _ in range(round(seconds / READ_S)):
        for host in HOSTS:
            world.submit(host, SHORT_S)
        world.run(READ_S / 2)
        most = max(most, runs_in(world, zone))
        world.run(READ_S / 2)
    return most


def test_nothing_starts_in_an_evacuated_zone(world: World):
    # Guards against work in a zone that its operators are about to take down.
    assert most_in(world, "z1", 1.0) > 0
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    assert most_in(world, "z1", 1.0) == 0
    assert most_in(world, "z2", 1.0) > 0
    world.evacuated.clear()
    world.run(READ_S)
    assert most_in(world, "z1", 1.0) > 0


def test_a_run_in_an_evacuated_zone_ends_whole(world: World):
    asked = [world.submit(host, 4 * SHORT_S) for host in HOSTS]
    world.run(READ_S)
    starts = world.counters.starts
    world.evacuated.add("z1")
    world.run(8 * SHORT_S)
    assert {one.reply.status for one in asked} == {200}
    assert world.counters.starts == starts


def test_callers_of_an_evacuated_zone_are_served_by_the_other(world: World):
    # Guards against refusals of a whole zone's callers beside a zone with room.
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    asked = []
    for _ in range(5):
        asked.append(world.submit("a1", SHORT_S))
        world.run(SHORT_S)
    world.run(1.0)
    assert [one.reply.status for one in asked] == [200] * 5


def test_a_host_without_the_store_hears_of_evacuated_zones(world: World):
    # Guards against a leading host that the store refuses and that knows of none.
    world.evacuated.add("z1")
    world.run(READ_S + SHORT_S)
    for name in HOSTS:
        world.storeless.add(name)
    world.kill("b1")
    world.start("b1", "z2")
    world.run(5.0)
    assert world.lives["b1"].process.views.evacuated == {"z1"}
