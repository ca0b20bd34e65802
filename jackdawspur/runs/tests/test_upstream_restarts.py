"""An upstream that restarts under the same name counts as another incarnation."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import FakeUpstream, Leader

UPSTREAM_ID = UpstreamId("z1", "u0")
LEASE_MS = 600
IDLE_S = 1.3


def run_jobs(leader: Leader, count: int) -> None:
    """Run jobs to their ends, one after the other."""
    for number in range(count):
        name = f"b{number}"
        leader.offer(name)
        leader.settle()
        leader.upstreams[UPSTREAM_ID].end(f"{name}.0.0.0")
        leader.settle()


@pytest.fixture
def leader() -> Leader:
    """Return the leader of one upstream, which has ended some runs."""
    new_leader = Leader(upstreams=1)
    new_leader.lead()
    run_jobs(new_leader, 3)
    new_leader.answers.clear()
    return new_leader


@pytest.fixture
def upstream(leader: Leader) -> FakeUpstream:
    """Return the only upstream."""
    return leader.upstreams[UPSTREAM_ID]


def test_a_task_done_after_a_restart_does_not_run_again(
    leader: Leader, upstream: FakeUpstream
):
    # Guards against ignoring the first ended runs of the new incarnation, as if they
    # had been acknowledged.
    upstream.restart()
    leader.advance(IDLE_S)
    leader.offer("aa")
    leader.settle()
    upstream.end("aa.0.0.0")
    leader.settle()
    assert [answer.outcome.end for answer in leader.answers] == [JobEnd.COMPLETE]
    assert not upstream.running


def test_a_run_lost_with_its_incarnation_is_restarted(
    leader: Leader, upstream: FakeUpstream
):
    leader.offer("aa")
    leader.settle()
    upstream.restart()
    leader.advance(0.1)
    assert upstream.running == {"aa.0.0.0": 2}
    assert not leader.answers


def test_a_start_carried_out_by_the_new_incarnation_is_not_lost():
    # Guards against two runs at the same time: the start arrived just after the
    # restart.
    leader = Leader(upstreams=2)
    leader.lead()
    leader.offer("aa")
    leader.collect()
    upstream = leader.upstreams[leader.starts[0].upstream]
    upstream.restart()
    leader.settle()
    leader.advance(0.1)
    assert leader.running() == {"aa.0.0.0": [upstream.id]}


def test_a_late_report_of_an_earlier_incarnation_frees_no_capacity(
    leader: Leader, upstream: FakeUpstream
):
    # Guards against two runs at the same time: a late report lists none of the current
    # runs.
    leader.now += IDLE_S
    leader.collect()
    (old_poll,) = leader.polls
    leader.polls.clear()
    old_report = upstream.report(0)
    upstream.restart()
    leader.now += IDLE_S
    leader.settle()
    leader.offer("aa")
    leader.settle()
    leader.dispatcher.poll_replied(old_poll, old_report, leader.now)
    leader.settle()
    assert upstream.running == {"aa.0.0.0": 1}


def test_leases_follow_the_clock_of_the_new_incarnation(
    leader: Leader, upstream: FakeUpstream
):
    # Guards against leases that last longer than the leader assumes: the clock
    # restarts.
    upstream.clock_ms = 500_000
    leader.advance(IDLE_S)
    upstream.restart()
    leader.advance(IDLE_S)
    leader.offer("aa")
    leader.collect()
    (start,) = leader.starts
    assert upstream.clock_ms < start.lease_until_ms <= upstream.clock_ms + LEASE_MS
