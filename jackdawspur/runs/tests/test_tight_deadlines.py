"""Jobs that need nearly all time until their deadlines are not refused or delayed.

Tasks are expected to take 0.2 s; each of two upstreams has capacity for two.
"""

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd, RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, LONG_TIMEOUT, Leader

REMOTE_LEADER = RemoteLeader("far", FENCE * 2)
# More than a task usually takes, and less than one may well take.
TIGHT_DEADLINE_S = 0.21


def refused(leader: Leader) -> list[str]:
    return [a.job for a in leader.answers if a.outcome.end is JobEnd.REFUSED]


def offer_capacity(leader: Leader, fast: int = 0, slow: int = 0) -> None:
    """Let another group offer capacity for this many tasks."""
    capacity = SpareCapacity((14_000,) * fast, (14_000,) * slow)
    leader.dispatcher.update_offered_capacity(
        REMOTE_LEADER, {"roster": capacity}, leader.now
    )


# Guards against refusing a job that arrives just before a tick while upstreams are
# idle.
def test_a_job_is_placed_before_it_is_judged(leader: Leader):
    leader.offer("aa", deadline=leader.now + TIGHT_DEADLINE_S)
    leader.dispatcher.tick(leader.now)
    leader.settle()
    assert leader.running()
    assert not leader.answers


# Guards against refusing a job by its estimate when capacity becomes free in time.
def test_a_job_that_may_be_shorter_than_expected_waits(leader: Leader):
    leader.offer("aa", tasks=4)
    leader.settle()
    leader.offer("bb", deadline=leader.now + TIGHT_DEADLINE_S)
    leader.advance(0.025, step_s=0.025)
    assert not refused(leader)
    upstream = next(iter(leader.upstreams.values()))
    upstream.end(next(iter(upstream.running)))
    leader.settle()
    assert "bb.0.0.0" in leader.running()


# Guards against a caller that waits although its job will be too late.
def test_a_job_that_is_too_late_even_if_short_is_refused(leader: Leader):
    leader.offer("aa", tasks=4)
    leader.settle()
    leader.offer("bb", deadline=leader.now + TIGHT_DEADLINE_S)
    leader.advance(0.1, step_s=0.025)
    assert refused(leader) == ["bb"]


# Guards against waiting for capacity of this group until too little time is left.
def test_a_job_without_time_to_wait_is_redirected_at_once(leader: Leader):
    leader.offer("aa", tasks=4)
    leader.settle()
    offer_capacity(leader, fast=2)
    leader.offer("bb", deadline=leader.now + TIGHT_DEADLINE_S)
    leader.offer("cc", route=LONG_TIMEOUT, call=7, deadline=leader.now + 5.0)
    leader.collect()
    assert [effect.job for effect in leader.redirects] == ["bb"]
    leader.advance(0.025, step_s=0.025)
    assert [effect.job for effect in leader.redirects] == ["bb", "cc"]


# Guards against starting some tasks here when all could start at once in another group.
def test_a_job_without_time_to_wait_is_not_split(leader: Leader):
    leader.offer("aa", tasks=3)
    leader.settle()
    offer_capacity(leader, fast=2)
    leader.offer("bb", tasks=2, deadline=leader.now + TIGHT_DEADLINE_S)
    leader.collect()
    assert [effect.job for effect in leader.redirects] == ["bb"]


# Guards against redirecting a long job from slow upstreams to other slow upstreams.
def test_a_job_without_time_to_wait_is_redirected_to_fast_upstreams_only(
    leader: Leader,
):
    leader.offer("aa", tasks=4)
    leader.settle()
    offer_capacity(leader, slow=2)
    leader.offer("bb", deadline=leader.now + TIGHT_DEADLINE_S)
    leader.collect()
    assert not leader.redirects
    offer_capacity(leader, fast=1, slow=2)
    leader.offer("cc", route=LONG_TIMEOUT, call=7, deadline=leader.now + 5.0)
    leader.advance(0.025, step_s=0.025)
    assert {effect.job for effect in leader.redirects} == {"bb", "cc"}


# Guards against long tasks on slow upstreams whose slowdown is not yet known well.
def test_a_few_tasks_reveal_a_slow_upstream(leader: Leader):
    estimates = leader.dispatcher.estimates
    slow, other = leader.upstreams
    for number in range(4):
        job = f"t{number}"
        leader.offer(
            job,
            tasks=2,
            max_per_upstream=1,
            deadline=leader.now + 5.0,
            route=LONG_TIMEOUT,
        )
        leader.settle()
        leader.advance(0.2, step_s=0.2)
        leader.upstreams[other].end(next(iter(leader.upstreams[other].running)))
        leader.settle()
        leader.advance(0.06, step_s=0.06)
        leader.upstreams[slow].end(next(iter(leader.upstreams[slow].running)))
        leader.settle()
    assert _slowdown_ratio(estimates, slow, other) > 1.15


def _slowdown_ratio(estimates, first: UpstreamId, second: UpstreamId) -> float:
    return estimates.slowdown(first) / estimates.slowdown(second)


# Guards against withholding capacity from other groups although no job here needs it.
def test_needs_capacity_while_a_job_finds_none(leader: Leader):
    leader.offer("aa", tasks=4)
    leader.settle()
    assert not leader.dispatcher.needs_capacity(leader.now)
    leader.offer("bb", route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    assert leader.dispatcher.needs_capacity(leader.now)
    leader.dispatcher.drop("h2", "bb", 1, leader.now)
    leader.advance(0.6)
    assert not leader.dispatcher.needs_capacity(leader.now)
