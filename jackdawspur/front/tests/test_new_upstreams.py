"""A task has one run at a time though hosts learn of upstreams at different moments."""

from types import SimpleNamespace

import pytest

from jackdawspur.front.tests.virtual import Asked, World

ZONES = {"a1": "z1", "b1": "z2", "c1": "z3"}
LONG_S = 0.6


@pytest.fixture
def one_group(monkeypatch) -> World:
    """Return hosts of three zones, one of which leads, with two upstreams."""
    world = World(monkeypatch, most_upstreams=64)
    world.add_upstreams("z1", 1)
    world.add_upstreams("z2", 1)
    for name, zone in ZONES.items():
        world.start(name, zone)
    world.run(3.0)
    return world


def stop_leader(world: World) -> str:
    """Tell the leading host to stop, and return its name."""
    (name,) = world.leaders()
    event = SimpleNamespace(stop=lambda: None)
    world.lives[name].process._on_signal(event, 15, None)
    return name


def test_a_run_on_an_upstream_that_the_next_leading_host_has_not_read(
    one_group: World,
):
    # One task has two runs at one time. An upstream is added, as when one crashed and
    # came back under a new name. The leading host, which reads the list every 0.5 s,
    # starts tasks there and is told to stop. The next one read the list up to 1.5 s
    # ago: all upstreams that it knows answer, so it starts what it was handed at once.
    world = one_group
    asked: list[Asked] = []
    for turn in range(6):
        follower = next(name for name in world.lives if name not in world.leaders())
        world.run(0.17 * turn)
        world.add_upstreams("z3", 1)
        added = world.upstreams[world.listed[-1].id]
        while not added.report(world.now).running:
            asked += [world.submit(follower, LONG_S, tasks=2) for _ in world.listed]
            world.run(0.3)
        stopped = stop_leader(world)
        world.run(3.0)
        world.kill(stopped)
        world.start(stopped, ZONES[stopped])
        world.run(3.0)
    assert world.counters.two_at_once == world.counters.over_capacity == 0
    assert {one.reply.status for one in asked} <= {200, 429, 503, 504}
