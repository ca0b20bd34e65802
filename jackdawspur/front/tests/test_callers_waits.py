"""How long a job goes on is what its caller states."""

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
    """Return two hosts of one zone that have begun to serve."""
    one = World(monkeypatch, 64)
    one.add_upstreams("z1", 3)
    for name in ("h0", "h1"):
        one.start(name, "z1")
    one.run(3.0)
    return one


# Guards against giving up jobs whose callers wait longer than the route's time-out.
def test_a_job_goes_on_for_as_long_as_its_caller_says_that_it_waits(world: World):
    sent = [world.submit("h0", LONG_S, 2, states_s) for states_s in STATED_S]
    world.run(max(STATED_S))
    assert [asked.reply.status for asked in sent] == [200, 200, 200]
    assert all(asked.answered_at - asked.sent_at < 1.1 * LONG_S for asked in sent)
    assert world.counters.two_at_once == 0


# Guards against a long job dropped and begun anew because its host seemed to have
# forgotten it.
def test_a_job_of_many_seconds_runs_once_through(world: World):
    sent = [world.submit(name, LONGEST_S, 1, 11.4) for name in world.lives]
    world.run(11.4)
    assert [asked.reply.status for asked in sent] == [200, 200]
    assert all(asked.answered_at - asked.sent_at < 1.1 * LONGEST_S for asked in sent)


# Guards against holding jobs whose callers have gone.
@pytest.mark.parametrize(("states_s", "ends_s"), [(0.7, 0.7), (None, ROUTE_S)])
def test_a_job_ends_when_its_caller_waits_no_longer(world: World, states_s, ends_s):
    sent = world.submit("h0", 3.0, 1, states_s)
    world.run(ends_s + 0.1)
    assert sent.reply.status == 504
    assert sent.answered_at - sent.sent_at <= ends_s


# Guards against a limit that the log passes off as stated.
def test_a_limit_that_nobody_stated_is_named_as_assumed():
    limit = WaitLimit(caller_s=None, route_s=None)
    assert limit.wait_s == ASSUMED_WAIT_S
    assert limit.log_fields()["limit"] == "assumed"
    assert limit.log_fields()["route_ms"] is None
