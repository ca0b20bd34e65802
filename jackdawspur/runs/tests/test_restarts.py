"""A run is stopped for a new one elsewhere only if its upstream is shown to be slow."""

from jackdawspur.runs import JobRequest, JobStep, Offer
from jackdawspur.runs.tests.conftest import ROUTE, TASK, Leading

STEP_S = 0.025
# Looks wait for 0.2 s, so that tasks of one job tell of themselves at different times.
FIRST_TOLD_S = 0.125
FIRST_PERCENT = 14.0


def test_no_run_is_stopped_before_the_others_of_its_job_have_told(leading: Leading):
    # Guards against stopping a run by an estimate that others soon correct.
    step = JobStep(2, TASK, 100.0, most_per_upstream=1)
    request = JobRequest("aa", "spec", (step,), ROUTE)
    offer = Offer(request, "h2", 1, leading.now, leading.now + 1.545)
    leading.dispatcher.offer(offer, leading.now)
    leading.settle()
    (place,) = leading.running()["aa.0.0.0"]
    (look,) = [one for one in leading.looks if one.upstream == place]
    leading.looks.clear()
    leading.advance(FIRST_TOLD_S, STEP_S)
    leading.upstreams[place].percent["aa.0.0.0"] = FIRST_PERCENT
    report = leading.upstreams[place].report(look.last_seen)
    leading.dispatcher.poll_replied(look, report, leading.now)
    leading.dispatcher.tick(leading.now)
    leading.collect()
    assert not leading.stops
    assert not leading.answers
