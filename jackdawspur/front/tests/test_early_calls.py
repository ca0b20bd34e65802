"""Callers that come before their host has a configuration."""

import pytest

from jackdawspur.adapters import Call
from jackdawspur.front._early_calls import MAX_CALLS, MAX_WAIT_S, EarlyCalls
from jackdawspur.front.tests.virtual import World


@pytest.fixture
def world(monkeypatch) -> World:
    """Return upstreams whose hosts have all lost power and are about to start."""
    one = World(monkeypatch, most_upstreams=64)
    one.add_upstreams("z1", 4)
    return one


def start(world: World) -> None:
    for name in ("h0", "h1"):
        world.start(name, "z1")


def test_loss_of_power_callers_before_the_configuration_are_served(world: World):
    # Guards against refusing those who come in the first moments after a loss of power,
    # most of whom have no time left to come again.
    start(world)
    asked = [world.submit(name, 0.1) for name in world.lives]
    world.run(1.5)
    assert [one.reply.status for one in asked] == [200, 200]


def test_callers_are_refused_in_time_while_the_store_is_away(world: World):
    world.storeless |= {"h0", "h1"}
    start(world)
    asked = world.submit("h0", 0.1)
    world.run(MAX_WAIT_S + 0.2)
    assert asked.reply.status == 503
    assert asked.reply.retry_after_s > 0
    assert asked.answered_at - asked.sent_at < MAX_WAIT_S + 0.1


def test_a_caller_that_comes_early_waits_no_longer_than_it_says(world: World):
    # Guards against counting its wait from when the configuration came.
    world.storeless |= {"h0", "h1"}
    start(world)
    asked = world.submit("h0", 3.0, states_s=1.0)
    world.run(0.5)
    world.storeless.clear()
    world.run(0.6)
    assert asked.reply is not None
    assert asked.answered_at - asked.sent_at <= 1.0


def test_early_calls_are_bounded():
    early = EarlyCalls()
    calls = [Call(n, "POST", "/q/a", "", None, b"") for n in range(MAX_CALLS + 1)]
    assert [early.add(call, 0.0) for call in calls].count(False) == 1
    early.remove(0)
    assert len(early.pop_overdue(MAX_WAIT_S)) == MAX_CALLS - 1
    assert early.pop_all() == []
