"""Tests of calls that arrive before the host has a configuration."""

import pytest

from jackdawspur.adapters import Call
from jackdawspur.front._early_calls import MAX_CALLS, MAX_WAIT_S, EarlyCalls
from jackdawspur.front.tests.virtual import World


@pytest.fixture
def world(monkeypatch) -> World:
    """Return upstreams whose hosts are down after a power loss."""
    simulation = World(monkeypatch, most_upstreams=64)
    simulation.add_upstreams("z1", 4)
    return simulation


def start(world: World) -> None:
    for name in ("h0", "h1"):
        world.start(name, "z1")


def test_calls_before_the_configuration_are_served_after_a_power_loss(world: World):
    # Guards against refusing the first calls after a power loss: most of these callers
    # have no time left to retry.
    start(world)
    sent = [world.submit(name, 0.1) for name in world.nodes]
    world.run(1.5)
    assert [request.reply.status for request in sent] == [200, 200]


def test_callers_are_refused_in_time_while_the_store_is_down(world: World):
    world.storeless |= {"h0", "h1"}
    start(world)
    sent = world.submit("h0", 0.1)
    world.run(MAX_WAIT_S + 0.2)
    assert sent.reply.status == 503
    assert sent.reply.retry_after_s > 0
    assert sent.answered_at - sent.sent_at < MAX_WAIT_S + 0.1


def test_an_early_caller_waits_no_longer_than_its_timeout(world: World):
    # Guards against measuring the wait from the arrival of the configuration.
    world.storeless |= {"h0", "h1"}
    start(world)
    sent = world.submit("h0", 3.0, caller_timeout_s=1.0)
    world.run(0.5)
    world.storeless.clear()
    world.run(0.6)
    assert sent.reply is not None
    assert sent.answered_at - sent.sent_at <= 1.0


def test_callers_that_waited_through_a_pause_for_a_configuration_are_refused(
    world: World,
):
    # Guards against running their jobs before it is read that they have left.
    world.storeless |= {"h0", "h1"}
    start(world)
    sent = world.submit("h0", 0.1, caller_timeout_s=13.0)
    world.run(0.3)
    world.freeze("h0", 3.0)
    world.storeless.clear()
    world.run(3.5)
    assert sent.reply.status == 503
    assert world.counters.starts == 0


def test_early_calls_are_bounded():
    early = EarlyCalls()
    calls = [Call(n, "POST", "/q/a", "", None, b"", 0.0) for n in range(MAX_CALLS + 1)]
    assert [early.add(call, 0.0) for call in calls].count(False) == 1
    early.remove(0)
    assert len(early.pop_overdue(MAX_WAIT_S)) == MAX_CALLS - 1
    assert early.pop_all() == []
