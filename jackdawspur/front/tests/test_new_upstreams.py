"""Tests of hosts that learn of new upstreams at different times."""

from types import SimpleNamespace

import pytest

from jackdawspur.front.tests.virtual import SentRequest, World

ZONES = {"a1": "z1", "b1": "z2", "c1": "z3"}
LONG_S = 0.6


@pytest.fixture
def one_group(monkeypatch) -> World:
    """Return hosts of three zones in one group, with two upstreams."""
    world = World(monkeypatch, most_upstreams=64)
    world.add_upstreams("z1", 1)
    world.add_upstreams("z2", 1)
    for name, zone in ZONES.items():
        world.start(name, zone)
    world.run(3.0)
    return world


def stop_leader(world: World) -> str:
    """Send the leader the stop signal, and return its name."""
    (name,) = world.leaders()
    event = SimpleNamespace(stop=lambda: None)
    world.nodes[name].process._on_signal(event, 15, None)
    return name


def test_a_run_on_an_upstream_that_the_next_leader_does_not_know(
    one_group: World,
):
    # A task has two runs at the same time. An upstream is added, as when one crashed
    # and came back under a new name. The leader, which reads the list every 0.5 s,
    # starts tasks there and then drains. The next leader read the list up to 1.5 s ago:
    # all upstreams that it knows answer, so it starts the jobs handed over to it at
    # once.
    world = one_group
    sent: list[SentRequest] = []
    for turn in range(6):
        follower = next(name for name in world.nodes if name not in world.leaders())
        world.run(0.17 * turn)
        world.add_upstreams("z3", 1)
        added = world.upstreams[world.listed[-1].id]
        while not added.report(world.now).running:
            sent += [world.submit(follower, LONG_S, tasks=2) for _ in world.listed]
            world.run(0.3)
        stopped = stop_leader(world)
        world.run(3.0)
        world.kill(stopped)
        world.start(stopped, ZONES[stopped])
        world.run(3.0)
    assert world.counters.two_at_once == world.counters.over_capacity == 0
    assert {request.reply.status for request in sent} <= {200, 429, 503, 504}
