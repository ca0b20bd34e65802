"""Jobs that take nearly all of their callers' time are not refused or kept waiting.

Tasks are expected to take 0.2 s; each of two upstreams has room for two.
"""

from jackdawspur.runs import JobEnd
from jackdawspur.runs.tests.conftest import Leading

# Less than a task may well take, and more than it does if all goes well.
LITTLE_S = 0.21


def refused(leading: Leading) -> list[str]:
    return [a.job for a in leading.answers if a.outcome.end is JobEnd.REFUSED]


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
