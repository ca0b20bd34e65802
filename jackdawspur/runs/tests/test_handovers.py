"""A job that was handed over may have run under an earlier leading host."""

from jackdawspur.runs.tests.conftest import FENCE, Leading

AHEAD_S = 0.3


def waiting_job() -> Leading:
    """Return a leading host without room, on which a job waits."""
    leading = Leading(upstreams=1)
    leading.lead()
    leading.offer("bb", tasks=2)
    leading.settle()
    leading.offer("aa")
    leading.settle()
    assert set(leading.running()) == {"bb.0.0.0", "bb.0.0.1"}
    return leading


def test_a_job_that_comes_back_is_not_refused_as_not_run():
    # A client is told that its job did not run, and it did. Its host followed another
    # leading host for a moment, which started the job, and came back before this one
    # had dropped it. It was kept here as a job of which nothing had started.
    leading = waiting_job()
    leading.offer("aa", handovers=2)
    leading.advance(2.0)
    (answer,) = [one for one in leading.answers if one.job == "aa"]
    assert not answer.outcome.not_run


def test_an_earlier_offer_that_comes_late_takes_nothing_back():
    # The same, where an offer from before was overtaken by the one that came back.
    leading = waiting_job()
    leading.offer("aa", handovers=2)
    leading.offer("aa", handovers=0)
    leading.advance(2.0)
    (answer,) = [one for one in leading.answers if one.job == "aa"]
    assert not answer.outcome.not_run
    assert answer.handovers == 2


def test_a_job_of_a_higher_fence_waits_though_all_upstreams_answered():
    # A task runs twice at one time: its host heard a leading host of a higher fence no
    # more, and handed the job to one of a lower. Looks of that one had been answered
    # just before the other took the upstreams, and say nothing of what it started.
    leading = Leading()
    leading.lead()
    leading.offer("aa", handovers=1, outranked=True)
    leading.offer("bb", handovers=1)
    leading.advance(AHEAD_S)
    assert set(leading.running()) == {"bb.0.0.0"}


def test_a_run_that_was_handed_over_is_not_judged_before_it_is_found():
    # Guards against giving up nearly finished jobs as another host takes the lead.
    leading = Leading()
    upstream = next(iter(leading.upstreams.values()))
    upstream.running["aa.0.0.0"] = 1
    upstream.percent["aa.0.0.0"] = 90.0
    leading.dispatcher.start_leading(FENCE, leading.now)
    came = leading.now - 0.18
    leading.offer("aa", handovers=1, arrived=came, deadline=came + 0.3)
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert not leading.answers
    assert leading.running() == {"aa.0.0.0": [upstream.id]}
