"""Jobs that take nearly all of their callers' time are not refused or kept waiting.

Tasks are expected to take 0.2 s; each of two upstreams has room for two.
"""

from jackdawspur.runs.tests.conftest import Leading

# Less than a task may well take, and more than it does if all goes well.
LITTLE_S = 0.21


# Guards against refusing a job beside idle upstreams when it comes just before a tick.
def test_a_job_is_placed_before_it_is_judged(leading: Leading):
    leading.offer("aa", deadline=leading.now + LITTLE_S)
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert leading.running()
    assert not leading.answers
