"""A task that would be late on the free slow upstream waits for a fast one."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs.tests.conftest import LONG_TIMEOUT, Leader

FAST, MIDDLE, SLOW = (UpstreamId("z1", f"u{n}") for n in range(3))
TASK_S = 0.2
DEADLINE_S = 0.35
# Jobs with this deadline get fast upstreams, because it leaves them little time.
TIGHT_DEADLINE_S = 0.7


def learn_slowdown(leader: Leader, factor: float) -> None:
    """Run jobs whose tasks take longer on the last upstream, by a factor."""
    for number in range(30):
        job = f"t{number}"
        leader.offer(
            job,
            tasks=3,
            route=LONG_TIMEOUT,
            max_per_upstream=1,
            deadline=leader.now + 5.0,
        )
        leader.settle()
        leader.advance(TASK_S, step_s=TASK_S)
        on_slow = next(iter(leader.upstreams[SLOW].running))
        for fast in (FAST, MIDDLE):
            leader.upstreams[fast].end(next(iter(leader.upstreams[fast].running)))
        leader.settle()
        remaining_s = TASK_S * (factor - 1.0)
        leader.advance(remaining_s, step_s=remaining_s)
        leader.upstreams[SLOW].end(on_slow)
        leader.settle()


def fill_fast(leader: Leader) -> None:
    """Use all capacity except that of the slow upstream."""
    for number in range(2):
        deadline = leader.now + TIGHT_DEADLINE_S
        leader.offer(
            f"f{number}", 2, LONG_TIMEOUT, max_per_upstream=1, deadline=deadline
        )
        leader.settle()
    assert not leader.upstreams[SLOW].running


@pytest.fixture
def leader() -> Leader:
    """Return the leader of three upstreams with capacity for two tasks each."""
    new_leader = Leader(upstreams=3)
    new_leader.lead()
    return new_leader


def test_a_long_job_waits_for_a_fast_upstream(leader: Leader):
    # The largest jobs always failed under load: their tasks started on the only free
    # upstream, which was known to be slower by a third. A fifth of a second later their
    # progress showed that they would end after the caller's deadline. A fast upstream
    # had capacity again within milliseconds.
    learn_slowdown(leader, 1.4)
    fill_fast(leader)
    leader.offer("aa", deadline=leader.now + DEADLINE_S)
    leader.offer("bb", route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    assert "aa.0.0.0" not in leader.running()
    # A job with enough time goes ahead of it.
    assert leader.running()["bb.0.0.0"] == [SLOW]
    leader.upstreams[FAST].end(next(iter(leader.upstreams[FAST].running)))
    leader.settle()
    assert leader.running()["aa.0.0.0"] == [FAST]


def test_a_job_waits_only_while_it_can_be_on_time(leader: Leader):
    # A task must not wait for a fast upstream until its caller has left: once waiting
    # gains nothing, a late answer is better than none.
    learn_slowdown(leader, 3.0)
    fill_fast(leader)
    leader.offer("aa")
    leader.settle()
    assert "aa.0.0.0" not in leader.running()
    leader.advance(0.25)
    assert leader.running()["aa.0.0.0"] == [SLOW]


def test_a_job_is_not_refused_for_waiting(leader: Leader):
    # A job was refused although there was capacity: it waited for a fast upstream, and
    # as it was expected to take nearly all time until its deadline, it was refused
    # because of that wait. Jobs often turn out shorter than expected.
    learn_slowdown(leader, 1.4)
    fill_fast(leader)
    leader.offer("aa", deadline=leader.now + TASK_S * 1.25)
    leader.settle()
    leader.advance(0.025, step_s=0.025)
    assert leader.running()["aa.0.0.0"] == [SLOW]
    assert not [a for a in leader.answers if a.job == "aa"]


def test_a_long_job_waits_for_a_fast_upstream_despite_lost_replies(leader: Leader):
    # Guards against long tasks on slow upstreams while a few replies are lost.
    learn_slowdown(leader, 1.4)
    fill_fast(leader)
    for _ in range(3):
        leader.dispatcher.upstream_pool.replies.record_loss()
    leader.offer("aa", deadline=leader.now + DEADLINE_S)
    leader.settle()
    assert "aa.0.0.0" not in leader.running()


def test_slow_capacity_is_offered_while_a_job_waits_for_a_fast_upstream(leader: Leader):
    # Guards against withholding slow upstreams, which no job here uses, from other
    # groups.
    learn_slowdown(leader, 1.4)
    fill_fast(leader)
    leader.offer("aa", deadline=leader.now + DEADLINE_S)
    leader.settle()
    assert "aa.0.0.0" not in leader.running()
    assert leader.dispatcher.spare_capacity(leader.now)["roster"].slow
