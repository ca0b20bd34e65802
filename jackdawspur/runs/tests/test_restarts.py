"""A run is restarted elsewhere only if its upstream is shown to be slow."""

from jackdawspur.runs import JobRequest, JobStep, Offer
from jackdawspur.runs.tests.conftest import ROUTE, TASK_RESOURCES, Leader

STEP_S = 0.025
# Polls wait for 0.2 s, so tasks of one job report at different times.
FIRST_REPORT_S = 0.125
FIRST_PERCENT = 14.0


def test_no_run_is_stopped_before_the_others_have_reported(leader: Leader):
    # Guards against stopping a run by an estimate that other reports soon correct.
    step = JobStep(2, TASK_RESOURCES, 100.0, most_per_upstream=1)
    request = JobRequest("aa", "spec", (step,), ROUTE)
    offer = Offer(request, "h2", 1, leader.now, leader.now + 1.545)
    leader.dispatcher.offer(offer, leader.now)
    leader.settle()
    (upstream_id,) = leader.running()["aa.0.0.0"]
    (poll,) = [p for p in leader.polls if p.upstream == upstream_id]
    leader.polls.clear()
    leader.advance(FIRST_REPORT_S, STEP_S)
    leader.upstreams[upstream_id].percent["aa.0.0.0"] = FIRST_PERCENT
    report = leader.upstreams[upstream_id].report(poll.last_seen)
    leader.dispatcher.poll_replied(poll, report, leader.now)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    assert not leader.stops
    assert not leader.answers
