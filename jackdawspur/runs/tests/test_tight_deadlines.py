"""Jobs that take nearly all of their callers' time are not refused or kept waiting.

Tasks are expected to take 0.2 s; each of two upstreams has room for two.
"""

from jackdawspur.model import UpstreamId
from jackdawspur.runs import JobEnd, RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, Leading

PLACE = RemoteLeader("far", FENCE * 2)
# Less than a task may well take, and more than it does if all goes well.
LITTLE_S = 0.21


def refused(leading: Leading) -> list[str]:
    return [a.job for a in leading.answers if a.outcome.end is JobEnd.REFUSED]


def offer_room(leading: Leading, fast: int = 0, slow: int = 0) -> None:
    """Let another group offer room for so many tasks."""
    room = SpareCapacity((14_000,) * fast, (14_000,) * slow)
    leading.dispatcher.update_offered_capacity(PLACE, {"roster": room}, leading.now)


# Guards against refusing a job beside idle upstreams when it comes just before a tick.
def test_a_job_is_placed_before_it_is_judged(leading: Leading):
    leading.offer("aa", deadline=leading.now + LITTLE_S)
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert leading.running()
    assert not leading.answers


# Guards against refusing a job for an estimate when room comes free in time.
def test_a_job_that_may_be_shorter_than_expected_waits_for_room(leading: Leading):
    leading.offer("aa", tasks=4)
    leading.settle()
    leading.offer("bb", deadline=leading.now + LITTLE_S)
    leading.advance(0.025, step_s=0.025)
    assert not refused(leading)
    upstream = next(iter(leading.upstreams.values()))
    upstream.end(next(iter(upstream.running)))
    leading.settle()
    assert "bb.0.0.0" in leading.running()


# Guards against keeping a caller that will get no answer.
def test_a_job_that_is_too_late_even_if_short_is_refused(leading: Leading):
    leading.offer("aa", tasks=4)
    leading.settle()
    leading.offer("bb", deadline=leading.now + LITTLE_S)
    leading.advance(0.1, step_s=0.025)
    assert refused(leading) == ["bb"]


# Guards against waiting for room of the own group until too little time is left.
def test_a_job_without_time_to_wait_is_passed_on_at_once(leading: Leading):
    leading.offer("aa", tasks=4)
    leading.settle()
    offer_room(leading, fast=2)
    leading.offer("bb", deadline=leading.now + LITTLE_S)
    leading.offer("cc", route=PATIENT, call=7, deadline=leading.now + 5.0)
    leading.collect()
    assert [order.job for order in leading.passed_on] == ["bb"]
    leading.advance(0.025, step_s=0.025)
    assert [order.job for order in leading.passed_on] == ["bb", "cc"]


# Guards against beginning some tasks here when all could begin at once elsewhere.
def test_a_job_without_time_to_wait_goes_where_all_its_tasks_start(leading: Leading):
    leading.offer("aa", tasks=3)
    leading.settle()
    offer_room(leading, fast=2)
    leading.offer("bb", tasks=2, deadline=leading.now + LITTLE_S)
    leading.collect()
    assert [order.job for order in leading.passed_on] == ["bb"]


# Guards against sending a long job from slow room to slow room.
def test_a_job_without_time_to_wait_goes_to_fast_room_only(leading: Leading):
    leading.offer("aa", tasks=4)
    leading.settle()
    offer_room(leading, slow=2)
    leading.offer("bb", deadline=leading.now + LITTLE_S)
    leading.collect()
    assert not leading.passed_on
    offer_room(leading, fast=1, slow=2)
    leading.offer("cc", route=PATIENT, call=7, deadline=leading.now + 5.0)
    leading.advance(0.025, step_s=0.025)
    assert {order.job for order in leading.passed_on} == {"bb", "cc"}


# Guards against long tasks on slow upstreams while these are not yet known well.
def test_a_few_tasks_tell_a_slow_upstream(leading: Leading):
    estimates = leading.dispatcher.estimates
    slow, other = leading.upstreams
    for number in range(4):
        job = f"t{number}"
        leading.offer(job, tasks=2, each=1, deadline=leading.now + 5.0, route=PATIENT)
        leading.settle()
        leading.advance(0.2, step_s=0.2)
        leading.upstreams[other].end(next(iter(leading.upstreams[other].running)))
        leading.settle()
        leading.advance(0.06, step_s=0.06)
        leading.upstreams[slow].end(next(iter(leading.upstreams[slow].running)))
        leading.settle()
    assert _ratio(estimates, slow, other) > 1.15


def _ratio(estimates, one: UpstreamId, other: UpstreamId) -> float:
    return estimates.slowdown(one) / estimates.slowdown(other)


# Guards against offering no room although a job here wants none of it.
def test_it_is_told_whether_jobs_found_no_room(leading: Leading):
    leading.offer("aa", tasks=4)
    leading.settle()
    assert not leading.dispatcher.needs_capacity(leading.now)
    leading.offer("bb", route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    assert leading.dispatcher.needs_capacity(leading.now)
    leading.dispatcher.drop("h2", "bb", 1, leading.now)
    leading.advance(0.6)
    assert not leading.dispatcher.needs_capacity(leading.now)
