"""Tests that a job runs for as long as its caller waits."""

import pytest

from jackdawspur.front._limits import ASSUMED_WAIT_S, WaitLimit
from jackdawspur.front.tests.virtual import World
from jackdawspur.front.tests.virtual_parts import ROUTE

ROUTE_S = ROUTE.timeout_ms / 1000.0
LONG_S = 1.6
LONGEST_S = 5.0
STATED_S = (2.2, 5.1, 11.4)


@pytest.fixture
def world(monkeypatch) -> World:
    """Return two hosts of one zone that are ready."""
    simulation = World(monkeypatch, 64)
    simulation.add_upstreams("z1", 3)
    for name in ("h0", "h1"):
        simulation.start(name, "z1")
    simulation.run(3.0)
    return simulation


# Guards against giving up jobs whose callers wait longer than the route's timeout.
def test_a_job_goes_on_until_the_timeout_that_its_caller_states(world: World):
    requests = [
        world.submit("h0", LONG_S, 2, caller_timeout_s) for caller_timeout_s in STATED_S
    ]
    world.run(max(STATED_S))
    assert [request.reply.status for request in requests] == [200, 200, 200]
    assert all(
        request.answered_at - request.sent_at < 1.1 * LONG_S for request in requests
    )
    assert world.counters.two_at_once == 0


# Guards against dropping and restarting a long job because its host seems to have
# forgotten it.
def test_a_job_of_many_seconds_runs_once(world: World):
    requests = [world.submit(name, LONGEST_S, 1, 11.4) for name in world.nodes]
    world.run(11.4)
    assert [request.reply.status for request in requests] == [200, 200]
    assert all(
        request.answered_at - request.sent_at < 1.1 * LONGEST_S for request in requests
    )


# Guards against keeping jobs whose callers have left.
@pytest.mark.parametrize(("caller_timeout_s", "ends_s"), [(0.7, 0.7), (None, ROUTE_S)])
def test_a_job_ends_at_the_timeout_of_its_caller(
    world: World, caller_timeout_s, ends_s
):
    request = world.submit("h0", 3.0, 1, caller_timeout_s)
    world.run(ends_s + 0.1)
    assert request.reply.status == 504
    assert request.answered_at - request.sent_at <= ends_s


# Guards against logging an assumed limit as a stated one.
def test_a_limit_that_is_not_stated_is_logged_as_assumed():
    limit = WaitLimit(caller_s=None, route_s=None)
    assert limit.wait_s == ASSUMED_WAIT_S
    assert limit.log_fields()["limit"] == "assumed"
    assert limit.log_fields()["route_ms"] is None
