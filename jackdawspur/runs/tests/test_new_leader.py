"""A new leader, to which no upstream has replied yet."""

from jackdawspur.runs.tests.conftest import FENCE, Leader

TICK_S = 0.025
JOBS = 3


def test_no_job_is_refused_before_upstreams_have_replied():
    # Guards against refusing callers that come back after a power failure.
    leader = Leader()
    leader.dispatcher.start_leading(FENCE, leader.now)
    for number in range(JOBS):
        leader.offer(f"{number:02x}", call=number)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    leader.now += TICK_S
    leader.dispatcher.tick(leader.now)
    leader.settle()
    assert not leader.answers
    assert len(leader.running()) == JOBS
