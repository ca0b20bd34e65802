"""A task that would be too late on the slow upstream with room waits for a fast one."""

import pytest

from jackdawspur.model import UpstreamId
from jackdawspur.runs.tests.conftest import PATIENT, Leading

FAST, MIDDLE, SLOW = (UpstreamId("z1", f"u{n}") for n in range(3))
USUAL_S = 0.2
SOON_S = 0.35
# A caller with so little time gets fast upstreams.
HURRIED_S = 0.7


def teach(leading: Leading, factor: float) -> None:
    """Let jobs show that tasks on the last upstream take a factor longer."""
    for number in range(30):
        job = f"t{number}"
        leading.offer(job, tasks=3, route=PATIENT, each=1, deadline=leading.now + 5.0)
        leading.settle()
        leading.advance(USUAL_S, step_s=USUAL_S)
        on_slow = next(iter(leading.upstreams[SLOW].running))
        for fast in (FAST, MIDDLE):
            leading.upstreams[fast].end(next(iter(leading.upstreams[fast].running)))
        leading.settle()
        later_s = USUAL_S * (factor - 1.0)
        leading.advance(later_s, step_s=later_s)
        leading.upstreams[SLOW].end(on_slow)
        leading.settle()


def fill_fast(leading: Leading) -> None:
    """Take all room but that on the slow upstream."""
    for number in range(2):
        deadline = leading.now + HURRIED_S
        leading.offer(f"f{number}", 2, PATIENT, each=1, deadline=deadline)
        leading.settle()
    assert not leading.upstreams[SLOW].running


@pytest.fixture
def leading() -> Leading:
    """Return a host that leads three upstreams with room for two tasks each."""
    one = Leading(upstreams=3)
    one.lead()
    return one


def test_a_long_job_waits_for_room_on_a_fast_upstream(leading: Leading):
    # A skipper never gets the largest overlays while the map service is busy: their
    # tasks took the only room free, on an upstream known to be slower by a third. A
    # fifth of a second later their progress showed that they would end beyond the
    # caller's time. Room on a fast one came free within milliseconds.
    teach(leading, 1.4)
    fill_fast(leading)
    leading.offer("aa", deadline=leading.now + SOON_S)
    leading.offer("bb", route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    assert "aa.0.0.0" not in leading.running()
    # A job that has time passes it.
    assert leading.running()["bb.0.0.0"] == [SLOW]
    leading.upstreams[FAST].end(next(iter(leading.upstreams[FAST].running)))
    leading.settle()
    assert leading.running()["aa.0.0.0"] == [FAST]


def test_a_job_waits_only_while_it_can_be_on_time(leading: Leading):
    # A task must not wait for a fast upstream until its caller has left: once waiting
    # gains nothing, late is better than never.
    teach(leading, 3.0)
    fill_fast(leading)
    leading.offer("aa")
    leading.settle()
    assert "aa.0.0.0" not in leading.running()
    leading.advance(0.25)
    assert leading.running()["aa.0.0.0"] == [SLOW]


def test_a_job_is_not_refused_for_waiting(leading: Leading):
    # A caller is told that its job could not end in time, while there was room: the job
    # waited for a fast upstream, and as it was expected to take nearly all of its time
    # it was refused for that wait. Jobs often turn out shorter than expected.
    teach(leading, 1.4)
    fill_fast(leading)
    leading.offer("aa", deadline=leading.now + USUAL_S * 1.25)
    leading.settle()
    leading.advance(0.025, step_s=0.025)
    assert leading.running()["aa.0.0.0"] == [SLOW]
    assert not [one for one in leading.answers if one.job == "aa"]


def test_a_long_job_waits_for_a_fast_upstream_where_replies_get_lost(leading: Leading):
    # Guards against long tasks on slow upstreams while a few replies are lost.
    teach(leading, 1.4)
    fill_fast(leading)
    for _ in range(3):
        leading.dispatcher.upstream_pool.replies.record_loss()
    leading.offer("aa", deadline=leading.now + SOON_S)
    leading.settle()
    assert "aa.0.0.0" not in leading.running()


def test_room_is_offered_while_a_job_waits_for_a_fast_upstream(leading: Leading):
    # Guards against keeping slow room from other groups that no job here wants.
    teach(leading, 1.4)
    fill_fast(leading)
    leading.offer("aa", deadline=leading.now + SOON_S)
    leading.settle()
    assert "aa.0.0.0" not in leading.running()
    assert leading.dispatcher.spare_capacity(leading.now)["roster"].slow
