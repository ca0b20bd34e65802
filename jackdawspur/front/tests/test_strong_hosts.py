"""Callers do not notice that the lead goes to a stronger host."""

import pytest

from jackdawspur.front.tests.test_zones_that_differ import ask, statuses
from jackdawspur.front.tests.virtual import World

SETTLED_S = 8.0
WEAK = ("a1", "a2")


@pytest.fixture
def world(monkeypatch) -> World:
    """Return a zone led by a weak host, with a strong one just started."""
    one = World(monkeypatch, most_upstreams=64)
    one.add_upstreams("z1", 6)
    for name in (*WEAK, "strong"):
        one.stated[name] = {"processor": 2.0 if name == "strong" else 0.5}
    for name in WEAK:
        one.start(name, "z1")
    one.run(SETTLED_S)
    one.start("strong", "z1")
    one.run(1.0)
    return one


def test_weak_host_leads_beside_a_strong_one(world: World):
    # Guards against a zone led for good by the host that was heard first, with a
    # quarter of the strongest one's processor.
    assert set(world.leaders()) < set(WEAK)
    asked = ask(world, SETTLED_S, run_s=0.3, hosts=list(WEAK))
    world.run(2.0)
    assert world.leaders() == {"strong": "z1"}
    assert statuses(asked) == {200: len(asked)}
    assert world.counters.two_at_once == 0
