"""Tests that callers do not notice a leadership transfer to a stronger host."""

import pytest

from jackdawspur.front.tests.test_changing_groups import ask, statuses
from jackdawspur.front.tests.virtual import World

SETTLED_S = 8.0
WEAK = ("a1", "a2")


@pytest.fixture
def world(monkeypatch) -> World:
    """Return a zone led by a weak host, in which a strong one has just started."""
    simulation = World(monkeypatch, most_upstreams=64)
    simulation.add_upstreams("z1", 6)
    for name in (*WEAK, "strong"):
        simulation.settings[name] = {"processor": 2.0 if name == "strong" else 0.5}
    for name in WEAK:
        simulation.start(name, "z1")
    simulation.run(SETTLED_S)
    simulation.start("strong", "z1")
    simulation.run(1.0)
    return simulation


def test_a_stronger_host_becomes_the_leader(world: World):
    # Guards against a zone that is always led by the host whose heartbeats arrived
    # first, which has a quarter of the strongest host's processor capacity.
    assert set(world.leaders()) < set(WEAK)
    sent = ask(world, SETTLED_S, run_s=0.3, hosts=list(WEAK))
    world.run(2.0)
    assert world.leaders() == {"strong": "z1"}
    assert statuses(sent) == {200: len(sent)}
    assert world.counters.two_at_once == 0
