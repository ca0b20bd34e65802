"""A host that has just taken the lead has heard no upstream yet."""

from jackdawspur.runs.tests.conftest import FENCE, Leading

TICK_S = 0.025
JOBS = 3


def test_no_job_is_refused_before_upstreams_have_answered():
    # Guards against refusing callers who come back after a loss of power.
    leading = Leading()
    leading.dispatcher.start_leading(FENCE, leading.now)
    for number in range(JOBS):
        leading.offer(f"{number:02x}", call=number)
    leading.dispatcher.tick(leading.now)
    leading.collect()
    leading.now += TICK_S
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert not leading.answers
    assert len(leading.running()) == JOBS
